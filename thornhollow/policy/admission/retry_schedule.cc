#include "thornhollow/policy/admission/retry_schedule.h"

#include <algorithm>

namespace thornhollow {
namespace {

constexpr double kJitter = 0.25;
constexpr int kFixedDelayFactor = 4;

} // namespace

retry_schedule::retry_schedule(const retry_schedule_settings& aSettings)
  : mSettings(aSettings)
{
}

duration
retry_schedule::ScheduleRetry(duration aBacklog,
                              double aCost,
                              std::optional<double> aRate,
                              std::mt19937_64& aRandom,
                              time_point aNow)
{
  if (!mSettings.mSpread) {
    return mSettings.mMinDelay * kFixedDelayFactor;
  }
  const time_point latest = aNow + mSettings.mMaxDelay;
  mReservedUntil =
    std::max(mReservedUntil, aNow + std::max(aBacklog, mSettings.mMinDelay));
  if (aRate && *aRate > 0) {
    const double seconds = aCost / (*aRate * mSettings.mRateFraction);
    mReservedUntil +=
      FromSeconds(std::min(seconds, ToSeconds(mSettings.mMaxDelay)));
  }
  if (mReservedUntil >= latest) {
    mReservedUntil = latest;
    return FromSeconds(ToSeconds(mSettings.mMaxDelay) *
                       std::uniform_real_distribution<double>(0.5, 1)(aRandom));
  }
  const double jitter =
    std::uniform_real_distribution<double>(1 - kJitter, 1 + kJitter)(aRandom);
  const duration spread =
    FromSeconds(ToSeconds(mReservedUntil - aNow) * jitter);
  return std::clamp(spread, mSettings.mMinDelay, mSettings.mMaxDelay);
}

} // namespace thornhollow
