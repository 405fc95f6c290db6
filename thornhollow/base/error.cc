#include "thornhollow/base/error.h"

namespace thornhollow {
namespace {

using enum error_kind;

constexpr std::array<answer, kErrorKindCount> kAnswers = { {
  { kMalformedRequest,
    "malformed_request",
    400,
    ran::kNo,
    come_back::kNever,
    "The request could not be read." },
  { kHeaderTooLarge,
    "header_too_large",
    431,
    ran::kNo,
    come_back::kNever,
    "The request's header is larger than this router accepts." },
  { kBodyTooLarge,
    "body_too_large",
    413,
    ran::kNo,
    come_back::kNever,
    "The request's body is larger than this router accepts." },
  { kSlowSender,
    "slow_sender",
    408,
    ran::kNo,
    come_back::kNever,
    "The request did not arrive in time." },
  { kUnknownPath,
    "unknown_path",
    404,
    ran::kNo,
    come_back::kNever,
    "No service is declared at this path." },
  { kMethodNotAllowed,
    "method_not_allowed",
    405,
    ran::kNo,
    come_back::kNever,
    "The service at this path does not take this method." },
  { kUnauthenticated,
    "unauthenticated",
    401,
    ran::kNo,
    come_back::kNever,
    "The bearer token is missing or belongs to no team." },
  { kClassNotAllowed,
    "class_not_allowed",
    403,
    ran::kNo,
    come_back::kNever,
    "The team may not use this request class." },
  { kUnknownClass,
    "unknown_class",
    400,
    ran::kNo,
    come_back::kNever,
    "No request class of this name is declared." },
  { kUnknownModel,
    "unknown_model",
    404,
    ran::kNo,
    come_back::kNever,
    "No model of this name is declared for the request class." },
  { kUnknownTeam,
    "unknown_team",
    403,
    ran::kNo,
    come_back::kNever,
    "The team is no longer declared." },
  { kNotReady,
    "not_ready",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "This instance does not know the present configuration yet." },
  { kDraining,
    "draining",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "This instance is shutting down; another one will take the request." },
  { kTooManyConnections,
    "too_many_connections",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "This instance holds as many connections as it accepts." },
  { kMemoryFull,
    "memory_full",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "This instance holds as many bytes of requests as it may." },
  { kTeamOverLimit,
    "team_over_limit",
    429,
    ran::kNo,
    come_back::kAfterDelay,
    "The team has as many requests in progress as its declaration allows." },
  { kQueueFull,
    "queue_full",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "More requests of this class wait than can be served in time." },
  { kShedForHigherTier,
    "shed_for_higher_tier",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "The place was needed for a request of a higher tier." },
  { kDeadlineUnmeetable,
    "deadline_unmeetable",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "The present wait is longer than the request's deadline." },
  { kDeadlineExpiredWaiting,
    "deadline_expired_waiting",
    504,
    ran::kNo,
    come_back::kAfterDelay,
    "The deadline passed before an endpoint was free." },
  { kNoEndpoint,
    "no_endpoint",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "No endpoint for this request is in service." },
  { kRetryBudgetSpent,
    "retry_budget_spent",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "The attempt was not run, and the budget for further ones is spent." },
  // A client error would be the usual status. But the content is well formed,
  // and a 503 would invite a repeat that is rejected as well.
  { kRequestEndsEndpoints,
    "request_ends_endpoints",
    502,
    ran::kNo,
    come_back::kAfterDelay,
    "Endpoints ended each time they ran this request; it was not run again." },
  { kSuspectHeld,
    "suspect_held",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "An endpoint ended while it held this request, and another submission of "
    "it has to end first." },
  { kEndpointsAtBound,
    "endpoints_at_bound",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "The endpoints for this request take no more now, by bounds that they "
    "named." },
  { kStreamOriginUnreachable,
    "stream_origin_unreachable",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "It could not be established where this stream began; it was not "
    "continued." },
  // A client error would be the usual status of these two. But the request is
  // well formed, and the router can't tell on which side the fault is.
  { kStreamOriginUnknown,
    "stream_origin_unknown",
    503,
    ran::kNo,
    come_back::kNever,
    "It is not known where this stream began, so it can't be continued; "
    "request "
    "it again from its beginning, without its last event." },
  { kStreamVersionGone,
    "stream_version_gone",
    503,
    ran::kNo,
    come_back::kNever,
    "The endpoints that could continue this stream are gone; request it again "
    "from its beginning, without its last event." },
  { kKeyHeldElsewhere,
    "key_held_elsewhere",
    409,
    ran::kNo,
    come_back::kAfterDelay,
    "Another submission with this idempotency key is in progress; this one "
    "was not run." },
  { kKeyAlreadyUsed,
    "key_already_used",
    409,
    ran::kNo,
    come_back::kNever,
    "A submission with this idempotency key ended before; this one was not "
    "run." },
  { kKeyOfOtherRequest,
    "key_of_other_request",
    422,
    ran::kNo,
    come_back::kNever,
    "The idempotency key belongs to a request with another content; this one "
    "was not run." },
  { kKeyWitnessUnreachable,
    "key_witness_unreachable",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "It could not be established that the idempotency key is unused; this "
    "submission was not run." },
  { kConnectFailed,
    "connect_failed",
    502,
    ran::kNo,
    come_back::kAfterDelay,
    "No connection to an endpoint could be made." },
  { kEndpointDeclined,
    "endpoint_declined",
    503,
    ran::kNo,
    come_back::kAfterDelay,
    "The endpoint answered that it did not run the request." },
  { kEndpointSilent,
    "endpoint_silent",
    504,
    ran::kMaybe,
    come_back::kAfterDelay,
    "The endpoint fell silent after the request was sent." },
  { kEndpointConnectionLost,
    "endpoint_connection_lost",
    502,
    ran::kMaybe,
    come_back::kAfterDelay,
    "The connection to the endpoint broke after the request was sent." },
  { kEndpointBadAnswer,
    "endpoint_bad_answer",
    502,
    ran::kMaybe,
    come_back::kAfterDelay,
    "The endpoint's answer could not be read." },
  { kAnswerMismatch,
    "answer_mismatch",
    502,
    ran::kMaybe,
    come_back::kAfterDelay,
    "The endpoint answered another request; that answer was discarded." },
  { kStreamBroken,
    "stream_broken",
    502,
    ran::kYes,
    come_back::kAfterDelay,
    "The answer broke off and could not be resumed; it is incomplete." },
  { kDeadlineExpiredRunning,
    "deadline_expired_running",
    504,
    ran::kMaybe,
    come_back::kAfterDelay,
    "The deadline passed while an endpoint worked on the request." },
  { kCallerLeft,
    "caller_left",
    499,
    ran::kMaybe,
    come_back::kNever,
    "The caller closed the connection." },
  { kStoppedRunning,
    "stopped_running",
    502,
    ran::kMaybe,
    come_back::kAfterDelay,
    "This instance had to stop while an endpoint worked on the request." },
  { kInternal,
    "internal",
    500,
    ran::kMaybe,
    come_back::kAfterDelay,
    "The router failed." },
} };

// A row out of place would give a caller another failure's answer.
constexpr bool
RowsFollowTheList()
{
  for (std::size_t row = 0; row < kAnswers.size(); ++row) {
    if (kAnswers[row].mKind != static_cast<error_kind>(row)) {
      return false;
    }
  }
  return true;
}
static_assert(RowsFollowTheList());

constexpr std::array<error_kind, kErrorKindCount>
KindsInOrder()
{
  std::array<error_kind, kErrorKindCount> kinds{};
  for (std::size_t row = 0; row < kinds.size(); ++row) {
    kinds[row] = kAnswers[row].mKind;
  }
  return kinds;
}

} // namespace

const answer&
AnswerFor(error_kind aKind)
{
  return kAnswers[static_cast<std::size_t>(aKind)];
}

std::string_view
Name(error_kind aKind)
{
  return AnswerFor(aKind).mName;
}

std::string_view
Name(ran aRan)
{
  switch (aRan) {
    case ran::kNo:
      return "no";
    case ran::kYes:
      return "yes";
    case ran::kMaybe:
      break;
  }
  return "maybe";
}

const std::array<error_kind, kErrorKindCount>&
AllErrorKinds()
{
  static constexpr auto kKinds = KindsInOrder();
  return kKinds;
}

} // namespace thornhollow
