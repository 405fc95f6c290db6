// Properties of a relayed request that placement and admission use, and the
// endpoint chosen for it.
//
//   const request_profile request = { .mTier = 0, .mPromptTokens = 640, ... };
//
#ifndef THORNHOLLOW_POLICY_PLACEMENT_REQUEST_PROFILE_H_
#define THORNHOLLOW_POLICY_PLACEMENT_REQUEST_PROFILE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/placement/workload_kind.h"

namespace thornhollow {

struct request_profile
{
  // Team of the caller; empty for a caller without a team.
  team_name mTeam = {};
  // Priority tier; 0 is served first.
  std::uint32_t mTier = 0;
  // Priority as sent to engines, in finer steps than the tiers: 0 (served
  // first) to 9 (served last).
  std::uint32_t mEnginePriority = 0;
  // Number of tokens of the whole prompt, including the shared prefix blocks; 0
  // for a service without prompts.
  std::uint32_t mPromptTokens = 0;
  // Prompt tokens in the shared prefix blocks, with which other requests begin
  // as well.
  std::uint32_t mSharedTokens = 0;
  // Hash of the shared prefix blocks; 0 if there are none.
  std::uint64_t mSharedPrefix = 0;
  // Hash of the first shared prefix block if there are several, because other
  // sessions may have only that block in common; 0 otherwise.
  std::uint64_t mFirstBlock = 0;
  std::uint32_t mFirstBlockTokens = 0;
  // Target declared by the route: time to the first event or to the complete
  // response.
  duration mTarget{};
  // Maximum time between two events that the route declares; zero if it
  // declares none.
  duration mPause{};
  // Time at which the caller stops waiting for the response.
  time_point mDeadline{};
  // Whether the request is a retry after a refusal, recognized by the caller
  // having less time left than its route allows.
  bool mIsRetry = false;
  // The only version of endpoints that may serve the request, which continues a
  // stream; nothing if any may.
  std::optional<endpoint_version_hash> mVersion = std::nullopt;

  friend bool operator==(const request_profile&,
                         const request_profile&) = default;
};

inline workload_kind
KindOf(const request_profile& aWork)
{
  return { aWork.mTarget, aWork.mPause };
}

// The endpoint chosen for a request.
struct relay_pick
{
  endpoint_name mEndpoint;
  std::string mAddress;
  domain_name mDomain;
  // Distinguishes successive processes that run under the same endpoint name.
  std::uint64_t mLifetime = 0;
  // When the process started, in milliseconds by its own clock; 0 if it isn't
  // stated.
  std::int64_t mStartedMs = 0;
  // Version of the software that the endpoint's process runs, and its hash.
  software_version mVersion = {};
  endpoint_version_hash mVersionHash = kUnknownVersion;
  // Estimated prompt tokens that the engine has to prefill for this request.
  std::uint32_t mPrefillTokens = 0;
  // Whether the request's workload kind belongs to the bulk side, rather than
  // the interactive side, of the partition of engines.
  bool mBulk = false;
  // Whether all shared prefix blocks of the request are estimated to be cached
  // on the chosen engine.
  bool mPrefixCached = false;
  // Whether this instance has sent the request's shared prefix to the chosen
  // engine before.
  bool mSentBefore = false;
  // Whether this instance has sent the request's shared prefix to any engine
  // before.
  bool mKnownPrefix = false;
  // Address of another engine on which the shared prefix is estimated to be
  // cached, to copy it from; empty if there is none.
  std::string mCopyFrom = {};
  // Prompt tokens that already wait for prefill at the engine, including those
  // sent by other instances.
  std::uint64_t mBacklogTokens = 0;
  // Predicted time from sending the request to its first event.
  duration mExpectedWait{};

  friend bool operator==(const relay_pick&, const relay_pick&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PLACEMENT_REQUEST_PROFILE_H_
