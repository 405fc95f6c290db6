#include "thornhollow/request/request_machine.h"

#include <algorithm>
#include <utility>

namespace thornhollow {

request_machine::request_machine(request_facts aFacts)
  : mFacts(std::move(aFacts))
{
}

request_actions
request_machine::Handle(const request_event& aEvent, time_point aNow)
{
  mNow = aNow;
  mOut.clear();
  if (mStage != stage::kEnded) {
    std::visit([this](const auto& aOne) { On(aOne); }, aEvent);
  }
  return std::exchange(mOut, {});
}

std::optional<time_point>
request_machine::NextDue() const
{
  if (!AttemptIsOpen()) {
    return std::nullopt;
  }
  return std::min(mStageDue, mFacts.mDeadline);
}

ran
request_machine::Ran() const
{
  if (mCompleted || mDelivered > 0) {
    return ran::kYes;
  }
  const bool underWay = mStage == stage::kSent || mStage == stage::kStreaming;
  return underWay || mMayHaveRun ? ran::kMaybe : ran::kNo;
}

void
request_machine::On(const attempt_granted& aEvent)
{
  if (mStage != stage::kWaiting) {
    return;
  }
  ++mAttempt;
  mAttemptTokens = 0;
  Enter(stage::kConnecting, mFacts.mLimits.mConnect);
  mOut.emplace_back(open_attempt{ mAttempt, aEvent.mEndpoint, mDelivered });
}

void
request_machine::On(const schedule_refused& aEvent)
{
  if (mStage == stage::kWaiting) {
    EndWithError(aEvent.mKind, aEvent.mRetryAfter);
  }
}

void
request_machine::On(const connect_failed& aEvent)
{
  if (IsPresent(aEvent.mAttempt)) {
    FailAttempt(attempt_end::kFailed, error_kind::kConnectFailed);
  }
}

void
request_machine::On(const sending_begun& aEvent)
{
  if (IsPresent(aEvent.mAttempt) && mStage == stage::kConnecting) {
    Enter(stage::kSent, mFacts.mLimits.mFirstByte);
  }
}

void
request_machine::On(const endpoint_declined& aEvent)
{
  if (IsPresent(aEvent.mAttempt)) {
    FailAttempt(aEvent.mLeaving ? attempt_end::kDeclinedLeaving
                                : attempt_end::kDeclined,
                error_kind::kEndpointDeclined);
  }
}

void
request_machine::On(const token_received& aEvent)
{
  if (!IsPresent(aEvent.mAttempt)) {
    return;
  }
  // An engine that confuses two requests sends a token of another caller: the
  // event's identifier differs, and nothing of it may be handed on.
  if (aEvent.mId != mFacts.mId) {
    FailAttempt(attempt_end::kFailed, error_kind::kAnswerMismatch);
    return;
  }
  // A stream resumed at the wrong offset repeats or skips tokens; the index
  // shows it before the caller can see it.
  if (aEvent.mIndex != mDelivered) {
    FailAttempt(attempt_end::kFailed, error_kind::kEndpointBadAnswer);
    return;
  }
  // What two versions of an engine write doesn't fit together. The engine is
  // sound, and its run is cancelled.
  if (mDelivered > 0 && aEvent.mVersion != mVersion) {
    FailAttempt(attempt_end::kCancelled, error_kind::kEndpointBadAnswer);
    return;
  }
  mVersion = aEvent.mVersion;
  if (mAttemptTokens == 0) {
    mOut.emplace_back(report_first_token{});
  }
  ++mDelivered;
  ++mAttemptTokens;
  Enter(stage::kStreaming, mFacts.mLimits.mBetweenTokens);
  mOut.emplace_back(deliver_token{ aEvent.mIndex, aEvent.mText });
}

void
request_machine::On(const stream_finished& aEvent)
{
  if (!IsPresent(aEvent.mAttempt)) {
    return;
  }
  CloseAttempt(attempt_end::kCompleted);
  mStage = stage::kEnded;
  mCompleted = true;
  mOut.emplace_back(deliver_end{ aEvent.mFinishReason });
}

void
request_machine::On(const answer_received& aEvent)
{
  if (!IsPresent(aEvent.mAttempt)) {
    return;
  }
  if (aEvent.mId != mFacts.mId) {
    FailAttempt(attempt_end::kFailed, error_kind::kAnswerMismatch);
    return;
  }
  // Part of a stream was handed on already: another kind of answer can't
  // follow it.
  if (mDelivered > 0) {
    FailAttempt(attempt_end::kFailed, error_kind::kEndpointBadAnswer);
    return;
  }
  CloseAttempt(attempt_end::kCompleted);
  mStage = stage::kEnded;
  mCompleted = true;
  mOut.emplace_back(deliver_answer{
    aEvent.mHttpStatus, aEvent.mContentType, aEvent.mBody, aEvent.mOpenEnded });
}

void
request_machine::On(const connection_lost& aEvent)
{
  if (!IsPresent(aEvent.mAttempt)) {
    return;
  }
  FailAttempt(attempt_end::kFailed,
              mStage == stage::kConnecting
                ? error_kind::kConnectFailed
                : error_kind::kEndpointConnectionLost);
}

void
request_machine::On(const answer_unreadable& aEvent)
{
  if (IsPresent(aEvent.mAttempt)) {
    FailAttempt(attempt_end::kFailed, error_kind::kEndpointBadAnswer);
  }
}

void
request_machine::On(const answer_crossed& aEvent)
{
  if (IsPresent(aEvent.mAttempt)) {
    FailAttempt(attempt_end::kFailed, error_kind::kAnswerMismatch);
  }
}

void
request_machine::On(const time_passed& /*aEvent*/)
{
  if (!AttemptIsOpen()) {
    return;
  }
  if (mNow >= mFacts.mDeadline) {
    const bool nothingSent = mStage == stage::kConnecting && !mMayHaveRun;
    CloseAttempt(attempt_end::kCancelled);
    if (!nothingSent) {
      mMayHaveRun = error_kind::kDeadlineExpiredRunning;
    }
    EndWithError(nothingSent ? error_kind::kDeadlineExpiredWaiting
                             : error_kind::kDeadlineExpiredRunning,
                 duration{});
    return;
  }
  if (mNow >= mStageDue) {
    const bool connecting = mStage == stage::kConnecting;
    FailAttempt(connecting ? attempt_end::kFailed : attempt_end::kSilent,
                connecting ? error_kind::kConnectFailed
                           : error_kind::kEndpointSilent);
  }
}

void
request_machine::On(const caller_left& /*aEvent*/)
{
  if (AttemptIsOpen()) {
    if (mStage != stage::kConnecting) {
      mMayHaveRun = error_kind::kCallerLeft;
    }
    CloseAttempt(attempt_end::kCancelled);
  }
  EndWithError(error_kind::kCallerLeft, duration{});
}

bool
request_machine::IsPresent(attempt_number aAttempt) const
{
  return AttemptIsOpen() && aAttempt == mAttempt;
}

bool
request_machine::AttemptIsOpen() const
{
  return mStage != stage::kWaiting && mStage != stage::kEnded;
}

void
request_machine::Enter(stage aStage, duration aLimit)
{
  mStage = aStage;
  mStageDue = mNow + aLimit;
}

void
request_machine::CloseAttempt(attempt_end aHow)
{
  mOut.emplace_back(close_attempt{ mAttempt });
  mOut.emplace_back(report_attempt_ended{ aHow, mAttemptTokens });
  mStage = stage::kWaiting;
}

void
request_machine::FailAttempt(attempt_end aHow, error_kind aKind)
{
  CloseAttempt(aHow);
  if (AnswerFor(aKind).mRan != ran::kNo) {
    mMayHaveRun = aKind;
  }
  if (mAttempt < mFacts.mMaxAttempts && MayRepeatAfter(aKind)) {
    mOut.emplace_back(ask_again{ aKind });
    return;
  }
  EndWithError(aKind, duration{});
}

// A dispatch order whose answer was lost may have been carried out. Sent again
// it sends a second lorry, so only a proven "not run" or a declared idempotence
// allows another attempt.
bool
request_machine::MayRepeatAfter(error_kind aKind) const
{
  return mFacts.mIdempotent || AnswerFor(aKind).mRan == ran::kNo;
}

// A refusal on the way to a further attempt ("queue full: not run") would be a
// lie after an attempt that may have run; the earlier failure is told instead.
void
request_machine::EndWithError(error_kind aKind, duration aRetryAfter)
{
  error_kind told = aKind;
  if (mDelivered > 0 && aKind != error_kind::kCallerLeft) {
    told = error_kind::kStreamBroken;
  } else if (mMayHaveRun && AnswerFor(aKind).mRan == ran::kNo) {
    told = *mMayHaveRun;
  }
  mStage = stage::kEnded;
  mOut.emplace_back(deliver_error{ told, aRetryAfter });
}

} // namespace thornhollow
