#include <algorithm>
#include <utility>

#include "thornhollow/daemon/internal/relay_session.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

// Maximum failed connection attempts for one request.
constexpr std::uint32_t kMaxUnsent = 6;

// No further connection attempt is made for a request once its failed attempts
// have taken this long in total, which is after three that timed out.
constexpr duration kMaxUnsentTime = Milliseconds(800);

// The same for a stream that has begun. Its caller can't begin anew elsewhere
// without loss, and leaves after two seconds without an event.
constexpr std::uint32_t kMaxUnsentOfStream = 12;
constexpr duration kMaxUnsentTimeOfStream = Seconds(2);

// Added to the silence timeout of a forwarded request. The other instance has
// the same timeout and retries first.
constexpr duration kForwardSilenceMargin = Milliseconds(400);

attempt_end
ToAttemptEnd(attempt_failure aFailure)
{
  switch (aFailure) {
    case attempt_failure::kConnectionRefused:
      return attempt_end::kConnectionRefused;
    case attempt_failure::kDeclined:
      return attempt_end::kDeclined;
    case attempt_failure::kSilent:
      return attempt_end::kSilent;
    case attempt_failure::kUnconfirmed:
      return attempt_end::kCancelled;
    default:
      return attempt_end::kFailed;
  }
}

} // namespace

relay_progress
relay_session::Progress(attempt_failure aFailure) const
{
  relay_progress progress;
  progress.mKind = mRoute->mKind;
  progress.mFailure = aFailure;
  const bool sent = (mChargedToPool || IsAtPeer()) && Sent();
  progress.mAttempts =
    std::max(mAttempts + (sent ? 1 : 0), mAnswer.ToldAttempts());
  progress.mMaxAttempts = mRoute->mMaxAttempts;
  // Another instance that breaks off a stream has resumed it as often as the
  // route allows.
  if (IsAtPeer() && aFailure == attempt_failure::kBroken) {
    progress.mAttempts = std::max(progress.mAttempts, mRoute->mMaxAttempts);
  }
  progress.mAnswerBegun = mAnswer.Begun();
  progress.mMayHaveRun = mMayHaveRun || (!CertainlyNotRun(aFailure) && sent);
  return progress;
}

bool
relay_session::Sent() const
{
  return mAttempt && mAttempt->Sent();
}

void
relay_session::OnFailure(attempt_failure aFailure,
                         const std::string& aDetail,
                         bool aClose)
{
  const relay_progress progress = Progress(aFailure);
  LogFailedAttempt(aFailure, aDetail);
  mAttempts = progress.mAttempts;
  mMayHaveRun = progress.mMayHaveRun;
  if (IsUnconnected(aFailure) || aFailure == attempt_failure::kUnconfirmed) {
    ++mUnsent;
    mUnsentTime += Now() - mSentAt;
  }
  if (aFailure == attempt_failure::kUnconfirmed) {
    SetUnresponsive(mPick.mEndpoint);
  }
  if (IsUnconnected(aFailure)) {
    mDispatcher.Metrics().OnEvent(IsAtPeer() ? "forward_connect_failed"
                                             : "endpoint_connect_failed");
  }
  if (aClose) {
    mAttempt->Close();
  } else {
    mAttempt->Abandon();
  }
  const auto lost = MayHaveEndedEndpoint(aFailure)
                      ? std::optional(LostAttempt(mPick, mTicket, mRunProgress))
                      : std::nullopt;
  if (!IsAtPeer()) {
    ReportContact(aFailure, mPick);
  }
  EndAttempt(ToAttemptEnd(aFailure));
  mTimer.cancel();
  const std::uint64_t ticket = mTicket;
  const bool goesOn = InstallStandby();
  if (!lost) {
    if (goesOn) {
      mDispatcher.Crashes().OnSendEnded(mFeatures, ticket, Now());
    } else {
      AfterFailure(aFailure, progress);
    }
    return;
  }
  mDispatcher.Crashes().OnAttemptLost(
    *lost,
    [self = boost::intrusive_ptr<relay_session>(this),
     aFailure,
     progress,
     goesOn,
     ticket](bool /*aEnded*/) {
      if (goesOn) {
        self->mDispatcher.Crashes().OnSendEnded(self->mFeatures, ticket, Now());
      } else if (!self->mDone) {
        self->AfterFailure(aFailure, progress);
      }
    });
}

lost_attempt
relay_session::LostAttempt(const relay_pick& aPick,
                           std::uint64_t aTicket,
                           run_progress aProgress) const
{
  const relay_pool* pool = mDispatcher.Pool(*mPool);
  return { mRelayRequest.mId,
           SuspectAttempt(aPick, pool->size(), aTicket),
           aPick.mEndpoint,
           { aPick.mAddress, aPick.mLifetime },
           aProgress };
}

