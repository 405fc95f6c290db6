#include "thornhollow/policy/endpoints/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace thornhollow {
namespace {

// Weight of the newest attempt in the moving averages, which thus cover about
// the last twenty attempts.
constexpr double kSmoothingFactor = 0.1;

} // namespace

endpoint_health::endpoint_health(const endpoint_health_settings& aSettings)
  : mSettings(aSettings)
  , mProbeDelay(aSettings.mInitialProbeDelay)
{
}

void
endpoint_health::OnSent(time_point aNow)
{
  ++mOutstanding;
  if (!mUnansweredSince) {
    mUnansweredSince = aNow;
  }
  if (mCapacityFraction == 0) {
    // A request sent while no capacity may be used is a probe. The delay before
    // the next probe is twice as long unless this one is answered.
    mProbeDelay = std::min(2 * mProbeDelay, mSettings.mMaxProbeDelay);
    mProbeAt = aNow + mProbeDelay;
  }
}

void
endpoint_health::OnFirstToken(duration aWait, time_point aNow)
{
  const double wait = ToSeconds(aWait);
  mAverageTimeToFirstToken =
    mAverageTimeToFirstToken == 0
      ? wait
      : mAverageTimeToFirstToken +
          kSmoothingFactor * (wait - mAverageTimeToFirstToken);
  OnActivity(aNow);
}

void
endpoint_health::OnEnded(attempt_end aHow,
                         duration aElapsed,
                         bool aMayEject,
                         time_point aNow)
{
  mOutstanding -= mOutstanding > 0 ? 1 : 0;
  switch (aHow) {
    case attempt_end::kCompleted:
      OnActivity(aNow);
      OnSuccess();
      break;
    case attempt_end::kFailed:
      OnFailure(aMayEject, aNow);
      break;
    case attempt_end::kConnectionRefused:
      mUnansweredSince.reset();
      if (aMayEject) {
        Eject(health_state::kFailing, aNow);
      }
      break;
    case attempt_end::kSilent:
      if (mLastActivity <= aNow - aElapsed) {
        Eject(health_state::kUnresponsive, aNow);
      }
      break;
    case attempt_end::kDeclined:
    case attempt_end::kDeclinedLeaving:
      OnActivity(aNow);
      break;
    case attempt_end::kCancelled:
      break;
  }
  if (mOutstanding == 0) {
    // No request is outstanding, for example because its caller left, so no
    // answer is expected any more.
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
endpoint_health::OnRelativeTimePerToken(double aRatio,
                                        bool aMayEject,
                                        time_point aNow)
{
  if (!mSettings.mEnabled || mCapacityFraction == 0) {
    return;
  }
  if (aRatio < mSettings.mSlowRecoveryFactor) {
    if (mState == health_state::kSlow) {
      mState = health_state::kRecovering;
    }
    return;
  }
  if (aRatio < mSettings.mSlowFactor || !aMayEject ||
      aNow - mLastSlowReduction < mSettings.mSlowReductionInterval) {
    return;
  }
  mLastSlowReduction = aNow;
  mState = health_state::kSlow;
  mCapacityFraction =
    std::max(mSettings.mMinCapacityFraction, mCapacityFraction / 2);
}

void
endpoint_health::Update(time_point aNow)
{
  if (mUnansweredSince && mCapacityFraction > 0 &&
      aNow - *mUnansweredSince >= SilenceTimeout()) {
    Eject(health_state::kUnresponsive, aNow);
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
  if (mCapacityFraction == 0) {
    return aNow >= *NextProbe(aInFlight) ? aInFlight + 1 : 0;
  }
  const double slots = std::round(aLimit * mCapacityFraction);
  return std::max(1U, static_cast<std::uint32_t>(slots));
}

std::optional<time_point>
endpoint_health::NextProbe(std::uint32_t aInFlight) const
{
  if (mCapacityFraction > 0) {
    return std::nullopt;
  }
  // Requests that an unresponsive endpoint hasn't answered yet act as probes:
  // an answer to any of them shows that the endpoint works again, and another
  // request would only wait with them. In case only their connection is broken,
  // a probe is sent after the maximum probe delay in addition.
  const bool isWaitingThere =
    mState == health_state::kUnresponsive && aInFlight > 0;
  return isWaitingThere ? mProbeAt + mSettings.mMaxProbeDelay : mProbeAt;
}

void
endpoint_health::Eject(health_state aReason, time_point aNow)
{
  if (!mSettings.mEnabled || mCapacityFraction == 0) {
    return;
  }
  mState = aReason;
  mCapacityFraction = 0;
  mProbeAt = aNow + mProbeDelay;
}

void
endpoint_health::StartRecovery()
{
  mState = health_state::kRecovering;
  mCapacityFraction = mSettings.mMinCapacityFraction;
  mConsecutiveFailures = 0;
  mFailureRate = 0;
  mAttempts = 0;
}

void
endpoint_health::OnActivity(time_point aNow)
{
  mLastActivity = aNow;
  mUnansweredSince.reset();
  if (mState == health_state::kUnresponsive) {
    StartRecovery();
  }
}

void
endpoint_health::OnFailure(bool aMayEject, time_point aNow)
{
  mUnansweredSince.reset();
  ++mConsecutiveFailures;
  ++mAttempts;
  mFailureRate += kSmoothingFactor * (1 - mFailureRate);
  const bool isFailing =
    mConsecutiveFailures >= mSettings.mEjectAfterFailures ||
    mState == health_state::kRecovering ||
    (mAttempts >= mSettings.mMinAttempts &&
     mFailureRate >= mSettings.mMaxFailureRate);
  if (isFailing && aMayEject) {
    Eject(health_state::kFailing, aNow);
  }
}

void
endpoint_health::OnSuccess()
{
  mConsecutiveFailures = 0;
  ++mAttempts;
  mFailureRate -= kSmoothingFactor * mFailureRate;
  if (mCapacityFraction == 0) {
    StartRecovery();
    return;
  }
  if (mState != health_state::kRecovering) {
    return;
  }
  mCapacityFraction =
    std::min(1.0, mCapacityFraction * mSettings.mRecoveryGrowth);
  if (mCapacityFraction == 1) {
    mState = health_state::kHealthy;
    mProbeDelay = mSettings.mInitialProbeDelay;
  }
}

duration
endpoint_health::SilenceTimeout() const
{
  return std::max(
    mSettings.mSilenceTimeout,
    FromSeconds(mAverageTimeToFirstToken * mSettings.mSilenceLatencyFactor));
}

} // namespace thornhollow
