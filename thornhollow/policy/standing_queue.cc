#include "thornhollow/policy/standing_queue.h"

#include <algorithm>

namespace thornhollow {

standing_queue::standing_queue(const standing_queue_settings& aSettings,
                               duration aTarget)
  : mSettings(aSettings)
  , mTarget(FromSeconds(ToSeconds(aTarget) * aSettings.mPartOfTarget))
{
}

void
standing_queue::OnStarted(duration aWait, time_point aNow)
{
  if (aWait <= mTarget) {
    mAboveSince.reset();
  } else if (!mAboveSince) {
    mAboveSince = aNow;
  }
}

bool
standing_queue::Stands(time_point aNow) const
{
  return mSettings.mEnabled && mTarget > duration::zero() && mAboveSince &&
         aNow - *mAboveSince >= mSettings.mWindow;
}

duration
standing_queue::Bound(duration aUntilDeadline, time_point aNow) const
{
  return Stands(aNow) ? std::min(aUntilDeadline, mTarget) : aUntilDeadline;
}

} // namespace thornhollow
