#include <algorithm>
#include <string>

#include <doctest/doctest.h>

#include "thornhollow/fleet/gossip_size.h"
#include "thornhollow/fleet/membership.h"
#include "thornhollow/fleet/testing/fake_network.h"

namespace thornhollow {
namespace {

struct one_domain
{
  fake_network mNetwork{ link_quality{}, 7 };

  explicit one_domain(int aCount = 6)
  {
    for (int number = 0; number < aCount; ++number) {
      mNetwork.Add("n" + std::to_string(number), "hall");
    }
    mNetwork.PublishList();
    mNetwork.RunFor(Seconds(5));
  }

  bool AllSeeAll()
  {
    return std::ranges::all_of(mNetwork.Nodes(), [&](const auto& aOne) {
      return std::ranges::all_of(mNetwork.Nodes(), [&](const auto& aOther) {
        return aOne.first == aOther.first || !aOne.second.mRunning ||
               !aOther.second.mRunning ||
               mNetwork.Sees(aOne.second, aOther.second);
      });
    });
  }

  bool NoneSees(const std::string& aName)
  {
    const auto& killed = mNetwork.At(aName);
    return std::ranges::none_of(mNetwork.Nodes(), [&](const auto& aOne) {
      return aOne.second.mRunning && aOne.first != killed.mInfo.mName &&
             mNetwork.Sees(aOne.second, killed);
    });
  }

  int Count(const std::string& aAt, const membership_action& aAction)
  {
    return static_cast<int>(
      std::ranges::count_if(mNetwork.At(aAt).mActions, [&](const auto& aSeen) {
        return aSeen.second == aAction;
      }));
  }

