// Decides which workload kinds of a pool are separated from the others, and how
// many engines each side of the partition gets.
//
//   engine_partition partition(engine_partition_settings{});
//   partition.Observe(demand,
//                     { .mEngines = 9, .mPrefillTokensPerSecond = 60'000 },
//                     now);
//   if (partition.IsBulk(kind)) {
//     ... one of partition.BulkEngines() engines ...
//   }
//
// Load pattern: long prompts run beside streams that allow only short pauses.
// An engine prefills prompts in chunks between the decode steps of all its
// streams, so while it has prompts to prefill, each event takes as many chunks
// as it has tokens. If the prefill lasts, streams that promise shorter pauses
// are late.
//
// The separated kinds are those with the longest prompts that together make up
// a quarter of the prefill work, provided that a few of their prompts in a row
// take longer to prefill than the streams of another kind may pause. Where no
// stream is at risk, or only one workload kind arrives, nothing is separated
// and no engine idles for work that does not come. The urgency of a route does
// not matter: where every route is urgent, long prompts still break short
// pauses.
//
// A fixed partition is wrong during a burst, which consists of one kind or the
// other, so the partition follows the arriving work. It is computed from sums
// over all instances, so that they agree on it without asking each other. It
// moves only when one side is overloaded, by a ninth of the engines at a time
// and no sooner than `mMinMoveInterval` after the last move. This prevents
// oscillation: each move interrupts the streams on the engines that change
// sides.
//
// Engines that run few requests at a time run out of slots before prefill
// saturates them. Both sides are then filled equally up to a fraction of their
// slots; beyond it, the interactive side gets engines first.
//
// The interactive side is targeted at 25% utilization and the bulk side at 50%:
// a burst doubles either, and short streams pause on an engine that is busy
// half of the time.
#ifndef THORNHOLLOW_POLICY_ENGINE_PARTITION_H_
#define THORNHOLLOW_POLICY_ENGINE_PARTITION_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/workload_kind.h"

namespace thornhollow {

struct engine_partition_settings
{
  // If false, all engines take all work.
  bool mSeparate = true;
  // Minimum fraction of all prefill work that the separated kinds make up. The
  // rest comes from few prompts, which fit beside the streams.
  double mMinBulkFraction = 0.25;
  // Kinds are separated if this many of their prompts in a row take longer to
  // prefill than the streams beside them may pause. Engines that are busy half
  // of the time see such a run of prompts during the life of most streams. A
  // separated kind stays separated until even twice as many prompts take less
  // time.
  double mConsecutivePrompts = 6;
  double mConsecutivePromptsToMerge = 12;
  // Minimum time between two moves: longer than a stream lasts, shorter than a
  // wave of arrivals.
  duration mMinMoveInterval = Milliseconds(700);
  // A different set of kinds must qualify for this long before it replaces the
  // current one. Streams that started earlier are on the wrong engines until
  // they end, which takes some seconds.
  duration mKindChangeDelay = Seconds(3);
  // Fraction of all engines that change sides in one move, at least one engine;
  // one of nine by default. Moving one of ninety engines at a time, the
  // partition had not yet followed a burst of eight seconds when it ended.
  double mStepFraction = 0.11;
  // Utilizations at which both sides count as equally loaded.
  double mBulkUtilization = 0.5;
  double mInteractiveUtilization = 0.25;
  // Weight of the slots that interactive work uses beyond the target fraction.
  // Its first event is due long before a stream frees a slot, so even a short
  // queue makes all of it late. Bulk work can wait a little, and its excess is
  // rejected.
  double mExcessSlotWeight = 6;
  // No move while the load of the more loaded side is at most this multiple of
  // its target. Each move mixes the work of both sides on an engine until the
  // streams there have ended.
  double mMoveThreshold = 1;
  // The partition moves only if that reduces the load by at least this factor.
  double mMinImprovement = 1.15;
  // Minimum number of engines on each side, as a fraction of all and as a
  // count. With fewer, the loss of one engine removes half of a side's capacity
  // or more.
  double mMinSideFraction = 0.11;
  std::size_t mMinSideEngines = 2;
  // With fewer engines nothing is separated: a side of one engine has no
  // capacity for a long prompt and no alternative.
  std::size_t mMinEngines = 4;

  friend bool operator==(const engine_partition_settings&,
                         const engine_partition_settings&) = default;
};

// Capacity of a pool's engines.
struct pool_capacity
{
  std::size_t mEngines = 0;
  // Mean prefill rate of one engine, in tokens per second.
  double mPrefillTokensPerSecond = 0;
  // Requests that one engine runs at a time; 0 if unknown.
  std::size_t mSlotsPerEngine = 0;
  // Engines whose prefill is so slow that streams beside any prompt are late.
  // They are used for bulk work.
  std::size_t mSlowEngines = 0;

  friend bool operator==(const pool_capacity&, const pool_capacity&) = default;
};

class engine_partition
{
public:
  explicit engine_partition(const engine_partition_settings& aSettings);

  void Observe(const demand_by_kind& aDemand,
               const pool_capacity& aCapacity,
               time_point aNow);

  // Number of engines for bulk work; all of them if nothing is separated.
  std::size_t BulkEngines() const { return mBulkEngines; }
  bool IsPartitioned() const
  {
    return !mBulkKinds.empty() && mBulkEngines < mEngines;
  }
  // Whether work of this kind goes to the engines for bulk work.
  bool IsBulk(const workload_kind& aKind) const;

private:
  // Arriving work, by the side that it goes to.
  struct side_demands
  {
    demand_by_kind mBulk;
    demand_by_kind mInteractive;
  };

  std::vector<workload_kind> KindsToSeparate(
    demand_by_kind aArriving,
    const pool_capacity& aCapacity) const;
  void UpdateBulkKinds(const demand_by_kind& aArriving,
                       const pool_capacity& aCapacity,
                       time_point aNow);
  void UpdateBulkEngines(const demand_by_kind& aArriving,
                         const pool_capacity& aCapacity,
                         time_point aNow);
  duration KindChangeDelay(time_point aNow) const;
  side_demands SplitBySide(const demand_by_kind& aArriving) const;
  // Load of the more loaded side if `aBulk` engines are used for bulk work.
  double MaxLoad(const side_demands& aDemands,
                 std::size_t aBulk,
                 const pool_capacity& aCapacity) const;
  std::size_t BestBulkEngines(const side_demands& aDemands,
                              const pool_capacity& aCapacity) const;
  void RecordMove(time_point aNow);
  std::size_t StepSize() const;
  std::size_t MinSideEngines() const;
  std::size_t MinBulkEngines(const pool_capacity& aCapacity) const;

  engine_partition_settings mSettings;
  std::size_t mEngines = 0;
  std::size_t mBulkEngines = 0;
  std::vector<workload_kind> mBulkKinds;
  // Stored in addition to the count, so that rounding does not shift the
  // partition as engines join one by one.
  double mBulkFraction = 1;
  std::optional<time_point> mLastMove;
  std::optional<time_point> mFirstDemandAt;
  // Since when the kinds to separate differ from the current ones.
  std::optional<time_point> mKindsDifferSince;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENGINE_PARTITION_H_
