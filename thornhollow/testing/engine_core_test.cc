#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/testing/engine_core.h"
#include "thornhollow/testing/token_text.h"

namespace thornhollow::testing {
namespace {

struct engine_fixture
{
  // Steps until nothing is left to do, a step's time apart.
  std::vector<emitted_token> Drain(engine_core& aEngine)
  {
    std::vector<emitted_token> all;
    while (aEngine.Busy()) {
      mNow += aEngine.Settings().mStep;
      const auto tokens = aEngine.Step(mNow);
      all.insert(all.end(), tokens.begin(), tokens.end());
      ++mSteps;
    }
    return all;
  }

  static engine_request Request(const std::string& aId, std::uint32_t aTokens)
  {
    return { .mId = aId, .mMaxTokens = aTokens, .mPrompt = "one two" };
  }

  time_point mNow{};
  int mSteps = 0;
  // So long a mean that only max_tokens ends an answer.
  engine_settings mSettings{ .mSlots = 2, .mMeanTokens = 1'000'000 };
};

std::string
Text(const std::vector<emitted_token>& aTokens)
{
  std::string text;
  for (const emitted_token& token : aTokens) {
    text += token.mText;
  }
  return text;
}

} // namespace

TEST_CASE_FIXTURE(engine_fixture,
                  "engine core/request alone/emits each token once and counts")
{
  engine_core engine(mSettings);
  engine.Submit(Request("r", 5), mNow);
  const auto tokens = Drain(engine);
  REQUIRE(tokens.size() == 5);
  for (std::uint32_t at = 0; at < 5; ++at) {
    CHECK(tokens[at].mIndex == at);
    CHECK(tokens[at].mText == TokenText("r", at));
  }
  CHECK(tokens[4].mFinish == finish::kLength);
  CHECK(engine.Records().at("r") == run_record{ .mAccepted = 1,
                                                .mRuns = 1,
                                                .mFinished = 1,
                                                .mTokens = 5,
                                                .mFirstIndex = 0,
                                                .mLastIndex = 4 });
}

TEST_CASE_FIXTURE(engine_fixture,
                  "engine core/resumed on another engine/same text goes on")
{
  engine_core whole(mSettings);
  whole.Submit(Request("r", 9), mNow);
  engine_core first(mSettings);
  first.Submit(Request("r", 9), mNow);
  std::vector<emitted_token> seen;
  while (seen.size() < 4) {
    const auto tokens = first.Step(mNow);
    seen.insert(seen.end(), tokens.begin(), tokens.end());
  }
  engine_core second(mSettings);
  engine_request rest = Request("r", 9);
  rest.mResumeFrom = 4;
  second.Submit(rest, mNow);
  CHECK(Text(seen) + Text(Drain(second)) == Text(Drain(whole)));
  CHECK(second.Records().at("r").mResumed == 1);
}

TEST_CASE_FIXTURE(engine_fixture,
                  "engine core/resumed at the end/finish without a token")
{
  engine_core engine(mSettings);
  engine_request rest = Request("r", 9);
  rest.mResumeFrom = 9;
  engine.Submit(rest, mNow);
  const auto tokens = Drain(engine);
  REQUIRE(tokens.size() == 1);
  CHECK(tokens[0].mIndex == 9);
  CHECK(tokens[0].mText.empty());
  CHECK(tokens[0].mFinish == finish::kLength);
  CHECK(engine.Records().at("r").mTokens == 0);
}

TEST_CASE_FIXTURE(engine_fixture,
                  "engine core/slots taken/smaller priority enters first")
{
  mSettings.mSlots = 1;
  engine_core engine(mSettings);
  engine.Submit(Request("running", 3), mNow);
  engine.Step(mNow);
  auto low = Request("low", 1);
  low.mPriority = 4;
  auto high = Request("high", 1);
  high.mPriority = 1;
  const auto lowRun = engine.Submit(low, mNow);
  const auto highRun = engine.Submit(high, mNow);
  const auto tokens = Drain(engine);
  REQUIRE(tokens.size() == 5);
  CHECK(tokens[3].mRun == highRun);
  CHECK(tokens[4].mRun == lowRun);
}

TEST_CASE_FIXTURE(engine_fixture,
                  "engine core/cancelled while it waits/never ran")
{
  mSettings.mSlots = 1;
  engine_core engine(mSettings);
  engine.Submit(Request("running", 3), mNow);
  engine.Step(mNow);
  engine.Submit(Request("waiting", 3), mNow);
  CHECK(engine.CancelRequest("waiting"));
  CHECK_FALSE(engine.CancelRequest("waiting"));
  Drain(engine);
  CHECK(engine.Records().at("waiting").mRuns == 0);
  CHECK(engine.Records().at("waiting").mCancelled == 1);
}

TEST_CASE_FIXTURE(engine_fixture,
                  "engine core/prompt in the cache/fewer steps of prefill")
{
  mSettings.mPrefillPerStep = 1;
  mSettings.mCacheTokens = 8;
  engine_core engine(mSettings);
  const auto stepsFor = [&](const std::string& aId,
                            const std::string& aPrompt) {
    auto request = Request(aId, 1);
    request.mPrompt = aPrompt;
    mSteps = 0;
    engine.Submit(request, mNow);
    Drain(engine);
    return mSteps;
  };
  CHECK(stepsFor("a", "one two three four") == 5);
  CHECK(stepsFor("b", "one two three four") == 1);
  // Another prompt of the cache's whole size takes the first one's place.
  CHECK(stepsFor("c", "5 6 7 8 9 10 11 12") == 9);
  CHECK(stepsFor("d", "one two three four") == 5);
}

TEST_CASE_FIXTURE(engine_fixture,
                  "engine core/load changes/report shows it after the lag only")
{
  mSettings.mReportLag = Milliseconds(200);
  engine_core engine(mSettings);
  mNow += Seconds(1);
  engine.Submit(Request("r", 1000), mNow);
  engine.Step(mNow);
  CHECK(engine.Load(mNow + Milliseconds(199)).mRunning == 0);
  const load_report late = engine.Load(mNow + Milliseconds(250));
  CHECK(late.mRunning == 1);
  CHECK(late.mAge == Milliseconds(250));
}

TEST_CASE("drawn length/many requests/mean is near the asked one")
{
  double sum = 0;
  constexpr int kRequests = 4000;
  for (int at = 0; at < kRequests; ++at) {
    sum += DrawnLength("r" + std::to_string(at), 64);
  }
  CHECK(sum / kRequests > 60);
  CHECK(sum / kRequests < 68);
}

} // namespace thornhollow::testing
