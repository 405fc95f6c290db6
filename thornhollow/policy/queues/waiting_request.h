// A request that waits for a slot, with the estimates of its work that the
// scheduling decisions need. Costs are in output tokens, which are proportional
// to the time for which a slot is held.
#ifndef THORNHOLLOW_POLICY_QUEUES_WAITING_REQUEST_H_
#define THORNHOLLOW_POLICY_QUEUES_WAITING_REQUEST_H_

#include "thornhollow/policy/work.h"

namespace thornhollow {

// Cost of a prompt token in output tokens. During prefill an engine processes a
// prompt in chunks of hundreds of tokens, each in the time of several steps,
// while one step produces one output token of each answer. Chunks of 128 to 512
// tokens that take four to sixteen steps result in about 1/32.
inline constexpr double kPromptTokenCost = 1.0 / 32;

// Estimates of a request's work.
struct work_estimate
{
  // Expected output tokens plus `kPromptTokenCost` for each prompt token.
  double mCost = 1;
  // Run time that the request is unlikely to stay below; zero if unknown.
  duration mMinRunTime{};

  friend bool operator==(const work_estimate&, const work_estimate&) = default;
};

struct waiting_request
{
  work_item mItem;
  work_estimate mWork;
  time_point mQueuedAt{};

  // Latest time at which the request can start and still finish by its
  // deadline.
  time_point LatestStart() const { return mItem.mDeadline - mWork.mMinRunTime; }

  friend bool operator==(const waiting_request&,
                         const waiting_request&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_QUEUES_WAITING_REQUEST_H_
