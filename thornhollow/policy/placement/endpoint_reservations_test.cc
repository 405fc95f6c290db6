#include <doctest/doctest.h>

#include "thornhollow/policy/placement/endpoint_reservations.h"

namespace thornhollow {
namespace {

const endpoint_name kOne("one");
const endpoint_name kOther("other");

TEST_CASE("endpoint_reservations/reserved/is_held_back_until_released")
{
  endpoint_reservations reservations;
  CHECK(reservations.SetReserved({ kOne }) ==
        endpoint_state_changes{ { kOne, endpoint_state::kLeaving } });
  CHECK(reservations.SetReserved({ kOne }).empty());
  CHECK(reservations.SetReserved({ kOther }) ==
        endpoint_state_changes{ { kOne, endpoint_state::kLive },
                                { kOther, endpoint_state::kLeaving } });
}

TEST_CASE("endpoint_reservations/left_while_reserved/stays_leaving")
{
  endpoint_reservations reservations;
  reservations.SetReserved({ kOne });
  reservations.OnState(kOne, endpoint_state::kLeaving);
  CHECK_FALSE(reservations.IsLive(kOne));
  CHECK(reservations.SetReserved({}).empty());
}

TEST_CASE("endpoint_reservations/live_while_reserved/stays_held_back")
{
  endpoint_reservations reservations;
  reservations.SetReserved({ kOne });
  CHECK(reservations.OnState(kOne, endpoint_state::kLive) ==
        endpoint_state_changes{ { kOne, endpoint_state::kLeaving } });
  CHECK(reservations.IsLive(kOne));
}

} // namespace
} // namespace thornhollow
