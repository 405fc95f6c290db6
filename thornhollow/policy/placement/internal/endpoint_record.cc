#include "thornhollow/policy/placement/internal/endpoint_record.h"

#include <algorithm>
#include <cmath>

namespace thornhollow::internal {
namespace {

constexpr double kSmoothingFactor = 0.2;
// Minimum number of tokens of an answer from which the time per token is
// measured. Shorter answers give unreliable samples.
constexpr std::uint32_t kMinTokens = 8;

} // namespace

void
moving_average::Add(double aValue, time_point aNow)
{
  mValue = mValue == 0 ? aValue : mValue + kSmoothingFactor * (aValue - mValue);
  mLastUpdate = aNow;
}

double
moving_average::Value(double aPoolMedian,
                      duration aHalfLife,
                      time_point aNow) const
{
  if (mValue == 0) {
    return aPoolMedian;
  }
  const double halves = ToSeconds(aNow - mLastUpdate) / ToSeconds(aHalfLife);
  return aPoolMedian +
         (mValue - aPoolMedian) * std::exp2(-std::max(0.0, halves));
}

endpoint_record::endpoint_record(const endpoint_record_settings& aSettings,
                                 const endpoint& aDeclared,
                                 bool aHonoursTiers)
  : mSettings(aSettings)
  , mDeclared(aDeclared)
  , mHonoursTiers(aHonoursTiers)
  , mLoad(aSettings.mLoad)
  , mLimit(aSettings.mLimit, aDeclared.mSlots)
  , mHealth(aSettings.mHealth)
{
}

void
endpoint_record::Declare(const endpoint& aDeclared, bool aHonoursTiers)
{
  if (aDeclared.mSlots != mDeclared.mSlots) {
    mLimit.SetSlots(aDeclared.mSlots);
  }
  mDeclared = aDeclared;
  mHonoursTiers = aHonoursTiers;
  mIsDeclared = true;
}

void
endpoint_record::OnSent(ticket aTicket, bool aLong, time_point aNow)
{
  const bool isWithinLimit =
    mLoad.InFlight() + mLoad.OthersInFlight(aNow) < mLimit.Limit();
  mAttempts.push_back({ aTicket, aLong, isWithinLimit, {} });
  mLongInFlight += aLong ? 1 : 0;
  mLoad.OnSent(aNow);
  mHealth.OnSent(aNow);
  mGate.OnSent(aNow);
}

void
endpoint_record::OnFirstToken(ticket aTicket, duration aWait, time_point aNow)
{
  ClearUnconfirmed();
  if (SpansClockGap(aWait, aNow)) {
    return;
  }
  const auto found = std::ranges::find(mAttempts, aTicket, &attempt::mTicket);
  if (found == mAttempts.end()) {
    return;
  }
  found->mTimeToFirstToken = aWait;
  mHealth.OnFirstToken(aWait, aNow);
  mTimeToFirstToken.Add(ToSeconds(aWait), aNow);
  if (found->mWithinLimit) {
    mLimit.OnFirstToken(
      aWait, mLoad.InFlight() + mLoad.OthersInFlight(aNow), aNow);
  }
}

std::optional<double>
endpoint_record::OnEnded(ticket aTicket,
                         attempt_end aHow,
                         std::uint32_t aTokens,
                         duration aElapsed,
                         bool aMayEject,
                         time_point aNow)
{
  const auto found = std::ranges::find(mAttempts, aTicket, &attempt::mTicket);
  if (found == mAttempts.end()) {
    return std::nullopt;
  }
  const attempt ended = *found;
  *found = mAttempts.back();
  mAttempts.pop_back();
  mLongInFlight -= ended.mLong ? 1 : 0;
  mHealth.OnEnded(aHow, aElapsed, aMayEject, aNow);
  if (aHow == attempt_end::kDeclined) {
    // Subtracts the declined request, which `mLoad` still includes although the
    // endpoint does not run it.
    mLimit.OnDeclined(mLoad.InFlight() - 1, aNow);
  }
  if (aHow == attempt_end::kDeclinedLeaving) {
    mLeavingReportedAt = aNow;
  }
  mLoad.OnEnded(aNow);
  const bool isInformative = aHow == attempt_end::kCompleted &&
                             aTokens >= kMinTokens &&
                             ended.mTimeToFirstToken > duration{};
  if (!isInformative || SpansClockGap(aElapsed, aNow)) {
    return std::nullopt;
  }
  return ToSeconds(aElapsed - ended.mTimeToFirstToken) / (aTokens - 1);
}

void
endpoint_record::OnTimePerToken(double aSeconds,
                                double aPoolMedian,
                                bool aMayEject,
                                time_point aNow)
{
  mTimePerToken.Add(aSeconds, aNow);
  mLimit.OnTimePerToken(FromSeconds(aSeconds));
  if (aPoolMedian > 0) {
    const double own = mTimePerToken.Value(aPoolMedian, Seconds(1), aNow);
    mHealth.OnRelativeTimePerToken(own / aPoolMedian, aMayEject, aNow);
  }
}

void
endpoint_record::OnReport(const load_report& aReport, time_point aNow)
{
  if (mLastClockGap && aReport.mMeasuredAt < *mLastClockGap) {
    return;
  }
  ClearUnconfirmed();
  mLoad.OnReport(aReport, aNow);
  if (aReport.mWaiting > 0) {
    mHealth.OnQueueReported(std::min(aReport.mMeasuredAt, aNow));
  }
  if (aReport.mLeaving) {
    mLeavingReportedAt = aNow;
  } else if (mLeavingReportedAt && aReport.mMeasuredAt > *mLeavingReportedAt) {
    mLeavingReportedAt.reset();
  }
}

void
endpoint_record::SetState(endpoint_state aState, time_point /*aNow*/)
{
  ClearUnconfirmed();
  if (mState == endpoint_state::kGone && aState == endpoint_state::kLive) {
    // A new process has started under the same endpoint name, so the report
    // that the old process is leaving no longer applies.
    mLeavingReportedAt.reset();
  }
  mState = aState;
}

void
endpoint_record::OnClockGap(time_point aNow)
{
  mLastClockGap = aNow;
  mUnconfirmed = mLoad.InFlight();
  mLoad.DiscardReport();
  mHealth.OnClockGap(aNow);
}

bool
endpoint_record::AcceptsNewWork(time_point aNow) const
{
  return mIsDeclared && !mIsOutOfService && mState == endpoint_state::kLive &&
         !NoNewWorkUntil(aNow).has_value();
}

std::optional<time_point>
endpoint_record::NoNewWorkUntil(time_point aNow) const
{
  time_point until = mRestUntil;
  if (mLeavingReportedAt) {
    until =
      std::max(until, *mLeavingReportedAt + mSettings.mLeavingReportLifetime);
  }
  return until > aNow ? std::optional(until) : std::nullopt;
}

std::optional<time_point>
endpoint_record::NextByRate(time_point aNow) const
{
  const auto wait = mGate.Wait(aNow);
  return wait && *wait > duration::zero() ? std::optional(aNow + *wait)
                                          : std::nullopt;
}

void
endpoint_record::Rest(time_point aUntil)
{
  mRestUntil = std::max(mRestUntil, aUntil);
}

// The concurrency limit applies to all routers together, so the estimated
// number of requests of the other routers is subtracted.
//
// A router that starts after the other routers have filled the endpoint must
// still get slots, although the other routers replace each finished request at
// once. So each router may always use its fair share of the limit (the limit
// divided by `mMaxRouters`). The endpoint then has slightly more requests than
// the limit. The other routers see this in the next load report and send less
// until each router has its fair share.
std::uint32_t
endpoint_record::Capacity(time_point aNow) const
{
  const std::uint32_t limit = mLimit.Limit();
  const double others = mLoad.OthersInFlight(aNow);
  double slots = limit;
  if (others > 0) {
    const double fairShare =
      std::floor(static_cast<double>(limit) / mSettings.mMaxRouters);
    slots = std::max({ 1.0, fairShare, std::round(limit - others) });
  }
  std::uint32_t capacity = mHealth.Allowance(
    static_cast<std::uint32_t>(slots), mLoad.InFlight(), aNow);
  if (mUnconfirmed) {
    capacity = std::min(capacity, *mUnconfirmed + 1);
  }
  return capacity;
}

bool
endpoint_record::HasFreeSlot(time_point aNow) const
{
  return AcceptsNewWork(aNow) && MaySendByRate(aNow) &&
         mLoad.InFlight() < Capacity(aNow);
}

bool
endpoint_record::HasFreeSlotForLong(time_point aNow) const
{
  const double maxLong =
    std::floor(Capacity(aNow) * mSettings.mMaxLongFraction);
  return mLongInFlight < std::max(1.0, maxLong);
}

double
endpoint_record::Utilization() const
{
  return static_cast<double>(mLoad.InFlight()) / mLimit.Limit();
}

bool
endpoint_record::SpansClockGap(duration aElapsed, time_point aNow) const
{
  return mLastClockGap && aNow - aElapsed < *mLastClockGap;
}

} // namespace thornhollow::internal
