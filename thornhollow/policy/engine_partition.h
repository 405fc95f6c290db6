// Which kinds of work a pool's engines keep apart, and how many engines each
// side gets.
//
//   engine_border border(engine_border_settings{});
//   border.Observe(demand, { .mEngines = 9, .mReadPerSecond = 60'000 }, now);
//   if (border.IsBulk(kind)) { ... one of border.Bulk() engines ... }
//
// Load pattern: long prompts beside streams that may not pause. An engine reads
// prompts in chunks between the steps of all its streams, so while it has
// prompts to read each event takes as many chunks as it has tokens. Streams
// that promise shorter pauses are late then, if the reading lasts.
//
// Kept apart are the longest kinds that make up a quarter of the reading, if a
// few of their prompts in a row take longer to read than another kind's streams
// may pause. Where no stream is in danger, or only one kind of work comes,
// nothing is kept apart and no engine waits for work that doesn't come. How
// urgent a route is doesn't decide: where every route is, long prompts still
// break short pauses.
//
// A fixed border is wrong in a burst, which is of one kind or the other. So the
// border follows what arrives. It is worked out from sums over all
// instances, so they agree on it without asking each other; and it moves only
// where one side is too full, by a ninth of the engines at a time, no sooner
// than `mHold` after the last move, so that it doesn't flap: each move breaks
// the streams on the engines that change sides.
//
// Engines that run few requests at a time are short of slots before they are
// busy reading. Both sides are then filled alike up to a share of their slots;
// beyond it the interactive side gets engines first.
//
// The interactive side is to be busy 25% of the time where the bulk one is busy
// 50%: a burst doubles either, and short streams pause on an engine that is
// busy half of the time.
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
  // False: all engines take all work.
  bool mSeparate = true;
  // Of all reading, what the kinds that are kept apart make up at least: the
  // rest is what few prompts do, and finds room beside the streams.
  double mMinBulkFraction = 0.25;
  // So many prompts in a row must take longer to read than streams beside them
  // may pause: engines that are busy for half of the time have such rows in the
  // life of most streams. What is kept apart stays so until even twice as many
  // take less.
  double mConsecutivePrompts = 6;
  double mConsecutivePromptsToMerge = 12;
  // Between two moves: a wave of arrivals takes longer, a stream less.
  duration mMinMoveInterval = Milliseconds(700);
  // For so long other kinds must ask to be kept apart than are now: streams of
  // before are on the wrong engines until they have ended, which takes some
  // seconds.
  duration mKindChangeDelay = Seconds(3);
  // Engines that change sides in one move, as a part of all, one at least: one
  // of nine. By one of ninety at a time a burst of eight seconds was over
  // before the border had followed.
  double mStepFraction = 0.11;
  // Busy shares at which both sides count as equally loaded.
  double mBulkUtilization = 0.5;
  double mInteractiveUtilization = 0.25;
  // Slots that interactive work takes beyond the share that it should count for
  // so many times as much. Its first event is due long before a stream gives a
  // slot back, so that a short queue makes all of it late; bulk work can wait a
  // little, and what is too much of it is refused.
  double mExcessSlotWeight = 6;
  // No move while the fuller side is no fuller than this part of its busy
  // share: each one mixes the work of both sides on one engine until the
  // streams there have ended.
  double mMoveThreshold = 1;
  // Another border must be better by this factor before it is moved to.
  double mMinImprovement = 1.15;
  // Engines on either side at least, as a part of all and as a number: with
  // fewer the loss of one engine takes half of a side's room or more.
  double mMinSideFraction = 0.11;
  std::size_t mMinSideEngines = 2;
  // Below this many engines nothing is kept apart: a side of one has no room
  // for a long prompt and no second choice.
  std::size_t mMinEngines = 4;

  friend bool operator==(const engine_partition_settings&,
                         const engine_partition_settings&) = default;
};

// What is known of a pool's engines.
struct pool_capacity
{
  std::size_t mEngines = 0;
  // Prompt tokens that one reads in a second, in the mean.
  double mPrefillTokensPerSecond = 0;
  // Requests that one runs at a time; 0: not stated.
  std::size_t mSlotsPerEngine = 0;
  // Those that read so slowly that streams beside any prompt are late: they are
  // for bulk work.
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

  // Engines for bulk work; all of them where nothing is kept apart.
  std::size_t BulkEngines() const { return mBulkEngines; }
  bool IsPartitioned() const
  {
    return !mBulkKinds.empty() && mBulkEngines < mEngines;
  }
  // Whether work of this kind goes to the engines for bulk work.
  bool IsBulk(const workload_kind& aKind) const;

private:
  // What arrives, by where it goes.
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
  // How full the fuller side is with `aBulk` engines for bulk work.
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
  // Kept apart from the count, so that engines that join one by one don't shift
  // it by rounding.
  double mBulkFraction = 1;
  std::optional<time_point> mLastMove;
  std::optional<time_point> mFirstDemandAt;
  // Since when other kinds would be kept apart than are.
  std::optional<time_point> mKindsDifferSince;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENGINE_PARTITION_H_
