#include "thornhollow/request/silence_handover.h"

#include <algorithm>

namespace thornhollow {
namespace {

// Callers leave a stream after two seconds without an event.
constexpr duration kMinSilenceTimeout = Milliseconds(1'300);

// Of the target of a request that is not a stream.
constexpr int kSilenceTargetFactor = 4;

} // namespace

duration
SilenceTimeout(const route& aRoute)
{
  const duration byRoute = IsStream(aRoute.mKind)
                             ? aRoute.mEventGapTarget
                             : kSilenceTargetFactor * aRoute.mTarget;
  return std::max(byRoute, kMinSilenceTimeout);
}

handover_step
silence_handover::OnSilence(time_point aNow) const
{
  switch (mPhase) {
    case handover_phase::kIdle:
      return aNow >= mNotBefore ? handover_step::kPrepare
                                : handover_step::kWait;
    case handover_phase::kOverlapping:
      return aNow - mSentAt >= mSettings.mMaxOverlap ? handover_step::kSwitch
                                                     : handover_step::kWait;
    default:
      return handover_step::kWait;
  }
}

time_point
silence_handover::NextCheck(time_point aNow) const
{
  switch (mPhase) {
    case handover_phase::kIdle:
      return std::max(mNotBefore, aNow);
    case handover_phase::kOverlapping:
      // The silent attempt may be kept although it is due to be closed.
      return mSentAt + mSettings.mMaxOverlap > aNow
               ? mSentAt + mSettings.mMaxOverlap
               : aNow + mSettings.mRetryInterval;
    default:
      return aNow + mSettings.mRetryInterval;
  }
}

void
silence_handover::OnSent(time_point aNow)
{
  mPhase = handover_phase::kOverlapping;
  mSentAt = aNow;
}

void
silence_handover::OnFailed(time_point aNow)
{
  mPhase = handover_phase::kIdle;
  mNotBefore = aNow + mSettings.mRetryInterval;
}

} // namespace thornhollow