void
relay_session::ReportContact(attempt_failure aFailure, const relay_pick& aPick)
{
  const endpoint_process process{ aPick.mAddress, aPick.mLifetime };
  if (IsUnconnected(aFailure)) {
    mDispatcher.OnProcessDoubted(process, Now());
  } else if (aFailure == attempt_failure::kLost ||
             aFailure == attempt_failure::kBroken) {
    mDispatcher.OnAnswerBrokenOff(process, Now());
  }
  if (IsUnconnected(aFailure)) {
    mDispatcher.Reach().OnConnectFailed(*mPool, Now());
    mDispatcher.OnUnreachable(aPick, Now());
  } else if (aFailure == attempt_failure::kSilent) {
    mDispatcher.Reach().OnTrouble(*mPool, Now());
    mDispatcher.OnUnreachable(aPick, Now());
  } else if (aFailure == attempt_failure::kLost ||
             aFailure == attempt_failure::kBroken) {
    mDispatcher.Reach().OnTrouble(*mPool, Now());
  }
}

bool
relay_session::MayHaveEndedEndpoint(attempt_failure aFailure) const
{
  const relay_pool* pool = mDispatcher.Pool(*mPool);
  return !IsAtPeer() &&
         (aFailure == attempt_failure::kLost ||
          aFailure == attempt_failure::kBroken) &&
         MayEndEndpoint(mRunProgress) && pool != nullptr &&
         pool->IsInService(mPick);
}

void
relay_session::AfterFailure(attempt_failure aFailure,
                            const relay_progress& aProgress)
{
  mDispatcher.Crashes().OnSendEnded(mFeatures, mTicket, Now());
  mAnswer.DropUnfinished();
  if (const auto reason = ChargeRetry(aProgress);
      reason != give_up_reason::kNone) {
    GiveUp(FinalError(aProgress), reason);
    return;
  }
  mDispatcher.Metrics().OnRetry(ErrorOf(aFailure));
  StartNextAttempt();
}

give_up_reason
relay_session::ChargeRetry(const relay_progress& aProgress)
{
  if (NextStep(aProgress) == relay_step::kGiveUp) {
    return give_up_reason::kNoAttemptLeft;
  }
  if (!MayRetryUnsent()) {
    return give_up_reason::kUnconnected;
  }
  // A request that has not reached any endpoint has caused no load yet, so
  // its next attempt is not charged to the retry budget.
  const bool firstArrival = aProgress.mAttempts == 0;
  const bool retryCharged = std::exchange(mRetryCharged, false) || firstArrival;
  return retryCharged || mDispatcher.Retries().Spend(*mPool, Now())
           ? give_up_reason::kNone
           : give_up_reason::kRetryBudget;
}

bool
relay_session::MayRetryUnsent() const
{
  return mAnswer.Begun() ? mUnsent < kMaxUnsentOfStream &&
                             mUnsentTime < kMaxUnsentTimeOfStream
                         : mUnsent < kMaxUnsent && mUnsentTime < kMaxUnsentTime;
}

void
relay_session::ArmTimer()
{
  mTimer.expires_at(std::min(mProfile.mDeadline, NextSilenceCheck(Now())));
  mTimer.async_wait([self = boost::intrusive_ptr<relay_session>(this)](
                      const boost::system::error_code& aError) {
    if (!aError && !self->mDone) {
      self->OnTimer();
    }
  });
}

time_point
relay_session::SilenceDeadline() const
{
  if (!MayRepeat(mRoute->mKind) || mJudgesEnd) {
    return time_point::max();
  }
  return mLastByte + SilenceTimeout(*mRoute) +
         (IsAtPeer() ? kForwardSilenceMargin : duration::zero());
}

void
relay_session::OnTimer()
{
  const time_point now = Now();
  if (now >= mProfile.mDeadline) {
    OnDeadline();
    return;
  }
  if (now >= SilenceDeadline()) {
    OnSilent(now);
  }
  ArmTimer();
}

time_point
relay_session::NextSilenceCheck(time_point aNow) const
{
  return std::max(SilenceDeadline(), mHandover.NextCheck(aNow));
}

bool
relay_session::CanRetryElsewhere() const
{
  if (NextStep(Progress(attempt_failure::kSilent)) == relay_step::kGiveUp) {
    return false;
  }
  // A stream that has begun can be continued only by endpoints of its version.
  const relay_pool* pool = mDispatcher.Pool(*mPool);
  return !mOrigin || IsAtPeer() ||
         (pool != nullptr && pool->HasOther(mProfile, mTriedEndpoints));
}

void
relay_session::OnDeadline()
{
  const bool ran = Progress(attempt_failure::kSilent).mMayHaveRun;
  LogFailedAttempt(attempt_failure::kSilent, "deadline");
  EndUnfinished(ran ? error_kind::kDeadlineExpiredRunning
                    : error_kind::kDeadlineUnmeetable,
                give_up_reason::kDeadline);
}

void
relay_session::EndUnfinished(error_kind aKind, give_up_reason aReason)
{
  if (mAttempt) {
    mAttempt->Close();
  }
  EndAttempt(attempt_end::kCancelled);
  GiveUp(aKind, aReason);
}

void
relay_session::OnShutdown()
{
  if (mDone || mAnswer.Begun()) {
    return;
  }
  const bool ran =
    Progress(attempt_failure::kSilent).mMayHaveRun || HasSentStandby();
  // The other instance may continue elsewhere after a lost connection, and not
  // after an error of this kind.
  if (ran && mIsForwarded) {
    return;
  }
  EndUnfinished(ran ? error_kind::kStoppedRunning : error_kind::kDraining,
                give_up_reason::kStopped);
}

} // namespace thornhollow
