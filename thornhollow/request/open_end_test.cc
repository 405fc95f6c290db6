#include <doctest/doctest.h>

#include "thornhollow/request/open_end.h"

namespace thornhollow {
namespace {

// A part of a stream whose endpoint has ended is taken for the whole.
TEST_CASE("open_end/process_known_to_have_ended/broken_off")
{
  CHECK(IsBrokenOff(JudgeAnswer(process_verdict::kRefused)));
  CHECK(IsBrokenOff(JudgeAnswer(process_verdict::kOther)));
  CHECK(JudgeWithoutAsking({ .mIsOtherProcess = true }) ==
        open_end_ground::kOtherProcess);
  // Connections of the process that is listed now say nothing of the other.
  CHECK(JudgeWithoutAsking(
          { .mHasOpenConnection = true, .mIsOtherProcess = true }) ==
        open_end_ground::kOtherProcess);
}

// Whole streams are cut because nothing vouches for their endpoint.
TEST_CASE("open_end/process_not_known_to_have_ended/ends_as_framed")
{
  CHECK_FALSE(IsBrokenOff(JudgeAnswer(process_verdict::kListed)));
  CHECK_FALSE(IsBrokenOff(JudgeAnswer(process_verdict::kUnknown)));
  for (const open_end_signs& each :
       { open_end_signs{ .mHasOpenConnection = true },
         open_end_signs{ .mIsListed = false },
         open_end_signs{ .mIsLeaving = true },
         open_end_signs{ .mCanAsk = false } }) {
    const auto ground = JudgeWithoutAsking(each);
    REQUIRE(ground);
    CHECK_FALSE(IsBrokenOff(*ground));
  }
}

TEST_CASE("open_end/no_sign_either_way/endpoint_is_asked")
{
  CHECK_FALSE(JudgeWithoutAsking({}));
}

// An open connection costs no question, whatever else is known.
TEST_CASE("open_end/open_connection_of_leaving_endpoint/not_asked")
{
  CHECK(
    JudgeWithoutAsking({ .mHasOpenConnection = true, .mIsLeaving = true }) ==
    open_end_ground::kOpenConnection);
}

TEST_CASE("open_end/grounds/have_names_of_their_own")
{
  CHECK(Name(open_end_ground::kOpenConnection) == "open_connection");
  CHECK(Name(open_end_ground::kConnectionRefused) == "refused");
  CHECK(Name(open_end_ground::kOtherProcess) == "other_process");
}

} // namespace
} // namespace thornhollow
