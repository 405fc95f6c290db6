// Own interface: has another instance serve the requests of this one's callers
// while this instance reaches no endpoint of their pool.
//
//   request_forwarder forwarder(io, log, metrics);
//   forwarder.SetLink(link);
//   forwarder.OnPolled(endpoint, answered, now);
//   if (forwarder.ShouldForward(pool, now)) {
//     forwarder.Forward({ exchange, pool, ... }, [](auto aUnserved) { ... });
//   }
//
// Guards against callers who aren't served at one instance while others serve
// theirs: its links to the endpoints are gone, and each request tries one
// endpoint after the other. Engines are polled for their load all the time, so
// that a loss is found without a request. Then other instances are asked
// whether they serve the pool, and the caller's request goes to one of them as
// it is, and its answer back.
//
// What a caller was told stays true: bytes that were sent to another instance
// mean that the request may have run, until that instance itself says that it
// didn't. A request that was forwarded isn't forwarded again.
#ifndef THORNHOLLOW_DAEMON_REQUEST_FORWARDER_H_
#define THORNHOLLOW_DAEMON_REQUEST_FORWARDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/declarations.h"
#include "thornhollow/daemon/endpoint_reach.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/fleet/forward_offers.h"
#include "thornhollow/fleet/peer_messages.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/net/endpoint_connections.h"
#include "thornhollow/request/relay_headers.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

// How the forwarder reaches the other instances.
struct forwarder_link
{
  std::function<std::vector<forward_candidate>()> mCandidates;
  std::function<void(const instance_name&,
                     const forward_query&,
                     std::function<void(std::optional<forward_offer>)>)>
    mAsk;
  // Version of the configuration in force here.
  std::function<std::uint64_t()> mConfiguration;
};

// A caller's request that is to be served by another instance.
struct request_to_forward
{
  caller_exchange_ptr mExchange;
  pool_name mPool;
  class_name mClass;
  time_point mDeadline{};
  // Whether it may run more than once.
  bool mIdempotent = false;
};

class request_forwarder
{
public:
  // Takes back a request that no instance took and that has not run.
  using unserved_handler = std::function<void(caller_exchange_ptr)>;

  // `aLog` and `aMetrics` must outlive the forwarder.
  request_forwarder(boost::asio::io_context& aIo,
                    json_log& aLog,
                    metrics& aMetrics);

  void SetLink(forwarder_link aLink) { mLink = std::move(aLink); }
  // Makes the refusals that callers get.
  void SetRefusal(refusal_handler aRefusal) { mRefusal = std::move(aRefusal); }
  // Endpoints of a pool that may be probed, and whether they are engines, which
  // answer a poll of their load.
  void SetEndpoints(
    std::function<endpoint_reach::target_list(const pool_name&)> aEndpoints,
    std::function<bool(const pool_name&)> aIsEnginePool);
  // Where callers of this instance connect.
  void SetCallerAddress(std::string aAddress)
  {
    mCallerAddress = std::move(aAddress);
  }

  // An engine answered a poll of its load, or did not.
  void OnPolled(const endpoint& aEndpoint, bool aAnswered, time_point aNow);
  // A connection to an endpoint of the pool could not be made, or broke.
  void OnAttemptFailed(const pool_name& aPool, time_point aNow);

  // Whether a new request to the pool is to be forwarded, and some instance
  // takes it.
  bool ShouldForward(const pool_name& aPool, time_point aNow);
  void Forward(request_to_forward aRequest, unserved_handler aUnserved);

  // Whether this instance may decide on the request: it was not forwarded, or
  // by one with no newer configuration.
  bool MayServe(const caller_request& aRequest) const;
  static bool IsForwarded(const caller_request& aRequest);
  // The answer to another instance's question, while this one takes requests.
  forward_offer Offer(const forward_query& aQuery,
                      std::size_t aInProgress,
                      time_point aNow) const;

  // To be called every 100 ms.
  void Tick(time_point aNow);

  // Pools of which some requests are to be forwarded.
  std::vector<pool_name> PoolsOutOfContact() const
  {
    return mReach.PoolsOutOfContact();
  }
  std::size_t LostPools() const { return mReach.LostPools(); }
  std::size_t InProgress() const { return mReach.Forwarded(); }

private:
  friend class forwarded_call;

  void AskOthers(const pool_name& aPool, time_point aNow);
  void ProbeEngine(const probe_target& aTarget,
                   duration aTimeout,
                   std::function<void(endpoint_probe)> aDone);

  boost::asio::io_context& mIo;
  json_log& mLog;
  metrics& mMetrics;
  forwarder_link mLink;
  refusal_handler mRefusal;
  std::string mCallerAddress;
  endpoint_reach mReach;
  forward_offers mOffers;
  endpoint_connections mConnections;
  relay_names mNames;
  // Polls of engines of the pool in a row without an answer.
  std::map<pool_name, std::uint32_t> mUnanswered;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_REQUEST_FORWARDER_H_
