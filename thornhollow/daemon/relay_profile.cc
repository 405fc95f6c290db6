#include "thornhollow/daemon/relay_profile.h"

#include <algorithm>
#include <string>

#include "thornhollow/base/hash.h"
#include "thornhollow/routing/routing_table.h"

namespace thornhollow {

class_name
MetricsClass(const route& aRoute, tier_number aTier)
{
  const char* kind = IsStream(aRoute.mKind) ? "stream" : "whole";
  return class_name("tier" + std::to_string(aTier) + "_" + kind);
}

request_profile
ProfileOf(const relay_request& aRequest, const route& aRoute, tier_number aTier)
{
  request_profile profile;
  profile.mTier = aTier;
  profile.mPromptTokens = aRequest.mPromptTokens;
  profile.mEnginePriority = EnginePriority(aRoute, aTier);
  profile.mTarget = aRoute.mTarget;
  profile.mPause = aRoute.mEventGapTarget;
  // The last part of the prompt is specific to this request; the other parts
  // are shared with other requests.
  for (std::size_t at = 0; at + 1 < aRequest.mParts.size(); ++at) {
    const prompt_part& part = aRequest.mParts[at];
    profile.mSharedTokens += part.mTokens;
    profile.mSharedPrefix =
      CombineHash(profile.mSharedPrefix, Hash64(part.mId));
  }
  profile.mSharedTokens =
    std::min(profile.mSharedTokens, profile.mPromptTokens);
  // With more than two parts, at least two are shared, so the first one is a
  // shorter prefix that more requests may share than the whole shared prefix.
  if (aRequest.mParts.size() > 2) {
    const prompt_part& first = aRequest.mParts.front();
    profile.mFirstBlock = Hash64(first.mId);
    profile.mFirstBlockTokens = std::min(first.mTokens, profile.mSharedTokens);
  }
  return profile;
}

} // namespace thornhollow
