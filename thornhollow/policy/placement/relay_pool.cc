#include "thornhollow/policy/placement/relay_pool.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <utility>

#include "thornhollow/base/hash.h"
#include "thornhollow/policy/placement/internal/prefill_cost.h"

namespace thornhollow {
namespace {

// Plain services answer some requests with errors even while they are healthy
// (14% at one inventory service). They are therefore ejected only after more
// failures than engines, which do not fail while they are healthy.
endpoint_health_settings
HealthSettings(bool aEngines)
{
  endpoint_health_settings settings;
  settings.mEjectAfterFailures = aEngines ? 3 : 5;
  settings.mMaxFailureRate = aEngines ? 0.3 : 0.45;
  settings.mMinAttempts = aEngines ? 5 : 10;
  settings.mMaxProbeDelay = Seconds(4);
  return settings;
}

// No request is refused while the demand of bulk requests is below this
// fraction of the bulk engines' prefill capacity and slots are free. A queue at
// such low demand comes from a short cluster of arrivals and is served before a
// refused caller would retry.
constexpr double kSaturationThreshold = 0.85;

// Maximum ratio assumed between the speed of an engine and the mean of its
// pool. Larger measured ratios result from small samples.
constexpr double kMaxSpeedRatio = 2.5;

// Instances that an endpoint asked for the same rest return to it spread over
// this time.
constexpr duration kMaxRestSpread = Milliseconds(500);

} // namespace

relay_pool::relay_pool(const relay_pool_settings& aSettings,
                       bool aEngines,
                       domain_name aOwnDomain,
                       std::uint64_t aSeed)
  : mSettings(aSettings)
  , mEngines(aEngines)
  , mOwnDomain(std::move(aOwnDomain))
  , mReach(domain_reachability_settings{}, mOwnDomain)
  , mRandom(aSeed)
  , mAffinity(aSettings.mAffinity)
  , mPartition(aSettings.mPartition)
  , mSides(aSettings.mSides)
  , mAdmission(aSettings.mAdmission)
  , mPrefillRate(aSettings.mPrefillTokensPerSecond)
  , mPrefillTokensPerSecond(aSettings.mPrefillTokensPerSecond)
{
}

void
relay_pool::Put(const relay_endpoint& aEndpoint, time_point aNow)
{
  const auto found = mRecords.find(aEndpoint.mName);
  if (found != mRecords.end() &&
      found->second.mEndpoint.mLifetime == aEndpoint.mLifetime) {
    found->second.mEndpoint = aEndpoint;
    ExtendRest(found->second);
    SetBounds(found->second, aNow);
    return;
  }
  Remove(aEndpoint.mName);
  const auto added =
    mRecords.emplace(aEndpoint.mName,
                     record{ aEndpoint,
                             mNextNumber++,
                             Hash64(aEndpoint.mName.Text()),
                             endpoint_health(HealthSettings(mEngines)) });
  ExtendRest(added.first->second);
  SetBounds(added.first->second, aNow);
}

void
relay_pool::SetBounds(record& aRecord, time_point aNow)
{
  if (const auto& part = aRecord.mEndpoint.mRefusalPart) {
    aRecord.mRefusals.SetPart(*part);
  } else {
    aRecord.mRefusals.Clear();
  }
  aRecord.mRequests.SetRate(aRecord.mEndpoint.mRequestRate, aNow);
}

void
relay_pool::ExtendRest(record& aRecord)
{
  if (aRecord.mEndpoint.mRestUntil == time_point()) {
    return;
  }
  std::uniform_real_distribution<double> spread(0, ToSeconds(kMaxRestSpread));
  aRecord.mRest.Extend(aRecord.mEndpoint.mRestUntil,
                       FromSeconds(spread(mRandom)));
}

void
relay_pool::Remove(const endpoint_name& aName)
{
  if (const auto found = mRecords.find(aName); found != mRecords.end()) {
    mAffinity.RemoveEndpoint(found->second.mNumber);
    mRecords.erase(found);
  }
}

engine_side
relay_pool::SideOf(const request_profile& aRequest) const
{
  return mPartition.IsBulk(KindOf(aRequest)) ? engine_side::kBulk
                                             : engine_side::kInteractive;
}

std::variant<std::optional<relay_pick>, admission_refusal>
relay_pool::Admit(const request_profile& aRequest,
                  duration aTimeLeft,
                  time_point aNow,
                  const std::vector<endpoint_name>& aAmong)
{
  const auto pick = ChooseAmong(aAmong, aRequest, {}, aNow);
  if (!mEngines || !pick) {
    return pick;
  }
  // Requests count towards the demand whether they are admitted or refused.
  mMeter.OnRequest(KindOf(aRequest), pick->mPrefillTokens, aNow);
  mPopularBlocks.OnRequested(aRequest.mFirstBlock, aNow);
  const double capacity = static_cast<double>(mPartition.BulkEngines()) *
                          mPrefillTokensPerSecond * mAwakeFraction;
  const duration slotWait = SlotWait();
  const bool saturated = mBulkDemand >= capacity * kSaturationThreshold ||
                         slotWait > duration::zero();
  if (!pick->mBulk || !saturated) {
    return pick;
  }
  // While requests wait for slots, retries get no preference: most of them have
  // already missed their target, and serving them first would make other
  // requests miss theirs.
  const auto refused = mAdmission.Decide(
    { .mTeam = aRequest.mTeam,
      .mTier = aRequest.mTier,
      .mTokens = aRequest.mPromptTokens - aRequest.mSharedTokens,
      .mTarget = aRequest.mTarget,
      .mTimeLeft = aTimeLeft,
      .mExpectedWait = pick->mExpectedWait + slotWait,
      .mIsRetry = aRequest.mIsRetry && slotWait <= duration::zero(),
      .mOverload = mBulkDemand / capacity },
    mRandom,
    aNow);
  if (refused) {
    return *refused;
  }
  return pick;
}

std::optional<relay_pick>
relay_pool::Choose(const request_profile& aRequest,
                   const std::vector<endpoint_name>& aTried,
                   time_point aNow)
{
  return ChooseAmong({}, aRequest, aTried, aNow);
}

std::optional<relay_pick>
relay_pool::ChooseAmong(const std::vector<endpoint_name>& aAmong,
                        const request_profile& aRequest,
                        const std::vector<endpoint_name>& aTried,
                        time_point aNow)
{
  for (auto& [name, each] : mRecords) {
    each.mHealth.Update(aNow);
  }
  std::vector<record*> candidates = Candidates(aRequest, aTried, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  relay_pick pick;
  record* chosen = mEngines
                     ? ChooseEngine(aRequest, candidates, aAmong, aNow, pick)
                     : ChoosePlain(candidates);
  pick.mEndpoint = chosen->mEndpoint.mName;
  pick.mAddress = chosen->mEndpoint.mAddress;
  pick.mDomain = chosen->mEndpoint.mDomain;
  pick.mLifetime = chosen->mEndpoint.mLifetime;
  pick.mStartedMs = chosen->mEndpoint.mStartedMs;
  pick.mVersion = chosen->mEndpoint.mVersion;
  pick.mVersionHash = chosen->mEndpoint.mIsVersionDoubted
                        ? kUnknownVersion
                        : chosen->mEndpoint.mVersionHash;
  pick.mBulk = SideOf(aRequest) == engine_side::kBulk;
  return pick;
}

// Expected wait of a bulk request for a slot, from the requests in flight at
// all bulk engines over all instances. The data about a single engine is too
// inaccurate for an expectation per engine.
duration
relay_pool::SlotWait() const
{
  const auto slots = static_cast<double>(mHealthyBulkEngines * mSlots);
  return FromSeconds(ToSeconds(mBulkOccupancy.WaitFor(mBulkInFlight, slots)) *
                     mSettings.mQueueImbalance);
}

bool
relay_pool::TakesNewWork(const record& aRecord, time_point aNow) const
{
  constexpr std::uint32_t kUnlimited = 1U << 20U;
  return aRecord.mEndpoint.TakesRequests() && aRecord.mRest.MaySend(aNow) &&
         aRecord.mInFlight <
           aRecord.mHealth.Allowance(kUnlimited, aRecord.mInFlight, aNow);
}

bool
relay_pool::MayServe(const record& aRecord, const request_profile& aRequest)
{
  return aRecord.mEndpoint.TakesRequests() &&
         (!aRequest.mVersion ||
          *aRequest.mVersion == aRecord.mEndpoint.mVersionHash);
}

bool
relay_pool::HasOther(const request_profile& aRequest,
                     const std::vector<endpoint_name>& aTried) const
{
  return std::ranges::any_of(mRecords, [&](const auto& aEntry) {
    return MayServe(aEntry.second, aRequest) &&
           std::ranges::count(aTried, aEntry.first) == 0;
  });
}

bool
relay_pool::Lists(endpoint_version_hash aVersion) const
{
  return std::ranges::any_of(mRecords, [aVersion](const auto& aEntry) {
    return aEntry.second.mEndpoint.mVersionHash == aVersion;
  });
}

bool
relay_pool::IsInService(const relay_pick& aPick) const
{
  const auto found = mRecords.find(aPick.mEndpoint);
  return found != mRecords.end() &&
         found->second.mEndpoint.mLifetime == aPick.mLifetime &&
         found->second.mEndpoint.TakesRequests();
}

bool
relay_pool::AcceptsNew(const relay_pick& aPick, time_point aNow) const
{
  if (!IsInService(aPick)) {
    return false;
  }
  const record& found = mRecords.find(aPick.mEndpoint)->second;
  return found.mRest.IsOver(aNow) && IsWithinBounds(found, aNow);
}

bool
relay_pool::IsAtBound(const request_profile& aRequest,
                      const std::vector<endpoint_name>& aTried,
                      time_point aNow) const
{
  return std::ranges::any_of(mRecords, [&](const auto& aEntry) {
    const auto& [name, each] = aEntry;
    return MayServe(each, aRequest) && each.mRest.MaySendInNeed(aNow) &&
           !IsWithinBounds(each, aNow) && std::ranges::count(aTried, name) == 0;
  });
}

bool
relay_pool::HasRoom(time_point aNow) const
{
  return std::ranges::any_of(mRecords, [aNow](const auto& aEntry) {
    const record& each = aEntry.second;
    return each.mEndpoint.TakesRequests() && each.mRest.MaySendInNeed(aNow) &&
           IsWithinBounds(each, aNow);
  });
}

std::size_t
relay_pool::RoomWithin(duration aSpan) const
{
  std::size_t room = 0;
  double rate = 0;
  for (const auto& [name, each] : mRecords) {
    room += each.mRefusals.Room();
    rate += each.mRequests.Rate();
  }
  return room + static_cast<std::size_t>(std::ceil(rate * ToSeconds(aSpan)));
}

std::optional<duration>
relay_pool::BoundLeft(const request_profile& aRequest, time_point aNow) const
{
  std::optional<duration> left;
  for (const auto& [name, each] : mRecords) {
    const auto own = each.mRequests.Wait(aNow);
    if (own && each.mEndpoint.mRequestRate && MayServe(each, aRequest)) {
      left = std::min(left.value_or(*own), *own);
    }
  }
  return left;
}

std::optional<duration>
relay_pool::RestLeft(const request_profile& aRequest, time_point aNow) const
{
  std::optional<duration> left;
  for (const auto& [name, each] : mRecords) {
    if (!MayServe(each, aRequest)) {
      continue;
    }
    if (each.mRest.IsOver(aNow)) {
      return std::nullopt;
    }
    const duration own = each.mRest.Until() - aNow;
    left = std::min(left.value_or(own), own);
  }
  return left;
}

std::vector<relay_pool::record*>
relay_pool::Candidates(const request_profile& aRequest,
                       const std::vector<endpoint_name>& aTried,
                       time_point aNow)
{
  std::vector<record*> healthy;
  std::vector<record*> unhealthy;
  for (auto& [name, each] : mRecords) {
    if (!MayServe(each, aRequest) ||
        (aRequest.mVersion && each.mEndpoint.mIsVersionDoubted) ||
        !each.mRest.MaySendInNeed(aNow) || !IsWithinBounds(each, aNow) ||
        std::ranges::count(aTried, name) > 0) {
      continue;
    }
    const bool isFree =
      mReservedEndpoints.empty() || !mReservedEndpoints.contains(name);
    (isFree && TakesNewWork(each, aNow) ? healthy : unhealthy).push_back(&each);
  }
  // If no healthy endpoint is left, unhealthy endpoints are tried: an attempt
  // at one may succeed, while a refusal is certain to fail the request.
  if (healthy.empty()) {
    return unhealthy;
  }
  healthy = Reachable(std::move(healthy), aNow);
  return mEngines ? OnSide(aRequest, healthy, aNow) : healthy;
}

// Returns the endpoints whose failure domains are not suspected to be
// unreachable, or all of `aHealthy` if no such endpoint is left.
std::vector<relay_pool::record*>
relay_pool::Reachable(std::vector<record*> aHealthy, time_point aNow) const
{
  if (!mReach.AnySuspected(aNow)) {
    return aHealthy;
  }
  std::vector<record*> reachable;
  reachable.reserve(aHealthy.size());
  std::ranges::copy_if(
    aHealthy, std::back_inserter(reachable), [&](record* aRecord) {
      return !mReach.IsSuspected(aRecord->mEndpoint.mDomain, aNow);
    });
  return reachable.empty() ? std::move(aHealthy) : reachable;
}

void
relay_pool::AssignSides(const demand_by_kind& aDemand,
                        std::size_t aInService,
                        time_point aNow)
{
  std::vector<side_candidate> healthy;
  std::size_t awake = 0;
  for (auto& [name, each] : mRecords) {
    each.mHealth.Update(aNow);
    awake += each.mRest.IsOver(aNow) ? 1 : 0;
    if (TakesNewWork(each, aNow)) {
      healthy.push_back({ each.mNumber, each.mSlow, each.mRank });
    }
  }
  if (!mPartition.IsPartitioned() || healthy.size() < 2) {
    healthy.clear();
  }
  const double bulkFraction =
    static_cast<double>(mPartition.BulkEngines()) /
    static_cast<double>(std::max<std::size_t>(aInService, 1));
  const auto bulk = static_cast<std::size_t>(
    std::lround(bulkFraction * static_cast<double>(healthy.size())));
  mAwakeFraction = static_cast<double>(awake) /
                   static_cast<double>(std::max<std::size_t>(size(), 1));
  mHealthyBulkEngines = healthy.empty() ? awake : bulk;
  const std::size_t maxBulk = healthy.empty() ? 0 : healthy.size() - 1;
  mAdmission.SetCapacity(
    static_cast<double>(mHealthyBulkEngines) * PrefillTokensPerSecond() /
    static_cast<double>(std::max<std::size_t>(mInstances, 1)));
  mSides.Observe(
    std::move(healthy),
    std::clamp<std::size_t>(bulk, std::min<std::size_t>(maxBulk, 1), maxBulk),
    aDemand.empty(),
    aNow);
}

// Returns the engines on the request's side, bulk or interactive, of the
// partition, or all engines if that side has none. Bulk requests avoid engines
// that still serve interactive streams as long as the other bulk engines have
// capacity for it.
std::vector<relay_pool::record*>
relay_pool::OnSide(const request_profile& aRequest,
                   const std::vector<record*>& aHealthy,
                   time_point aNow) const
{
  if (!mPartition.IsPartitioned()) {
    return aHealthy;
  }
  const engine_side side = SideOf(aRequest);
  std::vector<record*> all;
  std::vector<record*> clear;
  for (record* each : aHealthy) {
    if (mSides.SideOf(each->mNumber) == side) {
      all.push_back(each);
      if (!mSides.IsDraining(each->mNumber, aNow)) {
        clear.push_back(each);
      }
    }
  }
  const double capacity = static_cast<double>(clear.size()) *
                          PrefillTokensPerSecond() *
                          mSettings.mAvoidClearingBelow;
  if (side == engine_side::kBulk && mBulkDemand < capacity) {
    return clear;
  }
  return all.empty() ? aHealthy : all;
}

void
relay_pool::OnSent(const relay_pick& aPick,
                   const request_profile& aRequest,
                   time_point aNow)
{
  mMeter.OnSent(KindOf(aRequest), aNow);
  if (aPick.mBulk) {
    mAdmission.OnSent({ aRequest.mTier, aPick.mPrefillTokens });
  }
  record* found = Find(aPick);
  if (found == nullptr) {
    return;
  }
  ++found->mInFlight;
  ++found->mOpen[KindOf(aRequest)];
  found->mPrefillTokens += aPick.mPrefillTokens;
  found->mRest.OnSent();
  found->mRefusals.OnSent(aNow);
  found->mRequests.OnSent(aNow);
  found->mHealth.OnSent(aNow);
  if (aRequest.mSharedPrefix != 0) {
    mPrefixReuse.OnSent(aPick.mKnownPrefix);
    mAffinity.Record(aRequest.mSharedPrefix, found->mNumber, aNow);
  }
}

void
relay_pool::OnFirstByte(const relay_pick& aPick,
                        const request_profile& aRequest,
                        duration aWait,
                        time_point aNow)
{
  if (aPick.mBulk) {
    mAdmission.OnStarted({ aRequest.mTier, aPick.mPrefillTokens }, aWait, aNow);
    mBulkOccupancy.OnStarted(aWait);
  } else {
    mInteractiveOccupancy.OnStarted(aWait);
  }
  mReach.OnResponse(aPick.mDomain, aNow);
  if (record* found = Find(aPick)) {
    found->mPrefillTokens -=
      std::min<std::uint64_t>(found->mPrefillTokens, aPick.mPrefillTokens);
    found->mRest.OnStarted(aNow - aWait);
    found->mRefusals.OnAnswered(aNow - aWait);
    found->mHealth.OnFirstToken(aWait, aNow);
    // A prefix that was estimated as not cached may in fact be cached because
    // of another instance's requests. The measured time would then be too short
    // for the estimated number of tokens, so only requests with a cached prefix
    // are used as samples.
    if (mEngines && aPick.mPrefixCached) {
      const double prefilled =
        internal::PrefillCost(aRequest.mPromptTokens - aRequest.mSharedTokens,
                              aRequest.mSharedTokens);
      found->mPrefillTime.OnPrefill(prefilled, aWait, aNow);
      if (aPick.mSentBefore) {
        mPrefillRate.OnPrefill(
          prefilled + static_cast<double>(aPick.mBacklogTokens), aWait);
      }
    }
  }
}

void
relay_pool::OnEnded(const relay_pick& aPick,
                    const request_profile& aRequest,
                    attempt_end aHow,
                    bool aStarted,
                    duration aLength,
                    time_point aNow)
{
  if (aPick.mBulk && !aStarted) {
    mAdmission.OnAborted({ aRequest.mTier, aPick.mPrefillTokens });
  }
  if (aHow == attempt_end::kDeclined) {
    mReach.OnResponse(aPick.mDomain, aNow);
  }
  mMeter.OnEnded(KindOf(aRequest));
  if (aPick.mBulk && aHow == attempt_end::kCompleted) {
    mBulkOccupancy.OnEnded(aLength);
  } else if (aHow == attempt_end::kCompleted) {
    mInteractiveOccupancy.OnEnded(aLength);
  }
  record* found = Find(aPick);
  if (found == nullptr) {
    return;
  }
  found->mInFlight -= std::min(found->mInFlight, 1U);
  if (const auto open = found->mOpen.find(KindOf(aRequest));
      open != found->mOpen.end() && --open->second == 0) {
    found->mOpen.erase(open);
  }
  if (!aStarted) {
    found->mPrefillTokens -=
      std::min<std::uint64_t>(found->mPrefillTokens, aPick.mPrefillTokens);
    found->mRest.OnFailed(aNow - aLength);
    found->mRefusals.OnAnswered(aNow - aLength);
  }
  if (aHow == attempt_end::kDeclined) {
    found->mRefusals.OnRefused(found->mInFlight, aNow);
  } else if (aHow == attempt_end::kCompleted) {
    found->mRefusals.OnCompleted();
  }
  // At most half of the pool's endpoints are ejected for failures. If more
  // fail, the endpoints themselves are unlikely to be the cause.
  const auto failing = static_cast<std::size_t>(
    std::ranges::count_if(mRecords, [](const auto& aEntry) {
      return aEntry.second.mHealth.State() == health_state::kFailing;
    }));
  const bool mayEject = 2 * (failing + 1) <= mRecords.size();
  found->mHealth.OnEnded(aHow, aLength, mayEject, aNow);
}

bool
relay_pool::OnUnreachable(const relay_pick& aPick, time_point aNow)
{
  return mReach.OnUnreachable(aPick.mDomain, aNow);
}

void
relay_pool::OnPeerMessage(const domain_name& aDomain, time_point aNow)
{
  mReach.OnPeerMessage(aDomain, aNow);
}

void
relay_pool::SetRemoteLoad(const relay_load& aLoad, time_point aNow)
{
  if (const auto found = mRecords.find(aLoad.mName); found != mRecords.end()) {
    found->second.mRemotePrefillTokens = aLoad.mPrefillTokens;
    found->second.mRemoteInFlight = aLoad.mInFlight;
    if (aLoad.mPrefillNanoseconds > 0) {
      found->second.mPrefillTime.OnReported(aLoad.mPrefillNanoseconds, aNow);
    }
  }
}

void
relay_pool::UpdateSlowEngines(time_point aNow)
{
  double fastest = 0;
  for (const auto& [name, each] : mRecords) {
    const double nanoseconds = each.mPrefillTime.Nanoseconds(aNow);
    if (nanoseconds > 0 && (fastest == 0 || nanoseconds < fastest)) {
      fastest = nanoseconds;
    }
  }
  for (auto& [name, each] : mRecords) {
    const double nanoseconds = each.mPrefillTime.Nanoseconds(aNow);
    if (nanoseconds > 0 && !each.mPrefillTimeKnownSince) {
      each.mPrefillTimeKnownSince = aNow;
    }
    const double bound =
      each.mSlow ? mSettings.mSlowExitThreshold : mSettings.mSlowThreshold;
    each.mSlow = each.mPrefillTimeKnownSince &&
                 aNow - *each.mPrefillTimeKnownSince >= mSettings.mWarmup &&
                 nanoseconds > fastest * bound;
  }
}

double
relay_pool::SecondsPerToken(const record& aRecord, time_point aNow) const
{
  const double nanoseconds = aRecord.mPrefillTime.Nanoseconds(aNow);
  const bool warmedUp =
    aRecord.mPrefillTimeKnownSince &&
    aNow - *aRecord.mPrefillTimeKnownSince >= mSettings.mWarmup;
  const double relative =
    warmedUp && nanoseconds > 0 && mMeanPrefillNanoseconds > 0
      ? std::clamp(nanoseconds / mMeanPrefillNanoseconds,
                   1 / kMaxSpeedRatio,
                   kMaxSpeedRatio)
      : 1;
  return relative / mPrefillTokensPerSecond;
}

void
relay_pool::UpdateMeanPrefillTime(time_point aNow)
{
  double sum = 0;
  std::size_t known = 0;
  for (const auto& [name, each] : mRecords) {
    if (const double nanoseconds = each.mPrefillTime.Nanoseconds(aNow);
        nanoseconds > 0) {
      sum += nanoseconds;
      ++known;
    }
  }
  mMeanPrefillNanoseconds = known == 0 ? 0 : sum / static_cast<double>(known);
}

// Guards against a side that is too small for its work while many engines take
// none: those of a failure domain that the operator has taken out of service,
// or that leave. All instances know these alike.
std::size_t
relay_pool::InService() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mRecords, [](const auto& aEntry) {
      return aEntry.second.mEndpoint.TakesRequests();
    }));
}

