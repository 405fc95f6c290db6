#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "thornhollow/testing/token_text.h"
#include "thornhollow/tools/load_check.h"

namespace thornhollow {
namespace {

struct check_fixture
{
  check_fixture() { mCheck.Head(200, "r", std::nullopt); }

  static std::string Token(int aIndex, const std::string& aId = "r")
  {
    return fmt::format(
      "data: {{\"id\":\"{}\",\"token_index\":{},\"choices\":[{{\"index\":0,"
      "\"delta\":{{\"content\":\"{}\"}},\"finish_reason\":null}}]}}\n\n",
      aId,
      aIndex,
      testing::TokenText(aId, static_cast<std::uint32_t>(aIndex)));
  }

  load_outcome OutcomeOf(const std::string& aBody)
  {
    mCheck.Body(aBody, mNow);
    return mCheck.Finish(true, mNow).mOutcome;
  }

  time_point mNow{};
  answer_check mCheck{ answer_form::kStream, true };
  std::string mLast = "data: {\"id\":\"r\",\"choices\":[{\"index\":0,\"delta\":"
                      "{},\"finish_reason\":\"stop\"}]}\n\n";
  std::string mDone = "data: [DONE]\n\n";
};

} // namespace

TEST_CASE_FIXTURE(check_fixture, "answer check/whole stream/complete and timed")
{
  mCheck.Body(Token(0), mNow + Milliseconds(5));
  mCheck.Body(Token(1), mNow + Milliseconds(9));
  mCheck.Body(mLast + mDone, mNow + Milliseconds(9));
  const load_result result = mCheck.Finish(true, mNow + Milliseconds(10));
  CHECK(result.mOutcome == load_outcome::kComplete);
  CHECK(result.mTokens == 2);
  CHECK(result.mFirstToken == mNow + Milliseconds(5));
  CHECK(result.mGaps == std::vector<duration>{ Milliseconds(4) });
}

TEST_CASE_FIXTURE(check_fixture, "answer check/no end marker/silent cut")
{
  CHECK(OutcomeOf(Token(0) + Token(1)) == load_outcome::kSilentCut);
}

TEST_CASE_FIXTURE(check_fixture, "answer check/token twice/mismatch")
{
  CHECK(OutcomeOf(Token(0) + Token(0) + mDone) == load_outcome::kMismatch);
}

TEST_CASE_FIXTURE(check_fixture, "answer check/token missing/mismatch")
{
  CHECK(OutcomeOf(Token(0) + Token(2) + mDone) == load_outcome::kMismatch);
}

TEST_CASE_FIXTURE(check_fixture, "answer check/another request's/mismatch")
{
  CHECK(OutcomeOf(Token(0) + Token(1, "s") + mDone) == load_outcome::kMismatch);
}

TEST_CASE_FIXTURE(check_fixture, "answer check/own id, other text/mismatch")
{
  // The identifier alone can be rewritten on the way; the text can't.
  std::string crossed = Token(0, "s");
  crossed.replace(crossed.find("\"id\":\"s\""), 8, "\"id\":\"r\"");
  CHECK(OutcomeOf(crossed + mDone) == load_outcome::kMismatch);
}

TEST_CASE_FIXTURE(check_fixture, "answer check/error event/kind and ran kept")
{
  mCheck.Body(Token(0) + "event: error\ndata: {\"error\":{\"kind\":"
                         "\"stream_broken\",\"ran\":\"yes\"}}\n\n",
              mNow);
  const load_result result = mCheck.Finish(true, mNow);
  CHECK(result.mOutcome == load_outcome::kExplicitError);
  CHECK(result.mErrorKind == "stream_broken");
  CHECK(result.mRan == "yes");
}

TEST_CASE_FIXTURE(check_fixture, "answer check/refused/delay kept")
{
  mCheck.Head(503, "r", 2);
  mCheck.Body("{\"error\":{\"kind\":\"queue_full\",\"ran\":\"no\","
              "\"retry_after_ms\":1200}}",
              mNow);
  const load_result result = mCheck.Finish(true, mNow);
  CHECK(result.mOutcome == load_outcome::kExplicitError);
  CHECK(result.mRetryAfter == Milliseconds(1200));
  CHECK_FALSE(result.mFirstToken.has_value());
}

TEST_CASE("answer check/plain service/own answer only")
{
  for (const auto& [id, expected] :
       { std::pair{ "r", load_outcome::kComplete },
         std::pair{ "s", load_outcome::kMismatch } }) {
    answer_check check(answer_form::kPlainService, true);
    check.Head(200, "r", std::nullopt);
    check.Body(fmt::format("{{\"id\":\"{}\"}}", id), time_point());
    CHECK(check.Finish(true, time_point()).mOutcome == expected);
  }
}

} // namespace thornhollow
