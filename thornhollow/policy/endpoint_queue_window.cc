#include "thornhollow/policy/endpoint_queue_window.h"

#include <algorithm>

namespace thornhollow {

endpoint_queue_window::endpoint_queue_window(
  const endpoint_queue_settings& aSettings)
  : mSettings(aSettings)
  , mWindow(aSettings.mFirst)
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
  OnLost();
  const duration bound =
    FromSeconds(ToSeconds(aTarget) * mSettings.mPartOfTarget);
  if (aWait <= bound) {
    mWindow = std::min(mSettings.mMost, mWindow + mSettings.mRise);
  } else if (aNow - mCutAt >= bound) {
    mWindow = std::max(mSettings.mLeast, mWindow * mSettings.mCut);
    mCutAt = aNow;
  }
}

void
endpoint_queue_window::OnLost()
{
  mWaiting -= mWaiting > 0 ? 1 : 0;
}

} // namespace thornhollow
