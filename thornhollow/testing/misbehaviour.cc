#include "thornhollow/testing/misbehaviour.h"

#include "thornhollow/testing/json_fields.h"

namespace thornhollow::testing {
namespace {

const json_fields<misbehaviour>&
Fields()
{
  static const json_fields<misbehaviour> kFields{
    { "decline", Field(&misbehaviour::mDecline) },
    { "leaving", Field(&misbehaviour::mLeaving) },
    { "error_status", Field(&misbehaviour::mErrorStatus) },
    { "freeze", Field(&misbehaviour::mFreeze) },
    { "crash_before_run", Field(&misbehaviour::mCrashBeforeRun) },
    { "crash_after_run", Field(&misbehaviour::mCrashAfterRun) },
    { "crash_after_tokens", Field(&misbehaviour::mCrashAfterTokens) },
    { "cut_after_tokens", Field(&misbehaviour::mCutAfterTokens) },
    { "freeze_after_tokens", Field(&misbehaviour::mFreezeAfterTokens) },
    { "wrong_id_header", Field(&misbehaviour::mWrongIdHeader) },
    { "wrong_id_events", Field(&misbehaviour::mWrongIdEvents) },
    { "resume_offset", Field(&misbehaviour::mResumeOffset) },
    { "slow_factor", Field(&misbehaviour::mSlowFactor) },
    { "rest_ms", Field(&misbehaviour::mRestMs) },
    { "says_leaving", Field(&misbehaviour::mSaysLeaving) },
    { "open_ended", Field(&misbehaviour::mOpenEnded) },
    { "delay_ms", Field(&misbehaviour::mDelayMs) },
    { "refuse", Field(&misbehaviour::mRefuse) },
    { "end_on", Field(&misbehaviour::mEndOn) },
    { "back_after_ms", Field(&misbehaviour::mBackAfterMs) },
    { "times", Field(&misbehaviour::mTimes) },
  };
  return kFields;
}

} // namespace

result<misbehaviour>
ReadMisbehaviour(std::string_view aJson)
{
  return ReadFields(Fields(), aJson);
}

misbehaviour
TakeFor(misbehaviour& aMode)
{
  if (!aMode.mTimes) {
    return aMode;
  }
  if (*aMode.mTimes == 0) {
    return {};
  }
  --*aMode.mTimes;
  return aMode;
}

} // namespace thornhollow::testing
