// Each mechanism against itself switched off, judged by what callers receive.
// The differences are far larger than those between seeds, so that one seed
// decides.
#include <cstdint>

#include <doctest/doctest.h>

#include "thornhollow/policy/scenario/figures.h"

namespace thornhollow::scenario {
namespace {

constexpr std::uint64_t kSeeds = 1;

// Twice the capacity is asked for. In order of arrival every class waits as
// long, and the drivers' notes are all late.
TEST_CASE("scenarios/without_tier_order/highest_tier_loses")
{
  scheduler_settings off;
  off.mQueue.mPool.mTierOrder = false;
  CHECK(Attainment(RunSeeds(GraniteRelay(), "overload_2", off, kSeeds), 1) <
        0.2);
}

// By tier order alone, the two lower tiers get what the upper ones leave: with
// twice the capacity asked for, less than half of their shares of a fifth.
TEST_CASE("scenarios/without_shares/lower_tiers_starve")
{
  const deployment site = GraniteRelay();
  scheduler_settings off;
  off.mQueue.mPool.mMinimumShares = false;
  CHECK(TokenShareFromTier(RunSeeds(site, "overload_2", off, kSeeds), 3) <
        0.10);
  CHECK(TokenShareFromTier(
          RunSeeds(site, "overload_2", scheduler_settings{}, kSeeds), 3) >
        0.17);
}

// One team sends twelve times as much. In order of arrival the others wait
// behind its backlog.
TEST_CASE("scenarios/without_fair_teams/other_teams_lose")
{
  const deployment site = GraniteRelay();
  scheduler_settings off;
  off.mQueue.mPool.mFairTeams = false;
  const auto others = [&site](const scheduler_settings& aOf) {
    return OtherTeamsAttainment(RunSeeds(site, "hot_caller", aOf, kSeeds));
  };
  CHECK(others(scheduler_settings{}) > others(off) + 0.01);
}

// Without looking at deadlines, requests are started that can't be whole in
// time any more, and are cut off.
TEST_CASE("scenarios/without_deadline_checks/work_is_wasted")
{
  const deployment site = GraniteRelay();
  scheduler_settings off;
  off.mQueue.mPool.mDeadlineCheck = false;
  off.mRunTimes.mQuantile = 0;
  CHECK(
    WastedFraction(RunSeeds(site, "overload_2", scheduler_settings{}, kSeeds)) +
      0.01 <
    WastedFraction(RunSeeds(site, "overload_2", off, kSeeds)));
}

// A burst of the highest tier: without the bound of a standing queue, all of it
// is served late.
TEST_CASE("scenarios/without_standing_bound/burst_is_served_late")
{
  const deployment site = GraniteRelay();
  scheduler_settings off;
  off.mQueue.mPool.mStandingQueue.mEnabled = false;
  CHECK(Attainment(RunSeeds(site, "burst_tier_1", scheduler_settings{}, kSeeds),
                   1) >
        Attainment(RunSeeds(site, "burst_tier_1", off, kSeeds), 1) + 0.04);
}

// All callers come back. Told the same second, they are refused many times
// over.
TEST_CASE("scenarios/without_spread_returns/callers_are_refused_more")
{
  const deployment site = GraniteRelay();
  scheduler_settings off;
  off.mQueue.mPool.mRetrySchedule.mSpread = false;
  CHECK(2 * ErrorResponses(
              RunSeeds(site, "all_retrying", scheduler_settings{}, kSeeds)) <
        ErrorResponses(RunSeeds(site, "all_retrying", off, kSeeds)));
}

// One instance has all of the highest tier. Without the endpoints' own queues
// it gets no more places than any other instance.
TEST_CASE("scenarios/without_endpoint_queues/tier_order_ends_at_the_instance")
{
  scheduler_settings off;
  off.mEndpointQueues.mEnabled = false;
  CHECK(Attainment(RunSeeds(GraniteRelay(), "split_tiers", off, kSeeds), 1) <
        0.2);
}

// A process that stood still must not waste work when it wakes, nor shed more
// than what was due meanwhile.
TEST_CASE("scenarios/paused_instance/recovers_at_once")
{
  const outcomes runs =
    RunSeeds(GraniteRelay(), "paused_instance", scheduler_settings{}, kSeeds);
  CHECK(WastedFraction(runs) < 0.02);
  CHECK(RecoverySeconds(runs) <= 5);
}

TEST_CASE("scenarios/recovery/no_lasting_collapse")
{
  const outcomes runs =
    RunSeeds(GraniteRelay(), "recovery", scheduler_settings{}, kSeeds);
  CHECK(RecoverySeconds(runs) <= 65);
}

} // namespace
} // namespace thornhollow::scenario
