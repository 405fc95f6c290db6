#include <algorithm>
#include <utility>
#include <variant>

#include "thornhollow/daemon/internal/relay_session.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {

void
relay_session::OnSilent(time_point aNow)
{
  switch (mHandover.OnSilence(aNow)) {
    case handover_step::kPrepare:
      if (!PrepareStandby(aNow)) {
        mHandover.OnFailed(aNow);
      }
      return;
    case handover_step::kSwitch:
      if (MaySwitchUnanswered()) {
        SwitchToStandby();
      }
      return;
    case handover_step::kWait:
      if (mStandby && !mStandby->mPeer.empty() &&
          !mDispatcher.Reach().IsOffered(*mPool, mStandby->mPeer)) {
        DropStandby(attempt_end::kFailed, "the instance is no longer heard");
      }
      return;
  }
}

// Where no further endpoint could be tried, closing the silent attempt gains
// nothing unless two endpoints must not work on the request.
bool
relay_session::MaySwitchUnanswered() const
{
  return IsStream(mRoute->mKind) || mAttempts + 2 < mRoute->mMaxAttempts;
}

bool
relay_session::PrepareStandby(time_point aNow)
{
  if (mOriginIsAsked || !CanRetryElsewhere() ||
      !mDispatcher.Retries().MaySpend(*mPool, aNow)) {
    return false;
  }
  // The other instance hands over by itself while it responds.
  if (IsAtPeer() && mDispatcher.Reach().IsOffered(*mPool, mPeer)) {
    return false;
  }
  if (!IsAtPeer()) {
    mDispatcher.Reach().OnTrouble(*mPool, aNow);
  }
  if (ShouldForward(aNow) && StandByAtPeer(aNow)) {
    return true;
  }
  relay_pool* pool = mDispatcher.Pool(*mPool);
  if (pool == nullptr || mDispatcher.Reach().IsConfirmedLost(*mPool, aNow)) {
    return false;
  }
  const auto pick = ChooseResponsive(*pool, aNow);
  return pick && StandByAt(*pick, aNow);
}

bool
relay_session::StandByAtPeer(time_point aNow)
{
  const auto peer = mDispatcher.Reach().ChoosePeer(*mPool, mTriedPeers);
  if (!peer) {
    return false;
  }
  mTriedPeers.push_back(*peer);
  mDispatcher.Metrics().OnEvent("request_forwarded");
  mDispatcher.Reach().OnForwarded(*peer);
  mStandby = standby_attempt{};
  mStandby->mNumber = ++mLastAttemptNumber;
  mStandby->mPeer = *peer;
  mStandby->mTicket = mTicket;
  mStandby->mSentAt = aNow;
  // The other instance has yet to find an endpoint that takes the request. If
  // it finds none, the silent attempt must still be there, so that is kept
  // until one of the two answers.
  mHandover.OnPreparing();
  relay_call call =
    PeerCall(*peer, Progress(attempt_failure::kSilent).mAttempts);
  call.mMaySend =
    [self = boost::intrusive_ptr<relay_session>(this),
     number = mStandby->mNumber](time_point /*aMadeAt*/,
                                 const std::function<void(bool)>& aDone) {
      aDone(self->IsStandby(number) &&
            self->mDispatcher.Retries().Spend(*self->mPool, Now()));
    };
  mStandby->mAttempt = StartAttempt(std::move(call), mStandby->mNumber);
  return true;
}

bool
relay_session::StandByAt(const relay_pick& aPick, time_point aNow)
{
  relay_pool* pool = mDispatcher.Pool(*mPool);
  standby_attempt standby;
  standby.mTicket = mDispatcher.Crashes().NextTicket();
  const send_decision decision = mDispatcher.Crashes().BeforeSend(
    SuspectAttempt(aPick, pool->size(), standby.mTicket), aNow);
  if (decision.mVerdict != send_verdict::kSend) {
    return false;
  }
  standby.mNumber = ++mLastAttemptNumber;
  standby.mPick = aPick;
  standby.mSentAt = aNow;
  mStandby = standby;
  mHandover.OnPreparing();
  // Both endpoints may work on what is no stream until one answers, so the
  // other one need not prove first that it responds.
  if (!IsStream(mRoute->mKind)) {
    ConnectStandby();
    return true;
  }
  mDispatcher.Processes().AskIfResponding(
    aPick.mAddress,
    [self = boost::intrusive_ptr<relay_session>(this),
     number = standby.mNumber](bool aResponds) {
      if (!self->IsStandby(number)) {
        return;
      }
      if (aResponds) {
        self->ConnectStandby();
      } else {
        self->DropStandby(attempt_end::kCancelled, "does not respond");
        self->ArmTimer();
      }
    });
  return true;
}

