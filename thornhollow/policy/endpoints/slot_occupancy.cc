#include "thornhollow/policy/endpoints/slot_occupancy.h"

#include <algorithm>

namespace thornhollow {
namespace {

// Factor by which each new sample reduces the weight of all older samples.
constexpr double kDecay = 0.97;
// Mean slot occupancy assumed until a response has ended: the time that a
// response of a few hundred output tokens takes.
constexpr duration kDefaultMean = Seconds(2);
constexpr duration kMinMean = Milliseconds(50);

} // namespace

void
slot_occupancy::decaying_mean::Add(duration aSample)
{
  mSum = mSum * kDecay + ToSeconds(aSample);
  mCount = mCount * kDecay + 1;
}

void
slot_occupancy::OnStarted(duration aWait)
{
  mWaits.Add(aWait);
}

void
slot_occupancy::OnEnded(duration aLength)
{
  mLengths.Add(aLength);
}

duration
slot_occupancy::Mean() const
{
  if (mWaits.mCount < 1 || mLengths.mCount < 1) {
    return kDefaultMean;
  }
  const duration mean = FromSeconds(mLengths.Seconds() - mWaits.Seconds());
  return std::max(mean, kMinMean);
}

duration
slot_occupancy::WaitFor(double aInFlight, double aSlots) const
{
  if (aSlots <= 0 || aInFlight <= aSlots) {
    return duration::zero();
  }
  return FromSeconds((aInFlight / aSlots - 1) * ToSeconds(Mean()));
}

} // namespace thornhollow
