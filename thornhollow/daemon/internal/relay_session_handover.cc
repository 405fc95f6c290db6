#include <algorithm>
#include <utility>
#include <variant>

#include "thornhollow/daemon/internal/relay_session.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusRedirect = 300;

} // namespace

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
      SwitchToStandby();
      return;
    case handover_step::kWait:
      return;
  }
}

bool
relay_session::PrepareStandby(time_point aNow)
{
  if (mOriginIsAsked || !CanRetryElsewhere()) {
    return false;
  }
  // The other instance hands over by itself while it responds.
  if (IsAtPeer() && IsPeerResponding()) {
    return false;
  }
  if (ShouldForward(aNow)) {
    return StandByAtPeer(aNow);
  }
  relay_pool* pool = mDispatcher.Pool(*mPool);
  if (pool == nullptr || mDispatcher.Reach().IsConfirmedLost(*mPool, aNow)) {
    return false;
  }
  const auto pick = ChooseStandby(*pool, aNow);
  return pick && StandByAt(*pick, aNow);
}

std::optional<relay_pick>
relay_session::ChooseStandby(relay_pool& aPool, time_point aNow)
{
  std::vector<endpoint_name> tried = mTriedEndpoints;
  tried.insert(tried.end(), mNoStandby.begin(), mNoStandby.end());
  auto pick = mDispatcher.Choose(aPool, mProfile, tried, aNow);
  if (!pick) {
    // The next time all are asked again.
    mNoStandby.clear();
  }
  return pick;
}

bool
relay_session::IsPeerResponding() const
{
  return mDispatcher.Reach().IsOffered(*mPool, mPeer);
}

bool
relay_session::StandByAtPeer(time_point aNow)
{
  const auto peer = mDispatcher.Reach().ChoosePeer(*mPool, mTriedPeers);
  if (!peer || !mDispatcher.Retries().Spend(*mPool, aNow)) {
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
  mStandby->mAttempt =
    StartAttempt(PeerCall(*peer, mAttempts + 1), mStandby->mNumber);
  return true;
}

bool
relay_session::StandByAt(const relay_pick& aPick, time_point aNow)
{
  relay_pool* pool = mDispatcher.Pool(*mPool);
  standby_attempt standby;
  standby.mTicket = mDispatcher.Crashes().NextTicket();
  suspect_attempt suspect = SuspectAttempt(aPick, pool->size());
  suspect.mTicket = standby.mTicket;
  if (mDispatcher.Crashes().BeforeSend(suspect, aNow).mVerdict !=
      send_verdict::kSend) {
    return false;
  }
  standby.mNumber = ++mLastAttemptNumber;
  standby.mPick = aPick;
  standby.mSentAt = aNow;
  mStandby = standby;
  pool->OnSent(aPick, mProfile, aNow);
  mDispatcher.ReportLoad(*mPool, aPick);
  mDispatcher.Reach().OnSent(*mPool, aNow);
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
  const relay_pool* pool = mDispatcher.Pool(*mPool);
  const bool maySend = IsStandby(aNumber) && pool != nullptr &&
                       pool->AcceptsNew(mStandby->mPick, now) &&
                       mDispatcher.Retries().Spend(*mPool, now);
  if (maySend) {
    mStandby->mSentAt = now;
    mHandover.OnSent(now);
    ArmTimer();
  }
  aDone(maySend);
}

void
relay_session::OnStandbyEvent(relay_event& aEvent)
{
  if (auto* head = std::get_if<relay_answer_head>(&aEvent)) {
    OnStandbyHead(aEvent, *head);
    return;
  }
  const auto* failed = std::get_if<relay_failure>(&aEvent);
  DropStandby(failed != nullptr && IsUnconnected(failed->mFailure)
                ? attempt_end::kConnectionRefused
                : attempt_end::kFailed,
              failed == nullptr ? "no head" : Name(failed->mFailure));
}

void
relay_session::OnStandbyHead(relay_event& aEvent, relay_answer_head& aHead)
{
  const bool atPeer = !mStandby->mPeer.empty();
  if (!atPeer) {
    mDispatcher.OnAnswerMarks(mStandby->mPick, aHead.mMarks, Now());
  }
  if (aHead.mMarks.mNotRun ||
      (atPeer && ReadForwardingError(aHead.mHeaders).has_value())) {
    DropStandby(attempt_end::kDeclined, "declined");
    return;
  }
  const bool success = aHead.mStatus >= kStatusOk &&
                       aHead.mStatus < kStatusRedirect && aHead.mMarks.mSigned;
  const endpoint_version_hash version =
    atPeer ? ReadForwardingVersion(aHead.mHeaders).value_or(kUnknownVersion)
           : mDispatcher.VersionOf(mStandby->mPick);
  if (!success || (mOrigin && version != *mOrigin)) {
    DropStandby(attempt_end::kFailed, "answer can't take the place");
    return;
  }
  SwitchToStandby();
  OnAttemptEvent(aEvent);
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
    mDispatcher.Reach().OnEnded(*mPool);
    if (relay_pool* pool = mDispatcher.Pool(*mPool)) {
      pool->OnEnded(dropped.mPick,
                    mProfile,
                    sent ? aEnd : attempt_end::kCancelled,
                    false,
                    now - dropped.mSentAt,
                    now);
      mDispatcher.ReportLoad(*mPool, dropped.mPick);
      mDispatcher.OnRoom(*mPool);
    }
    mNoStandby.push_back(dropped.mPick.mEndpoint);
  } else {
    mDispatcher.Reach().OnForwardEnded(dropped.mPeer);
  }
  if (sent && aEnd != attempt_end::kDeclined) {
    ++mAttempts;
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
  }
  mHandover.Reset();
  mNoStandby.clear();
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
  ReportContact(attempt_failure::kSilent);
  EndAttempt(attempt_end::kSilent);
  mDispatcher.Metrics().OnRetry(ErrorOf(attempt_failure::kSilent));
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
  mDispatcher.Crashes().OnSendEnded(mFeatures, mTicket, Now());
  mAnswer.DropUnfinished();
  const standby_attempt standby = *std::exchange(mStandby, std::nullopt);
  ResetAttempt(standby.mSentAt);
  mHandover.Reset();
  mNoStandby.clear();
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
