// Kinds of relayed work, as their routes declare them, and how much of each
// arrives.
//
//   work_meter meter;
//   meter.OnAsked(KindOf(work), 3'600, now);
//   meter.OnSent(KindOf(work), now);
//   meter.OnEnded(KindOf(work));
//   demand_sums sums = meter.Demand(now);
//   AddDemand(sums, others);                      // what other instances told
//
// All that placement decides for a whole pool follows from these sums, which
// instances tell each other; so they come to the same decisions without asking.
#ifndef THORNHOLLOW_POLICY_WORKLOAD_KIND_H_
#define THORNHOLLOW_POLICY_WORKLOAD_KIND_H_

#include <cstddef>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/faded_rate.h"

namespace thornhollow {

// Work of one kind has the same promises.
struct workload_kind
{
  // To the first event or the whole answer.
  duration mTarget{};
  // Between two events; zero: none is promised.
  duration mPause{};

  friend bool operator==(const workload_kind&, const workload_kind&) = default;
  friend bool operator<(const workload_kind& aLeft, const workload_kind& aRight)
  {
    return std::tie(aLeft.mTarget, aLeft.mPause) <
           std::tie(aRight.mTarget, aRight.mPause);
  }
};

// What arrives of a kind in a second.
struct kind_demand
{
  workload_kind mKind;
  double mRequests = 0;
  // Prompt tokens to be read for them.
  double mTokens = 0;
  // Sum of the squares of the same: long prompts among short ones weigh more.
  double mSquaredTokensPerSecond = 0;
  // Requests that are at engines now.
  double mOpen = 0;

  friend bool operator==(const kind_demand&, const kind_demand&) = default;
};

// Sorted by kind, each kind once.
using demand_by_kind = std::vector<kind_demand>;

// Adds `aOthers`, each figure times `aScale`.
void
AddDemand(demand_by_kind& aSums,
          const demand_by_kind& aOthers,
          double aScale = 1);

// What is known of a pool over several instances.
struct pool_view
{
  demand_by_kind mDemand;
  // Prompt tokens that an engine was seen to read in a second: the sum of what
  // instances saw, and how many did.
  double mPrefillRateSum = 0;
  double mPrefillRateCount = 0;

  friend bool operator==(const pool_view&, const pool_view&) = default;
};

void
AddView(pool_view& aSums, const pool_view& aOthers, double aScale = 1);

// Counts what callers ask this instance for.
class workload_meter
{
public:
  // Kinds held; more than the routes of a pool promise. What comes beyond them
  // isn't counted: a configuration with many different promises would fill the
  // messages between instances.
  static constexpr std::size_t kMaxKinds = 6;

  // A caller asks for it, and `aTokens` would have to be read.
  void OnRequest(const workload_kind& aKind, double aTokens, time_point aNow);
  void OnSent(const workload_kind& aKind, time_point aNow);
  void OnEnded(const workload_kind& aKind);

  demand_by_kind Demand(time_point aNow) const;

private:
  static constexpr double kSizeTimeConstantSeconds = 30;

  struct counts
  {
    faded_rate mRequests;
    faded_rate mTokens;
    // Sizes change with what callers do, not with how many call: they are taken
    // from many more prompts, as the few longest decide.
    faded_rate mSizes{ kSizeTimeConstantSeconds };
    faded_rate mSquaredSizes{ kSizeTimeConstantSeconds };
    std::size_t mInFlight = 0;
  };

  // What the rates, which begin at nothing, lack while this instance is new.
  double WarmUpFactor(time_point aNow) const;
  counts* FindOrAdd(const workload_kind& aKind, time_point aNow);

  std::map<workload_kind, counts> mKinds;
  std::optional<time_point> mFirstRequestAt;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_WORKLOAD_KIND_H_
