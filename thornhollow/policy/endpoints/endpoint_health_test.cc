#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/endpoint_health.h"

namespace thornhollow {
namespace {

struct one_endpoint
{
  void End(attempt_end aHow, duration aElapsed = Milliseconds(100))
  {
    mHealth.OnSent(mNow);
    mNow += aElapsed;
    mHealth.OnEnded(aHow, aElapsed, true, mNow);
  }

  std::uint32_t Allowance() const { return mHealth.Allowance(16, 0, mNow); }

  time_point mNow{ Seconds(100) };
  endpoint_health mHealth{ endpoint_health_settings{} };
};

// A crashed endpoint refuses connections within a millisecond. It always looks
// idle, so without ejection every new request would go there and fail.
TEST_CASE_FIXTURE(one_endpoint,
                  "endpoint_health/three_failures_in_row/only_probes")
{
  End(attempt_end::kFailed);
  End(attempt_end::kFailed);
  CHECK(Allowance() == 16);
  End(attempt_end::kFailed);
  CHECK(mHealth.State() == health_state::kFailing);
  CHECK(Allowance() == 0);
  mNow += Seconds(1);
  CHECK(Allowance() == 1);
  End(attempt_end::kFailed);
  CHECK(mHealth.NextProbe(0) == mNow + Seconds(2) - Milliseconds(100));
}

// Guards against requests that are lost at a crashed endpoint while each of
// many instances waits for a third proof.
TEST_CASE_FIXTURE(one_endpoint,
                  "endpoint_health/connection_refused_once/only_probes")
{
  End(attempt_end::kConnectionRefused, Milliseconds(1));
  CHECK(mHealth.State() == health_state::kFailing);
  CHECK(Allowance() == 0);
  mNow += Seconds(1);
  CHECK(Allowance() == 1);
  End(attempt_end::kCompleted);
  CHECK(mHealth.State() == health_state::kRecovering);
}

// A pool of which most endpoints refuse is tried on.
TEST_CASE_FIXTURE(one_endpoint,
                  "endpoint_health/connection_refused_by_most/stays_in_use")
{
  mHealth.OnSent(mNow);
  mHealth.OnEnded(
    attempt_end::kConnectionRefused, Milliseconds(1), false, mNow);
  CHECK(Allowance() == 16);
}

TEST_CASE_FIXTURE(one_endpoint,
                  "endpoint_health/probe_answered/share_grows_slowly")
{
  for (int i = 0; i < 3; ++i) {
    End(attempt_end::kFailed);
  }
  mNow += Seconds(1);
  End(attempt_end::kCompleted);
  CHECK(mHealth.State() == health_state::kRecovering);
  CHECK(Allowance() == 2);
  for (int i = 0; i < 16; ++i) {
    End(attempt_end::kCompleted);
  }
  CHECK(mHealth.CapacityFraction() < 1);
  End(attempt_end::kCompleted);
  CHECK(mHealth.State() == health_state::kHealthy);
}

TEST_CASE_FIXTURE(one_endpoint,
                  "endpoint_health/every_second_attempt_fails/leaves")
{
  for (int i = 0; i < 40 && mHealth.CapacityFraction() == 1; ++i) {
    End(i % 3 == 0 ? attempt_end::kCompleted : attempt_end::kFailed);
  }
  CHECK(mHealth.State() == health_state::kFailing);
}

// An endpoint hangs: connections stay open, but nothing is received. Each
// request sent there blocks its caller until the request's own timeout.
TEST_CASE_FIXTURE(one_endpoint,
                  "endpoint_health/no_sign_of_life/no_new_work_after_bound")
{
  mHealth.OnSent(mNow);
  mHealth.Update(mNow + Milliseconds(2999));
  CHECK(mHealth.CapacityFraction() == 1);
  mHealth.Update(mNow + Seconds(3));
  CHECK(mHealth.State() == health_state::kUnresponsive);
  mHealth.OnFirstToken(Seconds(4), mNow + Seconds(4));
  CHECK(mHealth.State() == health_state::kRecovering);
}

TEST_CASE_FIXTURE(one_endpoint,
                  "endpoint_health/silence_explained/stays_in_service")
{
  mHealth.OnSent(mNow);
  mHealth.OnQueueReported(mNow + Seconds(2));
  mHealth.Update(mNow + Seconds(4));
  CHECK(mHealth.CapacityFraction() == 1);
  mHealth.OnClockGap(mNow + Seconds(60));
  mHealth.Update(mNow + Seconds(62));
  CHECK(mHealth.CapacityFraction() == 1);
  mHealth.OnEnded(attempt_end::kCancelled, Seconds(62), true, mNow);
  mHealth.Update(mNow + Seconds(70));
  CHECK(mHealth.CapacityFraction() == 1);
}

// A network device between router and endpoint drops the state of one
// connection. The request on this connection is never answered, while other
// requests to the same endpoint are answered.
TEST_CASE_FIXTURE(one_endpoint,
                  "endpoint_health/one_dead_connection/stays_in_service")
{
  mHealth.OnSent(mNow);
  mHealth.OnSent(mNow);
  mHealth.OnFirstToken(Milliseconds(50), mNow + Milliseconds(50));
  mHealth.OnEnded(attempt_end::kSilent, Seconds(2), true, mNow + Seconds(2));
  CHECK(mHealth.CapacityFraction() == 1);
  mHealth.OnSent(mNow + Seconds(2));
  mHealth.OnEnded(attempt_end::kSilent, Seconds(1), true, mNow + Seconds(3));
  CHECK(mHealth.State() == health_state::kUnresponsive);
}

TEST_CASE_FIXTURE(one_endpoint,
                  "endpoint_health/straggler/share_halves_each_second")
{
  for (const std::uint32_t expected : { 8U, 4U, 2U, 2U, 2U }) {
    mHealth.OnRelativeTimePerToken(4, true, mNow);
    mHealth.OnRelativeTimePerToken(4, true, mNow);
    CHECK(Allowance() == expected);
    mNow += Seconds(1);
  }
  mHealth.OnRelativeTimePerToken(1, true, mNow);
  CHECK(mHealth.State() == health_state::kRecovering);
}

TEST_CASE_FIXTURE(one_endpoint,
                  "endpoint_health/pool_cant_spare_it/keeps_its_share")
{
  for (int i = 0; i < 9; ++i) {
    mHealth.OnEnded(attempt_end::kFailed, Milliseconds(1), false, mNow);
    mHealth.OnRelativeTimePerToken(9, false, mNow);
  }
  CHECK(mHealth.CapacityFraction() == 1);
}

} // namespace
} // namespace thornhollow
