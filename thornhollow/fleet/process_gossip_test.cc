#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/process_gossip.h"
#include "thornhollow/policy/endpoints/endpoint_notices.h"

namespace thornhollow {
namespace {

constexpr duration kTick = Milliseconds(100);
constexpr duration kTransit = Milliseconds(2);
constexpr double kLossRate = 0.02;
constexpr time_point kStart{ Seconds(100) };

// Instances in virtual time that tell each other which endpoints leave.
class gossiping_fleet
{
public:
  gossiping_fleet(int aInstances, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (int each = 0; each < aInstances; ++each) {
      mInstances.push_back({ {}, { process_gossip_settings{}, mRandom() } });
      mAddresses.push_back(std::to_string(each));
    }
  }

  // An endpoint said it in an answer to the instance.
  void Say(std::size_t aAt, endpoint_process_hash aProcess)
  {
    Learn(aAt, aProcess);
  }

  void RunUntil(time_point aEnd)
  {
    while (mNow < aEnd) {
      Deliver();
      if ((mNow - kStart) % kTick == duration::zero()) {
        for (std::size_t each = 0; each < mInstances.size(); ++each) {
          Send(each);
        }
      }
      mNow += Milliseconds(1);
    }
  }

  bool AllKnow(endpoint_process_hash aProcess) const
  {
    return std::ranges::all_of(mInstances, [aProcess](const auto& aOne) {
      return aOne.mNotices.IsLeaving(aProcess);
    });
  }

  time_point mNow = kStart;
  std::uint64_t mMessages = 0;

private:
  struct instance
  {
    endpoint_notices mNotices;
    process_gossip mGossip;
  };
  struct message
  {
    time_point mAt{};
    std::size_t mTo = 0;
    std::vector<endpoint_process_hash> mProcesses;
  };

  void Learn(std::size_t aAt, endpoint_process_hash aProcess)
  {
    instance& one = mInstances[aAt];
    if (one.mNotices.OnLeaving(aProcess, mNow)) {
      one.mGossip.OnNew(aProcess);
      Send(aAt);
    }
  }

  void Send(std::size_t aFrom)
  {
    for (const auto& each : mInstances[aFrom].mGossip.Due(mAddresses, mNow)) {
      for (const std::string& to : each.mTo) {
        ++mMessages;
        if (std::uniform_real_distribution<double>(0, 1)(mRandom) >=
            kLossRate) {
          mUnderway.push_back(
            { mNow + kTransit, std::stoul(to), each.mProcesses });
        }
      }
    }
  }

  void Deliver()
  {
    while (!mUnderway.empty() && mUnderway.front().mAt <= mNow) {
      const message next = mUnderway.front();
      mUnderway.pop_front();
      for (const endpoint_process_hash each : next.mProcesses) {
        Learn(next.mTo, each);
      }
    }
  }

  std::mt19937_64 mRandom;
  std::vector<instance> mInstances;
  std::vector<std::string> mAddresses;
  std::deque<message> mUnderway;
};

// Only the instance that got the answer knew that the endpoint leaves.
TEST_CASE("process_gossip/said_to_one_instance/known_to_all_within_a_second")
{
  for (const int instances : { 3, 8, 30, 420 }) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(instances);
      CAPTURE(seed);
      gossiping_fleet fleet(instances, seed);
      fleet.Say(0, 7);
      fleet.RunUntil(kStart + Seconds(1));
      CHECK(fleet.AllKnow(7));
    }
  }
}

// Each answer of a leaving endpoint repeats its word.
TEST_CASE("process_gossip/word_repeated_by_each_answer/no_message_for_it")
{
  gossiping_fleet fleet(30, 1);
  fleet.Say(0, 7);
  fleet.RunUntil(kStart + Seconds(1));
  const std::uint64_t once = fleet.mMessages;
  CHECK(once <= 30 * 16);
  for (int answer = 0; answer < 1'000; ++answer) {
    fleet.Say(static_cast<std::size_t>(answer % 30), 7);
  }
  fleet.RunUntil(kStart + Seconds(2));
  CHECK(fleet.mMessages == once);
}

TEST_CASE("process_gossip/hundreds_leave_at_once/all_known_in_few_messages")
{
  constexpr endpoint_process_hash kLeaving = 200;
  gossiping_fleet fleet(30, 1);
  for (endpoint_process_hash each = 1; each <= kLeaving; ++each) {
    fleet.Say(each % 30, each);
  }
  fleet.RunUntil(kStart + Seconds(1));
  for (endpoint_process_hash each = 1; each <= kLeaving; ++each) {
    CHECK(fleet.AllKnow(each));
  }
  // Far fewer than one for each instance, endpoint and recipient.
  CHECK(fleet.mMessages < 30 * kLeaving);
}

TEST_CASE("endpoint_notices/lately_leaving/newest_first_and_for_a_minute")
{
  endpoint_notices notices;
  for (endpoint_process_hash each = 1; each <= 9; ++each) {
    notices.OnLeaving(each, kStart + Seconds(static_cast<int>(each)));
  }
  CHECK(notices.LatelyLeaving(2, kStart + Seconds(10)) ==
        std::vector<endpoint_process_hash>{ 9, 8 });
  CHECK(notices.LatelyLeaving(9, kStart + Seconds(68)) ==
        std::vector<endpoint_process_hash>{ 9 });
}

} // namespace
} // namespace thornhollow
