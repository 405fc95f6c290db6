#include <map>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/relay_peers.h"

namespace thornhollow {
namespace {

// Instances that exchange hellos in virtual time.
struct hello_fleet
{
  std::map<std::string, std::unique_ptr<relay_peers>> mPeers;
  std::map<std::string, known_revisions> mKnown;
  std::map<std::string, bool> mCutOff;
  time_point mNow = time_point() + Seconds(100);

  void Add(const std::string& aAddress, const std::vector<std::string>& aSeeds)
  {
    mPeers[aAddress] = std::make_unique<relay_peers>(
      relay_peer_settings{}, aAddress, aSeeds, mPeers.size() + 1);
  }

  void Deliver(const std::string& aFrom, const std::string& aTo, bool aAsk)
  {
    if (!mPeers.contains(aTo) || mCutOff[aFrom] || mCutOff[aTo]) {
      return;
    }
    relay_hello hello;
    hello.mAddress = aFrom;
    hello.mKnown = mKnown[aFrom];
    hello.mPeers = mPeers[aFrom]->SomePeers();
    hello.mWork = { { 1, 10, 1, 0 } };
    hello.mWantsAnswer = aAsk;
    if (const auto back = mPeers[aTo]->OnHello(hello, mNow)) {
      Deliver(aTo, *back, false);
    }
  }

  void Run(duration aLength)
  {
    for (const time_point end = mNow + aLength; mNow < end;
         mNow += Milliseconds(100)) {
      for (auto& [address, peers] : mPeers) {
        const bool ask = peers->Alive() == 0;
        for (const std::string& to : peers->Tick(mNow)) {
          Deliver(address, to, ask);
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

TEST_CASE_FIXTURE(hello_fleet,
                  "relay_peers/behind_the_others/knows_whom_to_ask")
{
  // One instance goes on serving a revoked token: the source turns it away and
  // serves the others.
  Add("a", { "b" });
  Add("b", {});
  Run(Seconds(2));
  CHECK_FALSE(mPeers["a"]->WhoKnowsMore({ 0, 0 }, mNow).has_value());
  mKnown["b"] = { 5, 0 };
  Run(Seconds(1));
  CHECK(mPeers["a"]->WhoKnowsMore({ 4, 9 }, mNow) == "b");
  CHECK_FALSE(mPeers["a"]->WhoKnowsMore({ 5, 9 }, mNow).has_value());
}

TEST_CASE_FIXTURE(hello_fleet, "relay_peers/cut_off/counts_the_fleet_as_it_was")
{
  // The fleet's retry bound is exceeded while a link is down: each side shares
  // it out among the few instances that it still hears.
  Add("a", { "b" });
  Add("b", {});
  Add("c", { "b" });
  Run(Seconds(2));
  mCutOff["a"] = true;
  Run(Seconds(10));
  CHECK(mPeers["a"]->Alive() == 0);
  CHECK(mPeers["a"]->Count(mNow) == 3);
  CHECK(mPeers["a"]->OthersWork(mNow).empty());
  mCutOff["a"] = false;
  Run(Seconds(3));
  CHECK(mPeers["a"]->Alive() == 2);
  CHECK(mPeers["a"]->OthersWork(mNow).at(1).mToRead == 20);
}

TEST_CASE_FIXTURE(hello_fleet, "relay_peers/nobody_heard/counts_as_unknown")
{
  Add("a", { "gone" });
  Run(Seconds(3));
  CHECK(mPeers["a"]->Count(mNow) == 0);
}

} // namespace
} // namespace thornhollow
