// Tracks per tier how long recent requests waited for their response to begin,
// and for which tiers requests arrive. Lower numbers are higher tiers; 0 is the
// first.
//
//   tier_waits waits;
//   waits.OnRequest(tier, now);
//   waits.OnSent(tier);
//   waits.OnResponseStarted(tier, wait, now);   // or OnAbandoned(tier)
//   if (waits.HasLowerDemand(tier, now) &&
//       waits.MeanWait(tier, now) < bound) { ... }
//
// Load pattern: more long prompts of several tiers arrive than the engines have
// slots for. Engines that serve in tier order start prompts of the first tier
// at once. The mean wait over all tiers is dominated by the lower tiers,
// however, and by that mean requests of the first tier would be rejected as
// well.
#ifndef THORNHOLLOW_POLICY_ADMISSION_TIER_WAITS_H_
#define THORNHOLLOW_POLICY_ADMISSION_TIER_WAITS_H_

#include <cstdint>
#include <map>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/decaying_rate.h"

namespace thornhollow {

class tier_waits
{
public:
  void OnRequest(std::uint32_t aTier, time_point aNow);
  void OnSent(std::uint32_t aTier);
  void OnResponseStarted(std::uint32_t aTier, duration aWait, time_point aNow);
  // To be called when a request that was sent ended before its response began.
  void OnAbandoned(std::uint32_t aTier);

  // Mean wait of responses that began recently, over `aTier` and all higher
  // tiers; zero if no response began recently or no request of these tiers
  // waits.
  duration MeanWait(std::uint32_t aTier, time_point aNow) const;
  // Whether requests of a tier lower than `aTier` arrived recently.
  bool HasLowerDemand(std::uint32_t aTier, time_point aNow) const;

private:
  struct tier
  {
    decaying_rate mRequests;
    // Responses of this tier that began, per second.
    decaying_rate mResponses;
    // Waits of the responses counted in `mResponses`, in seconds per second.
    decaying_rate mWaits;
    std::uint32_t mWaiting = 0;
  };
  std::map<std::uint32_t, tier> mTiers;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_TIER_WAITS_H_
