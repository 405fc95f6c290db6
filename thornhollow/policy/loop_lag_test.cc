#include <doctest/doctest.h>

#include "thornhollow/policy/loop_lag.h"

namespace thornhollow {
namespace {

struct ticking_loop
{
  loop_lag_settings mSettings;
  loop_lag mLag{ mSettings };
  time_point mNow{ Seconds(10) };

  duration TickAfter(duration aStep)
  {
    mNow += aStep;
    return mLag.Tick(mNow);
  }
};

TEST_CASE_FIXTURE(ticking_loop, "loop_lag/ticks_in_time/is_not_behind")
{
  for (int each = 0; each < 20; ++each) {
    TickAfter(clock_gap::kTickInterval + mSettings.mLate / 2);
    CHECK_FALSE(mLag.MayBeBehind(mNow));
  }
}

// Guards against final refusals of the requests that are read first after a
// pause, before the next tick.
TEST_CASE_FIXTURE(ticking_loop, "loop_lag/before_the_late_tick/may_be_behind")
{
  TickAfter({});
  CHECK(mLag.MayBeBehind(mNow + clock_gap::kTickInterval + mSettings.mLate));
}

TEST_CASE_FIXTURE(ticking_loop, "loop_lag/after_a_late_tick/until_caught_up")
{
  TickAfter({});
  CHECK(TickAfter(Seconds(3)) == Seconds(3) - clock_gap::kTickInterval);
  const time_point late = mNow;
  while (mNow < late + mSettings.mCatchUp - clock_gap::kTickInterval) {
    TickAfter(clock_gap::kTickInterval);
    CHECK(mLag.MayBeBehind(mNow));
  }
  TickAfter(clock_gap::kTickInterval);
  CHECK_FALSE(mLag.MayBeBehind(mNow));
}

TEST_CASE_FIXTURE(ticking_loop, "loop_lag/late_again_and_again/stays_behind")
{
  TickAfter({});
  for (int each = 0; each < 20; ++each) {
    TickAfter(Milliseconds(700));
    CHECK(mLag.MayBeBehind(mNow + Milliseconds(50)));
  }
}

} // namespace
} // namespace thornhollow
