// Decides which workload kinds of a pool are separated from the other kinds,
// and how many engines each side of the partition (bulk or interactive) gets.
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
// streams. While it has prompts to prefill, one chunk precedes each token, so a
// stream event of several tokens is delayed by as many chunks. If the prefill
// lasts long enough, the pause between two events exceeds what the class of a
// stream allows.
//
// The separated kinds are those with the longest prompts that together make up
// a quarter of the prefill work, provided that a few of their prompts in a row
// take longer to prefill than the streams of another kind may pause. If no
// stream is at risk, or only one workload kind arrives, nothing is separated,
// so that no engine is reserved for work that does not arrive. The urgency of a
// route does not matter: even if every route is urgent, long prompts make
// streams exceed short pause limits.
//
// A burst consists of either bulk or interactive work, so a fixed partition
// would have too few engines on that side. The partition therefore follows the
// arriving work. It is computed from sums over all instances, so that all
// instances get the same result without coordination. The partition moves only
// when one side is overloaded, by a ninth of the engines at a time and no
// sooner than `mMinMoveInterval` after the last move. This prevents
// oscillation, which must be avoided because each move interrupts the streams
// on the engines that change sides.
//
// Engines that run few requests at a time run out of slots before prefill
// saturates them. The partition then equalizes the fraction of slots in use on
// both sides, up to a target fraction. Above the target, the interactive side
// gets engines first.
//
// The target utilization is 25% for the interactive side and 50% for the bulk
// side. A burst doubles the utilization of either side, and on an engine that
// prefills half of the time, streams with short pause limits are late.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_ENGINE_PARTITION_H_
#define THORNHOLLOW_POLICY_PLACEMENT_ENGINE_PARTITION_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/placement/workload_kind.h"

namespace thornhollow {

struct engine_partition_settings
{
  // If false, all engines take both bulk and interactive work.
  bool mSeparate = true;
  // Minimum fraction of all prefill work that the separated workload kinds make
  // up. A smaller fraction comes from few prompts, which don't delay the
  // streams much.
  double mMinBulkFraction = 0.25;
  // Workload kinds are separated if this many of their prompts in a row take
  // longer to prefill than the streams on the same engines may pause. On an
  // engine that prefills half of the time, so many prompts follow each other at
  // least once during most streams. A separated kind is merged again only when
  // even `mConsecutivePromptsToMerge` prompts take less time than that pause.
  double mConsecutivePrompts = 6;
  double mConsecutivePromptsToMerge = 12;
  // Minimum time between two moves of engines between the bulk and the
  // interactive side: longer than a stream lasts, shorter than a wave of
  // arrivals.
  duration mMinMoveInterval = Milliseconds(700);
  // A set of separated workload kinds is replaced only after the criteria have
  // selected a different set for this long (less soon after the first demand),
  // because streams that started before the change are on the wrong engines
  // until they end, which takes some seconds.
  duration mKindChangeDelay = Seconds(3);
  // Fraction of all engines that change sides in one move, at least one engine;
  // one of nine by default. When only one of ninety engines moved at a time, a
  // burst of eight seconds had ended before enough engines had moved.
  double mStepFraction = 0.11;
  // Target utilizations of the bulk and the interactive side, at which both
  // sides count as equally loaded.
  double mBulkUtilization = 0.5;
  double mInteractiveUtilization = 0.25;
  // Weight of the slots that interactive work uses beyond the target fraction
  // of slots in use. The first event of an interactive stream is due long
  // before another stream ends and frees a slot, so even a short queue makes
  // all interactive streams late. Bulk work can wait a little, and its excess
  // is rejected.
  double mExcessSlotWeight = 6;
  // The partition doesn't move while the load of the more loaded side is at
  // most this multiple of its target. After each move, the engines that changed
  // sides run work of both sides until their earlier streams have ended.
  double mMoveThreshold = 1;
  // The partition moves only if the move reduces the load of the more loaded
  // side by at least this factor.
  double mMinImprovement = 1.15;
  // Minimum number of engines on each side, as a fraction of all engines and as
  // a count. With fewer, the loss of one engine removes half of a side's
  // capacity or more.
  double mMinSideFraction = 0.11;
  std::size_t mMinSideEngines = 2;
  // Minimum number of engines for a separation. With fewer engines no workload
  // kind is separated: a side of one engine has no spare capacity during a long
  // prompt and no other engine to send work to.
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
  // Maximum number of requests that one engine runs at a time; 0 if unknown.
  std::size_t mSlotsPerEngine = 0;
  // Number of engines whose prefill is so slow that streams beside any prompt
  // are late. These engines are used for bulk work.
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

  // Number of engines for bulk work; all engines if no workload kind is
  // separated.
  std::size_t BulkEngines() const { return mBulkEngines; }
  bool IsPartitioned() const
  {
    return !mBulkKinds.empty() && mBulkEngines < mEngines;
  }
  // Whether work of this kind goes to the engines for bulk work.
  bool IsBulk(const workload_kind& aKind) const;

private:
  // Arriving work of the bulk and of the interactive side.
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
  // Fraction of the engines used for bulk work. Stored in addition to their
  // number, so that rounding does not shift the partition as engines join one
  // by one.
  double mBulkFraction = 1;
  std::optional<time_point> mLastMove;
  std::optional<time_point> mFirstDemandAt;
  // Since when the workload kinds selected for separation differ from the kinds
  // that are separated now.
  std::optional<time_point> mKindsDifferSince;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PLACEMENT_ENGINE_PARTITION_H_
