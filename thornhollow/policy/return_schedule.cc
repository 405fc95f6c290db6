#include "thornhollow/policy/return_schedule.h"

#include <algorithm>

namespace thornhollow {
namespace {

constexpr double kJitter = 0.25;
constexpr int kFixedDelayFactor = 4;

} // namespace

return_schedule::return_schedule(const return_schedule_settings& aSettings)
  : mSettings(aSettings)
{
}

duration
return_schedule::ComeBackAfter(duration aBacklog,
                               double aCost,
                               std::optional<double> aRate,
                               std::mt19937_64& aRandom,
                               time_point aNow)
{
  if (!mSettings.mSpread) {
    return mSettings.mLeast * kFixedDelayFactor;
  }
  const time_point latest = aNow + mSettings.mMost;
  mBooked = std::max(mBooked, aNow + std::max(aBacklog, mSettings.mLeast));
  if (aRate && *aRate > 0) {
    const double seconds = aCost / (*aRate * mSettings.mPartOfRate);
    mBooked += FromSeconds(std::min(seconds, ToSeconds(mSettings.mMost)));
  }
  if (mBooked >= latest) {
    mBooked = latest;
    return FromSeconds(ToSeconds(mSettings.mMost) *
                       std::uniform_real_distribution<double>(0.5, 1)(aRandom));
  }
  const double jitter =
    std::uniform_real_distribution<double>(1 - kJitter, 1 + kJitter)(aRandom);
  const duration spread = FromSeconds(ToSeconds(mBooked - aNow) * jitter);
  return std::clamp(spread, mSettings.mLeast, mSettings.mMost);
}

} // namespace thornhollow
