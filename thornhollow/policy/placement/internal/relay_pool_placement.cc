#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

#include "thornhollow/base/hash.h"
#include "thornhollow/policy/placement/internal/prefill_cost.h"
#include "thornhollow/policy/placement/relay_pool.h"

namespace thornhollow {
namespace {

// Number of engines at the front of a session's order of preferred engines for
// which the penalty on uncached prefix blocks depends on the position. With the
// default settings, the third and all later engines have the full penalty.
constexpr std::size_t kPreferredRanks = 4;

} // namespace

relay_pool::record*
relay_pool::ChoosePlain(const std::vector<record*>& aCandidates)
{
  const auto cost = [this](const record* aRecord) {
    const bool sameDomain = aRecord->mEndpoint.mDomain == mOwnDomain;
    return 2 * aRecord->mInFlight + (sameDomain ? 0 : 1);
  };
  std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
  std::vector<record*> best;
  for (record* each : aCandidates) {
    const std::uint32_t candidateCost = cost(each);
    if (candidateCost < least) {
      best.clear();
      least = candidateCost;
    }
    if (candidateCost == least) {
      best.push_back(each);
    }
  }
  return best[mRandom() % best.size()];
}

std::vector<relay_pool::engine_estimate>
relay_pool::EstimateEngines(const request_profile& aRequest,
                            const std::vector<record*>& aCandidates,
                            time_point aNow) const
{
  const auto cachedOn = mAffinity.Lookup(aRequest.mSharedPrefix, aNow);
  const auto first = PreferredEngines(aRequest, aCandidates, kPreferredRanks);
  const double uncached = internal::PrefillCost(
    aRequest.mPromptTokens - aRequest.mSharedTokens, aRequest.mSharedTokens);
  const double sharedTokens =
    aRequest.mSharedTokens -
    (mPopularBlocks.CachedOnAll(
       aRequest.mFirstBlock, aCandidates.size(), mInstances, aNow)
       ? aRequest.mFirstBlockTokens
       : 0);
  std::vector<engine_estimate> estimates;
  estimates.reserve(aCandidates.size());
  for (record* each : aCandidates) {
    const auto rank =
      static_cast<std::size_t>(std::ranges::find(first, each) - first.begin());
    const double penalty =
      rank == first.size()
        ? mSettings.mMissPenalty
        : std::min(mSettings.mMissPenalty,
                   mSettings.mMissPenaltyStep * static_cast<double>(rank));
    engine_estimate estimate{ each };
    estimate.mSentBefore = std::ranges::count(cachedOn, each->mNumber) > 0;
    estimate.mPrefixCached = estimate.mSentBefore || rank == 0;
    const double missing =
      sharedTokens * MissProbability(estimate.mSentBefore, rank);
    const double secondsPerToken = SecondsPerToken(*each, aNow);
    const auto backlog = static_cast<double>(each->BacklogTokens());
    estimate.mPrefillTokens = uncached + missing;
    estimate.mWaitSeconds =
      (backlog + estimate.mPrefillTokens) * secondsPerToken;
    estimate.mCost =
      (backlog + uncached + missing * penalty) * secondsPerToken +
      OccupancySeconds(*each, aRequest);
    estimates.push_back(estimate);
  }
  return estimates;
}

relay_pool::record*
relay_pool::ChooseEngine(const request_profile& aRequest,
                         const std::vector<record*>& aCandidates,
                         const std::vector<endpoint_name>& aAmong,
                         time_point aNow,
                         relay_pick& aPick)
{
  // Which engine a session prefers follows from all candidates, also where the
  // choice is limited to a few. None of those may take new work by now.
  auto estimates = EstimateEngines(aRequest, aCandidates, aNow);
  const auto isOther = [&aAmong](const engine_estimate& aOne) {
    return std::ranges::count(aAmong, aOne.mRecord->mEndpoint.mName) == 0;
  };
  if (!std::ranges::all_of(estimates, isOther)) {
    std::erase_if(estimates, isOther);
  }
  const engine_estimate& best =
    *std::ranges::min_element(estimates, {}, &engine_estimate::mCost);
  const auto cachedOn = mAffinity.Lookup(aRequest.mSharedPrefix, aNow);
  aPick.mPrefillTokens = static_cast<std::uint32_t>(best.mPrefillTokens);
  aPick.mPrefixCached = best.mPrefixCached;
  aPick.mSentBefore = best.mSentBefore;
  aPick.mKnownPrefix = cachedOn.front() != prefix_affinity::kNoEndpoint;
  aPick.mBacklogTokens = best.mRecord->BacklogTokens();
  aPick.mExpectedWait =
    mSettings.mFirstEventOverhead + FromSeconds(best.mWaitSeconds);
  if (mSettings.mCopyFromTokens > 0 &&
      aRequest.mSharedTokens >= mSettings.mCopyFromTokens) {
    if (const record* from =
          CopySource(aRequest, cachedOn, *best.mRecord, aNow)) {
      aPick.mCopyFrom = from->mEndpoint.mAddress;
    }
  }
  return best.mRecord;
}

std::vector<endpoint_name>
relay_pool::Shortlist(const request_profile& aRequest,
                      std::size_t aCount,
                      time_point aNow)
{
  if (!mEngines) {
    return {};
  }
  const auto candidates = Candidates(aRequest, {}, aNow);
  auto estimates = EstimateEngines(aRequest, candidates, aNow);
  const std::size_t count = std::min(aCount, estimates.size());
  std::ranges::partial_sort(estimates,
                            estimates.begin() +
                              static_cast<std::ptrdiff_t>(count),
                            {},
                            &engine_estimate::mCost);
  std::vector<endpoint_name> names;
  names.reserve(count);
  for (std::size_t each = 0; each < count; ++each) {
    names.push_back(estimates[each].mRecord->mEndpoint.mName);
  }
  return names;
}

// Probability that a session's shared prefix blocks are not cached on an
// engine. `aSentHere` says whether this instance has sent the blocks to the
// engine; `aRank` is the engine's position, from 0, in the session's order of
// preferred engines.
double
relay_pool::MissProbability(bool aSentHere, std::size_t aRank) const
{
  if (aSentHere) {
    return 0;
  }
  return aRank == 0 ? 1 - mPrefixReuse.Probability(mInstances) : 1;
}

// Cost of the requests that an engine has in flight, in seconds: each delays
// the events of all others, and once all slots are occupied a new request waits
// until others have ended. Without this cost, a burst of short prompts would go
// to the one engine on which most of their sessions are cached. Its slots would
// fill up and the last requests wait, while slots of other engines stay free.
double
relay_pool::OccupancySeconds(const record& aRecord,
                             const request_profile& aRequest) const
{
  if (mSlots == 0) {
    return 0;
  }
  const auto slots = static_cast<double>(mSlots);
  const auto inFlight =
    static_cast<double>(aRecord.mInFlight + aRecord.mRemoteInFlight);
  const double taken = inFlight / slots;
  const double slowdown =
    ToSeconds(aRequest.mTarget) * mSettings.mOccupancyFraction * taken * taken;
  const slot_occupancy& occupancy = SideOf(aRequest) == engine_side::kBulk
                                      ? mBulkOccupancy
                                      : mInteractiveOccupancy;
  return slowdown + ToSeconds(occupancy.WaitFor(inFlight + 1, slots));
}

// Returns another engine on which the shared prefix blocks are estimated to be
// cached; nothing if they are estimated to be cached on `aChosen`.
const relay_pool::record*
relay_pool::CopySource(const request_profile& aRequest,
                       const prefix_affinity::endpoint_list& aCachedOn,
                       const record& aChosen,
                       time_point aNow) const
{
  if (std::ranges::count(aCachedOn, aChosen.mNumber) > 0) {
    return nullptr;
  }
  for (const std::uint32_t each : aCachedOn) {
    if (const record* found = ByNumber(each);
        found && CanServeCopy(*found, aChosen)) {
      return found;
    }
  }
  const record* previous = PreviousPreferredEngine(aRequest, aChosen, aNow);
  return previous == &aChosen ? nullptr : previous;
}

// Returns the session's preferred engine as it was before engines recently
// changed between the bulk and the interactive side of the partition.
const relay_pool::record*
relay_pool::PreviousPreferredEngine(const request_profile& aRequest,
                                    const record& aChosen,
                                    time_point aNow) const
{
  const engine_side side = SideOf(aRequest);
  const record* preferred = nullptr;
  std::uint64_t highest = 0;
  for (const auto& [name, each] : mRecords) {
    const std::uint64_t weight =
      CombineHash(aRequest.mSharedPrefix, each.mRank);
    if (CanServeCopy(each, aChosen) &&
        mSides.PreviousSide(each.mNumber, aNow) == side &&
        (preferred == nullptr || weight > highest)) {
      preferred = &each;
      highest = weight;
    }
  }
  return preferred;
}

// Whether the chosen engine may copy prefix blocks from the engine. Engines of
// another software version may keep them in another form. A failing engine may
// not answer the engine that requests the copy, and the relayed request would
// wait until the requesting engine times out.
bool
relay_pool::CanServeCopy(const record& aRecord, const record& aChosen)
{
  return aRecord.mHealth.State() != health_state::kFailing &&
         !aRecord.mEndpoint.mOutOfService &&
         aRecord.mEndpoint.mVersionHash == aChosen.mEndpoint.mVersionHash;
}

const relay_pool::record*
relay_pool::ByNumber(std::uint32_t aNumber) const
{
  const auto found = std::ranges::find_if(mRecords, [=](const auto& aEntry) {
    return aEntry.second.mNumber == aNumber;
  });
  return found == mRecords.end() ? nullptr : &found->second;
}

// Returns the first `aMaxCount` candidates in the session's order of preferred
// engines, which is the same on every instance.
std::vector<const relay_pool::record*>
relay_pool::PreferredEngines(const request_profile& aRequest,
                             const std::vector<record*>& aCandidates,
                             std::size_t aMaxCount)
{
  std::vector<std::pair<std::uint64_t, const record*>> order;
  order.reserve(aCandidates.size());
  for (const record* each : aCandidates) {
    order.emplace_back(CombineHash(aRequest.mSharedPrefix, each->mRank), each);
  }
  const std::size_t kept = std::min(aMaxCount, order.size());
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(kept);
  std::ranges::partial_sort(order, end, std::greater());
  std::vector<const record*> first;
  first.reserve(kept);
  for (auto at = order.begin(); at != end; ++at) {
    first.push_back(at->second);
  }
  return first;
}

} // namespace thornhollow
