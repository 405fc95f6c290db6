#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/forward_choice.h"

namespace thornhollow {
namespace {

struct three_peers
{
  forward_choice mChoice{ 7 };
  std::vector<forward_peer> mPeers{ { "10.0.0.1:9", true, 0 },
                                    { "10.0.0.2:9", false, 0 },
                                    { "10.0.0.3:9", false, 0 } };

  // How many of so many requests, all in progress, each peer gets.
  std::map<std::string, int> Send(int aCount)
  {
    std::map<std::string, int> sent;
    for (int each = 0; each < aCount; ++each) {
      const auto chosen = mChoice.Choose(mPeers, {});
      mChoice.OnSent(*chosen);
      ++sent[*chosen];
    }
    return sent;
  }
};

TEST_CASE_FIXTURE(three_peers, "forward_choice/all_tried/nothing")
{
  CHECK_FALSE(
    mChoice.Choose(mPeers, { "10.0.0.1:9", "10.0.0.2:9", "10.0.0.3:9" }));
  CHECK_FALSE(mChoice.Choose({}, {}));
  CHECK(mChoice.Choose(mPeers, { "10.0.0.1:9", "10.0.0.2:9" }) == "10.0.0.3:9");
}

// Guards against all requests of a cut-off instance on one other.
TEST_CASE_FIXTURE(three_peers, "forward_choice/equal_peers/share_the_requests")
{
  const auto sent = Send(300);
  CHECK(sent.size() == 3);
  for (const auto& [peer, count] : sent) {
    CHECK(count >= 70);
  }
  CHECK(sent.at("10.0.0.1:9") > sent.at("10.0.0.2:9"));
  CHECK(mChoice.InFlight() == 300);
}

TEST_CASE_FIXTURE(three_peers, "forward_choice/loaded_peer/gets_less")
{
  mPeers[1].mInProgress = 200;
  const auto sent = Send(60);
  CHECK(sent.count("10.0.0.2:9") == 0);
}

TEST_CASE_FIXTURE(three_peers, "forward_choice/requests_end/are_not_counted")
{
  Send(30);
  for (int each = 0; each < 40; ++each) {
    for (const forward_peer& peer : mPeers) {
      mChoice.OnEnded(peer.mAddress);
    }
  }
  CHECK(mChoice.InFlight() == 0);
}

} // namespace
} // namespace thornhollow
