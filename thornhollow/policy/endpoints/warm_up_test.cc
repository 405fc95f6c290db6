#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/warm_up.h"

namespace thornhollow {
namespace {

constexpr endpoint_process_hash kProcess = 7;

struct memory_of_one_process
{
  time_point mNow = time_point() + Seconds(100);
  warm_up_memory mWarmUps;

  bool WarmsUpAfter(duration aAfter) const
  {
    return mWarmUps.IsWarmingUp(kProcess, mNow + aAfter);
  }
};

TEST_CASE_FIXTURE(memory_of_one_process, "warm_up/stated/holds_for_that_long")
{
  CHECK(mWarmUps.OnStated(kProcess, Seconds(3), mNow));
  CHECK(WarmsUpAfter(Milliseconds(2'999)));
  CHECK_FALSE(WarmsUpAfter(Seconds(3)));
}

TEST_CASE_FIXTURE(memory_of_one_process, "warm_up/states_none/nothing_is_known")
{
  CHECK_FALSE(mWarmUps.OnStated(kProcess, duration::zero(), mNow));
  CHECK(mWarmUps.size() == 0);
}

TEST_CASE_FIXTURE(memory_of_one_process, "warm_up/states_that_it_is_over/ends")
{
  mWarmUps.OnStated(kProcess, Seconds(3), mNow);
  CHECK(mWarmUps.OnStated(kProcess, duration::zero(), mNow + Seconds(1)));
  CHECK_FALSE(WarmsUpAfter(Seconds(1)));
}

// Guards against a running endpoint that turns cold.
TEST_CASE_FIXTURE(memory_of_one_process, "warm_up/stated_again/begins_again")
{
  mWarmUps.OnStated(kProcess, Seconds(3), mNow);
  CHECK(mWarmUps.OnStated(kProcess, Seconds(3), mNow + Seconds(10)));
  CHECK(WarmsUpAfter(Seconds(12)));
}

// Guards against a word from before the endpoint became cold.
TEST_CASE_FIXTURE(memory_of_one_process,
                  "warm_up/presumed_and_stated_as_over/holds")
{
  mWarmUps.Presume(kProcess, Seconds(3), mNow);
  mWarmUps.OnStated(kProcess, duration::zero(), mNow + Milliseconds(100));
  CHECK(WarmsUpAfter(Milliseconds(2'900)));
  CHECK_FALSE(WarmsUpAfter(Seconds(3)));
}

// Guards against a report that was on its way when the endpoint became cold.
TEST_CASE_FIXTURE(
  memory_of_one_process,
  "warm_up/presumed_then_reported_as_over/by_when_it_was_measured")
{
  mWarmUps.Presume(kProcess, Seconds(3), mNow);
  mWarmUps.OnReported(kProcess,
                      duration::zero(),
                      mNow - Milliseconds(1),
                      mNow + Milliseconds(100));
  CHECK(WarmsUpAfter(Seconds(2)));
  CHECK(mWarmUps.OnReported(kProcess,
                            duration::zero(),
                            mNow + Milliseconds(50),
                            mNow + Milliseconds(100)));
  CHECK_FALSE(WarmsUpAfter(Milliseconds(100)));
}

TEST_CASE_FIXTURE(memory_of_one_process,
                  "warm_up/reported_late/holds_from_when_it_was_measured")
{
  CHECK(
    mWarmUps.OnReported(kProcess, Seconds(3), mNow, mNow + Milliseconds(700)));
  CHECK(WarmsUpAfter(Milliseconds(2'999)));
  CHECK_FALSE(WarmsUpAfter(Seconds(3)));
}

TEST_CASE_FIXTURE(memory_of_one_process, "warm_up/over/reported_once")
{
  mWarmUps.OnStated(kProcess, Seconds(3), mNow);
  CHECK(mWarmUps.TakeEnded(mNow + Seconds(2)).empty());
  CHECK(mWarmUps.TakeEnded(mNow + Seconds(3)).size() == 1);
  CHECK(mWarmUps.TakeEnded(mNow + Seconds(4)).empty());
}

TEST_CASE_FIXTURE(memory_of_one_process, "warm_up/process_ends/is_forgotten")
{
  mWarmUps.OnStated(kProcess, Seconds(3), mNow);
  mWarmUps.Forget(kProcess);
  CHECK_FALSE(WarmsUpAfter(Seconds(1)));
}

} // namespace
} // namespace thornhollow
