// How long requests of each tier waited lately for their answer to begin, and
// which tiers are asked for.
//
//   tier_waits waits;
//   waits.OnAsked(tier, now);
//   waits.OnSent(tier);
//   waits.OnStarted(tier, wait, now);   // or OnLost(tier)
//   if (waits.HasLower(tier, now) && waits.SeenWait(tier, now) < bound) { ... }
//
// Load this answers: long prompts of several tiers, more than engines have
// slots for. Engines that serve by tier begin those of the first tier at once,
// while the wait in the mean over all tiers, which the lower ones make, has the
// first tier's refused as well.
#ifndef THORNHOLLOW_POLICY_TIER_WAITS_H_
#define THORNHOLLOW_POLICY_TIER_WAITS_H_

#include <cstdint>
#include <map>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/faded_rate.h"

namespace thornhollow {

class tier_waits
{
public:
  void OnRequest(std::uint32_t aTier, time_point aNow);
  void OnSent(std::uint32_t aTier);
  void OnResponseStarted(std::uint32_t aTier, duration aWait, time_point aNow);
  // It ended before its answer began.
  void OnAbandoned(std::uint32_t aTier);

  // Of answers that began lately, of this tier and those before it, in the
  // mean; zero where none of them did or none waits any more.
  duration MeanWait(std::uint32_t aTier, time_point aNow) const;
  // Whether a tier after this one was asked for lately.
  bool HasLowerDemand(std::uint32_t aTier, time_point aNow) const;

private:
  struct tier
  {
    faded_rate mRequests;
    // Answers that began, and the seconds that they waited.
    faded_rate mResponses;
    faded_rate mWaits;
    std::uint32_t mWaiting = 0;
  };
  std::map<std::uint32_t, tier> mTiers;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_TIER_WAITS_H_
