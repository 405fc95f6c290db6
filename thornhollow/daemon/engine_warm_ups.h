// What engines take while they warm up, on the own interface: this instance's
// part of the rate that their model declares.
//
//   engine_warm_ups warmUps(log, metrics, ownName);
//   warmUps.Configure(declared, now);
//   warmUps.OnReport(engine, report, now);
//   for (const auto& [engine, rate] : warmUps.TakeChanges(now)) { ... }
//
// Guards against engines that fall over when they come back: one that has just
// started has no load, so that all instances send to it at once. An engine
// states in its load report how long it still warms up. One that has not
// reported since it was last out of reach, or since its failure domain was out
// of service, is taken to be warming up for the declared length: it may have
// started again.
//
// The rate holds for all instances together; see daemon/bound_guard.h.
#ifndef THORNHOLLOW_DAEMON_ENGINE_WARM_UPS_H_
#define THORNHOLLOW_DAEMON_ENGINE_WARM_UPS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/recent_peak.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/declarations.h"
#include "thornhollow/daemon/bound_guard.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

// How many requests a second this instance may send to an engine; as many as
// the engine takes if unset.
struct engine_rate
{
  endpoint_name mEngine;
  std::optional<double> mRequestsPerSecond;

  friend bool operator==(const engine_rate&, const engine_rate&) = default;
};

class engine_warm_ups
{
public:
  // `aLog` and `aMetrics` must outlive this object.
  engine_warm_ups(json_log& aLog,
                  metrics& aMetrics,
                  const instance_name& aOwnName);

  // Takes the models' warm-ups and the domains out of service. Engines that are
  // new, or whose domain comes back, are taken to be warming up.
  void Configure(const declarations& aDeclared, time_point aNow);
  void OnReport(const endpoint_name& aEngine,
                const load_report& aReport,
                time_point aNow);
  // The engine can't be reached: its process may have ended, and the next one
  // is cold.
  void OnUnreachable(const endpoint_name& aEngine, time_point aNow);
  // Sets the names of the other instances that are alive. Call every 100 ms.
  void SetInstances(const std::vector<std::string>& aOthers, time_point aNow);

  // The engines whose rate is another one than at the last call; all of them
  // after a call of `Configure`.
  std::vector<engine_rate> TakeChanges(time_point aNow);
  // Number of engines that warm up.
  std::size_t WarmingUp() const { return mBounds.WarmingUp(); }

private:
  // For how long an instance that is gone still counts in the parts of the
  // others: it may live on the other side of a cut.
  static constexpr duration kInstanceRetention = Seconds(60);

  static endpoint_process_hash ProcessOf(const endpoint_name& aEngine);

  bound_guard mBounds;
  // Engines of models that declare a warm-up.
  std::set<endpoint_name> mEngines;
  std::set<pool_name> mPools;
  std::set<domain_name> mOutOfService;
  // Rates as of the last call of `TakeChanges`, of engines that have one.
  std::map<endpoint_name, double> mRates;
  // Whether the next call of `TakeChanges` returns all engines.
  bool mTellsAll = false;
  recent_peak mInstances{ kInstanceRetention };
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_ENGINE_WARM_UPS_H_
