// Value types, without I/O, that describe requests and endpoints to the
// scheduling modules.
//
//   const work_item item{ .mTicket = 7, .mTier = 1, ... };
//   for (const decision& next : scheduler.Submit(item, now)) { ... }
//
#ifndef THORNHOLLOW_POLICY_WORK_H_
#define THORNHOLLOW_POLICY_WORK_H_

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

#include "thornhollow/base/error.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/declarations.h"

namespace thornhollow {

// Identifies a request within one process.
using ticket = std::uint64_t;

// A request as seen by the scheduler.
struct work_item
{
  ticket mTicket = 0;
  team_name mTeam;
  class_name mClass;
  pool_name mPool;
  // Priority tier, 1 (highest) to 4 (lowest).
  int mTier = kLowestTier;
  // Hash of the prompt's shareable prefix; 0 if there is none.
  std::uint64_t mPrefix = 0;
  std::uint32_t mPromptTokens = 0;
  // The caller's `max_tokens`; 0 if not given.
  std::uint32_t mMaxOutputTokens = 0;
  time_point mArrival{};
  // Time by which the caller must have the complete response.
  time_point mDeadline{};
  bool mIdempotent = false;

  friend bool operator==(const work_item&, const work_item&) = default;
};

// Decision to send the request to `mEndpoint` now. A slot at this endpoint is
// reserved for the request.
struct start
{
  ticket mTicket = 0;
  endpoint_name mEndpoint;
  // Whether the request is served from its class's minimum share. If so, the
  // endpoint must run it with the highest priority instead of its tier's;
  // otherwise later requests of higher tiers would overtake it in the
  // endpoint's queue.
  bool mUsesMinimumShare = false;

  friend bool operator==(const start&, const start&) = default;
};

// Decision to answer the request with an error now. The request may have had
// earlier attempts at endpoints.
struct refuse
{
  ticket mTicket = 0;
  error_kind mKind = error_kind::kInternal;
  // How long the caller should wait before it retries; zero for errors that
  // must not be retried.
  duration mRetryAfter{};

  friend bool operator==(const refuse&, const refuse&) = default;
};

// Action that the scheduler requests from its caller. A request for which no
// decision was returned stays queued.
using decision = std::variant<start, refuse>;
using decisions = std::vector<decision>;

// Outcome of an attempt at an endpoint.
enum class attempt_end : std::uint8_t
{
  // The complete response was received.
  kCompleted,
  // The endpoint could not be reached, closed the connection early, or sent an
  // invalid response.
  kFailed,
  // The endpoint's host refused the connection: no process listens there.
  kConnectionRefused,
  // The endpoint accepted the request and then stopped responding.
  kSilent,
  // The endpoint reported that it did not run the request because it is busy.
  kDeclined,
  // The endpoint reported that it is leaving, so that it takes no new work, and
  // did not run the request.
  kDeclinedLeaving,
  // The router cancelled the attempt: the caller disconnected or the deadline
  // passed.
  kCancelled,
};

// Load that an endpoint reported.
struct load_report
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  // Used fraction of the engine's cache memory, 0 to 1.
  double mCacheUsed = 0;
  // Duration of one engine step; zero if unknown.
  duration mStep{};
  bool mLeaving = false;
  // How long the endpoint still warms up; see base/warm_up_spec.h.
  duration mWarmUpLeft{};
  // When the endpoint measured this load, on this process's clock.
  time_point mMeasuredAt{};

  friend bool operator==(const load_report&, const load_report&) = default;
};

// Whether an endpoint may receive new work, according to the platform's list or
// the endpoint itself.
enum class endpoint_state : std::uint8_t
{
  kLive,
  kLeaving,
  kGone,
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_WORK_H_
