#include "thornhollow/policy/placement/endpoint_table.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace thornhollow {
namespace {

using internal::endpoint_record;
using internal::member_state;
using internal::pool_index;

// Interval at which an endpoint without a free slot is re-evaluated while the
// weight of its load report decreases with age.
constexpr duration kRecheckInterval = Milliseconds(250);

// Maximum number of stored endpoint states. If more states are stored, the
// states of undeclared endpoints are dropped. Far above the 850 endpoints of
// the largest deployment.
constexpr std::size_t kMaxRetainedStates = 4096;

constexpr std::array<pool_index::domain_rank, 2> kRanks{
  pool_index::kOwnDomain,
  pool_index::kOtherDomain
};

} // namespace

endpoint_table::endpoint_table(const endpoint_table_settings& aSettings,
                               std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mAffinity(aSettings.mPrefix)
  , mLengths(aSettings.mLength)
{
  // Until `SetRouters` sets the instance's name, the subset is chosen by the
  // seed, so that instances have different subsets.
  mSubsetContext.mOwn = instance_name(std::to_string(aSeed));
}

void
endpoint_table::SetRouters(const instance_name& aOwn,
                           const std::vector<instance_name>& aRouters)
{
  mSubsetContext.mOwn = aOwn;
  mSubsetContext.mRouters = aRouters;
}

void
endpoint_table::Configure(const declarations& aDeclared,
                          const domain_name& aOwnDomain,
                          time_point aNow)
{
  for (std::optional<entry>& each : mEntries) {
    if (each) {
      each->mRecord.Undeclare();
      each->mPools.clear();
    }
  }
  mSubsetContext.mDomain = aOwnDomain;
  TakeOutOfService(aDeclared, aNow);
  mPoolsWithWarmUp.clear();
  for (const model& each : aDeclared.mModels) {
    if (each.mWarmUp.LimitsRequests()) {
      mPoolsWithWarmUp.insert(PoolOf(each.mName));
    }
  }
  AddToPools(aDeclared);
  mLengths.Configure(aDeclared);
  DropUnused(aNow);
  for (std::optional<entry>& each : mEntries) {
    if (each) {
      Refresh(*each, aNow);
    }
  }
}

void
endpoint_table::AddToPools(const declarations& aDeclared)
{
  std::unordered_map<pool_name, std::vector<const endpoint*>> serving;
  std::unordered_set<endpoint_name> names;
  for (const endpoint& each : aDeclared.mEndpoints) {
    names.insert(each.mName);
    for (const pool_name& pool : each.mPools) {
      serving[pool].push_back(&each);
    }
  }
  // The platform's list may include an endpoint that is undeclared for a while.
  // If the endpoint's state were dropped, it would count as live when declared
  // again.
  if (mNonLiveStates.size() > kMaxRetainedStates) {
    std::erase_if(mNonLiveStates, [&names](const auto& aEach) {
      return !names.contains(aEach.first);
    });
  }
  std::erase_if(mPools, [&serving](const auto& aEach) {
    return !serving.contains(aEach.first);
  });
  for (auto& [name, pool] : mPools) {
    pool.mIndex.Clear();
  }
  for (auto& [name, endpoints] : serving) {
    KeepInService(endpoints);
    const bool isService = std::ranges::any_of(
      aDeclared.mServices, [&pool = name](const plain_service& aEach) {
        return PoolOf(aEach.mName) == pool;
      });
    AddToPool(name, endpoints, !isService);
  }
}

void
endpoint_table::TakeOutOfService(const declarations& aDeclared, time_point aNow)
{
  const std::set<domain_name> out = DomainsOutOfService(aDeclared);
  mOutOfService.Retain(out);
  for (const domain_name& each : out) {
    mOutOfService.Take(each, aNow);
  }
}

// Endpoints that are out of service are left out of the pool, so that this
// instance's subset consists of others, unless there are no others.
void
endpoint_table::KeepInService(std::vector<const endpoint*>& aServing) const
{
  const auto isOut = [this](const endpoint* aEndpoint) {
    return mOutOfService.Contains(aEndpoint->mDomain);
  };
  if (!std::ranges::all_of(aServing, isOut)) {
    std::erase_if(aServing, isOut);
  }
}

void
endpoint_table::AddToPool(const pool_name& aPool,
                          const std::vector<const endpoint*>& aServing,
                          bool aHonoursTiers)
{
  std::vector<subset_candidate> candidates;
  candidates.reserve(aServing.size());
  for (const endpoint* each : aServing) {
    candidates.push_back({ each->mName, each->mDomain });
  }
  pool_index& index = mPools[aPool].mIndex;
  for (const std::size_t each :
       ChooseSubset(candidates, mSubsetContext, mSettings.mSubset)) {
    const endpoint& declared = *aServing[each];
    const endpoint_number number = Declare(declared, aPool, aHonoursTiers);
    const bool isOwn = declared.mDomain == mSubsetContext.mDomain;
    const std::uint32_t member = index.Add(
      number, isOwn ? pool_index::kOwnDomain : pool_index::kOtherDomain);
    mEntries[number]->mPools.push_back({ &index, member });
  }
}

endpoint_table::endpoint_number
endpoint_table::Declare(const endpoint& aDeclared,
                        const pool_name& aPool,
                        bool aHonoursTiers)
{
  const bool isNew = !mNumbers.contains(aDeclared.mName);
  const endpoint_number number = NumberFor(aDeclared, aHonoursTiers);
  endpoint_record& record = mEntries[number]->mRecord;
  const bool isOut = mOutOfService.Contains(aDeclared.mDomain);
  const bool isBack = record.IsOutOfService() && !isOut;
  record.SetOutOfService(isOut);
  if ((isNew || isBack) && mPoolsWithWarmUp.contains(aPool)) {
    record.SetRequestRate(0, time_point());
  }
  return number;
}

endpoint_table::endpoint_number
endpoint_table::NumberFor(const endpoint& aDeclared, bool aHonoursTiers)
{
  if (const auto known = mNumbers.find(aDeclared.mName);
      known != mNumbers.end()) {
    mEntries[known->second]->mRecord.Declare(aDeclared, aHonoursTiers);
    return known->second;
  }
  if (mFreeNumbers.empty()) {
    mFreeNumbers.push_back(static_cast<endpoint_number>(mEntries.size()));
    mEntries.emplace_back();
  }
  const endpoint_number number = mFreeNumbers.back();
  mFreeNumbers.pop_back();
  mEntries[number].emplace(entry{
    endpoint_record(mSettings.mRecord, aDeclared, aHonoursTiers), {}, {} });
  if (const auto state = mNonLiveStates.find(aDeclared.mName);
      state != mNonLiveStates.end()) {
    mEntries[number]->mRecord.SetState(state->second, time_point{});
  }
  mNumbers.emplace(aDeclared.mName, number);
  return number;
}

void
endpoint_table::DropUnused(time_point aNow)
{
  for (endpoint_number number = 0; number < mEntries.size(); ++number) {
    std::optional<entry>& each = mEntries[number];
    if (!each || each->mRecord.IsDeclared()) {
      continue;
    }
    // An endpoint with requests in flight is kept until these requests end, so
    // that they are counted. An endpoint that wants no new work is kept for so
    // long, so that it gets none if it is declared again in the meantime.
    if (each->mRecord.InFlight() == 0 && !each->mRecord.NoNewWorkUntil(aNow)) {
      mNumbers.erase(each->mRecord.Declared().mName);
      mAffinity.RemoveEndpoint(number);
      each.reset();
      mFreeNumbers.push_back(number);
    }
  }
}

std::optional<endpoint_name>
endpoint_table::Choose(const work_item& aItem,
                       std::span<const endpoint_name> aTried,
                       time_point aNow)
{
  Advance(aNow);
  const auto pool = mPools.find(aItem.mPool);
  if (pool == mPools.end()) {
    return std::nullopt;
  }
  search query = BeginSearch(aItem, aTried, pool->second, aNow);
  ConsiderPrefixHits(query);
  for (const pool_index::domain_rank rank : kRanks) {
    Sample(rank, query);
  }
  for (const pool_index::domain_rank rank : kRanks) {
    if (!query.mBest) {
      Scan(rank, query);
    }
  }
  return query.mBest
           ? std::optional(mEntries[*query.mBest]->mRecord.Declared().mName)
           : std::nullopt;
}

endpoint_table::search
endpoint_table::BeginSearch(const work_item& aItem,
                            std::span<const endpoint_name> aTried,
                            pool_state& aPool,
                            time_point aNow)
{
  search query{ aItem, aTried, aPool, {}, {}, false, false, aNow, {}, 0 };
  query.mSize.mPromptTokens = aItem.mPromptTokens;
  query.mSize.mOutputTokens = mLengths.Expected(aItem);
  query.mCachedAt = mAffinity.Lookup(aItem.mPrefix, aNow);
  query.mAvoidTried = !aTried.empty() && !AllServingTried(aPool, aTried);
  if (!mLengths.IsLong(aItem)) {
    aPool.mLastShortWork = aNow;
  } else if (mSettings.mLimitLongWork && aPool.mLastShortWork) {
    query.mLimitLong =
      aNow - *aPool.mLastShortWork < mSettings.mShortWorkWindow;
  }
  return query;
}

bool
endpoint_table::AllServingTried(const pool_state& aPool,
                                std::span<const endpoint_name> aTried)
{
  std::uint32_t tried = 0;
  for (auto each = aTried.begin(); each != aTried.end(); ++each) {
    // An endpoint may have been tried more than once.
    if (std::find(aTried.begin(), each, *each) != each) {
      continue;
    }
    const entry* found = Find(*each);
    const bool serves = found != nullptr &&
                        MemberOf(*found, aPool).has_value() &&
                        found->mRecord.Health().CapacityFraction() > 0;
    tried += serves ? 1 : 0;
  }
  return tried >= aPool.mIndex.Serving();
}

// Considers the endpoints that are likely to have the request's prefix cached.
void
endpoint_table::ConsiderPrefixHits(search& aSearch)
{
  for (const endpoint_number each : aSearch.mCachedAt) {
    if (each != prefix_affinity::kNoEndpoint && mEntries[each] &&
        MemberOf(*mEntries[each], aSearch.mPool)) {
      Consider(each, aSearch);
    }
  }
}

void
endpoint_table::Sample(pool_index::domain_rank aRank, search& aSearch)
{
  for (std::size_t i = 0; i < mSettings.mChoice.mSampleSize; ++i) {
    const auto& withFreeSlot = aSearch.mPool.mIndex.WithFreeSlot(aRank);
    if (withFreeSlot.empty()) {
      return;
    }
    Consider(withFreeSlot[RandomIndex(withFreeSlot.size())], aSearch);
  }
}

// Scans at most `mMaxScan` endpoints with a free slot, starting from a random
// one, until an eligible endpoint is found.
void
endpoint_table::Scan(pool_index::domain_rank aRank, search& aSearch)
{
  const auto& withFreeSlot = aSearch.mPool.mIndex.WithFreeSlot(aRank);
  if (withFreeSlot.empty()) {
    return;
  }
  std::size_t at = RandomIndex(withFreeSlot.size());
  for (std::size_t i = 0; i < mSettings.mMaxScan; ++i) {
    const std::size_t listed = withFreeSlot.size();
    Consider(withFreeSlot[at % listed], aSearch);
    if (aSearch.mBest || withFreeSlot.empty() || i >= listed) {
      return;
    }
    // An endpoint that turned out to be full was removed from the list and
    // another endpoint moved to its position: look at the same position again.
    at += withFreeSlot.size() == listed ? 1 : 0;
  }
}

void
endpoint_table::Consider(endpoint_number aNumber, search& aSearch)
{
  entry& candidate = *mEntries[aNumber];
  Refresh(candidate, aSearch.mNow);
  if (!candidate.mRecord.HasFreeSlot(aSearch.mNow) ||
      !IsEligible(candidate, aSearch)) {
    return;
  }
  const double cost = Cost(aNumber, aSearch);
  if (!aSearch.mBest || cost < aSearch.mBestCost) {
    aSearch.mBest = aNumber;
    aSearch.mBestCost = cost;
  }
}

bool
endpoint_table::IsEligible(const entry& aEntry, const search& aSearch) const
{
  const endpoint_record& record = aEntry.mRecord;
  const bool wasTried =
    std::ranges::find(aSearch.mTried, record.Declared().mName) !=
    aSearch.mTried.end();
  if (wasTried && aSearch.mAvoidTried) {
    return false;
  }
  if (record.Health().CapacityFraction() == 0) {
    return IsEligibleForProbe(aEntry, aSearch);
  }
  return !aSearch.mLimitLong || record.HasFreeSlotForLong(aSearch.mNow);
}

// A request that is sent as a probe may get no answer. So only idempotent
// requests below the highest tier are used, unless the probe has been due for
// longer than `mProbeFallbackDelay` or no endpoint serves the pool.
bool
endpoint_table::IsEligibleForProbe(const entry& aEntry,
                                   const search& aSearch) const
{
  const work_item& item = aSearch.mItem;
  const std::optional<time_point> due =
    aEntry.mRecord.Health().NextProbe(aEntry.mRecord.InFlight());
  const bool isOverdue =
    due && aSearch.mNow - *due >= mSettings.mProbeFallbackDelay;
  return (item.mIdempotent && item.mTier > kHighestTier) || isOverdue ||
         aSearch.mPool.mIndex.Serving() == 0;
}

double
endpoint_table::Cost(endpoint_number aNumber, const search& aSearch) const
{
  const endpoint_record& record = mEntries[aNumber]->mRecord;
  const pool_index& pool = aSearch.mPool.mIndex;
  if (record.Health().CapacityFraction() == 0) {
    // An endpoint whose probe is due is preferred to all others, because it
    // can't recover without a probe.
    return 0;
  }
  const duration halfLife = mSettings.mChoice.mLatencyHalfLife;
  endpoint_cost_inputs costInputs;
  costInputs.mUtilization = record.Utilization();
  costInputs.mTimeToFirstToken = record.TimeToFirstToken().Value(
    pool.mTimeToFirstToken.Value(), halfLife, aSearch.mNow);
  costInputs.mTimePerToken = record.TimePerToken().Value(
    pool.mTimePerToken.Value(), halfLife, aSearch.mNow);
  costInputs.mFailureRate = record.Health().FailureRate();
  costInputs.mHasCachedPrefix =
    std::ranges::find(aSearch.mCachedAt, aNumber) != aSearch.mCachedAt.end();
  const auto member = MemberOf(*mEntries[aNumber], aSearch.mPool);
  costInputs.mInOtherDomain =
    member && pool.RankOf(*member) == pool_index::kOtherDomain;
  return EstimateCost(costInputs, aSearch.mSize, mSettings.mChoice);
}

std::size_t
endpoint_table::RandomIndex(std::size_t aBelow)
{
  return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(mRandom);
}

std::optional<endpoint_name>
endpoint_table::ChooseForQueueing(const work_item& aItem,
                                  std::span<const endpoint_name> aTried,
                                  std::uint32_t aMaxQueued,
                                  time_point aNow)
{
  const auto pool = mPools.find(aItem.mPool);
  if (pool == mPools.end() || pool->second.mIndex.size() == 0) {
    return std::nullopt;
  }
  search query = BeginSearch(aItem, aTried, pool->second, aNow);
  const pool_index& index = pool->second.mIndex;
  const std::size_t first = RandomIndex(index.size());
  const std::size_t maxScan = std::min(index.size(), mSettings.mMaxScan);
  std::uint32_t shortestQueue = 0;
  for (std::size_t i = 0; i < maxScan; ++i) {
    const endpoint_number number =
      index.EndpointOf(static_cast<std::uint32_t>((first + i) % index.size()));
    const entry& candidate = *mEntries[number];
    const endpoint_record& record = candidate.mRecord;
    if (!record.HonoursTiers() || !record.AcceptsNewWork(aNow) ||
        !record.MaySendByRate(aNow) || record.Health().CapacityFraction() < 1 ||
        !record.IsShared(aNow) ||
        record.InFlight() >= record.Capacity(aNow) + aMaxQueued ||
        !IsEligible(candidate, query)) {
      continue;
    }
    // The length of the queue decides before the cost: a cached prefix saves
    // less time than a longer queue takes, and by cost all routers would queue
    // at the endpoint that has the prefix cached.
    const std::uint32_t inFlight = record.InFlight();
    const std::uint32_t capacity = record.Capacity(aNow);
    const std::uint32_t queued = inFlight > capacity ? inFlight - capacity : 0;
    const double cost = Cost(number, query);
    if (!query.mBest ||
        std::pair(queued, cost) < std::pair(shortestQueue, query.mBestCost)) {
      query.mBest = number;
      query.mBestCost = cost;
      shortestQueue = queued;
    }
  }
  return query.mBest
           ? std::optional(mEntries[*query.mBest]->mRecord.Declared().mName)
           : std::nullopt;
}

void
endpoint_table::OnSent(const endpoint_name& aEndpoint,
                       const work_item& aItem,
                       time_point aNow)
{
  if (entry* found = Find(aEndpoint)) {
    found->mRecord.OnSent(aItem.mTicket, mLengths.IsLong(aItem), aNow);
    mAffinity.Record(aItem.mPrefix, mNumbers.at(aEndpoint), aNow);
    Refresh(*found, aNow);
  }
}

void
endpoint_table::OnFirstToken(const endpoint_name& aEndpoint,
                             const work_item& aItem,
                             duration aWait,
                             time_point aNow)
{
  entry* found = Find(aEndpoint);
  if (found == nullptr) {
    return;
  }
  if (const auto pool = mPools.find(aItem.mPool);
      pool != mPools.end() && !found->mRecord.SpansClockGap(aWait, aNow)) {
    pool->second.mIndex.mTimeToFirstToken.Add(ToSeconds(aWait));
  }
  found->mRecord.OnFirstToken(aItem.mTicket, aWait, aNow);
  Refresh(*found, aNow);
}

void
endpoint_table::OnEnded(const endpoint_name& aEndpoint,
                        const work_item& aItem,
                        attempt_end aHow,
                        std::uint32_t aTokens,
                        duration aElapsed,
                        time_point aNow)
{
  if (aHow == attempt_end::kCompleted && aTokens > 0) {
    mLengths.Learn(aItem.mClass, aItem.mPool, aTokens);
  }
  entry* found = Find(aEndpoint);
  if (found == nullptr) {
    return;
  }
  const bool mayEject = CanEject(*found);
  const std::optional<double> timePerToken = found->mRecord.OnEnded(
    aItem.mTicket, aHow, aTokens, aElapsed, mayEject, aNow);
  if (const auto pool = mPools.find(aItem.mPool);
      timePerToken && pool != mPools.end()) {
    internal::running_median& median = pool->second.mIndex.mTimePerToken;
    median.Add(*timePerToken);
    found->mRecord.OnTimePerToken(
      *timePerToken, median.Value(), mayEject, aNow);
  }
  Refresh(*found, aNow);
}

void
endpoint_table::OnLoadReport(const endpoint_name& aEndpoint,
                             const load_report& aReport,
                             time_point aNow)
{
  if (entry* found = Find(aEndpoint)) {
    found->mRecord.OnReport(aReport, aNow);
    Refresh(*found, aNow);
  }
}

void
endpoint_table::SetState(const endpoint_name& aEndpoint,
                         endpoint_state aState,
                         time_point aNow)
{
  if (aState == endpoint_state::kLive) {
    mNonLiveStates.erase(aEndpoint);
  } else {
    mNonLiveStates[aEndpoint] = aState;
  }
  if (entry* found = Find(aEndpoint)) {
    found->mRecord.SetState(aState, aNow);
    Refresh(*found, aNow);
  }
}

void
endpoint_table::Rest(const endpoint_name& aEndpoint,
                     time_point aUntil,
                     time_point aNow)
{
  if (entry* found = Find(aEndpoint)) {
    found->mRecord.Rest(aUntil);
    Refresh(*found, aNow);
  }
}

void
endpoint_table::SetRequestRate(const endpoint_name& aEndpoint,
                               const std::optional<double>& aRate,
                               time_point aNow)
{
  if (entry* found = Find(aEndpoint)) {
    found->mRecord.SetRequestRate(aRate, aNow);
    Refresh(*found, aNow);
  }
}

void
endpoint_table::OnClockGap(time_point aNow)
{
  for (std::optional<entry>& each : mEntries) {
    if (each) {
      each->mRecord.OnClockGap(aNow);
      Refresh(*each, aNow);
    }
  }
}

void
endpoint_table::Advance(time_point aNow)
{
  while (!mRechecks.empty() && mRechecks.top().mAt <= aNow) {
    const recheck due = mRechecks.top();
    mRechecks.pop();
    std::optional<entry>& each = mEntries[due.mEndpoint];
    if (each && each->mRecheck == due.mAt) {
      each->mRecheck.reset();
      Refresh(*each, aNow);
    }
  }
}

std::optional<time_point>
endpoint_table::NextDue() const
{
  return mRechecks.empty() ? std::nullopt : std::optional(mRechecks.top().mAt);
}

bool
endpoint_table::Serves(const pool_name& aPool) const
{
  const auto found = mPools.find(aPool);
  return found != mPools.end() && found->second.mIndex.Live() > 0;
}

std::optional<duration>
endpoint_table::OutOfServiceLeft(const pool_name& aPool, time_point aNow) const
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end()) {
    return std::nullopt;
  }
  const internal::pool_index& index = found->second.mIndex;
  std::set<domain_name> domains;
  for (std::uint32_t each = 0; each < index.size(); ++each) {
    domains.insert(
      mEntries[index.EndpointOf(each)]->mRecord.Declared().mDomain);
  }
  return mOutOfService.ExpectedLeftOfAll(domains, aNow);
}

