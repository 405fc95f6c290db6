// Limits how many large copies an instance sends to its peers at a time.
//
//   large_copy_limiter limiter(settings);
//   if (!limiter.TryAdmit(bytes, now)) { ... the peer asks another one ... }
//
// Guards against overload by a configuration of hundreds of kilobytes that one
// or two instances of a failure domain receive first and all others request
// from them at once: sent in parallel, each copy takes as long as all of them
// together. Copies are therefore sent roughly one after the other, at the
// allowed fraction of the rate of the instance's link, and each peer that has
// received a copy can send it to further peers.
#ifndef THORNHOLLOW_FLEET_LARGE_COPY_LIMITER_H_
#define THORNHOLLOW_FLEET_LARGE_COPY_LIMITER_H_

#include <algorithm>
#include <cstddef>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct large_copy_limiter_settings
{
  // Minimum size of a large copy, in bytes. Smaller copies are always admitted:
  // the notice of a leaving endpoint has a few hundred bytes.
  std::size_t mMinLargeBytes = 16'384;
  double mLinkBytesPerSecond = 2'500'000;
  // Fraction of the link's rate that is used for copies; the rest is for
  // responses to callers.
  double mCopyFraction = 0.8;
  // Maximum time that sending the already admitted copies may still take for
  // another copy to be admitted.
  duration mMaxQueueDelay = Milliseconds(250);
};

class large_copy_limiter
{
public:
  explicit large_copy_limiter(const large_copy_limiter_settings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  // Returns whether a copy of this size may be sent now. If so, reserves the
  // time that sending the copy takes.
  bool TryAdmit(std::size_t aBytes, time_point aNow)
  {
    if (aBytes < mSettings.mMinLargeBytes) {
      return true;
    }
    if (mBusyUntil - aNow > mSettings.mMaxQueueDelay) {
      return false;
    }
    const double bytesPerSecond =
      mSettings.mLinkBytesPerSecond * mSettings.mCopyFraction;
    mBusyUntil = std::max(mBusyUntil, aNow) +
                 FromSeconds(static_cast<double>(aBytes) / bytesPerSecond);
    return true;
  }

private:
  large_copy_limiter_settings mSettings;
  // Time at which all copies admitted so far will have been sent.
  time_point mBusyUntil{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_LARGE_COPY_LIMITER_H_
