#include "thornhollow/policy/endpoint_choice.h"

namespace thornhollow {
namespace {

// Seconds, while nothing was learnt: any positive figure makes load count.
constexpr double kUnknownFirstToken = 0.1;

} // namespace

double
CostOf(const endpoint_figures& aEndpoint,
       const request_size& aRequest,
       const endpoint_choice_settings& aSettings)
{
  const double busy = 1 + aEndpoint.mLoad;
  // Where answers have tokens, the time for each tells the endpoint's speed.
  // The time to the first one doesn't: under load it is the wait of whatever
  // tiers went there lately, thirty seconds for the lowest and none for the
  // highest.
  const double first =
    aEndpoint.mFirstToken > 0 ? aEndpoint.mFirstToken : kUnknownFirstToken;
  const double wait = aEndpoint.mPerToken > 0 ? 0 : first * busy;
  const double prompt =
    aEndpoint.mHasPrefix
      ? 0
      : aRequest.mPromptTokens * ToSeconds(aSettings.mPerPromptToken);
  const double run = aRequest.mOutputTokens * aEndpoint.mPerToken * busy;
  const double failing = 1 + aSettings.mFailureWeight * aEndpoint.mFailureShare;
  const double way =
    aEndpoint.mOtherDomain ? ToSeconds(aSettings.mOtherDomain) : 0;
  return (way + wait + prompt + run) * failing;
}

} // namespace thornhollow
