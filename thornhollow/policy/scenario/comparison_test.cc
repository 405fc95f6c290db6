// Compares the scheduler with and without each mechanism, by the service that
// callers receive. The differences are far larger than those between seeds, so
// that one seed is enough.
#include <cstdint>

#include <doctest/doctest.h>

#include "thornhollow/policy/scenario/figures.h"

namespace thornhollow::scenario {
namespace {

constexpr std::uint64_t kSeeds = 1;

// The demand is twice the capacity. In order of arrival every class waits
// equally long, and the requests of the highest tier miss their target.
TEST_CASE("scenarios/without_tier_order/highest_tier_loses")
{
  scheduler_settings off;
  off.mQueue.mPool.mTierOrder = false;
  CHECK(Attainment(RunSeeds(GraniteRelay(), "overload_2", off, kSeeds), 1) <
        0.2);
}

// With tier order alone, the two lower tiers get only what the higher ones
// leave. With a demand of twice the capacity this is less than half of the two
// tiers' minimum shares, which add up to a fifth of the capacity.
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

// One team sends twelve times its usual load. In order of arrival the other
// teams wait behind its backlog.
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

// Without deadline checks, requests are started that can no longer complete in
// time, and are cut off at their deadline.
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

// A burst of the highest tier arrives. Without the bound on a queue that
// persists (standing_queue.h), all requests of the burst are served late.
TEST_CASE("scenarios/without_standing_bound/burst_is_served_late")
{
  const deployment site = GraniteRelay();
  scheduler_settings off;
  off.mQueue.mPool.mStandingQueue.mEnabled = false;
  CHECK(Attainment(RunSeeds(site, "burst_tier_1", scheduler_settings{}, kSeeds),
                   1) >
        Attainment(RunSeeds(site, "burst_tier_1", off, kSeeds), 1) + 0.04);
}

// All refused callers retry. If they are given the same retry time, they all
// retry at once, and most are refused again, many times in a row.
TEST_CASE("scenarios/without_spread_returns/callers_are_refused_more")
{
  const deployment site = GraniteRelay();
  scheduler_settings off;
  off.mQueue.mPool.mRetrySchedule.mSpread = false;
  CHECK(2 * ErrorResponses(
              RunSeeds(site, "all_retrying", scheduler_settings{}, kSeeds)) <
        ErrorResponses(RunSeeds(site, "all_retrying", off, kSeeds)));
}

// One instance receives all requests of the highest tier. If it doesn't queue
// requests at the endpoints, it gets no more slots than any other instance.
TEST_CASE("scenarios/without_endpoint_queues/tier_order_ends_at_the_instance")
{
  scheduler_settings off;
  off.mEndpointQueues.mEnabled = false;
  CHECK(Attainment(RunSeeds(GraniteRelay(), "split_tiers", off, kSeeds), 1) <
        0.2);
}

// When a paused process resumes, it must not send work that is then wasted, nor
// refuse more requests than those that became due during the pause.
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
