// How much comes in a second, with what came longer ago counting for less.
//
//   faded_rate rate;
//   rate.Add(1200, now);
//   const double perSecond = rate.PerSecond(now);
//
#ifndef THORNHOLLOW_POLICY_FADED_RATE_H_
#define THORNHOLLOW_POLICY_FADED_RATE_H_

#include <algorithm>
#include <cmath>

#include "thornhollow/base/time.h"

namespace thornhollow {

class faded_rate
{
public:
  // A few of the arrivals' clumps, and shorter than a burst.
  static constexpr double kMemorySeconds = 2.0;

  explicit faded_rate(double aMemorySeconds = kMemorySeconds)
    : mMemorySeconds(aMemorySeconds)
  {
  }

  void Add(double aAmount, time_point aNow)
  {
    mPerSecond = PerSecond(aNow) + aAmount / mMemorySeconds;
    mAt = std::max(mAt, aNow);
  }

  double PerSecond(time_point aNow) const
  {
    const double passed = std::max(0.0, ToSeconds(aNow - mAt));
    return mPerSecond * std::exp(-passed / mMemorySeconds);
  }

private:
  double mMemorySeconds;
  double mPerSecond = 0;
  time_point mAt{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_FADED_RATE_H_
