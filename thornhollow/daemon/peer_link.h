// This instance's side of everything that daemons tell each other: gossip over
// UDP, exchanges over TCP, both sealed with the key of the settings.
//
//   peer_link link(io, settings, listener, log, counted);
//   BOOST_LEAF_CHECK(link.Open());
//   link.OnInstances(list);
//   link.Ask(peer, part_request{ digest }, limit, [](auto aAnswer) { ... });
//
// The decisions are fleet/membership.h's; here are its sockets and timers.
#ifndef THORNHOLLOW_DAEMON_PEER_LINK_H_
#define THORNHOLLOW_DAEMON_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/result.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/fleet/instance_list.h"
#include "thornhollow/fleet/membership.h"
#include "thornhollow/fleet/peer_messages.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct peer_link_settings
{
  instance_name mName;
  domain_name mDomain;
  // Where to listen; peers learn it from the platform's list and by gossip.
  std::string mAddress;
  std::string mKey;
  // Addresses to ask while no member is known, as when an instance starts
  // during an outage of the platform.
  std::vector<std::string> mSeeds;
  // Tells this process from earlier ones of the same name; higher each start.
  std::uint64_t mEpoch = 0;
};

struct peer_listener
{
  // What this instance says of its configuration: on each datagram, and to one
  // that asks.
  std::function<config_hint()> mOwnHint;
  std::function<config_word()> mOwnWord;
  std::function<void(const instance_name&, const config_hint&)> mOnHint;
  std::function<claim_answer(const claim_request&)> mOnClaim;
  // Bytes of a part or manifest held here.
  std::function<std::optional<std::string>(const std::string& aDigest)> mOnPart;
  // A member came, went or changed.
  std::function<void()> mOnMembers;
  // No new work to this endpoint until then.
  std::function<void(const endpoint_name&, time_point)> mOnEndpointLeaves;
  // This process stood still.
  std::function<void(duration)> mOnPaused;
  // Another process runs under this name; this one must stop.
  std::function<void()> mOnSuperseded;
};

class peer_link
{
public:
  using answer_handler = std::function<void(std::optional<stream_message>)>;

  // `aLog` and `aMetrics` outlive the link.
  peer_link(boost::asio::io_context& aIo,
            const peer_link_settings& aSettings,
            peer_listener aListener,
            json_log& aLog,
            metrics& aMetrics);
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;
  ~peer_link();

  result<void> Open();

  void OnInstances(const instance_list& aList);

  // Sends to a known peer and hands on its answer, or nothing where none came
  // from it in time. `aDone` is called once, later.
  void Ask(const instance_name& aPeer,
           const stream_message& aRequest,
           duration aLimit,
           answer_handler aDone);

  // Tells peers that this configuration version is held here.
  void Announce(std::uint64_t aVersion);
  // Tells peers that this endpoint leaves.
  void TellLeaving(const endpoint_name& aEndpoint);

  // Tells peers how tight pools are here, to be repeated while it lasts; and
  // the tightest that peers said.
  void TellPressure(const std::vector<pool_pressure>& aPressures);
  std::vector<pool_pressure> PeerPressure() const;

  // This instance takes no new work; it still answers peers.
  void Drain();
  // This process stops now: peers need not suspect it first.
  void Leave();

  // Members of the own domain believed alive, this one left out.
  std::vector<member_digest> Alive() const;
  // The instances of all domains as listed last, and members not listed yet.
  std::vector<listed_instance> Known() const;

private:
  class core;
  std::shared_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_PEER_LINK_H_
