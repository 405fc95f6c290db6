#include <fmt/format.h>

#include "thornhollow/daemon/internal/relay_session.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

std::string
HashText(std::uint64_t aHash)
{
  return fmt::format("{:016x}", aHash);
}

} // namespace

void
relay_session::LogRejected(const admission_refusal& aRefusal)
{
  mDispatcher.Log().WriteRequest(
    log_level::kInfo,
    "request_not_taken",
    { { "request", mRelayRequest.mId.Text() },
      { "why", std::string(Name(aRefusal.mKind)) },
      { "pool", mPool->Text() },
      { "wait_ms", ToMilliseconds(aRefusal.mWait) },
      { "seen_wait_ms", ToMilliseconds(aRefusal.mObservedWait) },
      { "longest_ms", ToMilliseconds(aRefusal.mMaxWait) },
      { "come_back_ms", ToMilliseconds(aRefusal.mRetryAfter) } });
}

void
relay_session::LogNotContinued(error_kind aKind, const origin_verdict& aVerdict)
{
  mDispatcher.Log().WriteRequest(
    log_level::kInfo,
    "stream_not_continued",
    { { "request", mRelayRequest.mId.Text() },
      { "why", std::string(Name(aKind)) },
      { "begun_as", mRelayRequest.mBegunAs.Text() },
      { "resume_after", mRelayRequest.mResumeAfter },
      { "pool", mPool->Text() },
      { "ground", std::string(Name(aVerdict.mGround)) },
      { "told_by", aVerdict.mFrom },
      { "asked", static_cast<std::int64_t>(aVerdict.mAsked) },
      { "answered", static_cast<std::int64_t>(aVerdict.mAnswered) },
      { "version_hash", HashText(aVerdict.mVersion) },
      { "listed", mDispatcher.ListedVersions(*mPool) } });
}

void
relay_session::LogFailedAttempt(attempt_failure aFailure,
                                const std::string& aDetail)
{
  const time_point now = Now();
  mDispatcher.Log().WriteRequest(
    log_level::kInfo,
    "attempt_failed",
    { { "request", mRelayRequest.mId.Text() },
      { "fingerprint", Text(mFeatures.mContent) },
      { "parts", PartsText(mFeatures) },
      { "why", std::string(Name(aFailure)) },
      { "detail", aDetail },
      { "endpoint", mPick.mEndpoint.Text() },
      { "version", mPick.mVersion.Text() },
      { "via", mPeer },
      { "reused", std::int64_t{ mAttempt && mAttempt->Reused() } },
      { "after_ms", ToMilliseconds(now - mSentAt) },
      { "expected_ms", ToMilliseconds(mPick.mExpectedWait) },
      { "begun", std::int64_t{ mAnswer.Begun() } } });
}

void
relay_session::LogStandby(std::string_view aEvent,
                          const standby_attempt& aStandby,
                          std::string_view aWhy,
                          bool aSent)
{
  const time_point now = Now();
  mDispatcher.Log().WriteRequest(
    log_level::kInfo,
    aEvent,
    { { "request", mRelayRequest.mId.Text() },
      { "why", std::string(aWhy) },
      { "endpoint", aStandby.mPick.mEndpoint.Text() },
      { "via", aStandby.mPeer },
      { "sent", std::int64_t{ aSent } },
      { "after_ms", ToMilliseconds(now - aStandby.mSentAt) },
      { "silent_ms", ToMilliseconds(now - mLastByte) } });
}

unsigned
relay_session::Status() const
{
  return mRefusalStatus != 0 ? mRefusalStatus : mAnswer.Status();
}

std::string
relay_session::FramingText() const
{
  const auto framing = mAnswer.ReceivedFraming();
  return framing ? std::string(Name(*framing)) : "";
}

caller_end
relay_session::EndAtCaller() const
{
  return mRefusalStatus != 0 ? caller_end::kLength : mAnswer.EndAtCaller();
}

void
relay_session::LogOutcome(std::string_view aOutcome)
{
  const time_point now = Now();
  mDispatcher.Log().WriteRequest(
    log_level::kInfo,
    "request_done",
    { { "request", mRelayRequest.mId.Text() },
      { "fingerprint", Text(mFeatures.mContent) },
      { "parts", PartsText(mFeatures) },
      { "outcome", std::string(aOutcome) },
      { "gave_up_for", std::string(Name(mGaveUpFor)) },
      { "silent_ms", ToMilliseconds(now - mLastByte) },
      { "status", std::int64_t{ Status() } },
      { "route", mRoute == nullptr ? "" : mRoute->mName },
      { "team", mTeam == nullptr ? "" : mTeam->mName.Text() },
      { "tier", std::int64_t{ mProfile.mTier } },
      { "endpoint", mPick.mEndpoint.Text() },
      { "version", mPick.mVersion.Text() },
      { "begun_version", mOriginName.Text() },
      { "begun_as", mRelayRequest.mBegunAs.Text() },
      { "resume_after", mRelayRequest.mResumeAfter },
      { "attempts", static_cast<std::int64_t>(mTriedEndpoints.size()) },
      { "via", mTriedPeers.empty() ? "" : mTriedPeers.back() },
      { "forwarded", std::int64_t{ mIsForwarded } },
      { "prompt_tokens", std::int64_t{ mProfile.mPromptTokens } },
      { "to_read", std::int64_t{ mPick.mPrefillTokens } },
      { "target_ms", ToMilliseconds(mProfile.mTarget) },
      { "side", mPick.mBulk ? "bulk" : "interactive" },
      { "backlog", static_cast<std::int64_t>(mPick.mBacklogTokens) },
      { "expected_ms", ToMilliseconds(mPick.mExpectedWait) },
      { "longest_pause_ms", ToMilliseconds(mAnswer.LongestPause()) },
      { "framing", FramingText() },
      { "ended_by", std::string(Name(EndAtCaller())) },
      { "open_end", mOpenEndGround ? std::string(Name(*mOpenEndGround)) : "" },
      { "open_end_ms", ToMilliseconds(mOpenEndTook) },
      { "first_byte_ms", ToMilliseconds(mFirstByte.value_or(duration{})) },
      { "total_ms", ToMilliseconds(now - mExchange->Arrival()) },
      { "configuration",
        mTable ? static_cast<std::int64_t>(mTable->Document().mVersion)
               : 0 } });
}

} // namespace thornhollow
