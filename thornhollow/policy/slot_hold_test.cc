#include <doctest/doctest.h>

#include "thornhollow/policy/slot_hold.h"

namespace thornhollow {
namespace {

struct answers_of_three_seconds
{
  slot_hold mHold;

  answers_of_three_seconds()
  {
    for (int each = 0; each < 20; ++each) {
      mHold.OnBegun(Seconds(1));
      mHold.OnEnded(Seconds(4));
    }
  }
};

TEST_CASE("slot_hold/nothing_ended/some_seconds_are_assumed")
{
  CHECK(slot_hold().Mean() == Seconds(2));
}

TEST_CASE_FIXTURE(answers_of_three_seconds, "slot_hold/waits/do_not_count")
{
  CHECK(ToSeconds(mHold.Mean()) == doctest::Approx(3));
}

TEST_CASE_FIXTURE(answers_of_three_seconds, "slot_hold/slots_free/no_wait")
{
  CHECK(mHold.WaitFor(50, 60) == duration::zero());
  CHECK(mHold.WaitFor(50, 0) == duration::zero());
}

TEST_CASE_FIXTURE(answers_of_three_seconds, "slot_hold/queue/grows_by_slots")
{
  CHECK(ToSeconds(mHold.WaitFor(90, 60)) == doctest::Approx(1.5));
}

} // namespace
} // namespace thornhollow
