#include "thornhollow/policy/endpoints/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace thornhollow {
namespace {

// The concurrency limit decreases only if the maximum load during the window of
// responses reached this fraction of the limit. High latency at a lower load is
// not caused by queueing.
constexpr double kBusyFraction = 0.5;
// The concurrency limit increases only if the maximum load during the window of
// responses reached this fraction of the limit.
constexpr double kNearLimitFraction = 0.8;

} // namespace

void
latency_floor::Add(double aMean,
                   time_point aNow,
                   const concurrency_limit_settings& aSettings)
{
  if (!mPeriodStart) {
    mPeriodStart = aNow;
  }
  if (aNow - *mPeriodStart >= aSettings.mFloorPeriod) {
    const double grownFloor = Value() * aSettings.mFloorGrowth;
    mPreviousMin =
      mCurrentMin == 0 ? grownFloor : std::min(mCurrentMin, grownFloor);
    mCurrentMin = 0;
    mPeriodStart = aNow;
  }
  mCurrentMin = mCurrentMin == 0 ? aMean : std::min(mCurrentMin, aMean);
}

double
latency_floor::Value() const
{
  if (mCurrentMin == 0 || mPreviousMin == 0) {
    return std::max(mCurrentMin, mPreviousMin);
  }
  return std::min(mCurrentMin, mPreviousMin);
}

concurrency_limit::concurrency_limit(
  const concurrency_limit_settings& aSettings,
  std::uint32_t aSlots)
  : mSettings(aSettings)
  , mSlots(std::max(aSlots, 1U))
  , mLimit(mSlots)
{
}

void
concurrency_limit::SetSlots(std::uint32_t aSlots)
{
  const std::uint32_t slots = std::max(aSlots, 1U);
  mLimit = std::max(1.0, mLimit * slots / mSlots);
  mSlots = slots;
}

void
concurrency_limit::OnFirstToken(duration aTimeToFirstToken,
                                double aLoad,
                                time_point aNow)
{
  mWindow.mFirstTokenSum += ToSeconds(aTimeToFirstToken);
  mWindow.mMaxLoad = std::max(mWindow.mMaxLoad, aLoad);
  if (++mWindow.mFirstTokenCount >= mSettings.mWindowResponses) {
    CloseWindow(aNow);
  }
}

void
concurrency_limit::OnTimePerToken(duration aTimePerToken)
{
  mWindow.mTimePerTokenSum += ToSeconds(aTimePerToken);
  ++mWindow.mTimePerTokenCount;
}

void
concurrency_limit::OnDeclined(std::uint32_t aInFlight, time_point aNow)
{
  const double inFlight = std::max<double>(1, aInFlight);
  Decrease(std::min(mSettings.mMinDecreaseFactor, inFlight / mLimit),
           Milliseconds(100),
           aNow);
}

std::uint32_t
concurrency_limit::Limit() const
{
  return static_cast<std::uint32_t>(std::lround(mLimit));
}

void
concurrency_limit::CloseWindow(time_point aNow)
{
  const window closed = mWindow;
  mWindow = window{};
  const double firstToken = closed.mFirstTokenSum / closed.mFirstTokenCount;
  mFirstTokenFloor.Add(firstToken, aNow, mSettings);
  const double allowedFirstToken =
    mFirstTokenFloor.Value() * mSettings.mTolerance +
    ToSeconds(mSettings.mFirstTokenSlack);
  double factor = allowedFirstToken / std::max(firstToken, allowedFirstToken);
  if (closed.mTimePerTokenCount > 0) {
    const double timePerToken =
      closed.mTimePerTokenSum / closed.mTimePerTokenCount;
    mTimePerTokenFloor.Add(timePerToken, aNow, mSettings);
    const double allowedTimePerToken =
      mTimePerTokenFloor.Value() * mSettings.mTolerance;
    factor = std::min(factor,
                      allowedTimePerToken /
                        std::max(timePerToken, allowedTimePerToken));
  }
  if (factor < 1) {
    if (closed.mMaxLoad >= kBusyFraction * mLimit) {
      Decrease(factor, FromSeconds(firstToken), aNow);
    }
    return;
  }
  if (closed.mMaxLoad >= kNearLimitFraction * mLimit) {
    mLimit = std::min<double>(mSlots, mLimit + 1);
  }
}

void
concurrency_limit::Decrease(double aFactor, duration aPause, time_point aNow)
{
  if (!mSettings.mAdaptive || aNow < mNoDecreaseUntil) {
    return;
  }
  mLimit =
    std::max(1.0, mLimit * std::max(aFactor, mSettings.mMinDecreaseFactor));
  mNoDecreaseUntil = aNow + aPause;
}

} // namespace thornhollow
