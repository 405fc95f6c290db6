// How many large copies an instance gives to its peers at a time.
//
//   large_copy_limiter given(settings);
//   if (!given.Gives(bytes, now)) { ... tell the peer to ask another ... }
//
// Load this answers: a configuration of hundreds of kilobytes of which one or
// two instances of a failure domain know first, and which all others ask them
// for at once. Each copy then takes as long as all of them together. So they
// are given about one after the other, as fast as the instance's link carries
// them, and those who got one give it on.
#ifndef THORNHOLLOW_FLEET_LARGE_COPY_LIMITER_H_
#define THORNHOLLOW_FLEET_LARGE_COPY_LIMITER_H_

#include <algorithm>
#include <cstddef>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct large_copy_limiter_settings
{
  // Smaller ones are always given: the news of an endpoint that leaves has a
  // few hundred.
  std::size_t mMinLargeBytes = 16'384;
  double mLinkBytesPerSecond = 2'500'000;
  // The rest is for callers' answers.
  double mCopyFraction = 0.8;
  // None is given while those before it take longer than this.
  duration mMaxQueueDelay = Milliseconds(250);
};

class large_copy_limiter
{
public:
  explicit large_copy_limiter(const large_copy_limiter_settings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  // Whether a copy of so many bytes is given now; it counts as given then.
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
  // The copies that were given are sent by then.
  time_point mBusyUntil{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_LARGE_COPY_LIMITER_H_
