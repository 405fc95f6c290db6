#include <doctest/doctest.h>

#include "thornhollow/policy/clock_gap.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };

struct ticking_loop
{
  clock_gap mGap;
};

TEST_CASE_FIXTURE(ticking_loop, "clock_gap/first_tick_or_late_tick/no_gap")
{
  CHECK_FALSE(mGap.Tick(kStart));
  CHECK_FALSE(mGap.Tick(kStart + Milliseconds(100)));
  CHECK_FALSE(mGap.Tick(kStart + Milliseconds(1100)));
}

TEST_CASE_FIXTURE(ticking_loop, "clock_gap/process_paused/seen_once")
{
  mGap.Tick(kStart);
  CHECK(mGap.Tick(kStart + Milliseconds(1001)));
  CHECK_FALSE(mGap.Tick(kStart + Milliseconds(1101)));
}

} // namespace
} // namespace thornhollow