std::size_t
relay_pool::SlowEngines() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mRecords, [](const auto& aEntry) {
      return aEntry.second.mSlow && aEntry.second.mEndpoint.TakesRequests();
    }));
}

void
relay_pool::SetView(const pool_view& aView, time_point aNow)
{
  if (!mEngines) {
    return;
  }
  mPrefillTokensPerSecond = aView.mPrefillRateCount > 0
                              ? aView.mPrefillRateSum / aView.mPrefillRateCount
                              : mPrefillRate.PerSecond();
  UpdateSlowEngines(aNow);
  UpdateMeanPrefillTime(aNow);
  const std::size_t inService = InService();
  mPartition.Observe(
    aView.mDemand,
    { inService, mPrefillTokensPerSecond, mSlots, SlowEngines() },
    aNow);
  AssignSides(aView.mDemand, inService, aNow);
  mBulkDemand = 0;
  mBulkInFlight = 0;
  for (const kind_demand& each : aView.mDemand) {
    mBulkDemand += mPartition.IsBulk(each.mKind) ? each.mTokens : 0;
    mBulkInFlight += mPartition.IsBulk(each.mKind) ? each.mOpen : 0;
  }
}

void
relay_pool::OnClockGap(time_point aNow)
{
  mReach.ClearSuspicions();
  for (auto& [name, each] : mRecords) {
    each.mHealth.OnClockGap(aNow);
    each.mRemotePrefillTokens = 0;
    each.mRemoteInFlight = 0;
  }
}

