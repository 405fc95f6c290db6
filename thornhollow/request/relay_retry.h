// What follows when an attempt at an endpoint ended without a whole answer.
//
//   const relay_step step = NextStep({ .mKind = request_kind::kIdempotent,
//                                      .mFailure = attempt_failure::kLost,
//                                      .mAttempts = 1,
//                                      .mMaxAttempts = 2 });
//
// Load this answers: endpoints that crash, refuse, garble or fall silent. A
// request that may have run is sent again only where its kind allows that; one
// that certainly did not run may go to another endpoint whatever its kind.
// Only the endpoint's own word, or a connection that was never made, says that
// a request did not run: everything else may have run it.
#ifndef THORNHOLLOW_REQUEST_RELAY_RETRY_H_
#define THORNHOLLOW_REQUEST_RELAY_RETRY_H_

#include <cstdint>
#include <string_view>

#include "thornhollow/base/error.h"
#include "thornhollow/routing/routing_document.h"

namespace thornhollow {

// How an attempt ended other than with a whole answer.
enum class attempt_failure : std::uint8_t
{
  // No connection: no byte of the request left.
  kNotSent,
  // The same, as no process listens at the endpoint's address.
  kConnectionRefused,
  // The endpoint says that it did not run the request.
  kDeclined,
  // The connection ended before an answer began.
  kLost,
  // No answer within the attempt's time.
  kSilent,
  // Bytes that are no answer to this request.
  kGarbled,
  // A whole answer that is the endpoint's own failure.
  kFailed,
  // The answer broke off after it had begun.
  kBroken,
  // The connection may lead to another process than the listed one: no byte of
  // the request left.
  kUnconfirmed,
};

// "not_sent" and so on; the label of counters and log lines.
std::string_view
Name(attempt_failure aFailure);

// The kind of error that this failure is by itself.
error_kind
ErrorOf(attempt_failure aFailure);

// Of an HTTP status.
constexpr bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

constexpr bool
IsServerError(unsigned aStatus)
{
  return aStatus >= 500;
}

// Whether the HTTP status implies to a caller that its request was not run. An
// endpoint's answer with this status has that meaning only if the endpoint also
// marks the request as not run.
constexpr bool
ImpliesNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

// Whether no connection could be made.
constexpr bool
IsUnconnected(attempt_failure aFailure)
{
  return aFailure == attempt_failure::kNotSent ||
         aFailure == attempt_failure::kConnectionRefused;
}

constexpr bool
CertainlyNotRun(attempt_failure aFailure)
{
  return IsUnconnected(aFailure) || aFailure == attempt_failure::kDeclined ||
         aFailure == attempt_failure::kUnconfirmed;
}

struct relay_progress
{
  request_kind mKind = request_kind::kAtMostOnce;
  attempt_failure mFailure = attempt_failure::kLost;
  // Endpoints that bytes of the request were sent to, this attempt included.
  std::uint32_t mAttempts = 1;
  std::uint32_t mMaxAttempts = 1;
  // Parts of the answer are with the caller already.
  bool mAnswerBegun = false;
  // Some attempt may have run the request, this one included.
  bool mMayHaveRun = false;

  friend bool operator==(const relay_progress&,
                         const relay_progress&) = default;
};

enum class relay_step : std::uint8_t
{
  // Send the whole request to another endpoint, if the retry budget allows.
  kRetry,
  // Let another endpoint continue the stream, if the retry budget allows.
  kResume,
  // Nothing more can be tried; see `FinalError`.
  kGiveUp,
};

relay_step
NextStep(const relay_progress& aProgress);

// Why nothing more was tried for a request whose attempt had ended.
enum class give_up_reason : std::uint8_t
{
  kNone,
  // Its kind, or the route's limit of attempts, allows no more.
  kNoAttemptLeft,
  kRetryBudget,
  kNoEndpoint,
  // This instance has lost contact with the pool's endpoints.
  kNoContact,
  // Too many connections could not be made, or for too long.
  kUnconnected,
  // It was held back as suspect for too long.
  kHeldBack,
  kDeadline,
  // The instance that it was forwarded to refused it.
  kRefusedByInstance,
  // This instance's grace to stop is over.
  kStopped,
};

// "retry_budget" and so on; for counters and log lines. Empty for `kNone`.
std::string_view
Name(give_up_reason aReason);

// What the caller is told when nothing more is tried and no part of an answer
// is with it. Never a kind that says "not run" for a request that may have run.
error_kind
FinalError(const relay_progress& aProgress);

} // namespace thornhollow

#endif // THORNHOLLOW_REQUEST_RELAY_RETRY_H_
