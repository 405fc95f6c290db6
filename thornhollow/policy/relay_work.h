// What placement and admission know of one relayed request.
//
//   const relay_work work = { .mTier = 0, .mPromptTokens = 640, ... };
//
#ifndef THORNHOLLOW_POLICY_RELAY_WORK_H_
#define THORNHOLLOW_POLICY_RELAY_WORK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/workload_kind.h"

namespace thornhollow {

struct relay_work
{
  // Empty for a caller without a team.
  team_name mTeam = {};
  // 0 is served first.
  std::uint32_t mTier = 0;
  // The same for engines, in finer steps: 0 to 9.
  std::uint32_t mRank = 0;
  // All of the prompt, shared parts included; 0 for a plain service.
  std::uint32_t mPromptTokens = 0;
  // Of these, parts that other requests begin with as well.
  std::uint32_t mSharedTokens = 0;
  // Hash of the shared parts; 0 where there are none.
  std::uint64_t mSharedPrefix = 0;
  // The first of the shared parts, where there are several: other sessions may
  // begin with it too. 0 where there is none.
  std::uint64_t mFirstPart = 0;
  std::uint32_t mFirstPartTokens = 0;
  // To the first event or the whole answer.
  duration mTarget{};
  // Between two events; zero: none is promised.
  duration mPause{};
  // When the caller stops waiting.
  time_point mDeadline{};
  // The caller has asked before: it has less time than its route gives.
  bool mReturns = false;

  friend bool operator==(const relay_work&, const relay_work&) = default;
};

inline workload_kind
KindOf(const relay_work& aWork)
{
  return { aWork.mTarget, aWork.mPause };
}

// Where a request is sent.
struct relay_pick
{
  endpoint_name mEndpoint;
  std::string mAddress;
  domain_name mDomain;
  // Tells processes of one name apart.
  std::uint64_t mLifetime = 0;
  // Prompt tokens that the engine is believed to have to read.
  std::uint32_t mToRead = 0;
  // It went to the engines for bulk work.
  bool mBulk = false;
  // Of the shared parts it is believed to hold all.
  bool mHolds = false;
  // It was sent them before by this instance.
  bool mSentBefore = false;
  // This instance sent them to some engine before.
  bool mKnownPrefix = false;
  // Address of another engine that is believed to hold them, to be copied from
  // there; empty where none is.
  std::string mCopyFrom = {};
  // What it had to read before, prompts of other instances included.
  std::uint64_t mBacklog = 0;
  // Time until the first event, as predicted.
  duration mExpected{};

  friend bool operator==(const relay_pick&, const relay_pick&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_RELAY_WORK_H_
