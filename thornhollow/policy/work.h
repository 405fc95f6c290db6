// What the decision modules know of a request: values only, no sockets.
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

// Names a request within one process.
using ticket = std::uint64_t;

// One request, as the scheduler sees it.
struct work_item
{
  ticket mTicket = 0;
  team_name mTeam;
  class_name mClass;
  pool_name mPool;
  // 1 (highest) to 4.
  int mTier = kLowestTier;
  // Hash of the prompt's leading part; 0 where there is none to share.
  std::uint64_t mPrefix = 0;
  std::uint32_t mPromptTokens = 0;
  // The caller's `max_tokens`; 0 where it gave none.
  std::uint32_t mMaxOutputTokens = 0;
  time_point mArrival{};
  // When the whole answer is due.
  time_point mDeadline{};
  bool mIdempotent = false;

  friend bool operator==(const work_item&, const work_item&) = default;
};

// Send the request to this endpoint now; a place there is taken for it.
struct start
{
  ticket mTicket = 0;
  endpoint_name mEndpoint;
  // The request takes its class's minimum share: the endpoint is to serve it
  // with the highest priority instead of its tier's, or it would wait there
  // behind every later request of a higher tier.
  bool mUsesMinimumShare = false;

  friend bool operator==(const start&, const start&) = default;
};

// Answer the request with an error now. It was not sent by this decision.
struct refuse
{
  ticket mTicket = 0;
  error_kind mKind = error_kind::kInternal;
  // When to come back; zero where the kind says never.
  duration mRetryAfter{};

  friend bool operator==(const refuse&, const refuse&) = default;
};

// What the scheduler wants done. A request for which no decision was returned
// waits.
using decision = std::variant<start, refuse>;
using decisions = std::vector<decision>;

// How an attempt at an endpoint ended.
enum class attempt_end : std::uint8_t
{
  // The whole answer came.
  kCompleted,
  // The endpoint can't be reached, or broke off, or answered nonsense.
  kFailed,
  // It took the request and fell silent.
  kSilent,
  // It said that it did not run the request (busy).
  kDeclined,
  // It said that it is leaving and did not run the request.
  kDeclinedLeaving,
  // The router gave it up: the caller left, or the deadline passed.
  kCancelled,
};

// What an endpoint published about itself.
struct load_report
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  // Filled share of the engine's cache memory, 0 to 1.
  double mCacheUsed = 0;
  // Length of one engine step; zero where unknown.
  duration mStep{};
  bool mLeaving = false;
  // When the figures were true, on this process's clock.
  time_point mMeasuredAt{};

  friend bool operator==(const load_report&, const load_report&) = default;
};

// Whether new work may go to an endpoint, by the platform's list or by its own
// word.
enum class endpoint_state : std::uint8_t
{
  kLive,
  kLeaving,
  kGone,
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_WORK_H_