pool_view
relay_pool::LocalView(time_point aNow) const
{
  pool_view view{ mMeter.Demand(aNow) };
  for (kind_demand& each : view.mDemand) {
    each.mOpen = OpenInService(each.mKind);
  }
  if (mPrefillRate.Known()) {
    view.mPrefillRateSum = mPrefillRate.PerSecond();
    view.mPrefillRateCount = 1;
  }
  return view;
}

// This instance's requests at endpoints that take new ones. A request that may
// run only once stays open at an endpoint that has gone until its connection is
// given up, but occupies no slot that another request could have.
double
relay_pool::OpenInService(const workload_kind& aKind) const
{
  std::uint32_t open = 0;
  for (const auto& [name, each] : mRecords) {
    if (each.mEndpoint.TakesRequests() && each.mHealth.CapacityFraction() > 0) {
      const auto found = each.mOpen.find(aKind);
      open += found == each.mOpen.end() ? 0 : found->second;
    }
  }
  return open;
}

std::vector<relay_load>
relay_pool::Loads(time_point aNow) const
{
  std::vector<relay_load> loads;
  loads.reserve(mRecords.size());
  for (const auto& [name, each] : mRecords) {
    loads.push_back({ name,
                      each.mInFlight,
                      each.mPrefillTokens,
                      each.mPrefillTime.Nanoseconds(aNow),
                      each.mSlow });
  }
  return loads;
}

std::optional<relay_load>
relay_pool::LoadAt(const relay_pick& aPick) const
{
  const auto found = mRecords.find(aPick.mEndpoint);
  if (found == mRecords.end() ||
      found->second.mEndpoint.mLifetime != aPick.mLifetime) {
    return std::nullopt;
  }
  return relay_load{ .mName = aPick.mEndpoint,
                     .mInFlight = found->second.mInFlight,
                     .mPrefillTokens = found->second.mPrefillTokens };
}

relay_pool::record*
relay_pool::Find(const relay_pick& aPick)
{
  const auto found = mRecords.find(aPick.mEndpoint);
  return found == mRecords.end() ||
             found->second.mEndpoint.mLifetime != aPick.mLifetime
           ? nullptr
           : &found->second;
}

} // namespace thornhollow
