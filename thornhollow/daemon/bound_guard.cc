#include "thornhollow/daemon/bound_guard.h"

#include <algorithm>

namespace thornhollow {

bound_guard::bound_guard(json_log& aLog,
                         metrics& aMetrics,
                         std::string aOwnAddress)
  : mLog(aLog)
  , mMetrics(aMetrics)
  , mOwnAddress(std::move(aOwnAddress))
{
}

void
bound_guard::Register(endpoint_process_hash aProcess,
                      const endpoint_name& aEndpoint,
                      const pool_name& aPool,
                      std::uint32_t aSlots)
{
  mListed[aProcess] = { aEndpoint, aPool, aSlots };
}

void
bound_guard::OnListed(endpoint_process_hash aProcess,
                      const listed_endpoint& aEndpoint,
                      time_point aNow)
{
  Register(aProcess, aEndpoint.mName, aEndpoint.mPool, aEndpoint.mSlots);
  if (mWarmUps.OnStated(aProcess, aEndpoint.mWarmUp, aNow) &&
      aEndpoint.mWarmUp > duration::zero()) {
    LogWarmUp(aEndpoint.mName, "entry", aEndpoint.mWarmUp);
  }
}

void
bound_guard::OnWarmUpReported(endpoint_process_hash aProcess,
                              duration aLeft,
                              time_point aMeasuredAt,
                              time_point aNow)
{
  if (mWarmUps.OnReported(aProcess, aLeft, aMeasuredAt, aNow) &&
      aLeft > duration::zero()) {
    LogWarmUp(mListed.at(aProcess).mName, "report", aLeft);
  }
}

void
bound_guard::PresumeCold(endpoint_process_hash aProcess,
                         std::string_view aBy,
                         time_point aNow,
                         duration aAge)
{
  const auto found = mListed.find(aProcess);
  if (found == mListed.end()) {
    return;
  }
  const auto spec = mWarmUpSpecs.find(found->second.mPool);
  if (spec == mWarmUpSpecs.end() || !spec->second.LimitsRequests()) {
    return;
  }
  const duration left = spec->second.mLength - aAge;
  if (left <= duration::zero()) {
    return;
  }
  if (!mWarmUps.IsWarmingUp(aProcess, aNow)) {
    LogWarmUp(found->second.mName, aBy, left);
  }
  mWarmUps.Presume(aProcess, left, aNow);
}

std::vector<endpoint_process_hash>
bound_guard::TakeWarm(time_point aNow)
{
  std::vector<endpoint_process_hash> ended = mWarmUps.TakeEnded(aNow);
  for (const endpoint_process_hash each : ended) {
    if (const auto found = mListed.find(each); found != mListed.end()) {
      mLog.Write(log_level::kInfo,
                 "endpoint_warm",
                 { { "endpoint", found->second.mName.Text() } });
    }
  }
  return ended;
}

void
bound_guard::LogWarmUp(const endpoint_name& aEndpoint,
                       std::string_view aBy,
                       duration aLength)
{
  mMetrics.OnEvent("endpoint_warms_up");
  mLog.Write(log_level::kInfo,
             "endpoint_warms_up",
             { { "endpoint", aEndpoint.Text() },
               { "by", std::string(aBy) },
               { "left_ms", ToMilliseconds(aLength) } });
}

void
bound_guard::Forget(endpoint_process_hash aProcess)
{
  mMemory.Forget(aProcess);
  mWarmUps.Forget(aProcess);
  mUnreadable.erase(aProcess);
  mListed.erase(aProcess);
}

bool
bound_guard::OnAnswer(endpoint_process_hash aProcess,
                      const answer_marks& aMarks,
                      time_point aNow)
{
  if (aMarks.mUnreadableBound) {
    LogUnreadable(aProcess);
  }
  const endpoint_bounds bounds{ aMarks.mRefusalBound, aMarks.mRequestBound };
  return OnWord({ aProcess, bounds, aNow }, "answer");
}

std::set<pool_name>
bound_guard::OnReported(const std::vector<bounds_word>& aWords)
{
  std::set<pool_name> changed;
  for (const bounds_word& each : aWords) {
    if (OnWord(each, "peer")) {
      changed.insert(mListed.at(each.mProcess).mPool);
    }
  }
  return changed;
}

bool
bound_guard::OnWord(const bounds_word& aWord, std::string_view aBy)
{
  // A word about a process that isn't listed here yet would never be forgotten;
  // it comes again.
  const auto found = mListed.find(aWord.mProcess);
  if (found == mListed.end() || !mMemory.OnWord(aWord)) {
    return false;
  }
  UpdatePool(found->second.mPool);
  LogChange(aWord, aBy);
  if (mOnNewWord) {
    mOnNewWord(aWord.mProcess);
  }
  return true;
}

// Without any word of the pool's present processes the last one holds on.
void
bound_guard::UpdatePool(const pool_name& aPool)
{
  std::optional<double> least;
  bool hasRate = false;
  for (const auto& [process, each] : mListed) {
    const endpoint_bounds* bounds = mMemory.Find(process);
    if (each.mPool != aPool || bounds == nullptr) {
      continue;
    }
    hasRate = hasRate || bounds->mRequestsPerSecond;
    if (bounds->mRefusals) {
      least = std::min(least.value_or(*bounds->mRefusals), *bounds->mRefusals);
    }
  }
  if (least) {
    mLeastRefusals[aPool] = *least;
  } else {
    mLeastRefusals.erase(aPool);
  }
  if (hasRate) {
    mPoolsWithRates.insert(aPool);
  } else {
    mPoolsWithRates.erase(aPool);
  }
}

std::set<pool_name>
bound_guard::PoolsWithBounds() const
{
  std::set<pool_name> pools = mPoolsWithRates;
  for (const auto& [pool, refusals] : mLeastRefusals) {
    pools.insert(pool);
  }
  for (const auto& [process, each] : mListed) {
    if (mWarmUps.Knows(process)) {
      pools.insert(each.mPool);
    }
  }
  return pools;
}

bool
bound_guard::TakesPart(time_point aNow) const
{
  if (aNow < mNotBefore || !mStarted) {
    return false;
  }
  return mOthersHeard ? aNow - *mOthersHeard >= kJoinDelay
                      : aNow - *mStarted >= kAloneDelay;
}

bool
bound_guard::SetInstances(const pool_name& aPool,
                          const std::vector<std::string>& aOthers,
                          bool aReaches,
                          double aPresent,
                          time_point aNow)
{
  endpoint_shares next(mOwnAddress);
  next.SetInstances(aOthers, aReaches && TakesPart(aNow), aPresent);
  const auto [found, isNew] = mShares.try_emplace(aPool, next);
  if (!isNew && found->second == next) {
    return false;
  }
  found->second = std::move(next);
  return true;
}

void
bound_guard::OnPeersHeard(bool aAny, time_point aNow)
{
  if (!mStarted) {
    mStarted = aNow;
  }
  if (aAny && !mOthersHeard) {
    mOthersHeard = aNow;
  }
}

void
bound_guard::OnClockGap(time_point aNow)
{
  mNotBefore = aNow + kGapDelay;
}

std::optional<double>
bound_guard::Refusals(endpoint_process_hash aProcess,
                      const pool_name& aPool) const
{
  if (const endpoint_bounds* bounds = mMemory.Find(aProcess)) {
    return bounds->mRefusals;
  }
  const auto least = mLeastRefusals.find(aPool);
  return least == mLeastRefusals.end() ? std::nullopt
                                       : std::optional(least->second);
}

std::optional<refusal_part>
bound_guard::RefusalPart(endpoint_process_hash aProcess) const
{
  const auto found = mListed.find(aProcess);
  if (found == mListed.end()) {
    return std::nullopt;
  }
  const listed& endpoint = found->second;
  const auto refusals = Refusals(aProcess, endpoint.mPool);
  if (!refusals) {
    return std::nullopt;
  }
  const auto shares = mShares.find(endpoint.mPool);
  if (shares == mShares.end()) {
    return refusal_part{};
  }
  return PartOfRefusals(
    shares->second, endpoint.mName, endpoint.mSlots, *refusals);
}

std::optional<double>
bound_guard::RequestBound(endpoint_process_hash aProcess, time_point aNow) const
{
  const endpoint_bounds* named = mMemory.Find(aProcess);
  const auto bound = named ? named->mRequestsPerSecond : std::nullopt;
  if (!mWarmUps.IsWarmingUp(aProcess, aNow)) {
    return bound;
  }
  const auto spec = mWarmUpSpecs.find(mListed.at(aProcess).mPool);
  if (spec == mWarmUpSpecs.end() || !spec->second.LimitsRequests()) {
    return bound;
  }
  const double cold = spec->second.mRequestsPerSecond;
  return std::min(bound.value_or(cold), cold);
}

std::optional<double>
bound_guard::RequestRate(endpoint_process_hash aProcess, time_point aNow) const
{
  const auto found = mListed.find(aProcess);
  if (found == mListed.end()) {
    return std::nullopt;
  }
  const auto bound = RequestBound(aProcess, aNow);
  if (!bound) {
    return std::nullopt;
  }
  const auto shares = mShares.find(found->second.mPool);
  if (shares == mShares.end()) {
    return 0;
  }
  return RateOfRequests(shares->second, found->second.mName, *bound);
}

void
bound_guard::LogUnreadable(endpoint_process_hash aProcess)
{
  if (!mUnreadable.insert(aProcess).second) {
    return;
  }
  const auto found = mListed.find(aProcess);
  mLog.Write(log_level::kWarning,
             "endpoint_bound_unreadable",
             { { "endpoint",
                 found == mListed.end() ? "" : found->second.mName.Text() } });
}

void
bound_guard::LogChange(const bounds_word& aWord, std::string_view aBy)
{
  const std::string& endpoint = mListed.at(aWord.mProcess).mName.Text();
  if (!aWord.mBounds.Any()) {
    mMetrics.OnEvent("endpoint_bounds_over");
    mLog.Write(log_level::kInfo,
               "endpoint_bounds_over",
               { { "endpoint", endpoint }, { "by", std::string(aBy) } });
    return;
  }
  mMetrics.OnEvent("endpoint_names_bound");
  const refusal_part part =
    RefusalPart(aWord.mProcess).value_or(refusal_part{});
  mLog.Write(
    log_level::kInfo,
    "endpoint_names_bound",
    { { "endpoint", endpoint },
      { "by", std::string(aBy) },
      { "refusals_per_s", aWord.mBounds.mRefusals.value_or(-1) },
      { "requests_per_s", aWord.mBounds.mRequestsPerSecond.value_or(-1) },
      { "own_requests_per_s",
        RequestRate(aWord.mProcess, aWord.mHeardAt).value_or(-1) },
      { "own_refusals", static_cast<std::int64_t>(part.mRefusals) },
      { "own_room", static_cast<std::int64_t>(part.mRoom) } });
}

} // namespace thornhollow
