// Routes callers' requests through the scheduler and the request state machine
// to endpoints, and returns the responses. Single-threaded: everything runs on
// one io_context.
//
//   router route(io, settings, log, counted);
//   route.PutInForce(catalog);
//   route.Serve(exchange);
//
#ifndef THORNHOLLOW_DAEMON_ROUTER_H_
#define THORNHOLLOW_DAEMON_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/config/catalog.h"
#include "thornhollow/config/settings.h"
#include "thornhollow/daemon/crash_guard.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/key_gate.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/daemon/request_forwarder.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/policy/queues/scheduler.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct router_settings
{
  domain_name mOwnDomain;
  instance_name mOwnName;
  stage_timeouts mTimeouts;
  scheduler_settings mScheduler;
};

class router
{
public:
  // `aLog` and `aMetrics` must outlive the router.
  router(boost::asio::io_context& aIo,
         const router_settings& aSettings,
         json_log& aLog,
         metrics& aMetrics);
  router(const router&) = delete;
  router& operator=(const router&) = delete;
  ~router();

  // Requests with an idempotency key go through `aGate`, which must outlive the
  // router and whose listener must call `OnKeyRun` and `OnKeyRefused`.
  void SetKeyGate(key_gate* aGate);
  void OnKeyRun(ticket aTicket);
  void OnKeyRefused(ticket aTicket, error_kind aKind);

  // Sets the listener to call when an endpoint itself reports that it is
  // leaving.
  void OnEndpointLeaving(std::function<void(const endpoint_name&)> aListener);

  // Applies this catalog to new requests. Requests in progress keep the terms
  // of the catalog under which they began.
  void PutInForce(catalog_ptr aCatalog);

  // Answers the exchange exactly once, either immediately or later.
  void Serve(caller_exchange_ptr aExchange);

  void OnLoadReport(const endpoint_name& aEndpoint, const load_report& aReport);
  void OnEndpointState(const endpoint_name& aEndpoint, endpoint_state aState);
  // The endpoint did not answer when it was asked for its load.
  void OnLoadUnanswered(const endpoint_name& aEndpoint);

  // Keeps requests that end endpoints from doing so again.
  crash_guard& Crashes();

  // Has other instances serve requests whose endpoints can't be reached here.
  request_forwarder& Forwarder();
  // The answer to another instance's question whether this one serves such
  // requests.
  forward_offer OnForwardQuery(const forward_query& aQuery) const;

  // Returns the endpoints that this instance uses, with their estimated state.
  std::vector<endpoint_status> Endpoints() const;

  // Sets the entry instances of this domain. Takes effect with the next
  // catalog.
  void SetRouters(const instance_name& aOwn,
                  const std::vector<instance_name>& aRouters);
  // Sets the names of the other instances that are alive, with which this one
  // shares what endpoints take while they warm up. Call every 100 ms.
  void SetOtherInstances(const std::vector<instance_name>& aOthers);
  // Must be called every `clock_gap::kTickInterval`.
  void Tick();
  // `Pressure` returns, for each pool, which tiers wait too long at this
  // instance (the pool's pressure), to be reported to peers; `OnPeerPressure`
  // takes the highest pressure that peers reported for each pool.
  std::vector<pool_pressure> Pressure() const;
  void OnPeerPressure(const std::vector<pool_pressure>& aPressures);

  // Refuses all subsequent requests with `kDraining`.
  void BeginDrain();

  std::size_t InProgress() const;
  // Returns the requests held now, by pool. Iterates over all requests in
  // progress.
  std::map<pool_name, held_requests> HeldByPool() const;

  // Returns the response to a request that could not be read, and counts the
  // refusal.
  whole_reply AnswerUnreadable(error_kind aKind);

private:
  class core;
  std::unique_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_ROUTER_H_
