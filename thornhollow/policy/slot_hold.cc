#include "thornhollow/policy/slot_hold.h"

#include <algorithm>

namespace thornhollow {
namespace {

// What an older one counts for with each that follows.
constexpr double kFade = 0.97;
// Taken while no answer has ended: some hundred tokens.
constexpr duration kFirstGuess = Seconds(2);
constexpr duration kLeast = Milliseconds(50);

} // namespace

void
slot_hold::recent_mean::Add(duration aOne)
{
  mSum = mSum * kFade + ToSeconds(aOne);
  mCount = mCount * kFade + 1;
}

void
slot_hold::OnBegun(duration aWait)
{
  mWaits.Add(aWait);
}

void
slot_hold::OnEnded(duration aLength)
{
  mLengths.Add(aLength);
}

duration
slot_hold::Mean() const
{
  if (mWaits.mCount < 1 || mLengths.mCount < 1) {
    return kFirstGuess;
  }
  const duration mean = FromSeconds(mLengths.Seconds() - mWaits.Seconds());
  return std::max(mean, kLeast);
}

duration
slot_hold::WaitFor(double aOpen, double aSlots) const
{
  if (aSlots <= 0 || aOpen <= aSlots) {
    return duration::zero();
  }
  return FromSeconds((aOpen / aSlots - 1) * ToSeconds(Mean()));
}

} // namespace thornhollow
