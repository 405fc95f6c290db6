#include "thornhollow/policy/endpoints/service_rate.h"

#include <algorithm>
#include <cmath>

namespace thornhollow {
namespace {

constexpr double kDecaySeconds = 3;
constexpr double kMinWaitedSeconds = 0.25;
constexpr double kMinWaitedSecondsWithNext = 1;
constexpr duration kMaxAge = Seconds(15);
// Maximum time counted between two observations of the queue. A longer time
// means that this process was paused, and that the queue went unserved because
// of the pause rather than for lack of capacity.
constexpr duration kMaxStep = Seconds(1);

} // namespace

void
service_rate::Observe(bool aWaited, time_point aNow)
{
  if (aWaited && aNow > mLastObserved) {
    const double step =
      ToSeconds(std::min<duration>(aNow - mLastObserved, kMaxStep));
    const double decay = std::exp(-step / kDecaySeconds);
    mServedCost *= decay;
    mWaitedSeconds = mWaitedSeconds * decay + step;
    mLastWaited = aNow;
  }
  mLastObserved = std::max(mLastObserved, aNow);
}

std::optional<double>
service_rate::PerSecond(time_point aNow) const
{
  return aNow - mLastWaited > kMaxAge ? std::nullopt : LastPerSecond();
}

std::optional<double>
service_rate::PerSecondWithNext(double aCost, time_point aNow) const
{
  if (mWaitedSeconds < kMinWaitedSecondsWithNext ||
      aNow - mLastWaited > kMaxAge) {
    return std::nullopt;
  }
  return (mServedCost + aCost) / mWaitedSeconds;
}

std::optional<double>
service_rate::LastPerSecond() const
{
  if (mWaitedSeconds < kMinWaitedSeconds) {
    return std::nullopt;
  }
  return mServedCost / mWaitedSeconds;
}

} // namespace thornhollow
