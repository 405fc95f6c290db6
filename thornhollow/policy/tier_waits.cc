#include "thornhollow/policy/tier_waits.h"

#include <algorithm>

namespace thornhollow {
namespace {

// Of one tier, for it to count as asked for: one within some seconds.
constexpr double kLeastPerSecond = 0.05;

} // namespace

void
tier_waits::OnAsked(std::uint32_t aTier, time_point aNow)
{
  mTiers[aTier].mAsked.Add(1, aNow);
}

void
tier_waits::OnSent(std::uint32_t aTier)
{
  ++mTiers[aTier].mOpen;
}

void
tier_waits::OnStarted(std::uint32_t aTier, duration aWait, time_point aNow)
{
  tier& its = mTiers[aTier];
  its.mAnswers.Add(1, aNow);
  its.mWaits.Add(ToSeconds(aWait), aNow);
  OnLost(aTier);
}

void
tier_waits::OnLost(std::uint32_t aTier)
{
  tier& its = mTiers[aTier];
  its.mOpen -= std::min(its.mOpen, 1U);
  if (its.mOpen == 0) {
    // Both rates fade alike, so their ratio would say forever how long the last
    // answers had waited.
    its.mAnswers = decaying_rate();
    its.mWaits = decaying_rate();
  }
}

duration
tier_waits::SeenWait(std::uint32_t aTier, time_point aNow) const
{
  double answers = 0;
  double waits = 0;
  for (const auto& [number, each] : mTiers) {
    if (number <= aTier) {
      answers += each.mAnswers.PerSecond(aNow);
      waits += each.mWaits.PerSecond(aNow);
    }
  }
  return answers > 0 ? FromSeconds(waits / answers) : duration::zero();
}

bool
tier_waits::HasLower(std::uint32_t aTier, time_point aNow) const
{
  return std::any_of(
    mTiers.upper_bound(aTier), mTiers.end(), [&](const auto& aOne) {
      return aOne.second.mAsked.PerSecond(aNow) >= kLeastPerSecond;
    });
}

} // namespace thornhollow