void
relay_session::ConnectStandby()
{
  relay_call call = EndpointCall(mStandby->mPick);
  call.mMaySend = [self = boost::intrusive_ptr<relay_session>(this),
                   number = mStandby->mNumber](
                    time_point aMadeAt, std::function<void(bool)> aDone) {
    self->AllowStandby(number, aMadeAt, std::move(aDone));
  };
  mStandby->mAttempt = StartAttempt(std::move(call), mStandby->mNumber);
}

void
relay_session::AllowStandby(std::uint64_t aNumber,
                            time_point aMadeAt,
                            std::function<void(bool)> aDone)
{
  if (!IsStandby(aNumber) || !MustConfirmFirst()) {
    SendStandby(aNumber, aDone);
    return;
  }
  mDispatcher.Confirm(mStandby->mPick,
                      aMadeAt,
                      [self = boost::intrusive_ptr<relay_session>(this),
                       aNumber,
                       done = std::move(aDone)](bool aIsListed) {
                        if (aIsListed) {
                          self->SendStandby(aNumber, done);
                        } else {
                          done(false);
                        }
                      });
}

void
relay_session::SendStandby(std::uint64_t aNumber,
                           const std::function<void(bool)>& aDone)
{
  const time_point now = Now();
  const bool maySend = IsStandby(aNumber) && ChargeStandby(now) &&
                       mDispatcher.Retries().Spend(*mPool, now);
  if (maySend) {
    mStandby->mSentAt = now;
    mHandover.OnSent(now);
    TellAttempts(mAttempts + 2);
    ArmTimer();
  }
  aDone(maySend);
}

// Counts the standby attempt at its endpoint, if that takes one more.
bool
relay_session::ChargeStandby(time_point aNow)
{
  relay_pool* pool = mDispatcher.Pool(*mPool);
  if (pool == nullptr || !pool->AcceptsNew(mStandby->mPick, aNow)) {
    return false;
  }
  mStandby->mCharged = true;
  CountSent(*pool, mStandby->mPick, aNow);
  return true;
}

void
relay_session::OnStandbyEvent(relay_event& aEvent)
{
  if (auto* head = std::get_if<relay_answer_head>(&aEvent)) {
    OnStandbyHead(aEvent, *head);
    return;
  }
  if (const auto* interim = std::get_if<relay_interim_answer>(&aEvent)) {
    if (!mStandby->mPeer.empty()) {
      mStandby->mToldAttempts =
        ReadForwardingAttempts(interim->mHeaders).value_or(0);
    }
    return;
  }
  const auto* failed = std::get_if<relay_failure>(&aEvent);
  const attempt_failure failure =
    failed == nullptr ? attempt_failure::kGarbled : failed->mFailure;
  if (mStandby->mPeer.empty()) {
    ReportContact(failure, mStandby->mPick);
    ReportStandbyLost(failure);
  }
  DropStandby(IsUnconnected(failure) ? attempt_end::kConnectionRefused
                                     : attempt_end::kFailed,
              Name(failure));
  ArmTimer();
}

// The standby attempt's endpoint may have ended under it.
void
relay_session::ReportStandbyLost(attempt_failure aFailure)
{
  const relay_pool* pool = mDispatcher.Pool(*mPool);
  if (aFailure != attempt_failure::kLost || pool == nullptr ||
      !pool->IsInService(mStandby->mPick)) {
    return;
  }
  mDispatcher.Crashes().OnAttemptLost(
    LostAttempt(mStandby->mPick, mStandby->mTicket, run_progress::kNoOutput),
    [](bool /*aEnded*/) {});
}

void
relay_session::OnStandbyHead(relay_event& aEvent, relay_answer_head& aHead)
{
  if (const auto refused = WhyNotInstead(aHead)) {
    if (mStandby->mPeer.empty()) {
      mDispatcher.OnAnswerMarks(mStandby->mPick, aHead.mMarks, Now());
    }
    DropStandby(*refused, "status " + std::to_string(aHead.mStatus));
    ArmTimer();
    return;
  }
  SwitchToStandby();
  OnAttemptEvent(aEvent);
}

