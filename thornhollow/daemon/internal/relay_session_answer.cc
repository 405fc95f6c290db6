#include <utility>

#include "thornhollow/daemon/internal/relay_session.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {
namespace {

// Whether another instance may serve a forwarded request that one has refused
// for this reason.
bool
MayServeElsewhere(error_kind aKind)
{
  return aKind == error_kind::kNotReady || aKind == error_kind::kDraining ||
         aKind == error_kind::kTooManyConnections ||
         aKind == error_kind::kMemoryFull || aKind == error_kind::kNoEndpoint ||
         aKind == error_kind::kEndpointsAtBound;
}

} // namespace

void
relay_session::OnHead(relay_answer_head& aHead)
{
  if (const auto refused =
        IsAtPeer() ? ReadForwardingError(aHead.mHeaders) : std::nullopt) {
    OnPeerRefused(*refused, ReadRetryAfter(aHead.mHeaders));
    return;
  }
  const auto leaving = TakeMarks(aHead);
  const bool success = IsSuccess(aHead.mStatus);
  if (!AcceptsHead(aHead, success)) {
    return;
  }
  EndSilence();
  if (IsAtPeer()) {
    mPeerVersion =
      ReadForwardingVersion(aHead.mHeaders).value_or(kUnknownVersion);
  }
  if (success && mOrigin && AttemptVersion() != *mOrigin) {
    mDispatcher.Metrics().OnEvent("stream_resumed_other_version");
    OnFailure(attempt_failure::kGarbled,
              "endpoint may have started again as another version",
              true);
    return;
  }
  if (mAnswer.Begun()) {
    mDispatcher.Metrics().OnEvent("stream_resumed_same_version");
  }
  mAnswer.OnHead(aHead,
                 { success && IsStream(mRoute->mKind),
                   IsAtPeer() && ReadForwardingOpenEnded(aHead.mHeaders),
                   IsAtPeer() ? mPeer : mPick.mAddress,
                   IsAtPeer() });
  if (leaving && mIsForwarded) {
    mAnswer.AddHeader(ForwardingLeavingHeader(*leaving));
  }
  if (mIsForwarded) {
    mAnswer.AddHeader(ForwardingVersionHeader(AttemptVersion()));
  }
}

bool
relay_session::AcceptsHead(const relay_answer_head& aHead, bool aSuccess)
{
  if (aHead.mMarks.mNotRun) {
    OnFailure(attempt_failure::kDeclined,
              "status " + std::to_string(aHead.mStatus),
              false);
    return false;
  }
  if (aSuccess && !aHead.mMarks.mSigned) {
    OnFailure(attempt_failure::kGarbled,
              "success status without a signature header",
              true);
    return false;
  }
  if (!aSuccess && mAnswer.Begun()) {
    OnFailure(
      attempt_failure::kFailed, "endpoint did not resume the stream", true);
    return false;
  }
  if (ImpliesNotRun(aHead.mStatus)) {
    OnFailure(attempt_failure::kFailed,
              "status " + std::to_string(aHead.mStatus),
              false);
    return false;
  }
  // Another instance has made its own retries.
  if (IsServerError(aHead.mStatus) && !IsAtPeer() &&
      (HasSentStandby() || TakeRetryForServerError())) {
    mRetryCharged = !HasSentStandby();
    OnFailure(attempt_failure::kFailed,
              "status " + std::to_string(aHead.mStatus),
              false);
    return false;
  }
  return true;
}

std::optional<endpoint_process_hash>
relay_session::TakeMarks(const relay_answer_head& aHead)
{
  if (!IsAtPeer()) {
    return mDispatcher.OnAnswerMarks(mPick, aHead.mMarks, Now());
  }
  const auto leaving = ReadForwardingLeaving(aHead.mHeaders);
  if (leaving) {
    mDispatcher.OnLeavingReported({ *leaving }, Now());
  }
  return leaving;
}

void
relay_session::OnPeerRefused(error_kind aKind,
                             std::optional<duration> aRetryAfter)
{
  LogFailedAttempt(attempt_failure::kDeclined,
                   "refused by an instance: " + std::string(Name(aKind)));
  mAttempt->Abandon();
  mTimer.cancel();
  EndAttempt(attempt_end::kDeclined);
  if (InstallStandby()) {
    return;
  }
  if (AnswerFor(aKind).mRan != ran::kNo) {
    mMayHaveRun = true;
    GiveUp(aKind, give_up_reason::kRefusedByInstance);
    return;
  }
  if (MayServeElsewhere(aKind)) {
    StartNextAttempt();
    return;
  }
  if (mMayHaveRun || mAnswer.Begun()) {
    GiveUp(FinalError(Progress(attempt_failure::kDeclined)),
           give_up_reason::kRefusedByInstance);
    return;
  }
  Refuse(aKind, aRetryAfter);
}

