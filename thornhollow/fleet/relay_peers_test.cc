#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/forward_choice.h"
#include "thornhollow/fleet/relay_peers.h"

namespace thornhollow {
namespace {

const domain_name kHall("hall");

// Instances that exchange hellos in virtual time.
struct hello_fleet
{
  relay_peer_settings mSettings;
  std::map<std::string, std::unique_ptr<relay_peers>> mPeers;
  std::map<std::string, known_revisions> mKnown;
  std::map<std::string, bool> mCutOff;
  // Addresses of instances that the source does not answer.
  std::map<std::string, bool> mSourceFails;
  std::map<std::string, std::uint32_t> mMegabits;
  time_point mNow = time_point() + Seconds(100);

  void Add(const std::string& aAddress, const std::vector<std::string>& aSeeds)
  {
    mSettings.mLinkMegabits = mMegabits[aAddress];
    mPeers[aAddress] = std::make_unique<relay_peers>(
      mSettings, aAddress, kHall, aSeeds, mPeers.size() + 1);
  }

  void Deliver(const std::string& aFrom,
               const std::string& aTo,
               bool aWantsAnswer,
               bool aBrief = false)
  {
    if (!mPeers.contains(aTo) || mCutOff[aFrom] || mCutOff[aTo]) {
      return;
    }
    relay_hello hello;
    hello.mAddress = aFrom;
    hello.mDomain = kHall;
    hello.mSourceFails = mSourceFails[aFrom];
    hello.mLinkMegabits = mMegabits[aFrom];
    hello.mRevisions = mKnown[aFrom];
    hello.mBrief = aBrief;
    if (!aBrief) {
      hello.mPeers = mPeers[aFrom]->SamplePeers();
      hello.mLoads = { { 1, 10, 0 } };
    }
    hello.mWantsAnswer = aWantsAnswer;
    if (const auto replyTo = mPeers[aTo]->OnHello(hello, mNow)) {
      Deliver(aTo, *replyTo, false, aBrief);
    }
  }

