#include "thornhollow/testing/fake_engine.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include "thornhollow/base/most_within.h"
#include "thornhollow/testing/token_text.h"

namespace thornhollow::testing {

namespace json = boost::json;

namespace {

const http_header kJson{ "Content-Type", "application/json" };

// Makes the identifier of the request that a crossed answer belongs to.
constexpr const char* kOtherSuffix = "-other";

template<class number>
number
NumberOr(const json::object& aObject, std::string_view aName, number aElse)
{
  const json::value* found = aObject.if_contains(aName);
  if (found == nullptr) {
    return aElse;
  }
  const auto read = json::try_value_to<number>(*found);
  return read ? *read : aElse;
}

// All message contents, one after the other: what a prefix cache compares.
std::string
PromptOf(const json::object& aBody)
{
  std::string prompt;
  const json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return prompt;
  }
  for (const json::value& message : messages->get_array()) {
    const json::value* content = message.is_object()
                                   ? message.get_object().if_contains("content")
                                   : nullptr;
    if (content != nullptr && content->is_string()) {
      prompt.append(content->get_string()).append(" ");
    }
  }
  return prompt;
}

json::object
RecordJson(const run_record& aRecord)
{
  json::object record{
    { "accepted", aRecord.mAccepted }, { "runs", aRecord.mRuns },
    { "resumed", aRecord.mResumed },   { "cancelled", aRecord.mCancelled },
    { "finished", aRecord.mFinished }, { "tokens", aRecord.mTokens }
  };
  if (aRecord.mFirstIndex) {
    record["first_index"] = *aRecord.mFirstIndex;
    record["last_index"] = *aRecord.mLastIndex;
  }
  return record;
}

std::string
EventFor(const std::string& aId, std::uint32_t aIndex, const emitted_token& aOf)
{
  json::object event{ { "id", aId }, { "index", aIndex } };
  if (!aOf.mText.empty()) {
    event["token"] = aOf.mText;
  }
  if (aOf.mFinish != finish::kNone) {
    event["finish_reason"] = aOf.mFinish == finish::kStop ? "stop" : "length";
  }
  return "data: " + json::serialize(event) + "\n\n";
}

} // namespace

fake_engine::fake_engine(event_loop& aLoop,
                         engine_settings aSettings,
                         std::uint32_t aMaxWaiting,
                         std::string aVersion,
                         duration aWarmUp)
  : mLoop(aLoop)
  , mCore(aSettings)
  , mMaxWaiting(aMaxWaiting)
  , mVersion(std::move(aVersion))
  , mWarmUp(aWarmUp)
  , mWarmFrom(aLoop.Now() + aWarmUp)
{
}

http_handler
fake_engine::Handler()
{
  return [this](const http_request& aRequest, const exchange_ptr& aExchange) {
    Handle(aRequest, aExchange);
  };
}

void
fake_engine::Handle(const http_request& aRequest, const exchange_ptr& aExchange)
{
  const std::string& path = aRequest.mPath;
  if (path == "/v1/chat/completions" && aRequest.mMethod == "POST") {
    Complete(aRequest, aExchange);
  } else if (path == "/v1/cancel" && aRequest.mMethod == "POST") {
    Cancel(aRequest, aExchange);
  } else if (path == "/v1/load" && mFaults.Mode().mFreeze) {
    // A frozen engine answers nothing at all.
  } else if (path == "/v1/load") {
    aExchange->Answer(200, { kJson }, LoadJson());
  } else if (path == "/test/runs") {
    aExchange->Answer(200, { kJson }, RunsJson());
  } else if (path == "/test/mode" && aRequest.mMethod == "POST") {
    mFaults.SetMode(aRequest, aExchange);
  } else {
    aExchange->Answer(404, {}, {});
  }
}

