#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <string_view>

#include <doctest/doctest.h>

#include "thornhollow/base/error.h"

namespace thornhollow {
namespace {

struct answer_table
{
  const std::array<error_kind, kErrorKindCount>& mKinds = AllErrorKinds();
};

TEST_CASE_FIXTURE(answer_table, "answer_table/every_kind/has_its_own_name")
{
  std::set<std::string_view> names;
  for (const error_kind kind : mKinds) {
    CHECK(names.insert(Name(kind)).second);
  }
  CHECK(names.size() == kErrorKindCount);
}

TEST_CASE_FIXTURE(answer_table, "answer_table/every_kind/has_an_error_status")
{
  for (const error_kind kind : mKinds) {
    CHECK(AnswerFor(kind).mHttpStatus >= 400);
    CHECK(AnswerFor(kind).mHttpStatus < 600);
    CHECK_FALSE(AnswerFor(kind).mMessage.empty());
  }
}

TEST_CASE_FIXTURE(answer_table, "answer_table/ran_unknown/never_claims_not_run")
{
  // A caller whose dispatch order timed out reads "not run" and sends it again;
  // the first one had been run, and two lorries go out. The kinds below come up
  // after bytes have reached an endpoint.
  for (const error_kind kind : { error_kind::kEndpointSilent,
                                 error_kind::kEndpointConnectionLost,
                                 error_kind::kEndpointBadAnswer,
                                 error_kind::kAnswerMismatch,
                                 error_kind::kStreamBroken,
                                 error_kind::kDeadlineExpiredRunning,
                                 error_kind::kCallerLeft,
                                 error_kind::kInternal }) {
    CHECK(AnswerFor(kind).mRan != ran::kNo);
  }
}

TEST_CASE_FIXTURE(answer_table, "answer_table/every_row/stands_in_the_api_page")
{
  std::ifstream page("docs/API.md");
  REQUIRE(page);
  const std::string text(std::istreambuf_iterator<char>(page), {});
  for (const error_kind kind : mKinds) {
    const answer& row = AnswerFor(kind);
    const std::string expected = "| `" + std::string(row.mName) + "` | " +
                                 std::to_string(row.mHttpStatus) + " | " +
                                 std::string(Name(row.mRan)) + " | ";
    CHECK_MESSAGE(text.find(expected) != std::string::npos, expected);
  }
}

} // namespace
} // namespace thornhollow
