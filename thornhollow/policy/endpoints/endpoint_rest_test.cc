#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/endpoint_rest.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };
constexpr time_point kEnd = kStart + Seconds(3);
constexpr duration kSpread = Milliseconds(200);
constexpr time_point kReturn = kEnd + kSpread;

struct endpoint_asked_for_rest
{
  endpoint_asked_for_rest() { mRest.Extend(kEnd, kSpread); }

  endpoint_rest mRest;
};

TEST_CASE("endpoint_rest/never_asked/no_limit")
{
  endpoint_rest rest;
  for (int each = 0; each < 100; ++each) {
    CHECK(rest.MaySend(kStart));
    rest.OnSent();
  }
}

TEST_CASE_FIXTURE(endpoint_asked_for_rest,
                  "endpoint_rest/until_its_end/nothing_is_sent")
{
  CHECK_FALSE(mRest.MaySend(kStart));
  CHECK_FALSE(mRest.MaySendInNeed(kReturn - Milliseconds(1)));
  CHECK(mRest.MaySend(kReturn));
}

TEST_CASE_FIXTURE(endpoint_asked_for_rest,
                  "endpoint_rest/shorter_word_later/doesn't_end_it_sooner")
{
  mRest.Extend(kStart + Seconds(1), duration::zero());
  CHECK_FALSE(mRest.MaySend(kReturn - Milliseconds(1)));
  mRest.Extend(kEnd + Seconds(2), duration::zero());
  CHECK_FALSE(mRest.MaySend(kEnd + Seconds(1)));
  CHECK(mRest.MaySend(kEnd + Seconds(2)));
}

// All instances return at once with all that they have.
TEST_CASE_FIXTURE(endpoint_asked_for_rest,
                  "endpoint_rest/return/begins_with_one_and_grows_by_answers")
{
  mRest.OnSent();
  CHECK_FALSE(mRest.MaySend(kReturn));
  mRest.OnStarted(kReturn);
  for (int each = 0; each < 4; ++each) {
    CHECK(mRest.MaySend(kReturn));
    mRest.OnSent();
  }
  CHECK_FALSE(mRest.MaySend(kReturn));
  mRest.OnStarted(kReturn);
  for (int each = 0; each < 100; ++each) {
    CHECK(mRest.MaySend(kReturn));
    mRest.OnSent();
  }
}

TEST_CASE_FIXTURE(endpoint_asked_for_rest,
                  "endpoint_rest/answer_to_an_earlier_request/proves_nothing")
{
  mRest.OnSent();
  mRest.OnStarted(kStart - Seconds(1));
  CHECK_FALSE(mRest.MaySend(kReturn));
}

TEST_CASE_FIXTURE(endpoint_asked_for_rest,
                  "endpoint_rest/first_request_fails/one_more_is_sent")
{
  mRest.OnSent();
  mRest.OnFailed(kReturn);
  CHECK(mRest.MaySend(kReturn));
  mRest.OnSent();
  CHECK_FALSE(mRest.MaySend(kReturn));
}

TEST_CASE_FIXTURE(endpoint_asked_for_rest,
                  "endpoint_rest/no_better_endpoint/a_few_are_sent")
{
  for (std::uint32_t each = 0; each < endpoint_rest::kMaxWithoutAnswer;
       ++each) {
    CHECK(mRest.MaySendInNeed(kReturn));
    mRest.OnSent();
  }
  CHECK_FALSE(mRest.MaySendInNeed(kReturn));
}

} // namespace
} // namespace thornhollow