void
fake_engine::Complete(const http_request& aRequest,
                      const exchange_ptr& aExchange)
{
  if (mLoop.Now() < mWarmFrom) {
    mColdArrivals.push_back(mLoop.Now());
  }
  const misbehaviour faults = mFaults.Take();
  if (mFaults.FailsBeforeRun(faults, aExchange)) {
    return;
  }
  if (IsFull()) {
    mFaults.Decline(aExchange, false);
    return;
  }
  json::error_code error;
  const json::value parsed = json::parse(aRequest.mBody, error);
  const std::string id = aRequest.Header("X-Request-Id");
  if (error || !parsed.is_object() || id.empty()) {
    aExchange->Answer(400, { { "X-Request-Ran", "no" } }, {});
    return;
  }
  const json::object& body = parsed.get_object();
  engine_request taken;
  taken.mId = id;
  taken.mPriority = NumberOr(body, "priority", taken.mPriority);
  taken.mResumeFrom = NumberOr(body, "resume_from", taken.mResumeFrom);
  taken.mMaxTokens =
    std::max(NumberOr(body, "max_tokens", taken.mMaxTokens), 1U);
  taken.mPrompt = PromptOf(body);
  const run_number run = mCore.Submit(taken, mLoop.Now());
  mStreams[run] = { .mExchange = aExchange,
                    .mId = id,
                    .mFaults = faults,
                    .mEndsEngine = mFaults.EndsEndpoint(aRequest.mBody),
                    .mResumed = taken.mResumeFrom > 0 };
  aExchange->OnClosed([this, run] {
    mCore.CancelRun(run);
    mStreams.erase(run);
  });
  ScheduleStep();
}

bool
fake_engine::IsFull() const
{
  return mMaxWaiting > 0 && mStreams.size() >= mCore.Settings().mSlots +
                                                 std::size_t{ mMaxWaiting };
}

void
fake_engine::Cancel(const http_request& aRequest, const exchange_ptr& aExchange)
{
  json::error_code error;
  const json::value parsed = json::parse(aRequest.mBody, error);
  const json::value* id = !error && parsed.is_object()
                            ? parsed.get_object().if_contains("id")
                            : nullptr;
  if (id == nullptr || !id->is_string()) {
    aExchange->Answer(400, {}, {});
    return;
  }
  const std::string name(id->get_string());
  const bool found = mCore.CancelRequest(name);
  std::erase_if(mStreams, [&name](auto& aEntry) {
    if (aEntry.second.mId != name) {
      return false;
    }
    aEntry.second.mExchange->OnClosed(nullptr);
    aEntry.second.mExchange->Cut();
    return true;
  });
  aExchange->Answer(found ? 200 : 404, {}, {});
}

std::string
fake_engine::LoadJson() const
{
  const load_report report = mCore.Load(mLoop.Now());
  return json::serialize(json::object{
    { "running", report.mRunning },
    { "waiting", report.mWaiting },
    { "slots", report.mSlots },
    { "kv_used", report.mKvUsed },
    { "step_ms",
      ToSeconds(mCore.Settings().mStep) * 1e3 * mFaults.Mode().mSlowFactor },
    { "leaving", mFaults.Mode().mLeaving },
    { "warm_up_left_ms",
      ToMilliseconds(
        std::max<duration>(mWarmFrom - (mLoop.Now() - report.mAge), {})) },
    { "age_ms", ToMilliseconds(report.mAge) },
    { "tokens_per_second", report.mTokensPerSecond } });
}

std::string
fake_engine::RunsJson() const
{
  json::object requests;
  run_record total;
  for (const auto& [id, record] : mCore.Records()) {
    requests[id] = RecordJson(record);
    total.mAccepted += record.mAccepted;
    total.mRuns += record.mRuns;
    total.mResumed += record.mResumed;
    total.mCancelled += record.mCancelled;
    total.mFinished += record.mFinished;
    total.mTokens += record.mTokens;
  }
  json::object totals = RecordJson(total);
  totals["declined"] = mFaults.Declined();
  totals["ended"] = mFaults.Ended();
  totals["most_cold_in_a_second"] = MostWithin(mColdArrivals, Seconds(1));
  return json::serialize(
    json::object{ { "requests", requests }, { "totals", totals } });
}

