#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/admission/retry_schedule.h"
#include "thornhollow/policy/admission/tier_pressure.h"
#include "thornhollow/policy/endpoints/run_time_estimate.h"
#include "thornhollow/policy/endpoints/service_rate.h"
#include "thornhollow/policy/queues/endpoint_queue_window.h"
#include "thornhollow/policy/queues/standing_queue.h"
#include "thornhollow/policy/queues/team_in_flight.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };
const pool_name kPool("m");

TEST_CASE("service_rate/quiet_times/count_for_nothing")
{
  service_rate rate;
  CHECK(!rate.PerSecond(kStart));
  time_point now = kStart;
  rate.Observe(false, now);
  for (int i = 0; i < 20; ++i) {
    now += Milliseconds(100);
    rate.Observe(true, now);
    rate.OnServed(50);
    now += Seconds(5);
    rate.Observe(false, now);
  }
  CHECK(*rate.PerSecond(now) == doctest::Approx(500).epsilon(0.05));
  CHECK(!rate.PerSecond(now + Seconds(16)));
  CHECK(rate.LastPerSecond().has_value());
}

TEST_CASE("service_rate/process_stood_still/pause_counts_as_a_second_at_most")
{
  service_rate rate;
  rate.Observe(false, kStart);
  rate.Observe(true, kStart + Milliseconds(500));
  rate.OnServed(500);
  rate.Observe(true, kStart + Seconds(60));
  CHECK(*rate.PerSecond(kStart + Seconds(60)) > 200);
}

// Guards against simultaneous retries: 500 callers are refused within one
// second, while 10 per second can be served. With equal delays, all of them
// would retry within one second.
TEST_CASE("retry_schedule/many_refused_at_once/come_back_spread")
{
  retry_schedule schedule{ retry_schedule_settings{} };
  std::mt19937_64 random(7);
  std::vector<int> bySecond(40);
  for (int i = 0; i < 500; ++i) {
    const duration after =
      schedule.ScheduleRetry(Seconds(2), 100, 2000, random, kStart);
    CHECK(after >= Milliseconds(250));
    CHECK(after <= Seconds(30));
    ++bySecond[static_cast<std::size_t>(ToSeconds(after))];
  }
  CHECK(*std::ranges::max_element(bySecond) < 50);
}

TEST_CASE("standing_queue/long_waits/bound_falls_to_the_target")
{
  standing_queue queue(standing_queue_settings{}, Seconds(1));
  const duration deadline = Seconds(30);
  queue.OnStarted(Seconds(2), kStart);
  CHECK(queue.MaxWait(deadline, kStart) == deadline);
  const time_point later = kStart + Seconds(1);
  queue.OnStarted(Seconds(2), later);
  CHECK(queue.MaxWait(deadline, later) < Seconds(1));
  queue.OnStarted(Milliseconds(100), later);
  CHECK(queue.MaxWait(deadline, later) == deadline);
}

TEST_CASE("endpoint_queue_window/late_answers/window_falls_once_a_bound")
{
  endpoint_queue_window window{ endpoint_queue_window_settings{} };
  for (int i = 0; i < 4; ++i) {
    CHECK(window.HasRoom());
    window.OnSent();
  }
  CHECK(!window.HasRoom());
  for (int i = 0; i < 4; ++i) {
    window.OnFirstToken(Milliseconds(100), Seconds(1), kStart);
  }
  CHECK(window.Window() == 5);
  for (int i = 0; i < 10; ++i) {
    window.OnFirstToken(Seconds(2), Seconds(1), kStart);
  }
  CHECK(window.Window() == 4);
  CHECK(window.Waiting() == 0);
}

constexpr int kTier = 3;

TEST_CASE("team_in_flight/full_of_a_lower_tier/higher_tier_is_taken")
{
  // A team has reached its limit of requests in flight with low-tier requests.
  // The team's next request of a higher tier must be accepted nevertheless.
  declarations declared;
  declared.mTeams = { { team_name("a"), {}, {}, 1, 2 } };
  team_in_flight inFlight;
  inFlight.Configure(declared);
  CHECK(inFlight.TryAdd(team_name("a"), 4));
  CHECK(inFlight.TryAdd(team_name("a"), 4));
  CHECK_FALSE(inFlight.TryAdd(team_name("a"), 4));
  CHECK(inFlight.TryAdd(team_name("a"), 1));
  CHECK(inFlight.TryAdd(team_name("a"), 1));
  CHECK_FALSE(inFlight.TryAdd(team_name("a"), 1));
  CHECK_FALSE(inFlight.TryAdd(team_name("a"), 2));
}