std::uint32_t
endpoint_table::Slots(const pool_name& aPool) const
{
  const auto found = mPools.find(aPool);
  return found == mPools.end() ? 0 : found->second.mIndex.Slots();
}

bool
endpoint_table::HonoursTiers(const pool_name& aPool) const
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end() || found->second.mIndex.size() == 0) {
    return false;
  }
  return mEntries[found->second.mIndex.EndpointOf(0)]->mRecord.HonoursTiers();
}

double
endpoint_table::ExpectedTokens(const work_item& aItem) const
{
  return mLengths.Expected(aItem);
}

bool
endpoint_table::IsLong(const work_item& aItem) const
{
  return mLengths.IsLong(aItem);
}

std::vector<endpoint_status>
endpoint_table::Status(time_point aNow) const
{
  std::vector<endpoint_status> all;
  for (const std::optional<entry>& each : mEntries) {
    if (each) {
      const endpoint_record& record = each->mRecord;
      all.push_back({ record.Declared().mName,
                      record.State(),
                      record.Health().State(),
                      record.Health().CapacityFraction(),
                      record.Limit().Limit(),
                      record.InFlight(),
                      record.OthersInFlight(aNow) });
    }
  }
  std::ranges::sort(all, {}, [](const endpoint_status& aEach) {
    return std::string_view(aEach.mName.Text());
  });
  return all;
}

