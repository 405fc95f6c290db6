#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/slot_occupancy.h"

namespace thornhollow {
namespace {

struct answers_of_three_seconds
{
  slot_occupancy mOccupancy;

  answers_of_three_seconds()
  {
    for (int each = 0; each < 20; ++each) {
      mOccupancy.OnStarted(Seconds(1));
      mOccupancy.OnEnded(Seconds(4));
    }
  }
};

TEST_CASE("slot_occupancy/nothing_ended/some_seconds_are_assumed")
{
  CHECK(slot_occupancy().Mean() == Seconds(2));
}

TEST_CASE_FIXTURE(answers_of_three_seconds, "slot_occupancy/waits/do_not_count")
{
  CHECK(ToSeconds(mOccupancy.Mean()) == doctest::Approx(3));
}

TEST_CASE_FIXTURE(answers_of_three_seconds, "slot_occupancy/slots_free/no_wait")
{
  CHECK(mOccupancy.WaitFor(50, 60) == duration::zero());
  CHECK(mOccupancy.WaitFor(50, 0) == duration::zero());
}

TEST_CASE_FIXTURE(answers_of_three_seconds,
                  "slot_occupancy/queue/grows_by_slots")
{
  CHECK(ToSeconds(mOccupancy.WaitFor(90, 60)) == doctest::Approx(1.5));
}

} // namespace
} // namespace thornhollow
