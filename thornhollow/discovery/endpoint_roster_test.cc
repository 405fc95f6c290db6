#include <doctest/doctest.h>

#include "thornhollow/discovery/endpoint_roster.h"

namespace thornhollow {
namespace {

listed_endpoint
MakeEntry(const char* aName, std::int64_t aStartedMs = 1)
{
  listed_endpoint entry;
  entry.mName = endpoint_name(aName);
  entry.mPool = pool_name("engines");
  entry.mAddress = "10.0.0.1:80";
  entry.mStartedMs = aStartedMs;
  return entry;
}

struct roster_with_two_endpoints
{
  endpoint_roster mRoster{ roster_settings{} };
  time_point mNow = time_point() + Seconds(100);

  roster_with_two_endpoints()
  {
    mRoster.OnSourceAnswered(mNow);
    mRoster.OnListed(MakeEntry("a"), mNow);
    mRoster.OnListed(MakeEntry("b"), mNow);
  }
};

// Guards against sending work to endpoints that have gone, if this instance
// receives several removals in one copy from a peer and takes them for an
// outage.
TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/two_removed_at_once/both_are_gone_at_once")
{
  CHECK(mRoster.OnRemoved(endpoint_name("a"), mNow).size() == 1);
  CHECK(mRoster.OnRemoved(endpoint_name("b"), mNow).size() == 1);
}

// Guards against dropping live endpoints after an outage that this instance did
// not observe, because a peer reads the source for it.
TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/told_of_an_outage/lapsed_ones_count_on")
{
  mRoster.OnRecoveryReported(mNow - Milliseconds(300));
  CHECK(mRoster.OnRemoved(endpoint_name("a"), mNow).empty());
  CHECK(mRoster.Contains(endpoint_name("a")));
  mNow += Milliseconds(1'600);
  CHECK(mRoster.Tick(mNow).size() == 1);
}

// Guards against extending the grace period with each peer's report of the same
// recovery.
TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/told_twice_of_one_outage/window_stays")
{
  const time_point recovered = mNow;
  mRoster.OnRecoveryReported(recovered);
  CHECK(mRoster.OnRemoved(endpoint_name("a"), mNow).empty());
  for (int hop = 1; hop <= 5; ++hop) {
    mRoster.OnRecoveryReported(recovered + hop * Milliseconds(150));
  }
  CHECK(mRoster.TimeSinceRecovery(recovered + Seconds(1)) == Seconds(1));
  CHECK(mRoster.Tick(recovered + Milliseconds(1'800)).size() == 1);
  CHECK_FALSE(mRoster.TimeSinceRecovery(recovered + Milliseconds(1'800)));
}

// Guards against reporting a recovery that was not observed: an instance whose
// own calls fail doesn't know when the source answers again.
TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/source_fails/no_return_is_told")
{
  mRoster.OnSourceFailed(mNow + Seconds(1));
  CHECK_FALSE(mRoster.TimeSinceRecovery(mNow + Seconds(1)));
  CHECK_FALSE(mRoster.TimeSinceRecovery(mNow + Seconds(9)));
  CHECK(mRoster.OnRemoved(endpoint_name("a"), mNow + Seconds(9)).size() == 1);
}

// Guards against sending work to removed endpoints for seconds because the
// source did not answer this instance while it answered others.
TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/source_fails_here_only/removed_is_gone")
{
  for (int each = 0; each < 20; ++each) {
    mNow += Milliseconds(500);
    mRoster.OnSourceFailed(mNow);
    mRoster.OnSourceAnswered(mNow - Milliseconds(300));
    CHECK_FALSE(mRoster.IsSourceInOutage(mNow));
  }
  mRoster.OnSourceAnswered(mNow);
  CHECK_FALSE(mRoster.TimeSinceRecovery(mNow));
  CHECK(mRoster.OnRemoved(endpoint_name("a"), mNow).size() == 1);
}

// Guards against treating a source that has not answered for a long time as
// unavailable although no call to it failed.
TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/no_answer_for_long_and_no_failure/no_outage")
{
  mNow += Seconds(30);
  CHECK_FALSE(mRoster.IsSourceInOutage(mNow));
  mRoster.OnSourceAnswered(mNow);
  CHECK(mRoster.OnRemoved(endpoint_name("a"), mNow).size() == 1);
}

// Guards against restarting the grace period with each short failure of the
// source within that period.
TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/fails_again_after_an_outage/window_stays")
{
  mRoster.OnSourceFailed(mNow + Seconds(1));
  mNow += Seconds(5);
  mRoster.OnSourceAnswered(mNow);
  CHECK(mRoster.OnRemoved(endpoint_name("a"), mNow).empty());
  mRoster.OnSourceFailed(mNow + Milliseconds(700));
  mRoster.OnSourceAnswered(mNow + Milliseconds(1'300));
  CHECK(mRoster.Tick(mNow + Milliseconds(1'800)).size() == 1);
}

TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/removed/is_gone_at_once")
{
  const auto changes = mRoster.OnRemoved(endpoint_name("a"), mNow);
  REQUIRE(changes.size() == 1);
  CHECK(std::get<endpoint_gone>(changes[0]).mName == endpoint_name("a"));
  CHECK(mRoster.Endpoints().size() == 1);
}

TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/lapsed_in_an_outage/counts_till_it_returns")
{
  // Guards against 503 responses for a second after an outage: leases expired
  // during the outage, so the first listing after it is empty, although the
  // endpoints never stopped serving and register again within two seconds.
  mRoster.OnSourceFailed(mNow + Seconds(1));
  mNow += Seconds(5);
  CHECK(mRoster.IsSourceInOutage(mNow));
  mRoster.OnSourceAnswered(mNow);
  CHECK(mRoster.OnRemoved(endpoint_name("a"), mNow).empty());
  CHECK(mRoster.OnRemoved(endpoint_name("b"), mNow).empty());
  mNow += Seconds(1);
  CHECK(mRoster.Tick(mNow).empty());
  CHECK(mRoster.OnListed(MakeEntry("a"), mNow).empty());
  mNow += Seconds(1);
  const auto changes = mRoster.Tick(mNow);
  REQUIRE(changes.size() == 1);
  CHECK(std::get<endpoint_gone>(changes[0]).mName == endpoint_name("b"));
  CHECK(mRoster.Endpoints() == std::vector{ MakeEntry("a") });
}

TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/draining_one_removed_in_an_outage/is_gone")
{
  listed_endpoint draining = MakeEntry("a");
  draining.mDraining = true;
  mRoster.OnListed(draining, mNow);
  mRoster.OnSourceFailed(mNow + Seconds(1));
  mNow += Seconds(5);
  mRoster.OnSourceAnswered(mNow);
  CHECK(mRoster.OnRemoved(endpoint_name("a"), mNow).size() == 1);
}

TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/started_again_under_its_name/is_a_new_one")
{
  // Guards against routing for a cached prompt that is gone because the engine
  // crashed and restarted under the same name.
  const auto changes = mRoster.OnListed(MakeEntry("a", 2), mNow);
  REQUIRE(changes.size() == 2);
  CHECK(std::holds_alternative<endpoint_gone>(changes[0]));
  CHECK(std::holds_alternative<endpoint_joined>(changes[1]));
}

TEST_CASE_FIXTURE(roster_with_two_endpoints,
                  "endpoint_roster/same_entry_again/changes_nothing")
{
  CHECK(mRoster.OnListed(MakeEntry("a"), mNow).empty());
  listed_endpoint draining = MakeEntry("a");
  draining.mDraining = true;
  const auto changes = mRoster.OnListed(draining, mNow);
  REQUIRE(changes.size() == 1);
  CHECK(std::holds_alternative<endpoint_updated>(changes[0]));
}

} // namespace
} // namespace thornhollow
