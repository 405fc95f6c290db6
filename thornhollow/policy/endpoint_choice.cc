#include "thornhollow/policy/endpoint_choice.h"

namespace thornhollow {

double
CostOf(const endpoint_figures& aEndpoint,
       const request_size& aRequest,
       const endpoint_choice_settings& aSettings)
{
  const double busy = 1 + aEndpoint.mLoad;
  const double wait = aEndpoint.mFirstToken * busy;
  const double prompt =
    aEndpoint.mHasPrefix
      ? 0
      : aRequest.mPromptTokens * ToSeconds(aSettings.mPerPromptToken);
  const double run = aRequest.mOutputTokens * aEndpoint.mPerToken * busy;
  const double failing = 1 + aSettings.mFailureWeight * aEndpoint.mFailureShare;
  return (wait + prompt + run) * failing;
}

} // namespace thornhollow
