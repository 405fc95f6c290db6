// Exponentially decaying rate of events per second.
//
//   decaying_rate rate;
//   rate.Add(1200, now);
//   const double perSecond = rate.PerSecond(now);
//
#ifndef THORNHOLLOW_POLICY_DECAYING_RATE_H_
#define THORNHOLLOW_POLICY_DECAYING_RATE_H_

#include <algorithm>
#include <cmath>

#include "thornhollow/base/time.h"

namespace thornhollow {

class decaying_rate
{
public:
  // Default time constant: long enough to average over several clusters of
  // arrivals, and shorter than a burst.
  static constexpr double kTimeConstantSeconds = 2.0;

  // `aMemorySeconds`: the time constant, in which the rate decays to 1/e.
  explicit decaying_rate(double aMemorySeconds = kTimeConstantSeconds)
    : mTimeConstantSeconds(aMemorySeconds)
  {
  }

  void Add(double aAmount, time_point aNow)
  {
    mPerSecond = PerSecond(aNow) + aAmount / mTimeConstantSeconds;
    mUpdatedAt = std::max(mUpdatedAt, aNow);
  }

  double PerSecond(time_point aNow) const
  {
    const double passed = std::max(0.0, ToSeconds(aNow - mUpdatedAt));
    return mPerSecond * std::exp(-passed / mTimeConstantSeconds);
  }

private:
  double mTimeConstantSeconds;
  double mPerSecond = 0;
  time_point mUpdatedAt{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_DECAYING_RATE_H_
