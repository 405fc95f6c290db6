#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "thornhollow/policy/placement/engine_partition.h"

namespace thornhollow {
namespace {

constexpr workload_kind kPlan{ Seconds(2), Milliseconds(800) };
constexpr workload_kind kNote{ Milliseconds(300), Milliseconds(200) };
constexpr double kReadPerSecond = 66'200;

kind_demand
Arriving(const workload_kind& aKind, double aTokens, double aSize)
{
  return { aKind, aTokens / aSize, aTokens, aTokens * aSize, 0 };
}

// Demand in prompt tokens per second: long prompts, and short prompts whose
// streams allow only short pauses.
demand_by_kind
Demand(double aPlans, double aNotes)
{
  return { Arriving(kNote, aNotes, 700), Arriving(kPlan, aPlans, 9'000) };
}

pool_capacity
Engines(std::size_t aEngines)
{
  return { aEngines, kReadPerSecond };
}

struct partition_of_nine_engines
{
  engine_partition mPartition{ engine_partition_settings{} };
  time_point mNow = time_point() + Seconds(100);

  void Run(const demand_by_kind& aDemand, duration aLength)
  {
    for (const time_point end = mNow + aLength; mNow < end;
         mNow += Milliseconds(100)) {
      mPartition.Observe(aDemand, Engines(9), mNow);
    }
  }
};

TEST_CASE_FIXTURE(partition_of_nine_engines,
                  "engine_partition/calm/stays_where_it_is")
{
  Run(Demand(60'000, 20'000), Seconds(1));
  const std::size_t before = mPartition.BulkEngines();
  for (int wave = 0; wave < 20; ++wave) {
    Run(Demand(wave % 2 == 0 ? 90'000.0 : 30'000.0, 25'000), Seconds(1));
    CHECK(mPartition.BulkEngines() == before);
  }
}

TEST_CASE_FIXTURE(partition_of_nine_engines,
                  "engine_partition/burst_of_short_prompts/moves_step_by_step")
{
  Run(Demand(40'000, 20'000), Seconds(1));
  const std::size_t before = mPartition.BulkEngines();
  Run(Demand(40'000, 80'000), Milliseconds(100));
  CHECK(mPartition.BulkEngines() == before - 1);
  Run(Demand(40'000, 80'000), Milliseconds(500));
  CHECK(mPartition.BulkEngines() == before - 1);
  Run(Demand(40'000, 80'000), Seconds(5));
  CHECK(mPartition.BulkEngines() < before - 1);
  CHECK(mPartition.BulkEngines() >= 2);
}

TEST_CASE_FIXTURE(partition_of_nine_engines,
                  "engine_partition/one_side_overwhelms/both_keep_two_engines")
{
  Run(Demand(500'000, 1'000), Seconds(20));
  CHECK(mPartition.BulkEngines() == 7);
  Run(Demand(200'000, 500'000), Seconds(20));
  CHECK(mPartition.BulkEngines() == 2);
}

// If only long prompts arrive, engines reserved for short prompts are idle:
// with four of eighteen engines reserved, a third of the long prompts started
// late.
TEST_CASE_FIXTURE(partition_of_nine_engines,
                  "engine_partition/one_kind_only/no_engine_stands_idle")
{
  Run({ Arriving(kPlan, 300'000, 9'000) }, Seconds(5));
  CHECK_FALSE(mPartition.IsPartitioned());
  CHECK(mPartition.BulkEngines() == 9);
  Run(Demand(300'000, 20'000), Seconds(5));
  CHECK(mPartition.IsPartitioned());
  Run({ Arriving(kPlan, 300'000, 9'000) }, Seconds(5));
  CHECK(mPartition.BulkEngines() == 9);
}

// Urgency must not cause a separation: here the long prompts are urgent, but
// streams of the short prompts may pause for a second, so no stream is at risk.
TEST_CASE_FIXTURE(
  partition_of_nine_engines,
  "engine_partition/streams_may_pause_long/nothing_is_kept_apart")
{
  const workload_kind patient{ Seconds(2), Seconds(1) };
  const workload_kind urgent{ Milliseconds(300), Milliseconds(500) };
  Run({ Arriving(urgent, 200'000, 9'000), Arriving(patient, 30'000, 700) },
      Seconds(10));
  CHECK_FALSE(mPartition.IsPartitioned());
}

// If only work with a long target for the first event counted as bulk, nothing
// would be separated if all routes have a target of 600 ms. With that rule,
// long prompts were prefilled on the engines of all short streams, and 1,500 of
// 2,660 short streams paused for too long.
TEST_CASE_FIXTURE(partition_of_nine_engines,
                  "engine_partition/targets_alike/long_prompts_are_kept_apart")
{
  const workload_kind review{ Milliseconds(600), Milliseconds(500) };
  const workload_kind help{ Milliseconds(400), Milliseconds(300) };
  Run({ Arriving(help, 30'000, 800), Arriving(review, 240'000, 4'000) },
      Seconds(5));
  CHECK(mPartition.IsPartitioned());
  CHECK(mPartition.IsBulk(review));
  CHECK_FALSE(mPartition.IsBulk(help));
}

// The first arrivals may be mostly medium prompts, so that medium prompts are
// separated. If this choice were kept for the full three seconds, long prompts
// that arrive meanwhile would be prefilled on the engines of the short streams.
TEST_CASE_FIXTURE(partition_of_nine_engines,
                  "engine_partition/first_moment_misleads/is_taken_back_soon")
{
  const workload_kind triage{ Milliseconds(400), Milliseconds(300) };
  Run({ Arriving(kNote, 1'000, 700), Arriving(triage, 7'000, 3'800) },
      Milliseconds(300));
  REQUIRE(mPartition.IsBulk(triage));
  Run({ Arriving(kNote, 5'000, 700),
        Arriving(triage, 20'000, 2'600),
        Arriving(kPlan, 58'000, 10'000) },
      Milliseconds(700));
  CHECK(mPartition.IsBulk(kPlan));
  CHECK_FALSE(mPartition.IsBulk(triage));
}

TEST_CASE_FIXTURE(partition_of_nine_engines,
                  "engine_partition/slow_engines/all_go_to_bulk_work")
{
  pool_capacity facts = Engines(9);
  facts.mSlowEngines = 4;
  Run(Demand(90'000, 30'000), Seconds(1));
  for (int tick = 0; tick < 100; ++tick, mNow += Milliseconds(100)) {
    mPartition.Observe(Demand(150'000, 400'000), facts, mNow);
  }
  CHECK(mPartition.BulkEngines() == 4);
}

// Guards against streams that wait for slots while half of the engines are kept
// for bulk work only because they are slow.
TEST_CASE("engine_partition/slow_engines_and_too_few_slots/streams_get_more")
{
  engine_partition partition{ engine_partition_settings{} };
  time_point now = time_point() + Seconds(100);
  pool_capacity facts{ 140, kReadPerSecond, 12, 70 };
  const auto run = [&](double aOpenNotes) {
    demand_by_kind demand = Demand(3'000'000, 400'000);
    demand[0].mOpen = aOpenNotes;
    for (int tick = 0; tick < 60; ++tick, now += Milliseconds(100)) {
      partition.Observe(demand, facts, now);
    }
    return partition.BulkEngines();
  };
  CHECK(run(400) >= 70);
  CHECK(run(1'400) <= 50);
  // The slow ones return to bulk work as soon as the others have slots.
  CHECK(run(200) >= 70);
}

// If the partition moved by a single engine every 0.7 s, a burst of eight
// seconds would end before enough of ninety engines had moved.
TEST_CASE("engine_partition/ninety_engines/follows_a_burst_as_soon_as_nine")
{
  engine_partition partition{ engine_partition_settings{} };
  time_point now = time_point() + Seconds(100);
  partition.Observe(Demand(1'000'000, 300'000), Engines(90), now);
  const std::size_t before = partition.BulkEngines();
  for (int tick = 0; tick < 15; ++tick) {
    now += Milliseconds(100);
    partition.Observe(Demand(3'500'000, 300'000), Engines(90), now);
  }
  CHECK(partition.BulkEngines() >= before + 10);
}

TEST_CASE("engine_partition/few_engines/separates_nothing")
{
  engine_partition partition{ engine_partition_settings{} };
  partition.Observe(Demand(1, 1), Engines(3), time_point() + Seconds(1));
  CHECK_FALSE(partition.IsPartitioned());
  partition.Observe(Demand(1, 1), Engines(0), time_point() + Seconds(2));
  CHECK(partition.BulkEngines() == 0);
}

TEST_CASE("engine_partition/engines_join_one_by_one/part_is_kept")
{
  // Guards against recomputing the bulk fraction from the rounded number of
  // bulk engines each time an engine joins. Rounding then made the bulk side
  // grow, and short streams had two of nine engines instead of three.
  engine_partition partition{ engine_partition_settings{} };
  const time_point now = time_point() + Seconds(1);
  partition.Observe(Demand(90'000, 20'000), Engines(9), now);
  REQUIRE(partition.BulkEngines() == 6);
  for (std::size_t engines = 4; engines <= 9; ++engines) {
    partition.Observe({}, Engines(engines), now);
  }
  CHECK(partition.BulkEngines() == 6);
}

TEST_CASE("engine_partition/instances_with_slightly_other_sums/mostly_agree")
{
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> error(0.97, 1.03);
  engine_partition left{ engine_partition_settings{} };
  engine_partition right{ engine_partition_settings{} };
  time_point now = time_point() + Seconds(100);
  int apart = 0;
  double patient = 100'000;
  for (int tick = 0; tick < 3000; ++tick, now += Milliseconds(100)) {
    if (tick % 50 == 0) {
      patient = 40'000 + static_cast<double>(random() % 200'000);
    }
    left.Observe(
      Demand(patient * error(random), 50'000 * error(random)), Engines(9), now);
    right.Observe(
      Demand(patient * error(random), 50'000 * error(random)), Engines(9), now);
    apart += left.BulkEngines() == right.BulkEngines() ? 0 : 1;
  }
  CHECK(apart < 300);
}

} // namespace
} // namespace thornhollow
