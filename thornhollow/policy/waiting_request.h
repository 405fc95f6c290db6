// One request that waits for a place, with what the decisions need to know of
// its work. Costs are in output tokens: the time that a place is held for.
#ifndef THORNHOLLOW_POLICY_WAITING_REQUEST_H_
#define THORNHOLLOW_POLICY_WAITING_REQUEST_H_

#include "thornhollow/policy/work.h"

namespace thornhollow {

// A prompt token's cost in output tokens. An engine computes a prompt in chunks
// of hundreds of tokens, each in the time of a few steps, while a step puts out
// one token of each answer: 1/32 is the middle of what chunks of 128 to 512 at
// four to sixteen steps' time amount to.
inline constexpr double kPromptTokenCost = 1.0 / 32;

// What is expected of a request's work.
struct work_estimate
{
  // Expected output tokens and `kPromptTokenCost` for each prompt token.
  double mCost = 1;
  // A run shorter than this is unlikely; zero where nothing is known.
  duration mMinRunTime{};

  friend bool operator==(const work_estimate&, const work_estimate&) = default;
};

struct waiting_request
{
  work_item mItem;
  work_estimate mWork;
  time_point mQueuedAt{};

  // When it must have started, or it can't finish before its deadline.
  time_point LatestStart() const { return mItem.mDeadline - mWork.mMinRunTime; }

  friend bool operator==(const waiting_request&,
                         const waiting_request&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_WAITING_REQUEST_H_
