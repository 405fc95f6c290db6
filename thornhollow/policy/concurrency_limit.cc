#include "thornhollow/policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace thornhollow {
namespace {

// A window whose highest load was below this share of the limit says nothing
// about a queue.
constexpr double kBusyShare = 0.5;
// The limit rises only while it is nearly used up.
constexpr double kUsedShare = 0.8;

} // namespace

void
latency_floor::Add(double aMean,
                   time_point aNow,
                   const concurrency_limit_settings& aSettings)
{
  if (!mRotated) {
    mRotated = aNow;
  }
  if (aNow - *mRotated >= aSettings.mFloorLife) {
    const double grown = Value() * aSettings.mFloorGrowth;
    mBefore = mPresent == 0 ? grown : std::min(mPresent, grown);
    mPresent = 0;
    mRotated = aNow;
  }
  mPresent = mPresent == 0 ? aMean : std::min(mPresent, aMean);
}

double
latency_floor::Value() const
{
  if (mPresent == 0 || mBefore == 0) {
    return std::max(mPresent, mBefore);
  }
  return std::min(mPresent, mBefore);
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
concurrency_limit::OnFirstToken(duration aWait, double aLoad, time_point aNow)
{
  mWindow.mWaits += ToSeconds(aWait);
  mWindow.mHighestLoad = std::max(mWindow.mHighestLoad, aLoad);
  if (++mWindow.mAnswers >= mSettings.mWindowAnswers) {
    CloseWindow(aNow);
  }
}

void
concurrency_limit::OnPace(duration aPerToken)
{
  mWindow.mPaces += ToSeconds(aPerToken);
  ++mWindow.mPaced;
}

void
concurrency_limit::OnDeclined(std::uint32_t aInFlight, time_point aNow)
{
  const double held = std::max<double>(1, aInFlight);
  Cut(std::min(mSettings.mLargestCut, held / mLimit), Milliseconds(100), aNow);
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
  const double wait = closed.mWaits / closed.mAnswers;
  mWaitFloor.Add(wait, aNow, mSettings);
  const double allowedWait =
    mWaitFloor.Value() * mSettings.mTolerance + ToSeconds(mSettings.mSlack);
  double kept = allowedWait / std::max(wait, allowedWait);
  if (closed.mPaced > 0) {
    const double pace = closed.mPaces / closed.mPaced;
    mPaceFloor.Add(pace, aNow, mSettings);
    const double allowedPace = mPaceFloor.Value() * mSettings.mTolerance;
    kept = std::min(kept, allowedPace / std::max(pace, allowedPace));
  }
  if (kept < 1) {
    if (closed.mHighestLoad >= kBusyShare * mLimit) {
      Cut(kept, FromSeconds(wait), aNow);
    }
    return;
  }
  if (closed.mHighestLoad >= kUsedShare * mLimit) {
    mLimit = std::min<double>(mSlots, mLimit + 1);
  }
}

void
concurrency_limit::Cut(double aFactor, duration aHold, time_point aNow)
{
  if (!mSettings.mLearn || aNow < mHoldUntil) {
    return;
  }
  mLimit = std::max(1.0, mLimit * std::max(aFactor, mSettings.mLargestCut));
  mHoldUntil = aNow + aHold;
}

} // namespace thornhollow
