#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/concurrency_limit.h"

namespace thornhollow {
namespace {

struct sixteen_slots
{
  // Advances the clock by a second and reports one window of first tokens.
  void Window(duration aWait, double aLoad)
  {
    mNow += Seconds(1);
    for (std::uint32_t i = 0; i < concurrency_limit_settings{}.mWindowResponses;
         ++i) {
      mLimit.OnFirstToken(aWait, aLoad, mNow);
    }
  }

  time_point mNow{ Seconds(100) };
  concurrency_limit mLimit{ concurrency_limit_settings{}, 16 };
};

// Requests queue at a full endpoint, so its first tokens are late. If the limit
// didn't decrease, requests of the highest tier would wait behind requests that
// the router could have kept in its own queue.
TEST_CASE_FIXTURE(sixteen_slots,
                  "concurrency_limit/queue_in_engine/falls_then_recovers")
{
  CHECK(mLimit.Limit() == 16);
  Window(Milliseconds(50), 16);
  Window(Milliseconds(1000), 16);
  CHECK(mLimit.Limit() == 11);
  Window(Milliseconds(1000), 16);
  CHECK(mLimit.Limit() == 8);
  for (int i = 0; i < 8; ++i) {
    Window(Milliseconds(50), mLimit.Limit());
  }
  CHECK(mLimit.Limit() == 16);
}

TEST_CASE_FIXTURE(sixteen_slots, "concurrency_limit/slow_but_quiet/limit_stays")
{
  Window(Milliseconds(50), 1);
  Window(Milliseconds(1000), 2);
  CHECK(mLimit.Limit() == 16);
}

TEST_CASE_FIXTURE(sixteen_slots,
                  "concurrency_limit/answers_sent_before_the_cut/cut_once")
{
  Window(Milliseconds(50), 16);
  Window(Seconds(5), 16);
  Window(Seconds(5), 16);
  CHECK(mLimit.Limit() == 11);
}

// Guards against a latency floor that grows to the latency of an overload
// lasting minutes: the limit would increase again while requests still queue at
// the endpoint.
TEST_CASE_FIXTURE(sixteen_slots,
                  "concurrency_limit/overload_of_minutes/floor_holds")
{
  Window(Milliseconds(50), 16);
  for (int i = 0; i < 90; ++i) {
    Window(Milliseconds(1000), 16);
  }
  CHECK(mLimit.Limit() == 1);
}

TEST_CASE_FIXTURE(sixteen_slots,
                  "concurrency_limit/slots_redeclared/scales_what_was_learnt")
{
  mLimit.OnDeclined(8, mNow);
  CHECK(mLimit.Limit() == 11);
  mLimit.SetSlots(32);
  CHECK(mLimit.Limit() == 22);
}

} // namespace
} // namespace thornhollow
