// Carries callers' requests through the scheduler and the request state machine
// to endpoints and back. Single-threaded: everything runs on one io_context.
//
//   router route(io, settings, log, counted);
//   route.PutInForce(catalog, version);
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
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/key_gate.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/policy/scheduler.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct router_settings
{
  domain_name mOwnDomain;
  stage_timeouts mTimeouts;
  scheduler_settings mScheduler;
};

class router
{
public:
  // `aLog` and `aMetrics` outlive the router.
  router(boost::asio::io_context& aIo,
         const router_settings& aSettings,
         json_log& aLog,
         metrics& aMetrics);
  router(const router&) = delete;
  router& operator=(const router&) = delete;
  ~router();

  // Requests with an idempotency key go through `aGate`, which outlives the
  // router and reports to `OnKeyRun` and `OnKeyRefused`.
  void SetKeyGate(key_gate* aGate);
  void OnKeyRun(ticket aTicket);
  void OnKeyRefused(ticket aTicket, error_kind aKind);

  // `aListener` hears of each endpoint that said itself that it leaves.
  void OnEndpointLeaving(std::function<void(const endpoint_name&)> aListener);

  // New requests follow this catalog; those in progress keep their terms.
  void PutInForce(catalog_ptr aCatalog);

  // Answers the exchange, now or later, exactly once.
  void Serve(caller_exchange_ptr aExchange);

  void OnLoadReport(const endpoint_name& aEndpoint, const load_report& aReport);
  void OnEndpointState(const endpoint_name& aEndpoint, endpoint_state aState);

  // The endpoints that this instance works with, as it sees them.
  std::vector<endpoint_status> Endpoints() const;

  // Entry instances of the own domain; takes effect with the next catalog.
  void SetRouters(const instance_name& aOwn,
                  const std::vector<instance_name>& aRouters);
  // To be called every `clock_gap::kTickEvery`.
  void Tick();
  // How tight each pool is here, for peers; and the tightest that they said.
  std::vector<pool_pressure> Pressure() const;
  void OnPeerPressure(const std::vector<pool_pressure>& aPressures);

  // From now on each new request is refused as `kDraining`.
  void BeginDrain();

  std::size_t InProgress() const;
  // What is held now, by pool. Looks at every request in progress.
  std::map<pool_name, held_requests> HeldByPool() const;

  // The answer to a request that could not be read; counts it.
  whole_reply AnswerUnreadable(error_kind aKind);

private:
  class core;
  std::unique_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_ROUTER_H_
