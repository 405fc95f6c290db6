#include "thornhollow/policy/placement/engine_partition.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <span>

namespace thornhollow {
namespace {

// Target for the mean fraction of an engine's slots that are in use. Each
// further request slows down all other requests, and the remaining slots are
// needed for requests that arrive at about the same time.
constexpr double kTargetSlotUse = 0.6;
// Fraction of engines for bulk work when workload kinds are first separated,
// when too little demand has been observed to compute the fraction. Above one
// half, because long prompts need more engines.
constexpr double kInitialBulkFraction = 0.62;
// Minimum request rate of a workload kind; kinds with a lower rate are ignored.
constexpr double kMinRequestsPerSecond = 0.05;

// Load targets of one side of the partition (bulk or interactive). `SideLoad`
// returns the load relative to these targets.
struct side_targets
{
  // Target fraction of their time that the engines of the side spend on
  // prefill.
  double mUtilization = 0;
  // Weight of slots in use beyond `kTargetSlotUse`, relative to the weight of
  // slots in use below it.
  double mExcessSlotWeight = 1;
};

// Returns the slots in use, relative to `kTargetSlotUse` of the slots of
// `aEngines` engines; 0 if their number is not known.
double
SlotUse(std::span<const kind_demand> aKinds,
        std::size_t aEngines,
        const pool_capacity& aCapacity)
{
  double inFlight = 0;
  for (const kind_demand& each : aKinds) {
    inFlight += each.mOpen;
  }
  const double slots = static_cast<double>(aEngines) *
                       static_cast<double>(aCapacity.mSlotsPerEngine) *
                       kTargetSlotUse;
  return slots > 0 ? inFlight / slots : 0;
}

// Returns the load of `aEngines` engines that serve the given workload kinds. A
// load of 1 means that the engines' prefill utilization or the number of their
// slots in use reaches its target.
double
SideLoad(std::span<const kind_demand> aKinds,
         std::size_t aEngines,
         const side_targets& aTargets,
         const pool_capacity& aCapacity)
{
  double tokens = 0;
  for (const kind_demand& each : aKinds) {
    tokens += each.mTokens;
  }
  const auto engines = static_cast<double>(aEngines);
  const double slotUse = SlotUse(aKinds, aEngines, aCapacity);
  const double excess = std::max(slotUse - 1, 0.0);
  return std::max(tokens / (engines * aCapacity.mPrefillTokensPerSecond *
                            aTargets.mUtilization),
                  std::min(slotUse, 1.0) + excess * aTargets.mExcessSlotWeight);
}

std::size_t
RoundedFraction(double aFraction, std::size_t aEngines)
{
  return static_cast<std::size_t>(
    std::lround(aFraction * static_cast<double>(aEngines)));
}

// Returns the mean prompt size in tokens, where each prompt is weighted by its
// size: the mean, over all prefilled tokens, of the size of the prompt that the
// token belongs to.
double
WeightedTokens(const kind_demand& aKind)
{
  return aKind.mSquaredTokensPerSecond / std::max(aKind.mTokens, 1.0);
}

} // namespace

engine_partition::engine_partition(const engine_partition_settings& aSettings)
  : mSettings(aSettings)
{
}

void
engine_partition::Observe(const demand_by_kind& aDemand,
                          const pool_capacity& aCapacity,
                          time_point aNow)
{
  if (!mSettings.mSeparate || aCapacity.mEngines < mSettings.mMinEngines) {
    mEngines = aCapacity.mEngines;
    mBulkEngines = aCapacity.mEngines;
    mBulkKinds.clear();
    return;
  }
  if (mEngines != aCapacity.mEngines) {
    mEngines = aCapacity.mEngines;
    mBulkEngines = std::clamp<std::size_t>(
      RoundedFraction(mBulkFraction, mEngines),
      mBulkKinds.empty() ? 1 : MinSideEngines(),
      mBulkKinds.empty() ? mEngines : mEngines - MinSideEngines());
  }
  demand_by_kind arriving;
  std::ranges::copy_if(
    aDemand, std::back_inserter(arriving), [](const kind_demand& aOne) {
      return aOne.mRequests >= kMinRequestsPerSecond;
    });
  if (!arriving.empty() && aCapacity.mPrefillTokensPerSecond > 0) {
    mFirstDemandAt = mFirstDemandAt.value_or(aNow);
    UpdateBulkKinds(arriving, aCapacity, aNow);
    UpdateBulkEngines(arriving, aCapacity, aNow);
  }
}

// Returns the workload kinds with the longest prompts that together make up at
// least `mMinBulkFraction` of all prefill work, if a few of their prompts in a
// row take longer to prefill than the streams of another kind may pause. If
// they don't, returns no kinds.
std::vector<workload_kind>
engine_partition::KindsToSeparate(demand_by_kind aArriving,
                                  const pool_capacity& aCapacity) const
{
  std::ranges::sort(aArriving, std::ranges::greater(), WeightedTokens);
  double all = 0;
  for (const kind_demand& each : aArriving) {
    all += each.mTokens;
  }
  std::vector<workload_kind> bulk;
  double bulkTokens = 0;
  double shortest = 0;
  std::size_t at = 0;
  for (; at < aArriving.size() && bulkTokens < all * mSettings.mMinBulkFraction;
       ++at) {
    bulkTokens += aArriving[at].mTokens;
    shortest = WeightedTokens(aArriving[at]);
    bulk.push_back(aArriving[at].mKind);
  }
  const double prompts = mBulkKinds.empty()
                           ? mSettings.mConsecutivePrompts
                           : mSettings.mConsecutivePromptsToMerge;
  const double prefillSeconds =
    shortest / aCapacity.mPrefillTokensPerSecond * prompts;
  const bool breaksPauses =
    std::any_of(aArriving.begin() + static_cast<std::ptrdiff_t>(at),
                aArriving.end(),
                [prefillSeconds](const kind_demand& aOne) {
                  return aOne.mKind.mPause > duration::zero() &&
                         ToSeconds(aOne.mKind.mPause) < prefillSeconds;
                });
  if (!breaksPauses) {
    bulk.clear();
  }
  std::sort(bulk.begin(), bulk.end());
  return bulk;
}

void
engine_partition::UpdateBulkKinds(const demand_by_kind& aArriving,
                                  const pool_capacity& aCapacity,
                                  time_point aNow)
{
  std::vector<workload_kind> bulk = KindsToSeparate(aArriving, aCapacity);
  if (bulk == mBulkKinds) {
    mKindsDifferSince.reset();
    return;
  }
  if (!mKindsDifferSince) {
    mKindsDifferSince = aNow;
  }
  if (!mBulkKinds.empty() &&
      aNow - *mKindsDifferSince < KindChangeDelay(aNow)) {
    return;
  }
  mKindsDifferSince.reset();
  mBulkKinds = std::move(bulk);
  if (mBulkKinds.empty()) {
    mBulkEngines = mEngines;
  } else if (mBulkEngines == mEngines) {
    mBulkEngines =
      std::clamp<std::size_t>(RoundedFraction(kInitialBulkFraction, mEngines),
                              MinBulkEngines(aCapacity),
                              mEngines - MinSideEngines());
  }
  RecordMove(aNow);
}

void
engine_partition::UpdateBulkEngines(const demand_by_kind& aArriving,
                                    const pool_capacity& aCapacity,
                                    time_point aNow)
{
  if (mBulkKinds.empty() ||
      (mLastMove && aNow - *mLastMove < mSettings.mMinMoveInterval)) {
    return;
  }
  const side_demands split = SplitBySide(aArriving);
  const double currentLoad = MaxLoad(split, mBulkEngines, aCapacity);
  const std::size_t best = BestBulkEngines(split, aCapacity);
  if (currentLoad <= mSettings.mMoveThreshold || best == mBulkEngines ||
      MaxLoad(split, best, aCapacity) * mSettings.mMinImprovement >
        currentLoad) {
    return;
  }
  mBulkEngines =
    best > mBulkEngines
      ? std::min(best, mBulkEngines + StepSize())
      : std::max(best, mBulkEngines - std::min(mBulkEngines, StepSize()));
  RecordMove(aNow);
}

// Returns how long a different set of workload kinds must qualify for
// separation before it replaces the current set. The delay is shorter soon
// after the first arrivals, because the first arrivals are a poor sample, and
// few streams have yet started on engines of the wrong side.
duration
engine_partition::KindChangeDelay(time_point aNow) const
{
  return std::min(mSettings.mKindChangeDelay, (aNow - *mFirstDemandAt) / 2);
}

engine_partition::side_demands
engine_partition::SplitBySide(const demand_by_kind& aArriving) const
{
  side_demands split;
  for (const kind_demand& each : aArriving) {
    (IsBulk(each.mKind) ? split.mBulk : split.mInteractive).push_back(each);
  }
  return split;
}

double
engine_partition::MaxLoad(const side_demands& aDemands,
                          std::size_t aBulk,
                          const pool_capacity& aCapacity) const
{
  const side_targets bulk{ mSettings.mBulkUtilization, 1 };
  const side_targets interactive{ mSettings.mInteractiveUtilization,
                                  mSettings.mExcessSlotWeight };
  return std::max(
    SideLoad(aDemands.mBulk, aBulk, bulk, aCapacity),
    SideLoad(aDemands.mInteractive, mEngines - aBulk, interactive, aCapacity));
}

std::size_t
engine_partition::BestBulkEngines(const side_demands& aDemands,
                                  const pool_capacity& aCapacity) const
{
  const std::size_t last = mEngines - MinSideEngines();
  // Slow engines are kept for bulk work only as long as the others have slots
  // for the interactive work: a stream that waits for a slot is later than one
  // beside a prompt on a slow engine.
  std::size_t first = MinBulkEngines(aCapacity);
  if (SlotUse(aDemands.mInteractive, mEngines - first, aCapacity) > 1) {
    first = MinSideEngines();
  }
  std::size_t best = std::clamp(mBulkEngines, first, last);
  double minLoad = MaxLoad(aDemands, best, aCapacity);
  for (std::size_t each = first; each <= last; ++each) {
    if (const double load = MaxLoad(aDemands, each, aCapacity);
        load < minLoad) {
      best = each;
      minLoad = load;
    }
  }
  return best;
}

void
engine_partition::RecordMove(time_point aNow)
{
  mBulkFraction =
    static_cast<double>(mBulkEngines) / static_cast<double>(mEngines);
  mLastMove = aNow;
}

bool
engine_partition::IsBulk(const workload_kind& aKind) const
{
  return std::binary_search(mBulkKinds.begin(), mBulkKinds.end(), aKind);
}

std::size_t
engine_partition::MinSideEngines() const
{
  const std::size_t part =
    RoundedFraction(mSettings.mMinSideFraction, mEngines);
  return std::min(std::max(part, mSettings.mMinSideEngines), mEngines / 2);
}

std::size_t
engine_partition::MinBulkEngines(const pool_capacity& aCapacity) const
{
  return std::clamp(aCapacity.mSlowEngines,
                    MinSideEngines(),
                    std::max(MinSideEngines(), mEngines / 2));
}

std::size_t
engine_partition::StepSize() const
{
  return std::max<std::size_t>(
    RoundedFraction(mSettings.mStepFraction, mEngines), 1);
}

} // namespace thornhollow
