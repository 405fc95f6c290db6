#include "thornhollow/policy/internal/endpoint_record.h"

#include <algorithm>
#include <cmath>

namespace thornhollow::internal {
namespace {

constexpr double kNewest = 0.2;
// Fewer tokens tell little about the time for each.
constexpr std::uint32_t kLeastTokens = 8;

} // namespace

void
moving_average::Add(double aValue, time_point aNow)
{
  mValue = mValue == 0 ? aValue : mValue + kNewest * (aValue - mValue);
  mAdded = aNow;
}

double
moving_average::Value(double aTypical, duration aHalf, time_point aNow) const
{
  if (mValue == 0) {
    return aTypical;
  }
  const double halves = ToSeconds(aNow - mAdded) / ToSeconds(aHalf);
  return aTypical + (mValue - aTypical) * std::exp2(-std::max(0.0, halves));
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
  const bool isWithin = mLoad.InFlight() + mLoad.Others(aNow) < mLimit.Limit();
  mAttempts.push_back({ aTicket, aLong, isWithin, {} });
  mLong += aLong ? 1 : 0;
  mLoad.OnSent(aNow);
  mHealth.OnSent(aNow);
}

void
endpoint_record::OnFirstToken(ticket aTicket, duration aWait, time_point aNow)
{
  Confirm();
  if (SpansGap(aWait, aNow)) {
    return;
  }
  const auto found = std::ranges::find(mAttempts, aTicket, &attempt::mTicket);
  if (found == mAttempts.end()) {
    return;
  }
  found->mFirstToken = aWait;
  mHealth.OnFirstToken(aWait, aNow);
  mFirstToken.Add(ToSeconds(aWait), aNow);
  if (found->mWithinLimit) {
    mLimit.OnFirstToken(aWait, mLoad.InFlight() + mLoad.Others(aNow), aNow);
  }
}

std::optional<double>
endpoint_record::OnEnded(ticket aTicket,
                         attempt_end aHow,
                         std::uint32_t aTokens,
                         duration aLength,
                         bool aMayLeave,
                         time_point aNow)
{
  const auto found = std::ranges::find(mAttempts, aTicket, &attempt::mTicket);
  if (found == mAttempts.end()) {
    return std::nullopt;
  }
  const attempt ended = *found;
  *found = mAttempts.back();
  mAttempts.pop_back();
  mLong -= ended.mLong ? 1 : 0;
  mHealth.OnEnded(aHow, aLength, aMayLeave, aNow);
  if (aHow == attempt_end::kDeclined) {
    // The one that was declined isn't running there.
    mLimit.OnDeclined(mLoad.InFlight() - 1, aNow);
  }
  if (aHow == attempt_end::kDeclinedLeaving) {
    mSaidLeaving = aNow;
  }
  mLoad.OnEnded(aNow);
  const bool tells = aHow == attempt_end::kCompleted &&
                     aTokens >= kLeastTokens && ended.mFirstToken > duration{};
  if (!tells || SpansGap(aLength, aNow)) {
    return std::nullopt;
  }
  return ToSeconds(aLength - ended.mFirstToken) / (aTokens - 1);
}

void
endpoint_record::OnPace(double aSeconds,
                        double aTypical,
                        bool aMayLeave,
                        time_point aNow)
{
  mPerToken.Add(aSeconds, aNow);
  mLimit.OnPace(FromSeconds(aSeconds));
  if (aTypical > 0) {
    const double own = mPerToken.Value(aTypical, Seconds(1), aNow);
    mHealth.OnPace(own / aTypical, aMayLeave, aNow);
  }
}

void
endpoint_record::OnReport(const load_report& aReport, time_point aNow)
{
  if (mGap && aReport.mMeasuredAt < *mGap) {
    return;
  }
  Confirm();
  mLoad.OnReport(aReport, aNow);
  if (aReport.mWaiting > 0) {
    mHealth.OnQueueReported(std::min(aReport.mMeasuredAt, aNow));
  }
  if (aReport.mLeaving) {
    mSaidLeaving = aNow;
  } else if (mSaidLeaving && aReport.mMeasuredAt > *mSaidLeaving) {
    mSaidLeaving.reset();
  }
}

void
endpoint_record::SetState(endpoint_state aState, time_point /*aNow*/)
{
  Confirm();
  if (mState == endpoint_state::kGone && aState == endpoint_state::kLive) {
    // Another process under the same name.
    mSaidLeaving.reset();
  }
  mState = aState;
}

void
endpoint_record::OnClockGap(time_point aNow)
{
  mGap = aNow;
  mUnconfirmed = mLoad.InFlight();
  mLoad.ForgetReport();
  mHealth.OnClockGap(aNow);
}

bool
endpoint_record::MayTakeWork(time_point aNow) const
{
  return mIsDeclared && mState == endpoint_state::kLive &&
         !OwnWordEnds(aNow).has_value();
}

std::optional<time_point>
endpoint_record::OwnWordEnds(time_point aNow) const
{
  if (!mSaidLeaving || aNow - *mSaidLeaving >= mSettings.mOwnWordLife) {
    return std::nullopt;
  }
  return *mSaidLeaving + mSettings.mOwnWordLife;
}

// The limit holds for all routers together: what the others hold is taken off.
//
// A router that comes late must still get in, though the others replace each
// request of theirs at once: it may always hold its even part of the limit. The
// engine then has a little more than its limit, the others see that in the next
// report and hold back until each has its part.
std::uint32_t
endpoint_record::Capacity(time_point aNow) const
{
  const std::uint32_t limit = mLimit.Limit();
  const double others = mLoad.Others(aNow);
  double places = limit;
  if (others > 0) {
    const double even =
      std::floor(static_cast<double>(limit) / mSettings.mRouters);
    places = std::max({ 1.0, even, std::round(limit - others) });
  }
  std::uint32_t capacity = mHealth.Allowance(
    static_cast<std::uint32_t>(places), mLoad.InFlight(), aNow);
  if (mUnconfirmed) {
    capacity = std::min(capacity, *mUnconfirmed + 1);
  }
  return capacity;
}

bool
endpoint_record::HasPlace(time_point aNow) const
{
  return MayTakeWork(aNow) && mLoad.InFlight() < Capacity(aNow);
}

bool
endpoint_record::HasPlaceForLong(time_point aNow) const
{
  const double most = std::floor(Capacity(aNow) * mSettings.mLongShare);
  return mLong < std::max(1.0, most);
}

double
endpoint_record::LoadShare() const
{
  return static_cast<double>(mLoad.InFlight()) / mLimit.Limit();
}

bool
endpoint_record::SpansGap(duration aLength, time_point aNow) const
{
  return mGap && aNow - aLength < *mGap;
}

} // namespace thornhollow::internal