  void Run(duration aDuration)
  {
    for (const time_point end = mNow + aDuration; mNow < end;
         mNow += Milliseconds(100)) {
      for (auto& [address, peers] : mPeers) {
        peers->Reads(mNow);
        const bool ask = peers->Alive() == 0;
        const hello_round round = peers->Tick(mNow);
        for (const std::string& to : round.mFull) {
          Deliver(address, to, ask);
        }
        for (const std::string& to : round.mBrief) {
          Deliver(address, to, false, true);
        }
        for (const std::string& to : round.mProbed) {
          Deliver(address, to, true, true);
        }
      }
    }
  }
};

TEST_CASE_FIXTURE(hello_fleet, "relay_peers/one_live_seed_of_three/all_meet")
{
  for (int each = 0; each < 20; ++each) {
    Add("n" + std::to_string(each), { "stale", "down", "n0" });
  }
  Run(Seconds(5));
  for (const auto& [address, peers] : mPeers) {
    CHECK(peers->Alive() == 19);
    CHECK(peers->Count(mNow) == 20);
  }
}

// Guards against sums of load and demand that cover only a part of the fleet
// because instances know too few peers.
TEST_CASE_FIXTURE(hello_fleet, "relay_peers/many_start_at_once/all_meet_soon")
{
  for (int each = 0; each < 195; ++each) {
    Add("n" + std::to_string(each), { "n0", "n1", "n2" });
  }
  Run(Seconds(14));
  for (const auto& [address, peers] : mPeers) {
    CHECK(peers->Alive() == 194);
  }
}

TEST_CASE_FIXTURE(hello_fleet,
                  "relay_peers/behind_the_others/knows_whom_to_ask")
{
  // Guards against an instance that keeps accepting a revoked token because the
  // source does not answer this instance, while it answers the other instances.
  Add("a", { "b" });
  Add("b", {});
  Run(Seconds(2));
  CHECK_FALSE(mPeers["a"]->FindNewerCopy({ 0, 0 }, 0, mNow).has_value());
  mKnown["b"] = { 5, 0 };
  Run(Seconds(1));
  CHECK(mPeers["a"]->FindNewerCopy({ 4, 9 }, 0, mNow) ==
        newer_copy{ "b", { 5, 0 }, true, false });
  CHECK_FALSE(mPeers["a"]->FindNewerCopy({ 5, 9 }, 0, mNow).has_value());
}

TEST_CASE_FIXTURE(hello_fleet, "relay_peers/cut_off/counts_the_fleet_as_it_was")
{
  // Guards against exceeding the fleet-wide retry limit while a link is down:
  // the instances on each side of the link would divide the limit among the few
  // instances that they can still reach.
  Add("a", { "b" });
  Add("b", {});
  Add("c", { "b" });
  Run(Seconds(2));
  mCutOff["a"] = true;
  Run(Seconds(10));
  CHECK(mPeers["a"]->Alive() == 0);
  CHECK(mPeers["a"]->Count(mNow) == 3);
  CHECK(mPeers["a"]->RemoteLoad(mNow).empty());
  mCutOff["a"] = false;
  Run(Seconds(3));
  CHECK(mPeers["a"]->Alive() == 2);
  CHECK(mPeers["a"]->RemoteLoad(mNow).at(1).mPrefillTokens == 20);
}

// Guards against an estimate of the demand that lags behind a burst. In a burst
// of long prompts at 90 instances, each instance received hellos from only a
// third of the fleet within a second. Sums of old and new reports showed the
// burst only when half of the burst was over, too late to partition the
// engines.
TEST_CASE("relay_peers/burst_at_many/shows_by_those_heard_a_moment_ago")
{
  const pool_name pool("plans");
  relay_peers subject(relay_peer_settings{}, "me", domain_name("a"), {}, 1);
  time_point now = time_point() + Seconds(100);
  const workload_kind kind{ Seconds(2), Milliseconds(800) };
  const auto receive = [&](int aNumber, double aTokens) {
    relay_hello hello;
    hello.mAddress = "n" + std::to_string(aNumber);
    hello.mDomain = domain_name("a");
    hello.mDemand = { { pool, { { { kind, 1, aTokens, 0, 0 } } } } };
    subject.OnHello(hello, now);
  };
  for (int each = 0; each < 89; ++each) {
    receive(each, 1'000);
  }
  const auto tokens = [&] {
    return subject.FleetViews({}, now).at(pool).mDemand.at(0).mTokens;
  };
  CHECK(tokens() == doctest::Approx(89'000));
  now += Seconds(2);
  for (int each = 0; each < 30; ++each) {
    receive(each, 3'000);
  }
  CHECK(tokens() == doctest::Approx(267'000));
  now += Seconds(2);
  CHECK(subject.FleetViews({}, now).empty());
}

// Guards against control traffic above the limit of 18 KB/s: with 420 instances
// the hellos alone once took 35 KB/s per instance.
TEST_CASE("relay_peers/four_hundred_and_twenty/hellos_stay_within_the_bound")
{
  const time_point start = time_point() + Seconds(100);
  relay_peers subject(relay_peer_settings{}, "me", kHall, {}, 1);
  for (int each = 0; each < 419; ++each) {
    relay_hello hello;
    hello.mAddress = "n" + std::to_string(each);
    hello.mDomain = kHall;
    subject.OnHello(hello, start);
  }
  std::size_t result = 0;
  for (int tick = 0; tick < 100; ++tick) {
    result += subject.Tick(start + tick * Milliseconds(100)).mFull.size();
  }
  constexpr std::size_t kBytes = 1'100;
  constexpr std::size_t kSeconds = 10;
  CHECK(result * kBytes <= kSeconds * 18'000);
  CHECK(result >= kSeconds * 14);
  CHECK(subject.Alive() == 419);
}

// A domain of 30 instances. `Readers` returns its readers, except instances
// that are cut off.
struct domain_of_thirty : hello_fleet
{
  domain_of_thirty()
  {
    mSettings.mReaders = 2;
    for (int each = 0; each < 30; ++each) {
      Add("n" + std::to_string(each), { "n0", "n1" });
    }
    Run(Seconds(10));
  }

  std::vector<std::string> Readers()
  {
    std::vector<std::string> readers;
    for (auto& [address, peers] : mPeers) {
      if (peers->Reads(mNow) && !mCutOff[address]) {
        readers.push_back(address);
      }
    }
    return readers;
  }
};

TEST_CASE_FIXTURE(domain_of_thirty, "relay_peers/large_domain/two_read")
{
  CHECK(Readers().size() == 2);
}

// Guards against a domain that receives a large configuration slowly because an
// instance with a narrow link is its reader.
TEST_CASE_FIXTURE(hello_fleet, "relay_peers/links_differ/the_widest_read")
{
  mSettings.mReaders = 2;
  for (int each = 0; each < 30; ++each) {
    const std::string address = "n" + std::to_string(each);
    mMegabits[address] = each == 11 || each == 23 ? 200 : 10;
    Add(address, { "n0", "n1" });
  }
  Run(Seconds(10));
  for (auto& [address, peers] : mPeers) {
    CHECK(peers->Reads(mNow) == (mMegabits[address] == 200));
  }
}

// Guards against taking a leaving endpoint for an endpoint whose lease lapsed
// in an outage: a peer that the source does not answer reports an outage,
// although the source answers other instances.
TEST_CASE("relay_peers/source_answers_some/its_latest_answer_is_known")
{
  relay_peers subject(relay_peer_settings{}, "me", kHall, {}, 1);
  const time_point now = time_point() + Seconds(100);
  CHECK_FALSE(subject.SourceAnswered().has_value());
  relay_hello hello;
  hello.mDomain = kHall;
  for (const int age : { 700, 200, 900 }) {
    hello.mAddress = "n" + std::to_string(age);
    hello.mSourceAnswerAge = Milliseconds(age);
    subject.OnHello(hello, now);
  }
  hello.mAddress = "turned-away";
  hello.mSourceAnswerAge.reset();
  hello.mSourceFails = true;
  subject.OnHello(hello, now);
  CHECK(subject.SourceAnswered() == now - Milliseconds(200));
}

TEST_CASE_FIXTURE(domain_of_thirty,
                  "relay_peers/readers_die_or_are_turned_away/others_read")
{
  // Guards against a domain that keeps an outdated list because its readers
  // were killed or the source stopped answering them.
  for (const std::string& each : Readers()) {
    mCutOff[each] = true;
  }
  Run(Seconds(6));
  const std::vector<std::string> next = Readers();
  CHECK(next.size() == 2);
  for (const std::string& each : next) {
    mSourceFails[each] = true;
  }
  Run(Seconds(6));
  const std::vector<std::string> last = Readers();
  CHECK(last.size() >= 2);
  CHECK(last != next);
}

// Guards against a domain in which no instance asks the source, because each
// reader gives up a failing source in favour of other readers that have given
// it up too.
TEST_CASE_FIXTURE(domain_of_thirty,
                  "relay_peers/readers_turned_away/they_and_as_many_more_read")
{
  const std::vector<std::string> first = Readers();
  for (const std::string& each : first) {
    mSourceFails[each] = true;
  }
  Run(Seconds(3));
  const std::vector<std::string> result = Readers();
  CHECK(result.size() == 4);
  for (const std::string& each : first) {
    CHECK(std::ranges::count(result, each) == 1);
  }
  mSourceFails.clear();
  Run(Seconds(3));
  CHECK(Readers() == first);
}

// Guards against requests from all instances of a large fleet to a source that
// does not answer.
TEST_CASE_FIXTURE(domain_of_thirty,
                  "relay_peers/source_silent_for_all/few_ask_it")
{
  for (auto& [address, peers] : mPeers) {
    mSourceFails[address] = true;
  }
  for (int second = 0; second < 20; ++second) {
    Run(Seconds(1));
    CHECK(Readers().size() >= 2);
    CHECK(Readers().size() <= mSettings.mMaxReaders);
  }
}

// Guards against losing a peer's loads from the sums when it sends a brief
// hello.
TEST_CASE_FIXTURE(hello_fleet,
                  "relay_peers/brief_hello/work_told_before_counts")
{
  Add("a", { "b" });
  Add("b", {});
  Run(Seconds(1));
  Deliver("b", "a", false, true);
  CHECK(mPeers["a"]->RemoteLoad(mNow).at(1).mPrefillTokens == 10);
  CHECK(mPeers["a"]->Alive() == 1);
  // A brief hello does not refresh the age of the peer's loads.
  relay_peers& subject = *mPeers["a"];
  mNow += mSettings.mMaxAge;
  Deliver("b", "a", false, true);
  CHECK(subject.RemoteLoad(mNow).empty());
}

TEST_CASE_FIXTURE(hello_fleet, "relay_peers/no_readers_set/all_read")
{
  mSettings.mReaders = 0;
  for (int each = 0; each < 30; ++each) {
    Add("n" + std::to_string(each), { "n0" });
  }
  Run(Seconds(5));
  for (auto& [address, peers] : mPeers) {
    CHECK(peers->Reads(mNow));
  }
}

TEST_CASE_FIXTURE(domain_of_thirty, "relay_peers/source_down/somebody_asks")
{
  for (auto& [address, peers] : mPeers) {
    mSourceFails[address] = true;
  }
  Run(Seconds(6));
  CHECK_FALSE(Readers().empty());
}

// Three domains of three, two and one instances that all know each other.
struct three_domains
{
  std::vector<std::pair<std::string, domain_name>> mAll = {
    { "a1", domain_name("a") }, { "a2", domain_name("a") },
    { "a3", domain_name("a") }, { "b1", domain_name("b") },
    { "b2", domain_name("b") }, { "c1", domain_name("c") }
  };

  watch_stagger TurnOf(const std::string& aAddress,
                       const domain_name& aDomain,
                       const relay_peer_settings& aSettings = {}) const
  {
    relay_peers peers(aSettings, aAddress, aDomain, {}, 1);
    for (const auto& [address, domain] : mAll) {
      relay_hello hello;
      hello.mAddress = address;
      hello.mDomain = domain;
      peers.OnHello(hello, time_point());
    }
    return peers.Turn(time_point());
  }
};

TEST_CASE_FIXTURE(three_domains, "relay_peers/turn/each_place_is_held_once")
{
  std::map<domain_name, std::set<std::size_t>> places;
  std::map<domain_name, double> phases;
  for (const auto& [address, domain] : mAll) {
    const watch_stagger result = TurnOf(address, domain);
    CHECK(result.mIndex < result.mCount);
    CHECK(places[domain].insert(result.mIndex).second);
    phases[domain] = result.mPhase;
  }
  CHECK(places[domain_name("a")].size() == 3);
  CHECK(TurnOf("a1", domain_name("a")).mCount == 3);
  CHECK(TurnOf("c1", domain_name("c")) == watch_stagger{ 0, 1, 1 });
  // The watches of different domains end at different times of a watch period.
  CHECK(phases[domain_name("a")] < phases[domain_name("b")]);
  CHECK(phases[domain_name("b")] < phases[domain_name("c")]);
}

TEST_CASE_FIXTURE(three_domains, "relay_peers/turn/readers_alone_have_one")
{
  relay_peer_settings settings;
  settings.mAllReadUpTo = 1;
  settings.mReaders = 2;
  CHECK(TurnOf("a1", domain_name("a"), settings).mCount == 2);
}

TEST_CASE_FIXTURE(hello_fleet, "relay_peers/nobody_heard/counts_as_unknown")
{
  Add("a", { "gone" });
  Run(Seconds(3));
  CHECK(mPeers["a"]->Count(mNow) == 0);
}

struct instance_with_three_peers
{
  relay_peers mPeers{ relay_peer_settings{}, "10.0.0.9:7", kHall, {}, 1 };
  const pool_name mPool{ "engines" };
  time_point mNow = time_point() + Seconds(100);

  void Hear(const std::string& aAddress, std::vector<pool_contact> aContacts)
  {
    relay_hello hello;
    hello.mAddress = aAddress;
    hello.mDomain = kHall;
    hello.mForwarding = { 9, 5, std::move(aContacts) };
    mPeers.OnHello(hello, mNow);
  }

  std::vector<std::string> Found() const
  {
    std::vector<std::string> found;
    for (const forward_peer& each : mPeers.ForwardPeers(mPool, mNow)) {
      found.push_back(each.mAddress);
    }
    return found;
  }

  // All that a request is forwarded to, if each ends under it, in order.
  std::vector<std::string> Tried() const
  {
    forward_choice choice(1);
    std::vector<std::string> tried;
    while (const auto next =
             choice.Choose(mPeers.ForwardPeers(mPool, mNow), tried)) {
      tried.push_back(*next);
    }
    return tried;
  }
};

// Guards against requests refused while the only peer in contact, which has
// ended a moment ago, hides those that had no requests yet.
TEST_CASE_FIXTURE(instance_with_three_peers,
                  "relay_peers/forward_peers/those_in_contact_go_first")
{
  Hear("10.0.0.1:7", { { PoolHash(mPool), true } });
  Hear("10.0.0.2:7", { { PoolHash(mPool), false } });
  Hear("10.0.0.3:7", {});
  CHECK(Tried() == std::vector<std::string>{ "10.0.0.1:9", "10.0.0.3:9" });
  CHECK(mPeers.CutOffPeers(mPool, mNow) == 1);
  mNow += Seconds(2);
  CHECK(Found().empty());
}

// Guards against requests refused by an instance whose peers had no requests of
// their own and so no evidence.
TEST_CASE_FIXTURE(instance_with_three_peers,
                  "relay_peers/forward_peers/without_evidence_any_but_cut_off")
{
  Hear("10.0.0.2:7", { { PoolHash(mPool), false } });
  Hear("10.0.0.3:7", { { PoolHash(pool_name("others")), true } });
  CHECK(Found() == std::vector<std::string>{ "10.0.0.3:9" });
}

} // namespace
} // namespace thornhollow
