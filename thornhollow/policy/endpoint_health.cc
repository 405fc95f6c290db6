#include "thornhollow/policy/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace thornhollow {
namespace {

// Weight of the newest attempt in the averages: about the last twenty count.
constexpr double kNewest = 0.1;

} // namespace

endpoint_health::endpoint_health(const endpoint_health_settings& aSettings)
  : mSettings(aSettings)
  , mProbeAfter(aSettings.mFirstProbeAfter)
{
}

void
endpoint_health::OnSent(time_point aNow)
{
  ++mOutstanding;
  if (!mUnansweredSince) {
    mUnansweredSince = aNow;
  }
  if (mShare == 0) {
    // A probe. The next one waits twice as long unless this one is answered.
    mProbeAfter = std::min(2 * mProbeAfter, mSettings.mLastProbeAfter);
    mProbeAt = aNow + mProbeAfter;
  }
}

void
endpoint_health::OnFirstToken(duration aWait, time_point aNow)
{
  const double wait = ToSeconds(aWait);
  mUsualWait =
    mUsualWait == 0 ? wait : mUsualWait + kNewest * (wait - mUsualWait);
  OnLife(aNow);
}

void
endpoint_health::OnEnded(attempt_end aHow,
                         duration aLength,
                         bool aMayLeave,
                         time_point aNow)
{
  mOutstanding -= mOutstanding > 0 ? 1 : 0;
  switch (aHow) {
    case attempt_end::kCompleted:
      OnLife(aNow);
      OnSuccess();
      break;
    case attempt_end::kFailed:
      OnFailure(aMayLeave, aNow);
      break;
    case attempt_end::kSilent:
      if (mLastLife <= aNow - aLength) {
        Leave(health_kind::kSilent, aNow);
      }
      break;
    case attempt_end::kDeclined:
    case attempt_end::kDeclinedLeaving:
      OnLife(aNow);
      break;
    case attempt_end::kCancelled:
      break;
  }
  if (mOutstanding == 0) {
    // Callers that leave take their requests along: nobody waits any more.
    mUnansweredSince.reset();
  }
}

void
endpoint_health::OnQueueReported(time_point aTaken)
{
  if (mUnansweredSince) {
    mUnansweredSince = std::max(*mUnansweredSince, aTaken);
  }
}

void
endpoint_health::OnPace(double aOfPools, bool aMayLeave, time_point aNow)
{
  if (!mSettings.mJudge || mShare == 0) {
    return;
  }
  if (aOfPools < mSettings.mNoLongerSlowFactor) {
    if (mKind == health_kind::kSlow) {
      mKind = health_kind::kReturning;
    }
    return;
  }
  if (aOfPools < mSettings.mSlowFactor || !aMayLeave ||
      aNow - mSlowJudged < mSettings.mSlowEvery) {
    return;
  }
  mSlowJudged = aNow;
  mKind = health_kind::kSlow;
  mShare = std::max(mSettings.mSmallestShare, mShare / 2);
}

void
endpoint_health::Update(time_point aNow)
{
  if (mUnansweredSince && mShare > 0 &&
      aNow - *mUnansweredSince >= SilentAfter()) {
    Leave(health_kind::kSilent, aNow);
  }
}

void
endpoint_health::OnClockGap(time_point aNow)
{
  if (mUnansweredSince) {
    mUnansweredSince = aNow;
  }
}

std::uint32_t
endpoint_health::Allowance(std::uint32_t aLimit,
                           std::uint32_t aInFlight,
                           time_point aNow) const
{
  if (mShare == 0) {
    return aNow >= *NextProbe(aInFlight) ? aInFlight + 1 : 0;
  }
  const double places = std::round(aLimit * mShare);
  return std::max(1U, static_cast<std::uint32_t>(places));
}

std::optional<time_point>
endpoint_health::NextProbe(std::uint32_t aInFlight) const
{
  if (mShare > 0) {
    return std::nullopt;
  }
  // What still waits there is a probe as well: any answer to it is a sign of
  // life, and one request more would only wait beside it. Should its connection
  // be dead, a probe goes in the end.
  const bool isWaitingThere = mKind == health_kind::kSilent && aInFlight > 0;
  return isWaitingThere ? mProbeAt + mSettings.mLastProbeAfter : mProbeAt;
}

void
endpoint_health::Leave(health_kind aWhy, time_point aNow)
{
  if (!mSettings.mJudge || mShare == 0) {
    return;
  }
  mKind = aWhy;
  mShare = 0;
  mProbeAt = aNow + mProbeAfter;
}

void
endpoint_health::ComeBack()
{
  mKind = health_kind::kReturning;
  mShare = mSettings.mSmallestShare;
  mFailuresInRow = 0;
  mFailures = 0;
  mAttempts = 0;
}

void
endpoint_health::OnLife(time_point aNow)
{
  mLastLife = aNow;
  mUnansweredSince.reset();
  if (mKind == health_kind::kSilent) {
    ComeBack();
  }
}

void
endpoint_health::OnFailure(bool aMayLeave, time_point aNow)
{
  mUnansweredSince.reset();
  ++mFailuresInRow;
  ++mAttempts;
  mFailures += kNewest * (1 - mFailures);
  const bool failing = mFailuresInRow >= mSettings.mFailuresInRow ||
                       mKind == health_kind::kReturning ||
                       (mAttempts >= mSettings.mLeastAttempts &&
                        mFailures >= mSettings.mFailureShare);
  if (failing && aMayLeave) {
    Leave(health_kind::kFailing, aNow);
  }
}

void
endpoint_health::OnSuccess()
{
  mFailuresInRow = 0;
  ++mAttempts;
  mFailures -= kNewest * mFailures;
  if (mShare == 0) {
    ComeBack();
    return;
  }
  if (mKind != health_kind::kReturning) {
    return;
  }
  mShare = std::min(1.0, mShare * mSettings.mReturnGrowth);
  if (mShare == 1) {
    mKind = health_kind::kServing;
    mProbeAfter = mSettings.mFirstProbeAfter;
  }
}

duration
endpoint_health::SilentAfter() const
{
  return std::max(mSettings.mSilentAfter,
                  FromSeconds(mUsualWait * mSettings.mSilentFactor));
}

} // namespace thornhollow
