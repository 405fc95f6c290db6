// Keeps the further attempts of all instances within the retry budget: connects
// policy/admission/shared_retry_budget.h to the log and the metrics.
//
//   retry_guard retries(settings, log, metrics);
//   retries.OnRequest(pool, now);
//   if (retries.Spend(pool, now)) { ... send the request once more ... }
//
#ifndef THORNHOLLOW_DAEMON_RETRY_GUARD_H_
#define THORNHOLLOW_DAEMON_RETRY_GUARD_H_

#include <cstddef>
#include <map>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/relay_settings.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/policy/admission/shared_retry_budget.h"

namespace thornhollow {

class retry_guard
{
public:
  // `aLog` and `aMetrics` must outlive the guard. The process starts at `aNow`.
  retry_guard(const shared_retry_settings& aSettings,
              json_log& aLog,
              metrics& aMetrics,
              time_point aNow);

  // A caller sent a request for this pool.
  void OnRequest(const pool_name& aPool, time_point aNow);
  // Takes one retry from the pool's budget. Returns false and takes nothing if
  // the budget is exhausted.
  bool Spend(const pool_name& aPool, time_point aNow);
  // Whether `Spend` would take one.
  bool MaySpend(const pool_name& aPool, time_point aNow);
  // See `shared_retry_budget::SetInstances`.
  void SetInstances(std::size_t aCount);

private:
  void OnExhausted(const pool_name& aPool, time_point aNow);

  json_log& mLog;
  metrics& mMetrics;
  time_point mStartedAt;
  std::size_t mInstances = 0;
  shared_retry_budget mBudget;
  // When the exhausted budget of a pool was last logged.
  std::map<pool_name, time_point> mLoggedAt;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_RETRY_GUARD_H_
