#include "thornhollow/policy/queues/endpoint_queue_window.h"

#include <algorithm>

namespace thornhollow {

endpoint_queue_window::endpoint_queue_window(
  const endpoint_queue_window_settings& aSettings)
  : mSettings(aSettings)
  , mWindow(aSettings.mInitialWindow)
{
}

bool
endpoint_queue_window::HasRoom() const
{
  return mSettings.mEnabled && mWaiting + 1 <= mWindow;
}

void
endpoint_queue_window::OnFirstToken(duration aWait,
                                    duration aTarget,
                                    time_point aNow)
{
  OnDequeued();
  const duration bound =
    FromSeconds(ToSeconds(aTarget) * mSettings.mTargetFraction);
  if (aWait <= bound) {
    mWindow = std::min(mSettings.mMaxWindow, mWindow + mSettings.mIncrease);
  } else if (aNow - mLastDecrease >= bound) {
    mWindow =
      std::max(mSettings.mMinWindow, mWindow * mSettings.mDecreaseFactor);
    mLastDecrease = aNow;
  }
}

void
endpoint_queue_window::OnDequeued()
{
  mWaiting -= mWaiting > 0 ? 1 : 0;
}

} // namespace thornhollow
