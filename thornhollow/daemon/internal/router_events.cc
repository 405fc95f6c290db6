#include <memory>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/daemon/internal/router_core.h"
#include "thornhollow/daemon/open_end_check.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {

void
router::core::OnAttemptEvent(ticket aTicket, const request_event& aEvent)
{
  const auto found = mLive.find(aTicket);
  if (found == mLive.end()) {
    return;
  }
  live_request& live = *found->second;
  const auto* answer = std::get_if<answer_received>(&aEvent);
  if (answer != nullptr && answer->mOpenEnded) {
    JudgeOpenEnd(live, *answer);
  } else {
    TakeAttemptEvent(live, aEvent);
  }
}

void
router::core::JudgeOpenEnd(const live_request& aLive,
                           const answer_received& aAnswer)
{
  const auto ask =
    [this,
     process = listed_process{ aLive.mEndpoint,
                               aLive.mAddress,
                               EndpointProcessHash(aLive.mEndpoint, 0) }](
      process_confirmations::handler aDone) {
      mProcesses.AskIfRunning(process, std::move(aDone));
    };
  const auto signs = [] { return open_end_signs{}; };
  CheckOpenEnd(
    mIo,
    { signs, ask },
    [this,
     number = aLive.mTicket,
     attempt = aLive.mAttempt,
     answer = std::make_shared<const answer_received>(aAnswer)](
      open_end_ground aGround) {
      mMetrics.OnEvent("open_end_" + std::string(Name(aGround)));
      const auto found = mLive.find(number);
      // The attempt may have been ended meanwhile, and another be under way.
      if (found == mLive.end() || found->second->mAttempt != attempt) {
        return;
      }
      if (IsVouchedFor(aGround)) {
        TakeAttemptEvent(*found->second, *answer);
        return;
      }
      mLog.WriteRequest(log_level::kWarning,
                        "answer_end_not_vouched_for",
                        { { "request_id", found->second->mId.Text() },
                          { "endpoint", found->second->mEndpoint.Text() },
                          { "open_end", std::string(Name(aGround)) } });
      TakeAttemptEvent(*found->second, connection_lost{ answer->mAttempt });
    });
}

void
router::core::TakeAttemptEvent(live_request& aLive, const request_event& aEvent)
{
  const ticket number = aLive.mTicket;
  const bool isLost = std::holds_alternative<connection_lost>(aEvent);
  if (isLost || std::holds_alternative<connect_failed>(aEvent)) {
    mForwarder.OnAttemptFailed(aLive.mIntake.mPool, Now());
  }
  if (std::holds_alternative<connect_failed>(aEvent)) {
    mWarmUps.OnUnreachable(aLive.mEndpoint, Now());
    ApplyRates();
  }
  if (const auto* notice = std::get_if<endpoint_notice>(&aEvent)) {
    TakeNotice(aLive.mEndpoint, *notice);
  }
  if (std::holds_alternative<sending_begun>(aEvent)) {
    aLive.mSending = true;
  } else if (std::holds_alternative<answer_received>(aEvent)) {
    RecordProgress(aLive, run_progress::kGoing);
  } else if (std::holds_alternative<token_received>(aEvent)) {
    RecordToken(aLive);
  }
  const endpoint* where = mCatalog->EndpointByName(aLive.mEndpoint.Text());
  if (!isLost || !aLive.mSending || !MayEndEndpoint(aLive.mRunProgress) ||
      where == nullptr || !mReservations.IsLive(aLive.mEndpoint)) {
    DispatchEvent(number, aEvent);
    return;
  }
  mCrashes.OnAttemptLost(
    { aLive.mId,
      SuspectAttempt(aLive, aLive.mEndpoint),
      aLive.mEndpoint,
      { where->mAddress, 0 },
      aLive.mRunProgress },
    [this, number, aEvent, engine = aLive.mEndpoint](bool aEnded) {
      if (aEnded) {
        mWarmUps.OnUnreachable(engine, Now());
        ApplyRates();
      }
      DispatchEvent(number, aEvent);
    });
}

void
router::core::TakeNotice(const endpoint_name& aEndpoint,
                         const endpoint_notice& aNotice)
{
  if (aNotice.mLeaving && mOnLeaving) {
    mOnLeaving(aEndpoint);
  }
  if (aNotice.mRest) {
    const time_point now = Now();
    mScheduler.OnEndpointRest(aEndpoint, now + *aNotice.mRest, now);
    mMetrics.OnEvent("endpoint_asks_rest");
    mLog.Write(log_level::kInfo,
               "endpoint_asks_rest",
               { { "endpoint", aEndpoint.Text() },
                 { "rest_ms", ToMilliseconds(*aNotice.mRest) } });
  }
}

void
router::core::RecordToken(live_request& aLive)
{
  const time_point now = Now();
  if (aLive.mRunProgress == run_progress::kNoOutput) {
    aLive.mOutputAt = now;
  }
  RecordProgress(aLive, ProgressAfter(now - aLive.mOutputAt));
}

void
router::core::RecordProgress(live_request& aLive, run_progress aProgress)
{
  aLive.mRunProgress = mCrashes.OnProgress(
    aLive.mFeatures, aLive.mTicket, aLive.mRunProgress, aProgress, Now());
}

void
router::core::DispatchEvent(ticket aTicket, const request_event& aEvent)
{
  Run([&] { HandleEvent(aTicket, aEvent); });
}

void
router::core::HandleEvent(ticket aTicket, const request_event& aEvent)
{
  const auto found = mLive.find(aTicket);
  if (found == mLive.end()) {
    return;
  }
  const live_request_ptr live = found->second;
  const request_actions actions = live->mMachine.Handle(aEvent, Now());
  for (const request_action& each : actions) {
    std::visit([&](const auto& aAction) { Execute(*live, aAction); }, each);
  }
  if (live->mMachine.Ended()) {
    End(*live);
  } else {
    ArmTimer(live);
  }
}

void
router::core::End(live_request& aLive)
{
  const ticket number = aLive.mTicket;
  aLive.mTimer.cancel();
  aLive.mExchange->OnLeft(nullptr);
  mCrashes.OnSendEnded(aLive.mFeatures, number, Now());
  mLive.erase(number);
  if (aLive.mKeyStage != key_stage::kNone) {
    mKeys->OnEnded(number, aLive.mMachine.Ran());
  }
  Apply(mScheduler.Forget(number, Now()));
}

void
router::core::ArmTimer(const live_request_ptr& aLive)
{
  const auto due = aLive->mMachine.NextDue();
  // Each token postpones the due time. The running timer is left to fire
  // early and is then set again, which is cheaper than resetting it for each
  // token.
  if (!due || (aLive->mTimerDue && *aLive->mTimerDue <= *due)) {
    return;
  }
  aLive->mTimerDue = due;
  aLive->mTimer.expires_at(*due);
  aLive->mTimer.async_wait(
    [this, number = aLive->mTicket](const boost::system::error_code& aError) {
      if (!aError) {
        OnTimer(number);
      }
    });
}

void
router::core::OnTimer(ticket aTicket)
{
  if (const auto found = mLive.find(aTicket); found != mLive.end()) {
    found->second->mTimerDue.reset();
    DispatchEvent(aTicket, time_passed{});
  }
}

void
router::core::PostEvent(ticket aTicket, request_event aEvent)
{
  boost::asio::post(mIo, [this, aTicket, event = std::move(aEvent)] {
    DispatchEvent(aTicket, event);
  });
}

} // namespace thornhollow
