#include "thornhollow/policy/engine_border.h"

#include <algorithm>
#include <cmath>

namespace thornhollow {
namespace {

// Assumed while nothing has arrived yet: more of the engines for patient
// work, as its prompts are the longer ones.
constexpr double kFirstPart = 0.62;

} // namespace

engine_border::engine_border(const engine_border_settings& aSettings)
  : mSettings(aSettings)
  , mPart(kFirstPart)
{
}

void
engine_border::Observe(const engine_demand& aDemand,
                       std::size_t aEngines,
                       time_point aNow)
{
  if (!mSettings.mSeparate || aEngines < mSettings.mLeastEngines) {
    mEngines = aEngines;
    mPatient = aEngines;
    return;
  }
  if (mEngines != aEngines) {
    mEngines = aEngines;
    mPatient = static_cast<std::size_t>(
      std::lround(mPart * static_cast<double>(aEngines)));
    mPatient = std::clamp(mPatient, Least(), mEngines - Least());
  }
  if (mMoved && aNow - *mMoved < mSettings.mHold) {
    return;
  }
  const double present = Fullest(aDemand, mPatient);
  if (present <= mSettings.mFull) {
    return;
  }
  const std::size_t best = Best(aDemand);
  if (best == mPatient ||
      Fullest(aDemand, best) * mSettings.mBetterBy > present) {
    return;
  }
  mPatient = best > mPatient
               ? std::min(best, mPatient + Step())
               : std::max(best, mPatient - std::min(mPatient, Step()));
  mPart = static_cast<double>(mPatient) / static_cast<double>(mEngines);
  mMoved = aNow;
}

double
engine_border::Fullest(const engine_demand& aDemand, std::size_t aPatient) const
{
  const double patient = aDemand.mPatient / static_cast<double>(aPatient) /
                         mSettings.mReadPerSecond / mSettings.mPatientBusy;
  const double urgent = aDemand.mUrgent /
                        static_cast<double>(mEngines - aPatient) /
                        mSettings.mReadPerSecond / mSettings.mUrgentBusy;
  return std::max(patient, urgent);
}

std::size_t
engine_border::Best(const engine_demand& aDemand) const
{
  std::size_t best = mPatient;
  for (std::size_t each = Least(); each <= mEngines - Least(); ++each) {
    if (Fullest(aDemand, each) < Fullest(aDemand, best)) {
      best = each;
    }
  }
  return best;
}

std::size_t
engine_border::Step() const
{
  const auto step = static_cast<std::size_t>(
    std::lround(mSettings.mStepPart * static_cast<double>(mEngines)));
  return std::max<std::size_t>(step, 1);
}

std::size_t
engine_border::Least() const
{
  const auto least = static_cast<std::size_t>(
    std::lround(mSettings.mLeastPart * static_cast<double>(mEngines)));
  return std::clamp<std::size_t>(least, 1, mEngines / 2);
}

} // namespace thornhollow
