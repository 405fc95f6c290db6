#include "thornhollow/request/relay_retry.h"

#include <array>

namespace thornhollow {
namespace {

constexpr std::array<std::string_view, 9> kFailureNames = {
  "not_sent",   "connection_refused",
  "declined",   "lost",
  "silent",     "garbled",
  "failed",     "broken",
  "unconfirmed"
};

constexpr std::array<std::string_view, 10> kReasonNames = {
  "",
  "no_attempt_left",
  "retry_budget",
  "no_endpoint",
  "no_contact",
  "unconnected",
  "held_back",
  "deadline",
  "refused_by_instance",
  "stopped"
};

} // namespace

std::string_view
Name(give_up_reason aReason)
{
  return kReasonNames[static_cast<std::size_t>(aReason)];
}

std::string_view
Name(attempt_failure aFailure)
{
  return kFailureNames[static_cast<std::size_t>(aFailure)];
}

relay_step
NextStep(const relay_progress& aProgress)
{
  if (aProgress.mAnswerBegun) {
    return aProgress.mKind == request_kind::kResumableStream &&
               aProgress.mAttempts < aProgress.mMaxAttempts
             ? relay_step::kResume
             : relay_step::kGiveUp;
  }
  // A connection that was never made used up no endpoint.
  const bool attemptsLeft = aProgress.mAttempts < aProgress.mMaxAttempts;
  const bool allowed = !aProgress.mMayHaveRun || MayRepeat(aProgress.mKind);
  return attemptsLeft && allowed ? relay_step::kRetry : relay_step::kGiveUp;
}

error_kind
ErrorOf(attempt_failure aFailure)
{
  switch (aFailure) {
    case attempt_failure::kNotSent:
    case attempt_failure::kConnectionRefused:
    case attempt_failure::kUnconfirmed:
      return error_kind::kConnectFailed;
    case attempt_failure::kDeclined:
      return error_kind::kEndpointDeclined;
    case attempt_failure::kSilent:
      return error_kind::kEndpointSilent;
    case attempt_failure::kGarbled:
    case attempt_failure::kFailed:
      return error_kind::kEndpointBadAnswer;
    case attempt_failure::kBroken:
      return error_kind::kStreamBroken;
    default:
      return error_kind::kEndpointConnectionLost;
  }
}

error_kind
FinalError(const relay_progress& aProgress)
{
  if (!aProgress.mMayHaveRun) {
    return aProgress.mFailure == attempt_failure::kDeclined
             ? error_kind::kEndpointDeclined
             : error_kind::kNoEndpoint;
  }
  // An earlier attempt may have run it: how this one ended must not say
  // otherwise.
  return CertainlyNotRun(aProgress.mFailure)
           ? error_kind::kEndpointConnectionLost
           : ErrorOf(aProgress.mFailure);
}

} // namespace thornhollow
