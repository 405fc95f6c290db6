// How many large copies an instance gives to its peers at a time.
//
//   large_copies given;
//   if (!given.Gives(bytes, now)) { ... tell the peer to ask another ... }
//
// Load this answers: a configuration of hundreds of kilobytes of which one or
// two instances of a failure domain know first, and which all others ask them
// for at once. Each copy then takes longer than anybody waits for it, is asked
// for again, and none arrives. So a few are given, and those who got them give
// it on.
#ifndef THORNHOLLOW_FLEET_LARGE_COPIES_H_
#define THORNHOLLOW_FLEET_LARGE_COPIES_H_

#include <cstddef>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/faded_rate.h"

namespace thornhollow {

struct large_copy_settings
{
  // Smaller ones are always given: the news of an endpoint that leaves has a
  // few hundred.
  std::size_t mLargeFromBytes = 16'384;
  // None is given while more than this was given a second lately: a quarter of
  // what a link of 20 Mbit/s carries, beside the callers' answers.
  double mMostPerSecond = 600'000;
  double mMemorySeconds = 1;

  friend bool operator==(const large_copy_settings&,
                         const large_copy_settings&) = default;
};

class large_copies
{
public:
  explicit large_copies(const large_copy_settings& aSettings = {})
    : mSettings(aSettings)
    , mGiven(aSettings.mMemorySeconds)
  {
  }

  // Whether a copy of so many bytes is given now; it counts as given then.
  bool Gives(std::size_t aBytes, time_point aNow)
  {
    if (aBytes < mSettings.mLargeFromBytes) {
      return true;
    }
    if (mGiven.PerSecond(aNow) > mSettings.mMostPerSecond) {
      return false;
    }
    mGiven.Add(static_cast<double>(aBytes), aNow);
    return true;
  }

private:
  large_copy_settings mSettings;
  faded_rate mGiven;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_LARGE_COPIES_H_
