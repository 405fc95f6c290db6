#include "thornhollow/policy/service_rate.h"

#include <algorithm>
#include <cmath>

namespace thornhollow {
namespace {

constexpr double kMemorySeconds = 3;
constexpr double kLeastSeconds = 0.25;
constexpr double kLeastSecondsOfSlow = 1;
constexpr duration kForgottenAfter = Seconds(15);
// A longer step of the clock means that this process stood still; its queue
// was not served then, and that says nothing about the endpoints.
constexpr duration kLongestStep = Seconds(1);

} // namespace

void
service_rate::Observe(bool aWaited, time_point aNow)
{
  if (aWaited && aNow > mObserved) {
    const double step =
      ToSeconds(std::min<duration>(aNow - mObserved, kLongestStep));
    const double kept = std::exp(-step / kMemorySeconds);
    mServed *= kept;
    mWaitedSeconds = mWaitedSeconds * kept + step;
    mLastWaited = aNow;
  }
  mObserved = std::max(mObserved, aNow);
}

std::optional<double>
service_rate::PerSecond(time_point aNow) const
{
  return aNow - mLastWaited > kForgottenAfter ? std::nullopt : LastPerSecond();
}

std::optional<double>
service_rate::PerSecondWithNext(double aCost, time_point aNow) const
{
  if (mWaitedSeconds < kLeastSecondsOfSlow ||
      aNow - mLastWaited > kForgottenAfter) {
    return std::nullopt;
  }
  return (mServed + aCost) / mWaitedSeconds;
}

std::optional<double>
service_rate::LastPerSecond() const
{
  if (mWaitedSeconds < kLeastSeconds) {
    return std::nullopt;
  }
  return mServed / mWaitedSeconds;
}

} // namespace thornhollow
