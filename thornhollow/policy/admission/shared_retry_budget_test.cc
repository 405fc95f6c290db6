#include <deque>
#include <random>

#include <doctest/doctest.h>

#include "thornhollow/policy/admission/shared_retry_budget.h"

namespace thornhollow {
namespace {

const pool_name kPool("engines");

TEST_CASE("shared_retry_budget/no_peer_heard/takes_a_small_part")
{
  // Thirty instances start without contact to each other while the endpoints
  // fail. If each instance used the whole fixed number of retries, there would
  // be thirty times as many retries as allowed.
  shared_retry_budget budget({ .mRatio = 0, .mFixedRetries = 76 });
  int spent = 0;
  while (budget.Spend(kPool, time_point() + Seconds(100))) {
    ++spent;
  }
  CHECK(spent == 1);
}

TEST_CASE("shared_retry_budget/window_passed/is_whole_again")
{
  shared_retry_budget budget({ .mRatio = 0, .mFixedRetries = 20 });
  budget.SetInstances(2);
  time_point now = time_point() + Seconds(100);
  int spent = 0;
  while (budget.Spend(kPool, now)) {
    ++spent;
  }
  CHECK(spent == 9);
  CHECK_FALSE(budget.Spend(kPool, now + Seconds(9)));
  CHECK(budget.Spend(kPool, now + Seconds(11)));
}

// Compares the retries of all instances in any window with the limit that
// follows from the requests in that window, in the previous one, or in the one
// that begins half a window earlier.
TEST_CASE("shared_retry_budget/random_fleet/sum_keeps_the_bound")
{
  constexpr int kTicksInWindow = 200;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    const std::size_t instances = 1 + random() % 9;
    const shared_retry_budget_settings settings{ .mRatio = 0.2,
                                                 .mFixedRetries = 52 };
    std::vector<shared_retry_budget> fleet(instances,
                                           shared_retry_budget(settings));
    std::vector<int> requests;
    std::vector<int> retries;
    for (int tick = 0; tick < 1000; ++tick) {
      const time_point now =
        time_point() + Seconds(50) + tick * Milliseconds(50);
      requests.push_back(0);
      retries.push_back(0);
      const std::uint64_t arrivals = random() % (tick % 300 < 60 ? 12 : 3);
      for (std::uint64_t each = 0; each < arrivals; ++each) {
        shared_retry_budget& one = fleet[random() % instances];
        // Instances assume different numbers of instances, but none assumes too
        // few; 0 stands for no message from a peer.
        one.SetInstances(random() % 8 == 0 ? 0 : instances + random() % 2);
        one.OnRequest(kPool, now);
        ++requests.back();
        while (one.Spend(kPool, now)) {
          ++retries.back();
        }
      }
    }
    const auto sum = [](const std::vector<int>& aCounts, int aEnd) {
      int total = 0;
      for (int at = std::max(0, aEnd - kTicksInWindow); at < aEnd; ++at) {
        total += aCounts[static_cast<std::size_t>(at)];
      }
      return total;
    };
    for (int end = 1; end <= 1000; ++end) {
      const int most = std::max({ sum(requests, end),
                                  sum(requests, end - kTicksInWindow),
                                  sum(requests, end - kTicksInWindow / 2) });
      CHECK(sum(retries, end) <= 0.2 * most + 52);
    }
  }
}

} // namespace
} // namespace thornhollow
