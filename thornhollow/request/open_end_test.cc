#include <doctest/doctest.h>

#include "thornhollow/request/open_end.h"

namespace thornhollow {
namespace {

// A part of an answer whose endpoint has ended is taken for the whole.
TEST_CASE("open_end/process_known_to_have_ended/not_vouched_for")
{
  CHECK_FALSE(IsVouchedFor(JudgeAnswer(process_verdict::kRefused)));
  CHECK_FALSE(IsVouchedFor(JudgeAnswer(process_verdict::kOther)));
  CHECK(JudgeWithoutAsking({ .mIsOtherProcess = true }) ==
        open_end_ground::kOtherProcess);
  // Connections of the process that is listed now say nothing of the other.
  CHECK(JudgeWithoutAsking(
          { .mHasOpenConnection = true, .mIsOtherProcess = true }) ==
        open_end_ground::kOtherProcess);
}

// A part is taken for the whole because nothing is known of its endpoint.
TEST_CASE("open_end/nothing_known_of_process/not_vouched_for")
{
  CHECK_FALSE(JudgeWithoutAsking({}));
  CHECK_FALSE(IsVouchedFor(JudgeAnswer(process_verdict::kUnknown)));
}

// Whole answers are cut though their endpoint lives on.
TEST_CASE("open_end/process_known_to_live_on/vouched_for")
{
  CHECK(IsVouchedFor(JudgeAnswer(process_verdict::kListed)));
  CHECK(JudgeWithoutAsking({ .mHasOpenConnection = true }) ==
        open_end_ground::kOpenConnection);
  CHECK(IsVouchedFor(open_end_ground::kOpenConnection));
}

TEST_CASE("open_end/grounds/have_names_of_their_own")
{
  CHECK(Name(open_end_ground::kOpenConnection) == "open_connection");
  CHECK(Name(open_end_ground::kConnectionRefused) == "refused");
  CHECK(Name(open_end_ground::kOtherProcess) == "other_process");
}

} // namespace
} // namespace thornhollow
