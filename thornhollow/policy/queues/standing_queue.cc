#include "thornhollow/policy/queues/standing_queue.h"

#include <algorithm>

namespace thornhollow {

standing_queue::standing_queue(const standing_queue_settings& aSettings,
                               duration aTarget)
  : mSettings(aSettings)
  , mWaitTarget(FromSeconds(ToSeconds(aTarget) * aSettings.mTargetFraction))
{
}

void
standing_queue::OnStarted(duration aWait, time_point aNow)
{
  if (aWait <= mWaitTarget) {
    mAboveSince.reset();
  } else if (!mAboveSince) {
    mAboveSince = aNow;
  }
}

bool
standing_queue::IsStanding(time_point aNow) const
{
  return mSettings.mEnabled && mWaitTarget > duration::zero() && mAboveSince &&
         aNow - *mAboveSince >= mSettings.mWindow;
}

duration
standing_queue::MaxWait(duration aUntilDeadline, time_point aNow) const
{
  return IsStanding(aNow) ? std::min(aUntilDeadline, mWaitTarget)
                          : aUntilDeadline;
}

} // namespace thornhollow
