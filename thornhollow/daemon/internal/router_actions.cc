#include <string>
#include <utility>

#include "thornhollow/daemon/caller_reply.h"
#include "thornhollow/daemon/internal/router_core.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {

void
router::core::Execute(live_request& aLive, const open_attempt& aAction)
{
  const endpoint* where = mCatalog->EndpointByName(aAction.mEndpoint.Text());
  if (where == nullptr) {
    // The endpoint was removed from the catalog after it was chosen; nothing
    // has been sent.
    PostEvent(aLive.mTicket, connect_failed{ aAction.mAttempt });
    return;
  }
  aLive.mEndpoint = aAction.mEndpoint;
  aLive.mAddress = where->mAddress;
  aLive.mSending = false;
  aLive.mRunProgress = run_progress::kNoOutput;
  endpoint_call call;
  call.mAttempt = aAction.mAttempt;
  call.mId = aLive.mId;
  call.mAddress = where->mAddress;
  call.mMethod = aLive.mIntake.mMethod;
  call.mPath = aLive.mIntake.mPath;
  call.mContentType = aLive.mIntake.mContentType;
  call.mEngine = aLive.mIntake.mEngine;
  call.mBody =
    call.mEngine
      ? EngineBody(aLive.mIntake,
                   aLive.mUsesMinimumShare ? kHighestTier : aLive.mIntake.mTier,
                   aAction.mResumeFrom)
      : aLive.mIntake.mBody;
  aLive.mAttempt =
    StartAttempt(mIo,
                 std::move(call),
                 [this, number = aLive.mTicket](const request_event& aEvent) {
                   OnAttemptEvent(number, aEvent);
                 });
}

void
router::core::Execute(live_request& aLive, const close_attempt& /*aAction*/)
{
  if (aLive.mAttempt != nullptr) {
    aLive.mAttempt->Close();
    aLive.mAttempt = nullptr;
  }
}

void
router::core::Execute(live_request& aLive,
                      const report_first_token& /*aAction*/)
{
  mScheduler.OnFirstToken(aLive.mTicket, Now());
}

void
router::core::Execute(live_request& aLive, const report_attempt_ended& aAction)
{
  if (aAction.mHow == attempt_end::kDeclinedLeaving && mOnLeaving) {
    mOnLeaving(aLive.mEndpoint);
  }
  mCrashes.OnSendEnded(aLive.mFeatures, aLive.mTicket, Now());
  Apply(mScheduler.OnAttemptEnded(
    aLive.mTicket, aAction.mHow, aAction.mTokens, Now()));
}

void
router::core::Execute(live_request& aLive, const ask_again& aAction)
{
  mMetrics.OnRetry(aAction.mReason);
  mLog.Write(log_level::kWarning,
             "retry",
             { { "reason", std::string(Name(aAction.mReason)) },
               { "class", aLive.mIntake.mClass.Text() },
               { "endpoint", aLive.mEndpoint.Text() },
               { "fingerprint", Text(aLive.mFeatures.mContent) },
               { "parts", PartsText(aLive.mFeatures) },
               { "request_id", aLive.mId.Text() } });
  Apply(mScheduler.Resubmit(aLive.mTicket, Now()));
}

void
router::core::Execute(live_request& aLive, const deliver_token& aAction)
{
  const time_point now = Now();
  const class_name& name = aLive.mIntake.mClass;
  if (aAction.mIndex == 0) {
    mMetrics.OnFirstToken(name, now - aLive.mExchange->Arrival());
  } else {
    mMetrics.OnTokenGap(name, now - aLive.mLastToken);
  }
  aLive.mLastToken = now;
  if (!aLive.mIntake.mStream) {
    aLive.mText += aAction.mText;
    return;
  }
  SendHeadOnce(aLive);
  aLive.mExchange->Send(stream_text{
    TokenEvent(aLive.mId, ModelOf(aLive), aAction.mIndex, aAction.mText) });
}

void
router::core::Execute(live_request& aLive, const deliver_end& aAction)
{
  const std::uint64_t tokens = aLive.mMachine.DeliveredTokens();
  RecordProgress(aLive, run_progress::kGoing);
  mMetrics.OnCompleted(aLive.mIntake.mClass, tokens);
  if (!aLive.mIntake.mStream) {
    aLive.mExchange->Send(CompletionReply(aLive.mId,
                                          ModelOf(aLive),
                                          aLive.mText,
                                          aAction.mFinishReason,
                                          aLive.mIntake.mPromptTokens,
                                          tokens));
    return;
  }
  SendHeadOnce(aLive);
  aLive.mExchange->Send(
    stream_text{ EndEvents(aLive.mId, ModelOf(aLive), aAction.mFinishReason) });
  aLive.mExchange->Send(stream_end{});
}

void
router::core::Execute(live_request& aLive, const deliver_answer& aAction)
{
  mMetrics.OnCompleted(aLive.mIntake.mClass, 0);
  whole_reply reply{ aAction.mHttpStatus,
                     { { "X-Request-Id", aLive.mId.Text() } },
                     aAction.mContentType,
                     aAction.mBody,
                     aAction.mOpenEnded };
  if (aAction.mOpenEnded &&
      request_forwarder::IsForwarded(aLive.mExchange->Request())) {
    reply.mHeaders.push_back({ std::string(kForwardingOpenEndedHeader), "1" });
    reply.mOpenEnded = false;
  }
  aLive.mExchange->Send(std::move(reply));
}

void
router::core::Execute(live_request& aLive, const deliver_error& aAction)
{
  mMetrics.OnWastedTokens(aLive.mMachine.DeliveredTokens());
  const duration retryDelay = aAction.mRetryAfter > duration{}
                                ? aAction.mRetryAfter
                                : JitteredRetryDelay();
  whole_reply reply = Refusal(aAction.mKind, retryDelay, aLive.mId);
  if (!aLive.mHeadSent) {
    TellForwarder(*aLive.mExchange, aAction.mKind, reply);
    aLive.mExchange->Send(std::move(reply));
    return;
  }
  aLive.mExchange->Send(
    stream_text{ ErrorEvent(aAction.mKind, retryDelay, aLive.mId) });
  aLive.mExchange->Send(stream_end{});
}

void
router::core::SendHeadOnce(live_request& aLive)
{
  if (!std::exchange(aLive.mHeadSent, true)) {
    aLive.mExchange->Send(
      stream_head{ { { "X-Request-Id", aLive.mId.Text() } } });
  }
}

std::string_view
router::core::ModelOf(const live_request& aLive)
{
  return aLive.mIntake.mPool.Text();
}

} // namespace thornhollow
