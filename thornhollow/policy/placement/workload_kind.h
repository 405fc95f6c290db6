// Workload kinds of relayed requests, as declared by their routes, and the
// demand of each kind.
//
//   workload_meter meter;
//   meter.OnRequest(KindOf(work), 3'600, now);
//   meter.OnSent(KindOf(work), now);
//   meter.OnEnded(KindOf(work));
//   demand_by_kind sums = meter.Demand(now);
//   AddDemand(sums, others);              // received from other instances
//
// All placement decisions for a whole pool follow from the demand summed over
// all instances. Instances exchange their demand and so reach the same
// decisions without asking each other.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_WORKLOAD_KIND_H_
#define THORNHOLLOW_POLICY_PLACEMENT_WORKLOAD_KIND_H_

#include <cstddef>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/decaying_rate.h"

namespace thornhollow {

// A workload kind: the latency targets that a group of requests has in common.
struct workload_kind
{
  // Target for the time to the first event or to the complete response.
  duration mTarget{};
  // Maximum pause between two events of a response; zero if the route declares
  // no maximum.
  duration mPause{};

  friend bool operator==(const workload_kind&, const workload_kind&) = default;
  friend bool operator<(const workload_kind& aLeft, const workload_kind& aRight)
  {
    return std::tie(aLeft.mTarget, aLeft.mPause) <
           std::tie(aRight.mTarget, aRight.mPause);
  }
};

// Rates and number of the requests of one workload kind.
struct kind_demand
{
  workload_kind mKind;
  // Requests of this workload kind received per second.
  double mRequests = 0;
  // Prompt tokens per second to prefill for requests of this workload kind.
  double mTokens = 0;
  // Sum of the squared prompt sizes per second, in tokens squared, so that long
  // prompts among short ones weigh more.
  double mSquaredTokensPerSecond = 0;
  // Number of requests of this workload kind currently at engines.
  double mOpen = 0;

  friend bool operator==(const kind_demand&, const kind_demand&) = default;
};

// Demand of several workload kinds, sorted by kind, without duplicates.
using demand_by_kind = std::vector<kind_demand>;

// Adds `aOthers` to `aSums`, each value multiplied by `aScale`.
void
AddDemand(demand_by_kind& aSums,
          const demand_by_kind& aOthers,
          double aScale = 1);

// State of a pool, summed over several instances.
struct pool_view
{
  demand_by_kind mDemand;
  // Prefill rate of one engine in tokens per second: the sum of the rates that
  // instances measured, and the number of instances that measured one.
  double mPrefillRateSum = 0;
  double mPrefillRateCount = 0;

  friend bool operator==(const pool_view&, const pool_view&) = default;
};

void
AddView(pool_view& aSums, const pool_view& aOthers, double aScale = 1);

// Measures, for each workload kind, the rates of requests and prompt tokens
// that this instance receives from callers, and the requests at engines.
class workload_meter
{
public:
  // Maximum number of workload kinds measured, which is more than the routes of
  // a pool usually declare. Further kinds are not counted, because the demand
  // of every kind is sent to all other instances, and many different targets in
  // a configuration would make these messages too large.
  static constexpr std::size_t kMaxKinds = 6;

  // A caller sent a request of this kind for which `aTokens` prompt tokens
  // would have to be prefilled.
  void OnRequest(const workload_kind& aKind, double aTokens, time_point aNow);
  void OnSent(const workload_kind& aKind, time_point aNow);
  void OnEnded(const workload_kind& aKind);

  demand_by_kind Demand(time_point aNow) const;

private:
  static constexpr double kSizeTimeConstantSeconds = 30;

  struct counts
  {
    decaying_rate mRequests;
    decaying_rate mTokens;
    // Prompt sizes are averaged over a longer time than rates, because a few
    // very long prompts dominate the average. Unlike rates, prompt sizes do not
    // change with the number of callers.
    decaying_rate mSizes{ kSizeTimeConstantSeconds };
    decaying_rate mSquaredSizes{ kSizeTimeConstantSeconds };
    std::size_t mInFlight = 0;
  };

  // Factor that corrects the measured rates shortly after the first request,
  // because decaying rates start at zero and rise slowly.
  double WarmUpFactor(time_point aNow) const;
  counts* FindOrAdd(const workload_kind& aKind, time_point aNow);

  std::map<workload_kind, counts> mKinds;
  std::optional<time_point> mFirstRequestAt;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PLACEMENT_WORKLOAD_KIND_H_
