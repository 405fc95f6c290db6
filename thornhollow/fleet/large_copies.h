// How many large copies an instance gives to its peers at a time.
//
//   large_copies given(settings);
//   if (!given.Gives(bytes, now)) { ... tell the peer to ask another ... }
//
// Load this answers: a configuration of hundreds of kilobytes of which one or
// two instances of a failure domain know first, and which all others ask them
// for at once. Each copy then takes as long as all of them together. So they
// are given about one after the other, as fast as the instance's link carries
// them, and those who got one give it on.
#ifndef THORNHOLLOW_FLEET_LARGE_COPIES_H_
#define THORNHOLLOW_FLEET_LARGE_COPIES_H_

#include <algorithm>
#include <cstddef>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct large_copy_settings
{
  // Smaller ones are always given: the news of an endpoint that leaves has a
  // few hundred.
  std::size_t mLargeFromBytes = 16'384;
  double mLinkBytesPerSecond = 2'500'000;
  // The rest is for callers' answers.
  double mPartForCopies = 0.8;
  // None is given while those before it take longer than this.
  duration mMostQueued = Milliseconds(250);
};

class large_copies
{
public:
  explicit large_copies(const large_copy_settings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  // Whether a copy of so many bytes is given now; it counts as given then.
  bool Gives(std::size_t aBytes, time_point aNow)
  {
    if (aBytes < mSettings.mLargeFromBytes) {
      return true;
    }
    if (mBusyUntil - aNow > mSettings.mMostQueued) {
      return false;
    }
    const double carried =
      mSettings.mLinkBytesPerSecond * mSettings.mPartForCopies;
    mBusyUntil = std::max(mBusyUntil, aNow) +
                 FromSeconds(static_cast<double>(aBytes) / carried);
    return true;
  }

private:
  large_copy_settings mSettings;
  // The copies that were given are sent by then.
  time_point mBusyUntil{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_LARGE_COPIES_H_