void
fake_engine::ScheduleStep()
{
  if (mStepScheduled || !mCore.Busy()) {
    return;
  }
  mStepScheduled = true;
  mLoop.After(
    FromSeconds(ToSeconds(mCore.Settings().mStep) * mFaults.Mode().mSlowFactor),
    [this] { Step(); });
}

void
fake_engine::Step()
{
  mStepScheduled = false;
  for (const emitted_token& token : mCore.Step(mLoop.Now())) {
    const auto found = mStreams.find(token.mRun);
    if (found != mStreams.end() && found->second.mEndsEngine) {
      End();
      return;
    }
    if (found != mStreams.end() && !Deliver(found->second, token)) {
      found->second.mExchange->OnClosed(nullptr);
      mStreams.erase(found);
      mCore.CancelRun(token.mRun);
    }
  }
  ScheduleStep();
}

void
fake_engine::End()
{
  for (auto& [run, ended] : std::exchange(mStreams, {})) {
    ended.mExchange->OnClosed(nullptr);
    mCore.CancelRun(run);
  }
  mWarmFrom = mLoop.Now() + Milliseconds(mFaults.Mode().mBackAfterMs) + mWarmUp;
  mFaults.EndEndpoint();
}

bool
fake_engine::Deliver(stream& aStream, const emitted_token& aToken)
{
  const misbehaviour& faults = aStream.mFaults;
  if (faults.mCrashAfterRun) {
    aStream.mExchange->Cut();
    return false;
  }
  Begin(aStream);
  if (BreakStream(aStream)) {
    return false;
  }
  if (faults.mFreezeAfterTokens &&
      aStream.mSent >= *faults.mFreezeAfterTokens) {
    return true;
  }
  const std::uint32_t index =
    aToken.mIndex + (aStream.mResumed ? faults.mResumeOffset : 0);
  const std::string other = aStream.mId + kOtherSuffix;
  emitted_token sent = aToken;
  if ((faults.mWrongIdEvents || faults.mWrongIdHeader) && !sent.mText.empty()) {
    sent.mText = TokenText(other, aToken.mIndex);
  }
  if (!mVersion.empty() && !sent.mText.empty()) {
    sent.mText += "@" + mVersion;
  }
  aStream.mExchange->Send(
    EventFor(faults.mWrongIdEvents ? other : aStream.mId, index, sent));
  ++aStream.mSent;
  if (BreakStream(aStream)) {
    return false;
  }
  if (aToken.mFinish == finish::kNone) {
    return true;
  }
  aStream.mExchange->Send("data: [DONE]\n\n");
  aStream.mExchange->EndStream();
  return false;
}

void
fake_engine::Begin(stream& aStream)
{
  if (std::exchange(aStream.mBegun, true)) {
    return;
  }
  const std::string id =
    aStream.mFaults.mWrongIdHeader ? aStream.mId + kOtherSuffix : aStream.mId;
  std::vector<http_header> headers = { { "Content-Type", "text/event-stream" },
                                       { "X-Request-Id", id } };
  if (!mVersion.empty()) {
    headers.push_back({ "X-Engine-Version", mVersion });
  }
  aStream.mExchange->BeginStream(200, std::move(headers));
}

bool
fake_engine::BreakStream(stream& aStream)
{
  const misbehaviour& faults = aStream.mFaults;
  if (faults.mCrashAfterTokens && aStream.mSent >= *faults.mCrashAfterTokens) {
    aStream.mExchange->Cut();
    return true;
  }
  if (faults.mCutAfterTokens && aStream.mSent >= *faults.mCutAfterTokens) {
    aStream.mExchange->EndStream();
    return true;
  }
  return false;
}

} // namespace thornhollow::testing
