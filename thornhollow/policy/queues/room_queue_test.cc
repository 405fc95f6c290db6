#include <string>

#include <doctest/doctest.h>

#include "thornhollow/policy/queues/room_queue.h"

namespace thornhollow {
namespace {

struct waiting_requests
{
  bool Join(std::uint32_t aTier, std::uint64_t aNumber, std::size_t aLimit)
  {
    auto joined = mQueue.Join(
      { aTier, aNumber }, aLimit, [this, aNumber](room_verdict aVerdict) {
        mSeen += std::to_string(aNumber) +
                 (aVerdict == room_verdict::kTry ? "t" : "d");
      });
    if (joined.mDisplaced) {
      (*joined.mDisplaced)(room_verdict::kDisplaced);
    }
    return joined.mJoined;
  }
  void WakeAll()
  {
    while (auto first = mQueue.TakeFirst()) {
      (*first)(room_verdict::kTry);
    }
  }

  room_queue mQueue;
  std::string mSeen;
};

TEST_CASE_FIXTURE(waiting_requests,
                  "room_queue/several_tiers/by_tier_then_arrival")
{
  Join(2, 1, 9);
  Join(0, 2, 9);
  Join(2, 3, 9);
  Join(0, 4, 9);
  WakeAll();
  CHECK(mSeen == "2t4t1t3t");
}

TEST_CASE_FIXTURE(waiting_requests,
                  "room_queue/full/higher_tier_displaces_the_last")
{
  CHECK(Join(1, 1, 2));
  CHECK(Join(1, 2, 2));
  CHECK_FALSE(Join(1, 3, 2));
  CHECK_FALSE(Join(2, 4, 2));
  CHECK(Join(0, 5, 2));
  WakeAll();
  CHECK(mSeen == "2d5t1t");
}

TEST_CASE_FIXTURE(waiting_requests, "room_queue/no_places/nobody_joins")
{
  CHECK_FALSE(Join(0, 1, 0));
}

TEST_CASE_FIXTURE(waiting_requests, "room_queue/left/not_woken")
{
  Join(0, 1, 9);
  mQueue.Leave({ 0, 1 });
  WakeAll();
  CHECK(mSeen.empty());
}

} // namespace
} // namespace thornhollow
