// Connects this instance to the other relaying instances: hellos over UDP,
// copies of the source's items over TCP.
//
//   relay_peer_link link(io, settings, callbacks, log, metrics);
//   BOOST_LEAF_CHECK(link.Open());
//   link.Tick(now);           // every 100 ms
//   link.OnItemsChanged();    // a local copy has a newer revision
//
// fleet/relay_peers.h decides which message to send to which peer; this module
// sends and receives the messages.
#ifndef THORNHOLLOW_DAEMON_RELAY_PEER_LINK_H_
#define THORNHOLLOW_DAEMON_RELAY_PEER_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "thornhollow/base/result.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/relay_settings.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/fleet/relay_peers.h"
#include "thornhollow/wire/relay_codec.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct relay_peer_callbacks
{
  // `mKnownRevisions` returns the source revisions up to which the local copies
  // are complete, and `mChangeRevisions` the revisions of the last changes in
  // the local copies.
  std::function<known_revisions()> mKnownRevisions;
  std::function<known_revisions()> mChangeRevisions;
  // Whether the source currently fails to answer this instance.
  std::function<bool()> mSourceFails;
  // Returns when the source last answered this instance; nullopt if it never
  // did.
  std::function<std::optional<time_point>()> mSourceAnswered;
  std::function<std::vector<reported_load>()> mWork;
  std::function<std::map<pool_name, pool_view>()> mDemand;
  std::function<forwarding_report()> mForwarding;
  // Called when a message from an instance in the given failure domain was
  // received.
  std::function<void(const domain_name&)> mOnMessage;
  // Returns the digest to send to peers, see `crash_suspects::Digest`.
  std::function<std::uint64_t()> mCrashDigest;
  // Called with the digest of the peer at the given address.
  std::function<void(const std::string&, std::uint64_t)> mOnCrashDigest;
  std::function<void(const crash_report&)> mOnCrashReport;
  // Returns processes of endpoints that lately said that they leave.
  std::function<std::vector<endpoint_process_hash>(std::size_t)> mLatelyLeaving;
  // Called with those that a peer has told.
  std::function<void(const std::vector<endpoint_process_hash>&)> mOnLeaving;
  // Returns words of endpoints about their bounds, and that of one process.
  std::function<std::vector<bounds_word>(std::size_t)> mBounds;
  std::function<std::optional<bounds_word>(endpoint_process_hash)> mBoundsOf;
  // Called with those that a peer has told.
  std::function<void(const std::vector<bounds_word>&)> mOnBounds;
  // Returns failure domains that came back into service lately.
  std::function<std::vector<returned_domain>()> mReturned;
  // Called with those that a peer has told.
  std::function<void(const std::vector<returned_domain>&)> mOnReturned;
  // Called with a message about streams of the peer at the given address.
  std::function<void(const std::string&, const origin_message&)> mOnOrigins;
  // Called with a message about endpoints' loads of the peer at the address.
  std::function<void(const std::string&, const load_message&)> mOnLoad;
  // Returns the copy that a peer requests.
  std::function<items_answer(const items_request&)> mOnItemsRequest;
  // Called when a peer answered a request for a copy.
  std::function<void(const items_request&, const items_answer&)> mOnCopy;
};

class relay_peer_link
{
public:
  // `aLog` and `aMetrics` must outlive the link.
  relay_peer_link(boost::asio::io_context& aIo,
                  const relay_settings& aSettings,
                  relay_peer_callbacks aCallbacks,
                  json_log& aLog,
                  metrics& aMetrics);
  relay_peer_link(const relay_peer_link&) = delete;
  relay_peer_link& operator=(const relay_peer_link&) = delete;
  ~relay_peer_link();

  result<void> Open();
  void Tick(time_point aNow);
  void OnItemsChanged();
  // Sends a report of suspected requests.
  void SendCrashReport(const std::vector<std::string>& aTo,
                       const crash_report& aReport);
  // Spreads that an endpoint's process said that it leaves.
  void SpreadLeaving(endpoint_process_hash aProcess);
  // Spreads what an endpoint's process said of its bounds.
  void SpreadBounds(endpoint_process_hash aProcess);
  // Sends a message about where streams began.
  void SendOrigins(const std::vector<std::string>& aTo,
                   const origin_message& aMessage);
  // Sends a message about endpoints' loads.
  void SendLoad(const std::string& aTo, const load_message& aMessage);
  // Addresses of all live peers.
  std::vector<std::string> Addresses() const;
  // Addresses and failure domains of all live peers.
  std::vector<known_instance> Instances() const;
  // Whether this instance should read the source itself. Call every 100 ms.
  bool ShouldReadSource(time_point aNow);

  // `Count`, `Alive` and `Present` return numbers of live instances, and the
  // fraction that is left of them, as determined by the functions of the same
  // names in fleet/relay_peers.h.
  std::size_t Count(time_point aNow) const;
  std::size_t Alive() const;
  double Present(time_point aNow) const;
  // This instance's position among the readers of the source in its domain.
  watch_stagger Turn(time_point aNow) const;
  bool SourceFailsElsewhere(time_point aNow) const;
  std::optional<time_point> SourceAnswered() const;
  // Peers that take forwarded requests and reach endpoints of the pool.
  std::vector<forward_peer> ForwardPeers(const pool_name& aPool,
                                         time_point aNow) const;
  std::size_t CutOffPeers(const pool_name& aPool, time_point aNow) const;
  std::vector<std::string> PeersInContact(const pool_name& aPool,
                                          time_point aNow) const;
  std::map<std::uint32_t, reported_load> OthersWork(time_point aNow) const;
  std::map<pool_name, pool_view> AllViews(
    const std::map<pool_name, pool_view>& aOwn,
    time_point aNow) const;

private:
  class core;
  std::shared_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_RELAY_PEER_LINK_H_
