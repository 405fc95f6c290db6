#include <doctest/doctest.h>

#include "thornhollow/policy/admission/retry_budget.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };

struct two_classes
{
  int SpendAll(const class_name& aClass, time_point aNow)
  {
    int spent = 0;
    while (mBudget.Spend(aClass, mEndpoint, aNow)) {
      ++spent;
    }
    return spent;
  }

  class_name mFirst{ "first" };
  class_name mSecond{ "second" };
  endpoint_name mEndpoint{ "e1" };
  retry_budget mBudget{
    { .mRatio = 0.1, .mFloorPerSecond = 0.1, .mReserve = 5 }
  };
};

// Guards against unlimited retries: an overloaded endpoint answers one request
// in ten. If every failed request is retried, the retries fail as well and
// multiply the load that overloaded the endpoint.
TEST_CASE_FIXTURE(two_classes,
                  "retry_budget/most_attempts_fail/adds_a_share_of_successes")
{
  SpendAll(mFirst, kStart);
  for (int i = 0; i < 40; ++i) {
    mBudget.OnSuccess(mFirst, mEndpoint, kStart);
  }
  // 40 successes at a ratio of 0.1; rounding may leave the sum just below 4.
  const int spent = SpendAll(mFirst, kStart);
  CHECK(spent >= 3);
  CHECK(spent <= 4);
}

TEST_CASE_FIXTURE(two_classes,
                  "retry_budget/endpoint_crashes/reserve_covers_in_flight")
{
  CHECK(SpendAll(mFirst, kStart) == 5);
}

TEST_CASE_FIXTURE(two_classes,
                  "retry_budget/nothing_succeeds/floor_lets_one_through")
{
  SpendAll(mFirst, kStart);
  CHECK(SpendAll(mFirst, kStart + Milliseconds(9900)) == 0);
  CHECK(SpendAll(mFirst, kStart + Milliseconds(10100)) == 1);
}

TEST_CASE_FIXTURE(two_classes,
                  "retry_budget/class_spent/other_class_keeps_its_own")
{
  SpendAll(mFirst, kStart);
  CHECK(mBudget.Spend(mSecond, endpoint_name("e2"), kStart));
  CHECK_FALSE(mBudget.Spend(mSecond, mEndpoint, kStart));
  mBudget.Configure(declarations{});
  CHECK(mBudget.size() == 0);
}

} // namespace
} // namespace thornhollow
