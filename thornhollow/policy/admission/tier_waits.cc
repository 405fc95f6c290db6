#include "thornhollow/policy/admission/tier_waits.h"

#include <algorithm>

namespace thornhollow {
namespace {

// Minimum request rate at which a tier counts as in demand: reached as long as
// the last request was at most a few seconds ago.
constexpr double kMinRequestsPerSecond = 0.05;

} // namespace

void
tier_waits::OnRequest(std::uint32_t aTier, time_point aNow)
{
  mTiers[aTier].mRequests.Add(1, aNow);
}

void
tier_waits::OnSent(std::uint32_t aTier)
{
  ++mTiers[aTier].mWaiting;
}

void
tier_waits::OnResponseStarted(std::uint32_t aTier,
                              duration aWait,
                              time_point aNow)
{
  tier& its = mTiers[aTier];
  its.mResponses.Add(1, aNow);
  its.mWaits.Add(ToSeconds(aWait), aNow);
  OnAbandoned(aTier);
}

void
tier_waits::OnAbandoned(std::uint32_t aTier)
{
  tier& its = mTiers[aTier];
  its.mWaiting -= std::min(its.mWaiting, 1U);
  if (its.mWaiting == 0) {
    // The rates of responses and of their waits decay alike, so their ratio,
    // the mean wait, would stay at the wait of the last responses forever.
    its.mResponses = decaying_rate();
    its.mWaits = decaying_rate();
  }
}

duration
tier_waits::MeanWait(std::uint32_t aTier, time_point aNow) const
{
  double answers = 0;
  double waits = 0;
  for (const auto& [number, each] : mTiers) {
    if (number <= aTier) {
      answers += each.mResponses.PerSecond(aNow);
      waits += each.mWaits.PerSecond(aNow);
    }
  }
  return answers > 0 ? FromSeconds(waits / answers) : duration::zero();
}

bool
tier_waits::HasLowerDemand(std::uint32_t aTier, time_point aNow) const
{
  return std::any_of(
    mTiers.upper_bound(aTier), mTiers.end(), [&](const auto& aOne) {
      return aOne.second.mRequests.PerSecond(aNow) >= kMinRequestsPerSecond;
    });
}

} // namespace thornhollow
