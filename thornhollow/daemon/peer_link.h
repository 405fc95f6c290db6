// Communication between daemons: gossip over UDP and request-response exchanges
// over TCP, both sealed with the key from the settings.
//
//   peer_link link(io, settings, listener, log, counted);
//   BOOST_LEAF_CHECK(link.Open());
//   link.OnInstances(list);
//   link.Exchange(peer, part_request{ digest }, timeout, onAnswer);
//
// The protocol logic is in fleet/membership.h; this module adds sockets and
// timers.
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
#include "thornhollow/policy/admission/connection_limits.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct peer_link_settings
{
  instance_name mName;
  domain_name mDomain;
  // Address on which this instance listens for peers. Peers learn the address
  // from the platform's list and by gossip.
  std::string mAddress;
  std::string mKey;
  // Addresses to contact while no member is known, for example when an instance
  // starts during a platform outage.
  std::vector<std::string> mSeeds;
  // Number that distinguishes this process from earlier processes of the same
  // instance name; it increases with each start.
  std::uint64_t mEpoch = 0;
  connection_limits mConnections;
};

struct peer_listener
{
  // Configuration state of this instance: the hint sent with each datagram, and
  // the status sent in response to a query.
  std::function<config_hint()> mOwnHint;
  std::function<config_word()> mOwnStatus;
  std::function<void(const instance_name&, const config_hint&)> mOnHint;
  std::function<claim_answer(const claim_request&)> mOnClaim;
  std::function<forward_offer(const forward_query&)> mOnForwardQuery;
  // Returns the bytes of a part or manifest held here, or nullopt.
  std::function<std::optional<std::string>(const std::string& aDigest)> mOnPart;
  // Returns the digest to send to peers, see `crash_suspects::Digest`.
  std::function<std::uint64_t()> mCrashDigest;
  std::function<void(const instance_name&, std::uint64_t)> mOnCrashDigest;
  std::function<void(const crash_report&)> mOnCrashReport;
  // Called when a member was added, removed or changed.
  std::function<void()> mOnMembers;
  // Called when a peer reports that an endpoint is leaving: no new work may be
  // sent to the endpoint until the given time.
  std::function<void(const endpoint_name&, time_point)> mOnEndpointLeaving;
  // Called after this process was paused, with the length of the pause.
  std::function<void(duration)> mOnPaused;
  // Called when another process is running under this instance's name; this
  // process must stop.
  std::function<void()> mOnSuperseded;
};

class peer_link
{
public:
  using answer_handler = std::function<void(std::optional<stream_message>)>;

  // `aLog` and `aMetrics` must outlive the link.
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

  // Sends a request to a known peer. `aDone` is called once, asynchronously,
  // with the peer's answer, or with nullopt if no valid answer from the peer
  // arrives within `aTimeout`.
  void Exchange(const instance_name& aPeer,
                const stream_message& aRequest,
                duration aTimeout,
                answer_handler aDone);

  // Notifies peers that this instance holds configuration version `aVersion`.
  void Announce(std::uint64_t aVersion);
  // Notifies peers that endpoint `aEndpoint` is leaving.
  void ReportEndpointLeaving(const endpoint_name& aEndpoint);

  // Sends a report of suspected requests to known instances.
  void SendCrashReport(const std::vector<instance_name>& aTo,
                       const crash_report& aReport);

  // `ReportPressure` reports to peers which tiers of each pool wait too long at
  // this instance (the pool's pressure); call it repeatedly while requests wait
  // too long. `PeerPressure` returns the highest pressure that peers reported
  // for each pool.
  void ReportPressure(const std::vector<pool_pressure>& aPressures);
  std::vector<pool_pressure> PeerPressure() const;

  // Announces that this instance accepts no new work. The instance still
  // answers peers.
  void Drain();
  // Announces that this process is stopping, so that peers remove it without
  // suspecting it first.
  void Leave();

  // Members of this domain that are considered alive, excluding this instance.
  std::vector<member_digest> Alive() const;
  // Instances of all domains from the latest platform list, plus members that
  // are not listed yet.
  std::vector<listed_instance> Known() const;

private:
  class core;
  std::shared_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_PEER_LINK_H_
