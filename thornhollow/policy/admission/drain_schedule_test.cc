#include <doctest/doctest.h>

#include "thornhollow/policy/admission/drain_schedule.h"

namespace thornhollow {
namespace {

constexpr time_point kBegan{ Seconds(100) };
constexpr duration kLongTimeout = Seconds(15);

// When the schedule stops to take on requests that may not end in time.
duration
TakesAllFor(duration aGrace)
{
  const drain_schedule drain(kBegan, aGrace);
  duration elapsed{};
  while (drain.Accepts(kLongTimeout, kBegan + elapsed)) {
    elapsed += Milliseconds(1);
  }
  return elapsed;
}

TEST_CASE("drain_schedule/long_grace/takes_all_until_the_balancer_has_noticed")
{
  for (const duration grace :
       { Milliseconds(7'600), Seconds(8), Seconds(30), Seconds(900) }) {
    const drain_schedule drain(kBegan, grace);
    CHECK(drain.Accepts(Seconds(7'200), kBegan));
    CHECK(drain.Accepts(Seconds(7'200), kBegan + Milliseconds(2'499)));
  }
  CHECK(TakesAllFor(Milliseconds(7'600)) == Milliseconds(2'500));
}

// Guards against requests that are taken on shortly before the end and cut.
TEST_CASE("drain_schedule/any_grace/two_thirds_are_left_for_what_is_taken_on")
{
  for (duration grace = Milliseconds(3); grace < Seconds(15);
       grace += Milliseconds(7)) {
    CAPTURE(ToMilliseconds(grace));
    CHECK(grace - TakesAllFor(grace) >= grace * 2 / 3 - Milliseconds(1));
  }
}

TEST_CASE("drain_schedule/later/takes_on_what_ends_in_time")
{
  const drain_schedule drain(kBegan, Seconds(8));
  const time_point later = kBegan + Seconds(5);
  CHECK(drain.Accepts(Seconds(2), later));
  CHECK_FALSE(drain.Accepts(Milliseconds(2'950), later));
  CHECK_FALSE(drain.Accepts(Seconds(3), later));
  CHECK_FALSE(drain.Accepts(duration::zero(), kBegan + Seconds(8)));
}

} // namespace
} // namespace thornhollow
