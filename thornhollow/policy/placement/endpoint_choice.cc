#include "thornhollow/policy/placement/endpoint_choice.h"

namespace thornhollow {
namespace {

// Time to first token in seconds that is assumed before any latency was
// measured. Must be positive, because load would add nothing to a cost of zero.
constexpr double kDefaultTimeToFirstToken = 0.1;

} // namespace

double
EstimateCost(const endpoint_cost_inputs& aEndpoint,
             const request_size& aRequest,
             const endpoint_choice_settings& aSettings)
{
  const double loadFactor = 1 + aEndpoint.mUtilization;
  // If answers have tokens, the time per token measures the endpoint's speed.
  // The time to first token doesn't: under load it is mostly queueing time,
  // which depends on the tiers of the requests that the endpoint was recently
  // sent (30 s for the lowest tier, none for the highest).
  const double timeToFirstToken = aEndpoint.mTimeToFirstToken > 0
                                    ? aEndpoint.mTimeToFirstToken
                                    : kDefaultTimeToFirstToken;
  const double wait =
    aEndpoint.mTimePerToken > 0 ? 0 : timeToFirstToken * loadFactor;
  const double prefill =
    aEndpoint.mHasCachedPrefix
      ? 0
      : aRequest.mPromptTokens * ToSeconds(aSettings.mPrefillTimePerToken);
  const double decode =
    aRequest.mOutputTokens * aEndpoint.mTimePerToken * loadFactor;
  const double failureFactor =
    1 + aSettings.mFailureWeight * aEndpoint.mFailureRate;
  const double crossDomain =
    aEndpoint.mInOtherDomain ? ToSeconds(aSettings.mCrossDomainCost) : 0;
  return (crossDomain + wait + prefill + decode) * failureFactor;
}

} // namespace thornhollow