  static membership_action Change(const std::string& aName,
                                  member_change aChange)
  {
    return member_changed{ instance_name(aName), aChange };
  }
};

TEST_CASE_FIXTURE(one_domain, "membership/start/every_member_joins_once")
{
  CHECK(AllSeeAll());
  CHECK(Count("n0", Change("n1", member_change::kJoined)) == 1);
  CHECK(Count("n0", Change("n1", member_change::kSuspected)) == 0);
}

TEST_CASE_FIXTURE(one_domain, "membership/member_killed/all_remove_it_in_time")
{
  // An instance dies without leaving while the platform's list still contains
  // it. Peers that kept requesting claims from the dead instance would refuse
  // callers for minutes.
  mNetwork.Kill("n3");
  const auto elapsed =
    mNetwork.RunUntilHolds([&] { return NoneSees("n3"); }, Seconds(12));
  REQUIRE(elapsed.has_value());
  CHECK(Count("n0", Change("n3", member_change::kRemoved)) == 1);
}

TEST_CASE_FIXTURE(one_domain, "membership/short_pause/suspicion_is_refuted")
{
  // A member is paused for 2.5 s, as on a slow host, and resumes. The member is
  // suspected during the pause but must not be removed: a removal would
  // needlessly move the member's idempotency-key claims to other members.
  mNetwork.Pause("n2");
  mNetwork.RunFor(Milliseconds(2'500));
  mNetwork.Resume("n2");
  mNetwork.RunFor(Seconds(8));
  CHECK(AllSeeAll());
  for (const auto& [name, each] : mNetwork.Nodes()) {
    CHECK(Count(name.Text(), Change("n2", member_change::kRemoved)) == 0);
  }
}

TEST_CASE_FIXTURE(one_domain, "membership/long_pause/refreshes_and_returns")
{
  // A member is paused for 30 s and is removed. It resumes with an outdated
  // view and a socket full of old datagrams. It must detect the pause by its
  // own clock, report it to its owner, suspect no peer because of its own
  // absence, and rejoin.
  mNetwork.Pause("n2");
  mNetwork.RunFor(Seconds(30));
  REQUIRE(NoneSees("n2"));
  mNetwork.At("n2").mActions.clear();
  mNetwork.Resume("n2");
  const auto& actions = mNetwork.At("n2").mActions;
  REQUIRE_FALSE(actions.empty());
  CHECK(std::holds_alternative<process_paused>(actions.front().second));
  CHECK(mNetwork.Core("n2").IsRefreshing());
  mNetwork.RunFor(Seconds(10));
  CHECK_FALSE(mNetwork.Core("n2").IsRefreshing());
  CHECK(Count("n2", refresh_finished{ true }) == 1);
  CHECK(AllSeeAll());
  CHECK(Count("n0", Change("n2", member_change::kRejoined)) == 1);
  CHECK(Count("n2", Change("n0", member_change::kSuspected)) == 0);
}

TEST_CASE_FIXTURE(one_domain, "membership/paused_and_cut_off/serves_on")
{
  mNetwork.SetPartition("n2", 1);
  mNetwork.Pause("n2");
  mNetwork.RunFor(Seconds(30));
  mNetwork.Resume("n2");
  mNetwork.RunFor(Seconds(3));
  CHECK_FALSE(mNetwork.Core("n2").IsRefreshing());
  CHECK(Count("n2", refresh_finished{ false }) == 1);
}

TEST_CASE_FIXTURE(one_domain, "membership/partition_heals/all_return")
{
  for (const char* name : { "n0", "n1", "n2" }) {
    mNetwork.SetPartition(name, 1);
  }
  mNetwork.RunFor(Seconds(20));
  CHECK_FALSE(mNetwork.Sees(mNetwork.At("n0"), mNetwork.At("n5")));
  CHECK(mNetwork.Sees(mNetwork.At("n0"), mNetwork.At("n1")));
  for (const char* name : { "n0", "n1", "n2" }) {
    mNetwork.SetPartition(name, 0);
  }
  CHECK(mNetwork.RunUntilHolds([&] { return AllSeeAll(); }, Seconds(15)));
}

TEST_CASE_FIXTURE(one_domain, "membership/restart_under_its_name/is_told")
{
  mNetwork.Kill("n1");
  mNetwork.RunFor(Milliseconds(500));
  mNetwork.Restart("n1");
  mNetwork.RunFor(Seconds(5));
  CHECK(AllSeeAll());
  CHECK(Count("n0", Change("n1", member_change::kRestarted)) == 1);
}

TEST_CASE_FIXTURE(one_domain,
                  "membership/older_process_of_a_name/is_superseded")
{
  // Two processes run under one name, or a restarted process has an older
  // clock. Peers ignore the process with the lower epoch; unless that process
  // is informed, it would keep serving without peers.
  gossip_message ping;
  ping.mDomain = domain_name("hall");
  ping.mSender = mNetwork.Core("n0").Self();
  ping.mMembers = { mNetwork.Core("n1").Self() };
  ping.mMembers.front().mVersion.mEpoch = 9;
  mNetwork.Apply(mNetwork.At("n1"),
                 mNetwork.Core("n1").OnMessage(ping, mNetwork.Now()));
  CHECK(Count("n1", superseded{ 9 }) == 1);
}

TEST_CASE_FIXTURE(one_domain, "membership/leave/is_removed_without_suspicion")
{
  mNetwork.Apply(mNetwork.At("n4"), mNetwork.Core("n4").Drain(mNetwork.Now()));
  mNetwork.RunFor(Seconds(3));
  CHECK(Count("n0", Change("n4", member_change::kDraining)) == 1);
  mNetwork.Apply(mNetwork.At("n4"), mNetwork.Core("n4").Leave(mNetwork.Now()));
  CHECK(mNetwork.RunUntilHolds([&] { return NoneSees("n4"); }, Seconds(4)));
  CHECK(Count("n0", Change("n4", member_change::kSuspected)) == 0);
}

TEST_CASE_FIXTURE(one_domain, "membership/older_list/is_ignored")
{
  instance_list older{ 0, {} };
  mNetwork.Core("n0").OnInstances(older, mNetwork.Now());
  CHECK(mNetwork.Core("n0").Alive().size() == 5);
}

TEST_CASE_FIXTURE(one_domain, "membership/news/reach_all_within_a_second")
{
  const auto now = mNetwork.Now();
  mNetwork.Apply(mNetwork.At("n0"),
                 mNetwork.Core("n0").OnConfiguration(4, now));
  mNetwork.Apply(mNetwork.At("n0"),
                 mNetwork.Core("n0").OnEndpointLeaving(
                   endpoint_name("engine-1"), Seconds(20), now));
  mNetwork.RunFor(Seconds(1));
  for (const auto& [name, each] : mNetwork.Nodes()) {
    if (name.Text() != "n0") {
      CHECK(each.mCore->Shared().IsLeaving(endpoint_name("engine-1"),
                                           mNetwork.Now()));
      CHECK(std::ranges::any_of(each.mActions, [](const auto& aSeen) {
        const auto* hint = std::get_if<newer_configuration>(&aSeen.second);
        return hint != nullptr && hint->mVersion == 4;
      }));
    }
  }
  // The report of the leaving endpoint expires at every instance, however often
  // instances have passed it on.
  mNetwork.RunFor(Seconds(20));
  for (const auto& [name, each] : mNetwork.Nodes()) {
    CHECK(each.mCore->Shared().Leaving(mNetwork.Now()).empty());
  }
}

TEST_CASE_FIXTURE(one_domain, "membership/pressure_ends/all_forget_it")
{
  // One instance sheds tiers 3 and 4 during a burst, and the other instances
  // raise their admission threshold. After the burst the report must not keep
  // circulating among the instances, or low tiers would be refused
  // indefinitely.
  for (int second = 0; second < 3; ++second) {
    mNetwork.Core("n0").OnPressure(
      { pool_name("dispatch"), 2, Milliseconds(80), {} }, mNetwork.Now());
    mNetwork.RunFor(Seconds(1));
  }
  const auto received =
    mNetwork.Core("n5").Shared().PeerPressures(mNetwork.Now());
  REQUIRE(received.size() == 1);
  CHECK(received.front().mLowestAdmitted == 2);
  mNetwork.RunFor(Seconds(4));
  for (const auto& [name, each] : mNetwork.Nodes()) {
    CHECK(each.mCore->Shared().PeerPressures(mNetwork.Now()).empty());
  }
}

TEST_CASE_FIXTURE(one_domain, "membership/flood_of_names/memory_is_bounded")
{
  // A faulty peer reports an unbounded number of made-up members, pools and
  // endpoints, each of which would be stored and disseminated.
  gossip_message flood;
  flood.mKind = gossip_kind::kPush;
  flood.mDomain = domain_name("hall");
  flood.mSender = mNetwork.Core("n1").Self();
  auto& victim = mNetwork.Core("n0");
  for (int round = 0; round < 2'000; ++round) {
    const std::string name = "made-up-" + std::to_string(round);
    flood.mMembers = {
      { instance_name(name), "127.0.0.1:1", { 1, 0 }, {}, {} }
    };
    flood.mPressures = { { pool_name(name), 1, Seconds(1), {} } };
    flood.mLeaving = { { endpoint_name(name), 1, Seconds(50) } };
    victim.OnMessage(flood, mNetwork.Now());
  }
  CHECK(victim.Alive().size() <= mNetwork.mSettings.mMaxMembers);
  CHECK(victim.Shared().PeerPressures(mNetwork.Now()).size() <= 256);
  CHECK(victim.Shared().Leaving(mNetwork.Now()).size() <= 256);
}

TEST_CASE("membership/other_domains/hear_news_but_hold_no_members")
{
  fake_network network(link_quality{}, 3);
  for (const char* domain : { "hall", "yard", "pier" }) {
    for (int number = 0; number < 4; ++number) {
      network.Add(domain + std::to_string(number), domain);
    }
  }
  network.PublishList();
  network.RunFor(Seconds(5));
  network.Apply(network.At("hall0"),
                network.Core("hall0").OnConfiguration(4, network.Now()));
  network.RunFor(Seconds(3));
  bool received = false;
  for (const auto& [name, each] : network.Nodes()) {
    CHECK(each.mCore->Alive().size() == 3);
    received =
      received ||
      (each.mInfo.mDomain == domain_name("pier") &&
       std::ranges::any_of(each.mActions, [](const auto& aSeen) {
         return std::holds_alternative<newer_configuration>(aSeen.second);
       }));
  }
  CHECK(received);
}

TEST_CASE("membership/many_long_names/every_datagram_fits_its_bound")
{
  fake_network network(link_quality{}, 3);
  std::size_t largest = 0;
  network.mIntercept = [&](const instance_name&,
                           const send_datagram& aDatagram) {
    std::size_t bound = MaxHeaderSize(aDatagram.mMessage);
    for (const auto& each : aDatagram.mMessage.mMembers) {
      bound += MaxEntrySize(each);
    }
    for (const auto& each : aDatagram.mMessage.mPressures) {
      bound += MaxEntrySize(each);
    }
    for (const auto& each : aDatagram.mMessage.mLeaving) {
      bound += MaxEntrySize(each);
    }
    largest = std::max(largest, bound);
    return std::optional(aDatagram.mMessage);
  };
  for (int number = 0; number < 40; ++number) {
    network.Add(std::string(60, 'x') + std::to_string(number), "hall");
  }
  network.PublishList();
  network.RunFor(Seconds(3));
  const std::string first = std::string(60, 'x') + "0";
  for (int number = 0; number < 40; ++number) {
    const std::string name = std::string(60, 'p') + std::to_string(number);
    network.Core(first).OnPressure({ pool_name(name), 1, Seconds(1), {} },
                                   network.Now());
    network.Core(first).OnEndpointLeaving(
      endpoint_name(name), Seconds(9), network.Now());
  }
  network.RunFor(Seconds(2));
  CHECK(largest <= kMaxDatagramBytes);
  CHECK(largest > kMaxDatagramBytes / 2);
}

} // namespace
} // namespace thornhollow
