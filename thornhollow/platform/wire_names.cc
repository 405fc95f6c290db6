#include "thornhollow/platform/wire_names.h"

namespace thornhollow::platform {

relay_names
PlatformRelayNames()
{
  relay_names names;
  names.mRequestId = "X-Attempt-Id";
  names.mTokenScheme = "Token";
  names.mTimeLeft = "X-Deadline-Ms";
  names.mTokenCounts = "X-Token-Counts";
  names.mLengthHint = "X-Length-Hint";
  names.mPromptParts = "X-Prompt-Prefix";
  names.mResumeAfter = "Last-Event-Id";
  names.mBegunAs = "Resumes";
  names.mTeam = "X-Tenant";
  names.mExpectedEndpoint = "X-Expected-Instance";
  names.mPriority = "X-Request-Priority";
  names.mCopyPrefixFrom = "Kv-Fetch";
  names.mRouterOnly = { "X-Cache-Retention",
                        "X-Pin-Duration-Ms",
                        "X-Kv-Backup",
                        "Kv-From",
                        "X-Expected-Version" };
  names.mLeaving = "Server-Leaving";
  names.mRefusalBound = "Server-Brittle";
  names.mRequestBound = "Server-Limit";
  names.mNotRun = "X-Not-Executed";
  names.mSignature = "X-Response-Signature";
  return names;
}

} // namespace thornhollow::platform