bool
relay_session::TakeRetryForServerError()
{
  const relay_pool* pool = mDispatcher.Pool(*mPool);
  return NextStep(Progress(attempt_failure::kFailed)) == relay_step::kRetry &&
         pool != nullptr && pool->size() > mTriedEndpoints.size() &&
         mDispatcher.Retries().Spend(*mPool, Now());
}

void
relay_session::OnBytes(const std::string& aBytes)
{
  EndSilence();
  RecordFirstByte();
  mEndIsOpen = false;
  if (const auto fault = mAnswer.OnBytes(aBytes, Now())) {
    OnFailure(attempt_failure::kGarbled, std::string(*fault), true);
    return;
  }
  RecordOrigin();
  RecordPause();
  if (mChargedToPool) {
    RecordProgress(ProgressAfter(Now() - mOutputAt));
  }
}

void
relay_session::RecordProgress(run_progress aProgress)
{
  mRunProgress = mDispatcher.Crashes().OnProgress(
    mFeatures, mTicket, mRunProgress, aProgress, Now());
}

void
relay_session::RecordFirstByte()
{
  if (std::exchange(mFirstByteReceived, true)) {
    return;
  }
  const time_point now = Now();
  mOutputAt = now;
  relay_pool* pool = mDispatcher.Pool(*mPool);
  if (pool != nullptr && mChargedToPool) {
    RecordProgress(run_progress::kBegun);
    pool->OnFirstByte(mPick, mProfile, now - mSentAt, now);
    mDispatcher.ReportLoad(*mPool, mPick);
  }
  if (!mFirstByte) {
    mFirstByte = now - mExchange->Arrival();
    mDispatcher.Metrics().OnFirstToken(mMetricsClass, *mFirstByte);
  }
}

void
relay_session::RecordPause()
{
  if (const auto pause = mAnswer.LastPause()) {
    mDispatcher.Metrics().OnTokenGap(mMetricsClass, *pause);
  }
}

void
relay_session::OnAnswerEnd()
{
  if (const answer_end end = mAnswer.JudgeEnd();
      IsBrokenOff(end) && !ConfirmsEnd(end)) {
    OnFailure(attempt_failure::kBroken, std::string(Describe(end)), true);
    return;
  }
  // The process that stood still may as well have ended.
  if (HasSentStandby() && mAnswer.IsOpenEnded()) {
    OnFailure(
      attempt_failure::kBroken, "connection ended after a silence", true);
    return;
  }
  EndSilence();
  if (!IsAtPeer() && mAnswer.IsOpenEnded()) {
    JudgeOpenEnd();
  } else if (mAnswer.ReceivedFraming() == answer_framing::kConnection) {
    // Another instance frames what it has judged.
    OnFailure(
      attempt_failure::kBroken, "another instance's connection ended", true);
  } else {
    CompleteAnswer();
  }
}

// An endpoint that ended right after a whole stream can't vouch for it.
// Another one, which is asked to go on after the last event, then has nothing
// more to send.
bool
relay_session::ConfirmsEnd(answer_end aEnd) const
{
  return mEndIsOpen && aEnd == answer_end::kBeforeFirstEvent && !IsAtPeer();
}

void
relay_session::JudgeOpenEnd()
{
  mJudgesEnd = true;
  ArmTimer();
  mDispatcher.JudgeOpenEnd(mPick,
                           [self = boost::intrusive_ptr<relay_session>(this),
                            endedAt = Now()](open_end_ground aGround) {
                             if (!self->mDone) {
                               self->OnOpenEndJudged(aGround, Now() - endedAt);
                             }
                           });
}

void
relay_session::OnOpenEndJudged(open_end_ground aGround, duration aTook)
{
  const std::string ground(Name(aGround));
  mJudgesEnd = false;
  mTimer.cancel();
  mOpenEndGround = aGround;
  mOpenEndTook = aTook;
  mDispatcher.Metrics().OnEvent("open_end_" + ground);
  if (!IsVouchedFor(aGround)) {
    mEndIsOpen = mAnswer.Begun();
    OnFailure(attempt_failure::kBroken,
              "nobody vouches for the end of its connection: " + ground,
              true);
    return;
  }
  CompleteAnswer();
}

void
relay_session::CompleteAnswer()
{
  if (!IsAtPeer()) {
    RecordProgress(run_progress::kGoing);
  }
  EndAttempt(attempt_end::kCompleted);
  if (mAnswer.IsOpenEnded()) {
    mDispatcher.Metrics().OnEvent("answer_ended_with_connection");
  }
  if (!mAnswer.SendEnd(Now())) {
    LogFailedAttempt(attempt_failure::kBroken,
                     "resumed stream ended with its connection");
    GiveUp(error_kind::kStreamBroken, give_up_reason::kNoAttemptLeft);
    return;
  }
  RecordPause();
  Finish("answered");
}

} // namespace thornhollow