TEST_CASE("team_in_flight/limit_reached/refuses_until_one_ends")
{
  declarations declared;
  declared.mTeams = { { team_name("a"), {}, {}, 1, 2 },
                      { team_name("b"), {}, {}, 1, 0 } };
  team_in_flight inFlight;
  inFlight.Configure(declared);
  CHECK(inFlight.TryAdd(team_name("a"), kTier));
  CHECK(inFlight.TryAdd(team_name("a"), kTier));
  CHECK(!inFlight.TryAdd(team_name("a"), kTier));
  for (int i = 0; i < 100; ++i) {
    CHECK(inFlight.TryAdd(team_name("b"), kTier));
  }
  inFlight.Remove(team_name("a"), kTier);
  CHECK(inFlight.TryAdd(team_name("a"), kTier));
}

TEST_CASE("team_in_flight/limit_lowered/what_is_held_stays_counted")
{
  declarations declared;
  declared.mTeams = { { team_name("a"), {}, {}, 1, 3 } };
  team_in_flight inFlight;
  inFlight.Configure(declared);
  inFlight.TryAdd(team_name("a"), kTier);
  inFlight.TryAdd(team_name("a"), kTier);
  declared.mTeams[0].mMaxInFlight = 1;
  inFlight.Configure(declared);
  inFlight.Remove(team_name("a"), kTier);
  CHECK(!inFlight.TryAdd(team_name("a"), kTier));
  inFlight.Remove(team_name("a"), kTier);
  CHECK(inFlight.TryAdd(team_name("a"), kTier));
}

TEST_CASE("run_time_estimate/few_runs/says_nothing")
{
  run_time_estimate runs{ run_time_settings{} };
  work_item item;
  item.mClass = class_name("c");
  item.mPool = kPool;
  for (int i = 0; i < 15; ++i) {
    runs.Learn(item, Seconds(4));
  }
  CHECK(runs.LowerBound(item) == duration::zero());
  runs.Learn(item, Seconds(4));
  CHECK(ToSeconds(runs.LowerBound(item)) == doctest::Approx(4).epsilon(0.2));
}

TEST_CASE("peer_pressure/report_ages/holds_back_less_long_for_shorter_waits")
{
  peer_pressure peers{ tier_pressure_settings{} };
  peers.OnReport(instance_name("a"), { kPool, 2, Seconds(4), {} }, kStart);
  CHECK(!peers.IsRestricted(kPool, 1, kStart));
  CHECK(!peers.IsRestricted(kPool, 2, kStart));
  CHECK(peers.IsRestricted(kPool, 3, kStart));
  CHECK(peers.IsRestricted(kPool, 4, kStart + Milliseconds(900)));
  CHECK(!peers.IsRestricted(kPool, 4, kStart + Milliseconds(1100)));
  CHECK(!peers.IsRestricted(pool_name("other"), 4, kStart));
  peers.Expire(kStart + Seconds(2));
  CHECK(peers.size() == 0);
}

TEST_CASE("peer_pressure/eight_instances/any_of_them_holds_back")
{
  peer_pressure peers{ tier_pressure_settings{} };
  for (int i = 0; i < 8; ++i) {
    peers.OnReport(instance_name("i" + std::to_string(i)),
                   { kPool, 3, duration::zero(), {} },
                   kStart);
  }
  CHECK(!peers.IsRestricted(kPool, 4, kStart));
  peers.OnReport(instance_name("i5"), { kPool, 1, Seconds(8), {} }, kStart);
  CHECK(peers.IsRestricted(kPool, 2, kStart));
  // A later load report replaces the earlier report of the same instance.
  peers.OnReport(instance_name("i5"), { kPool, 4, {}, {} }, kStart);
  CHECK(!peers.IsRestricted(kPool, 2, kStart));
}

TEST_CASE("peer_pressure/stale_on_arrival/counts_from_when_it_was_measured")
{
  peer_pressure peers{ tier_pressure_settings{} };
  peers.OnReport(
    instance_name("a"), { kPool, 1, Seconds(4), Seconds(3) }, kStart);
  CHECK(!peers.IsRestricted(kPool, 4, kStart));
}

} // namespace
} // namespace thornhollow
