#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/crash_gossip.h"

namespace thornhollow {
namespace {

struct suspects_with_gossip
{
  time_point mNow{ Seconds(1'000) };
  crash_suspects mSuspects{ crash_suspects_settings{}, 1 };
  crash_gossip mGossip{ crash_gossip_settings{}, mSuspects, 1 };

  static std::vector<std::string> Peers(int aCount)
  {
    std::vector<std::string> peers;
    peers.reserve(static_cast<std::size_t>(aCount));
    for (int each = 0; each < aCount; ++each) {
      peers.push_back("10.0.0." + std::to_string(each) + ":7");
    }
    return peers;
  }

  void End(std::uint64_t aRequest, endpoint_hash aEndpoint)
  {
    mSuspects.OnEndpointEnded(
      { { { 2 * aRequest } }, 1, aEndpoint, 12 }, mNow, mNow);
  }
};

TEST_CASE_FIXTURE(suspects_with_gossip,
                  "crash_gossip/new_sighting/goes_to_some_peers_in_two_rounds")
{
  End(1, 1);
  const auto first = mGossip.Due(Peers(30), mNow);
  REQUIRE(first.size() == 1);
  CHECK(std::set(first[0].mTo.begin(), first[0].mTo.end()).size() == 8);
  mNow += Milliseconds(50);
  CHECK(mGossip.Due(Peers(30), mNow).empty());
  mNow += Milliseconds(50);
  CHECK(mGossip.Due(Peers(30), mNow).size() == 1);
  mNow += Milliseconds(100);
  CHECK(mGossip.Due(Peers(30), mNow).empty());
}

TEST_CASE_FIXTURE(suspects_with_gossip,
                  "crash_gossip/few_peers/each_gets_it_once")
{
  End(1, 1);
  const auto due = mGossip.Due(Peers(2), mNow);
  REQUIRE(due.size() == 1);
  CHECK(due[0].mTo == Peers(2));
}

// Guards against a storm of ends that fills the links between instances.
TEST_CASE_FIXTURE(suspects_with_gossip, "crash_gossip/storm/traffic_is_bounded")
{
  const crash_gossip_settings settings;
  std::size_t messages = 0;
  for (int step = 0; step < 2'000; ++step) {
    const auto number = static_cast<std::uint64_t>(step);
    End(1'000 + number, static_cast<endpoint_hash>(step / 16));
    for (const auto& each : mGossip.Due(Peers(30), mNow)) {
      messages += each.mTo.size();
    }
    mNow += Milliseconds(1);
  }
  CHECK(static_cast<double>(messages) <=
        settings.mMaxBurst + 2 * settings.mMessagesPerSecond + 1);
}

TEST_CASE_FIXTURE(suspects_with_gossip,
                  "crash_gossip/other_digest/full_report_once_in_a_while")
{
  End(1, 1);
  mNow += Seconds(2);
  End(1, 2);
  CHECK(mGossip.OnDigest("a", mSuspects.Digest(), mNow).empty());
  const auto reports = mGossip.OnDigest("a", 0, mNow);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].mTo == std::vector<std::string>{ "a" });
  CHECK(reports[0].mReport.mSightings.size() == 2);
  CHECK(mGossip.OnDigest("a", 0, mNow).empty());
  CHECK(mGossip.OnDigest("b", 0, mNow).size() == 1);
  mNow += Milliseconds(500);
  CHECK(mGossip.OnDigest("a", 0, mNow).size() == 1);
}

} // namespace
} // namespace thornhollow
