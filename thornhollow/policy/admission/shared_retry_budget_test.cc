#include <algorithm>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/admission/shared_retry_budget.h"

namespace thornhollow {
namespace {

const pool_name kPool("engines");

int
SpendAll(shared_retry_budget& aBudget, time_point aNow)
{
  int spent = 0;
  while (aBudget.Spend(kPool, aNow)) {
    ++spent;
  }
  return spent;
}

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

// Guards against retries that are spent a second time within a window by the
// processes that follow those of all instances.
TEST_CASE("shared_retry_budget/started_again/fixed_retries_wait_for_a_window")
{
  const time_point start = time_point() + Seconds(100);
  shared_retry_budget budget({ .mRatio = 0.2, .mFixedRetries = 20 });
  budget.SetInstances(1);
  budget.OnStart(start);
  CHECK_FALSE(budget.Spend(kPool, start));
  const time_point later = start + Seconds(9);
  int spent = 0;
  for (int request = 0; request < 100; ++request) {
    budget.OnRequest(kPool, later);
    spent += SpendAll(budget, later);
  }
  CHECK(spent == 18);
  // The bucket may hold a part of them.
  CHECK(SpendAll(budget, start + Seconds(10)) == 17);
}

// Guards against retries that requests from before the window pay for.
TEST_CASE("shared_retry_budget/sound_for_long/holds_what_a_moment_earns")
{
  shared_retry_budget budget({ .mRatio = 0.2, .mFixedRetries = 20 });
  budget.SetInstances(2);
  time_point now = time_point() + Seconds(100);
  for (int request = 0; request < 2'000; ++request) {
    now += Milliseconds(10);
    budget.OnRequest(kPool, now);
  }
  CHECK(SpendAll(budget, now) == 18);
}

// Guards against instances with few requests that can never make a retry.
TEST_CASE("shared_retry_budget/few_requests/earn_whole_retries")
{
  shared_retry_budget budget({ .mRatio = 0.2, .mFixedRetries = 4 });
  budget.SetInstances(2);
  const time_point start = time_point() + Seconds(100);
  budget.OnStart(start);
  int spent = 0;
  for (int request = 0; request < 20; ++request) {
    const time_point now = start + request * Milliseconds(400);
    budget.OnRequest(kPool, now);
    spent += SpendAll(budget, now);
  }
  CHECK(spent == 3);
}

// Instances with requests and failures at random, whose retries in any window
// are compared with the limit that follows from the requests in that window, in
// the previous one, or in the one that begins half a window earlier.
class random_fleet
{
public:
  // `aRestarts`: processes end, one or all at once, and others start in their
  // places.
  random_fleet(std::uint64_t aSeed, bool aRestarts)
    : mRandom(aSeed)
    , mRestarts(aRestarts)
    , mInstances(1 + mRandom() % 9)
    , mFleet(mInstances, shared_retry_budget(kSettings))
  {
  }

  void Run()
  {
    for (int tick = 0; tick < kTicks; ++tick) {
      const time_point now =
        time_point() + Seconds(50) + tick * Milliseconds(50);
      mRequests.push_back(0);
      mRetries.push_back(0);
      if (mRestarts && mRandom() % 60 == 0) {
        Restart(now);
      }
      const std::uint64_t arrivals = mRandom() % (tick % 300 < 60 ? 12 : 3);
      for (std::uint64_t each = 0; each < arrivals; ++each) {
        Arrive(now);
      }
    }
  }

  void Check() const
  {
    for (int end = 1; end <= kTicks; ++end) {
      const int most = std::max({ Sum(mRequests, end),
                                  Sum(mRequests, end - kTicksInWindow),
                                  Sum(mRequests, end - kTicksInWindow / 2) });
      CHECK(Sum(mRetries, end) <= 0.2 * most + 52);
    }
  }

private:
  static constexpr int kTicks = 1000;
  static constexpr int kTicksInWindow = 200;
  inline static const shared_retry_budget_settings kSettings{ .mRatio = 0.2,
                                                              .mFixedRetries =
                                                                52 };

  void Restart(time_point aNow)
  {
    const bool all = mRandom() % 2 == 0;
    const std::size_t one = mRandom() % mInstances;
    for (std::size_t at = 0; at < mInstances; ++at) {
      if (all || at == one) {
        mFleet[at] = shared_retry_budget(kSettings);
        mFleet[at].OnStart(aNow);
      }
    }
  }

  void Arrive(time_point aNow)
  {
    shared_retry_budget& one = mFleet[mRandom() % mInstances];
    // Instances assume different numbers of instances, but none assumes too
    // few; 0 stands for no message from a peer.
    one.SetInstances(mRandom() % 8 == 0 ? 0 : mInstances + mRandom() % 2);
    one.OnRequest(kPool, aNow);
    ++mRequests.back();
    while (one.Spend(kPool, aNow)) {
      ++mRetries.back();
    }
  }

  static int Sum(const std::vector<int>& aCounts,
                 int aEnd,
                 int aTicks = kTicksInWindow)
  {
    int total = 0;
    for (int at = std::max(0, aEnd - aTicks); at < aEnd; ++at) {
      total += aCounts[static_cast<std::size_t>(at)];
    }
    return total;
  }

  std::mt19937_64 mRandom;
  bool mRestarts;
  std::size_t mInstances;
  std::vector<shared_retry_budget> mFleet;
  std::vector<int> mRequests;
  std::vector<int> mRetries;
};

TEST_CASE("shared_retry_budget/random_fleet/sum_keeps_the_bound")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    random_fleet fleet(seed, false);
    fleet.Run();
    fleet.Check();
  }
}

// Guards against retries that are spent a second time within a window by the
// processes that follow those of all instances.
TEST_CASE("shared_retry_budget/processes_end/sum_keeps_the_bound")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    random_fleet fleet(seed, true);
    fleet.Run();
    fleet.Check();
  }
}

} // namespace
} // namespace thornhollow