// Why the standby attempt's answer can't be the request's; nothing if it can.
std::optional<attempt_end>
relay_session::WhyNotInstead(const relay_answer_head& aHead) const
{
  const bool atPeer = !mStandby->mPeer.empty();
  if (aHead.mMarks.mNotRun ||
      (atPeer && ReadForwardingError(aHead.mHeaders).has_value())) {
    return attempt_end::kDeclined;
  }
  const bool success = IsSuccess(aHead.mStatus);
  const endpoint_version_hash version =
    atPeer ? ReadForwardingVersion(aHead.mHeaders).value_or(kUnknownVersion)
           : mDispatcher.VersionOf(mStandby->mPick);
  const bool fits =
    success ? aHead.mMarks.mSigned && (!mOrigin || version == *mOrigin)
            : !mAnswer.Begun() && !ImpliesNotRun(aHead.mStatus) &&
                !IsServerError(aHead.mStatus);
  return fits ? std::nullopt : std::optional(attempt_end::kFailed);
}

void
relay_session::DropStandby(attempt_end aEnd, std::string_view aWhy)
{
  const standby_attempt dropped = *std::exchange(mStandby, std::nullopt);
  const time_point now = Now();
  const bool sent = dropped.mAttempt && dropped.mAttempt->Sent();
  LogStandby("standby_dropped", dropped, aWhy, sent);
  if (dropped.mAttempt && aEnd == attempt_end::kDeclined) {
    dropped.mAttempt->Abandon();
  } else if (dropped.mAttempt) {
    dropped.mAttempt->Close();
  }
  if (dropped.mPeer.empty()) {
    mDispatcher.Crashes().OnSendEnded(mFeatures, dropped.mTicket, now);
    SetUnresponsive(dropped.mPick.mEndpoint);
  } else {
    mDispatcher.Reach().OnForwardEnded(dropped.mPeer);
  }
  if (dropped.mCharged) {
    CountEnded(dropped.mPick, aEnd, false, dropped.mSentAt);
  }
  if (sent && aEnd != attempt_end::kDeclined) {
    mAttempts = std::max(mAttempts + 1, dropped.mToldAttempts);
    mMayHaveRun = true;
    if (dropped.mPeer.empty()) {
      mTriedEndpoints.push_back(dropped.mPick.mEndpoint);
    }
  }
  mHandover.OnFailed(now);
}

void
relay_session::EndSilence()
{
  if (mStandby) {
    mDispatcher.Metrics().OnEvent("silent_attempt_went_on");
    DropStandby(attempt_end::kCancelled, "the silent attempt went on");
    ArmTimer();
  }
  mHandover.Reset();
  mUnresponsive.clear();
}

void
relay_session::SwitchToStandby()
{
  const relay_progress progress = Progress(attempt_failure::kSilent);
  LogFailedAttempt(attempt_failure::kSilent,
                   "another endpoint goes on with it");
  mAttempts = progress.mAttempts;
  mMayHaveRun = progress.mMayHaveRun;
  mAttempt->Close();
  if (!IsAtPeer()) {
    ReportContact(attempt_failure::kSilent, mPick);
  }
  EndAttempt(attempt_end::kSilent);
  mDispatcher.Metrics().OnRetry(ErrorOf(attempt_failure::kSilent));
  mDispatcher.Crashes().OnSendEnded(mFeatures, mTicket, Now());
  InstallStandby();
}

bool
relay_session::InstallStandby()
{
  if (!mStandby) {
    return false;
  }
  if (!mStandby->mAttempt || !mStandby->mAttempt->Sent()) {
    DropStandby(attempt_end::kCancelled, "the attempt before it failed");
    mHandover.Reset();
    return false;
  }
  mAnswer.DropUnfinished();
  const standby_attempt standby = *std::exchange(mStandby, std::nullopt);
  ResetAttempt(standby.mSentAt);
  mAnswer.OnAttemptsTold(standby.mToldAttempts);
  mHandover.Reset();
  mUnresponsive.clear();
  mAttempt = standby.mAttempt;
  mAttemptNumber = standby.mNumber;
  mPick = standby.mPick;
  mPeer = standby.mPeer;
  mTicket = standby.mTicket;
  mChargedToPool = mPeer.empty();
  if (mChargedToPool) {
    mTriedEndpoints.push_back(mPick.mEndpoint);
  }
  mDispatcher.Metrics().OnEvent("silent_attempt_replaced");
  ArmTimer();
  return true;
}

} // namespace thornhollow