endpoint_table::entry*
endpoint_table::Find(const endpoint_name& aEndpoint)
{
  const auto found = mNumbers.find(aEndpoint);
  return found == mNumbers.end() ? nullptr : &*mEntries[found->second];
}

bool
endpoint_table::CanEject(const entry& aEntry)
{
  return std::ranges::all_of(aEntry.mPools, [](const membership& aEach) {
    return aEach.mPool->CanEject(aEach.mMember);
  });
}

std::optional<std::uint32_t>
endpoint_table::MemberOf(const entry& aEntry, const pool_state& aPool)
{
  const auto found =
    std::ranges::find(aEntry.mPools, &aPool.mIndex, &membership::mPool);
  return found == aEntry.mPools.end() ? std::nullopt
                                      : std::optional(found->mMember);
}

void
endpoint_table::Refresh(entry& aEntry, time_point aNow)
{
  endpoint_record& record = aEntry.mRecord;
  record.Update(aNow);
  const double capacityFraction = record.Health().CapacityFraction();
  member_state state;
  state.mLive = record.AcceptsNewWork(aNow);
  state.mServing = state.mLive && capacityFraction > 0;
  state.mHasFreeSlot = record.HasFreeSlot(aNow);
  state.mSlots = state.mServing ? record.Capacity(aNow) : 0;
  state.mLostFraction = state.mLive ? 1 - capacityFraction : 0;
  for (const membership& each : aEntry.mPools) {
    each.mPool->Update(each.mMember, state);
  }
  if (!state.mHasFreeSlot) {
    ScheduleRecheck(aEntry, aNow);
  }
}

void
endpoint_table::ScheduleRecheck(entry& aEntry, time_point aNow)
{
  const endpoint_record& record = aEntry.mRecord;
  std::optional<time_point> at = record.NoNewWorkUntil(aNow);
  if (!at && record.AcceptsNewWork(aNow)) {
    at = record.Health().NextProbe(record.InFlight());
  }
  if (!at && record.AcceptsNewWork(aNow)) {
    at = record.NextByRate(aNow);
  }
  if (!at && record.AcceptsNewWork(aNow) && record.OthersInFlight(aNow) > 0) {
    at = aNow + kRecheckInterval;
  }
  if (!at || *at <= aNow || (aEntry.mRecheck && *aEntry.mRecheck <= *at)) {
    return;
  }
  aEntry.mRecheck = at;
  mRechecks.push({ *at, mNumbers.at(record.Declared().mName) });
}

} // namespace thornhollow
