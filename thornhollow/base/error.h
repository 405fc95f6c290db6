// The closed list of error kinds and the table from a kind to the answer that a
// caller gets.
//
// Every refusal and failure in thornhollow is one `error_kind`. What a caller
// is told follows from the kind alone, through `AnswerFor`, so that the same
// failure always gets the same status, the same statement about whether the
// request was run, and the same counter.
//
//   const answer& told = AnswerFor(error_kind::kQueueFull);
//   // told.mHttpStatus == 503, told.mRan == ran::kNo
//
#ifndef THORNHOLLOW_BASE_ERROR_H_
#define THORNHOLLOW_BASE_ERROR_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace thornhollow {

// Whether a request was executed by an endpoint, as far as can be known.
// `kNo` is a promise: the caller may submit the request again without risk of
// a second execution.
enum class ran : std::uint8_t
{
  kNo,
  kMaybe,
  kYes,
};

// When a caller that got this answer should come back.
enum class come_back : std::uint8_t
{
  // The same request will fail again; something about it must change first.
  kNever,
  // After the delay that the policy computed for this answer.
  kAfterDelay,
};

// Every way in which a request may end other than with its whole answer.
enum class error_kind : std::uint8_t
{
  // The request itself is at fault.
  kMalformedRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kSlowSender,
  kUnknownPath,
  kMethodNotAllowed,
  kUnauthenticated,
  kClassNotAllowed,
  kUnknownClass,
  kUnknownModel,
  kUnknownTeam,

  // This instance takes no new work.
  kNotReady,
  kDraining,
  kTooManyConnections,
  kMemoryFull,

  // Decisions under load.
  kTeamOverLimit,
  kQueueFull,
  kShedForHigherTier,
  kDeadlineUnmeetable,
  kDeadlineExpiredWaiting,
  kNoEndpoint,
  kRetryBudgetSpent,
  kRequestEndsEndpoints,
  kSuspectHeld,
  kEndpointsAtBound,

  // A stream that its caller continues.
  kStreamOriginUnreachable,
  kStreamOriginUnknown,
  kStreamVersionGone,

  // The same idempotency key elsewhere.
  kKeyHeldElsewhere,
  kKeyAlreadyUsed,
  kKeyOfOtherRequest,
  kKeyWitnessUnreachable,

  // An attempt failed.
  kConnectFailed,
  kEndpointDeclined,
  kEndpointSilent,
  kEndpointConnectionLost,
  kEndpointBadAnswer,
  kAnswerMismatch,
  kStreamBroken,
  kDeadlineExpiredRunning,

  // The caller or this instance.
  kCallerLeft,
  kStoppedRunning,
  kInternal,
};

inline constexpr std::size_t kErrorKindCount =
  static_cast<std::size_t>(error_kind::kInternal) + 1;

// One row of the answer table.
struct answer
{
  error_kind mKind;
  // Stable name: the `error.kind` of the JSON answer and the counter's label.
  std::string_view mName;
  unsigned mHttpStatus;
  ran mRan;
  come_back mComeBack;
  // One sentence for the caller.
  std::string_view mMessage;
};

// The row of `aKind`. Never fails: the table covers the list, which is checked
// when the table is compiled.
const answer&
AnswerFor(error_kind aKind);

// The stable name of `aKind`, the same as `AnswerFor(aKind).mName`.
std::string_view
Name(error_kind aKind);

// "no", "maybe" or "yes".
std::string_view
Name(ran aRan);

// Every kind once, in the order of the list.
const std::array<error_kind, kErrorKindCount>&
AllErrorKinds();

// A failure inside the program, handed on as a Boost.LEAF error object.
struct failure
{
  error_kind mKind = error_kind::kInternal;
  // For logs. Never holds a prompt, an answer or a token.
  std::string mDetail;

  friend bool operator==(const failure&, const failure&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_BASE_ERROR_H_
