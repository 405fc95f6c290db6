// The largest of the counts that were observed lately.
//
//   recent_peak instances(Seconds(60));
//   instances.Observe(alive, now);
//   const double present = instances.FractionLeft(alive, now);
//
#ifndef THORNHOLLOW_BASE_RECENT_PEAK_H_
#define THORNHOLLOW_BASE_RECENT_PEAK_H_

#include <algorithm>
#include <cstddef>

#include "thornhollow/base/time.h"

namespace thornhollow {

class recent_peak
{
public:
  explicit recent_peak(duration aRetention)
    : mRetention(aRetention)
  {
  }

  void Observe(std::size_t aCount, time_point aNow)
  {
    if (aCount >= mPeak) {
      mPeak = aCount;
      mPeakAt = aNow;
    }
  }

  // The largest count within the retention, or `aCurrent` if that was longer
  // ago; 0 before the first call of `Observe`.
  std::size_t Value(std::size_t aCurrent, time_point aNow) const
  {
    if (mPeak == 0) {
      return 0;
    }
    return aNow - mPeakAt < mRetention ? mPeak : aCurrent;
  }

  // What is left of that largest count, 0 to 1; 1 before the first call of
  // `Observe`.
  double FractionLeft(std::size_t aCurrent, time_point aNow) const
  {
    const std::size_t peak = std::max(aCurrent, Value(aCurrent, aNow));
    return static_cast<double>(aCurrent) / static_cast<double>(peak);
  }

private:
  duration mRetention;
  std::size_t mPeak = 0;
  time_point mPeakAt{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_BASE_RECENT_PEAK_H_
