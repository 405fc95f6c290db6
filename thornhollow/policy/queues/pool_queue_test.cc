#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/queues/pool_queue.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };

// A pool with two classes: "high" of tier 1 without a minimum share, and "low"
// of tier 4 with a minimum share of 25%.
struct two_tiers
{
  two_tiers()
  {
    pool_queue_settings settings;
    settings.mMaxWaiting = 8;
    settings.mStandingQueue.mEnabled = false;
    mQueue.emplace(settings);
    mQueue->SetObjectives(class_name("high"), { 0, Milliseconds(500) });
    mQueue->SetObjectives(class_name("low"), { 0.25, Seconds(5) });
  }

  pool_queue::push_result Push(int aTier, const std::string& aTeam = "team")
  {
    waiting_request request;
    request.mItem.mTicket = ++mLast;
    request.mItem.mTeam = team_name(aTeam);
    request.mItem.mTier = aTier;
    request.mItem.mClass = class_name(aTier == 1 ? "high" : "low");
    request.mItem.mDeadline = mNow + Seconds(60);
    request.mWork.mCost = 100;
    request.mQueuedAt = mNow;
    pool_queue::push_result pushed = mQueue->Push(request, 1, mRandom, mNow);
    for (const refuse& each : pushed.mRefused) {
      mHandles.erase(each.mTicket);
    }
    if (pushed.mHandle) {
      mHandles.emplace(mLast, *pushed.mHandle);
    }
    return pushed;
  }

  // Starts the next request and returns its tier.
  int StartNext()
  {
    const next_request next = mQueue->Next(mPeers, mPool, {}, mNow);
    REQUIRE(next.mItem != nullptr);
    const work_item item = *next.mItem;
    mQueue->Start(mHandles.at(item.mTicket), mNow);
    mHandles.erase(item.mTicket);
    return item.mTier;
  }

  const pool_name mPool{ "m" };
  time_point mNow = kStart;
  std::optional<pool_queue> mQueue;
  peer_pressure mPeers{ tier_pressure_settings{} };
  std::mt19937_64 mRandom{ 1 };
  std::map<ticket, pool_queue::queue_handle> mHandles;
  ticket mLast = 0;
};

// A burst of the highest tier fills the queue while requests of the lowest tier
// wait. The most recent requests of the lowest tier are shed, but only as long
// as their class uses shared capacity.
TEST_CASE_FIXTURE(two_tiers, "pool_queue/full/lowest_tiers_youngest_goes_first")
{
  for (int i = 0; i < 10; ++i) {
    CHECK(Push(4).mRefused.empty());
  }
  // All eight shared queue entries and the two reserved for the class "low" are
  // in use.
  for (ticket victim = 10; victim >= 3; --victim) {
    const pool_queue::push_result pushed = Push(1);
    REQUIRE(pushed.mRefused.size() == 1);
    CHECK(pushed.mRefused[0].mTicket == victim);
    CHECK(pushed.mRefused[0].mKind == error_kind::kShedForHigherTier);
    CHECK(pushed.mHandle.has_value());
  }
  // The higher tier now uses all shared capacity, so its next request is
  // refused as queue-full. The lower class keeps its two reserved entries.
  const pool_queue::push_result full = Push(1);
  REQUIRE(full.mRefused.size() == 1);
  CHECK(full.mRefused[0].mTicket == mLast);
  CHECK(full.mRefused[0].mKind == error_kind::kQueueFull);
  CHECK(mQueue->size() == 10);
}

TEST_CASE_FIXTURE(two_tiers,
                  "pool_queue/full_of_high_tier/own_places_stay_open")
{
  for (int i = 0; i < 8; ++i) {
    CHECK(Push(1).mRefused.empty());
  }
  CHECK(Push(4).mRefused.empty());
  CHECK(Push(4).mRefused.empty());
  const pool_queue::push_result third = Push(4);
  REQUIRE(third.mRefused.size() == 1);
  CHECK(third.mRefused[0].mTicket == mLast);
  CHECK(third.mRefused[0].mKind == error_kind::kQueueFull);
}

// One team fills the shared capacity when another team's first request arrives.
// Refusing that request would let the first team crowd out all others.
TEST_CASE_FIXTURE(two_tiers, "pool_queue/full_of_hot_team/its_last_makes_room")
{
  for (int i = 0; i < 8; ++i) {
    Push(1, "hot");
  }
  const pool_queue::push_result pushed = Push(1, "light");
  REQUIRE(pushed.mRefused.size() == 1);
  CHECK(pushed.mRefused[0].mTicket == 8);
  CHECK(pushed.mRefused[0].mKind == error_kind::kQueueFull);
  CHECK(pushed.mHandle.has_value());
}

TEST_CASE_FIXTURE(two_tiers, "pool_queue/high_tier_endless/share_is_served")
{
  Push(1);
  Push(4);
  std::map<int, int> served;
  for (int i = 0; i < 400; ++i) {
    const int tier = StartNext();
    ++served[tier];
    Push(tier);
    mNow += Milliseconds(10);
  }
  // The low tier gets a quarter of the 400 requests, less the few requests that
  // were served while the credit for its first request accrued.
  CHECK(served[4] >= 98);
  CHECK(served[4] <= 100);
}

TEST_CASE_FIXTURE(two_tiers, "pool_queue/little_low_work/goes_by_tier")
{
  // A class accrues no credit while it has no waiting requests, so its first
  // request is served after the higher tier's.
  for (int i = 0; i < 4; ++i) {
    Push(1);
    CHECK(StartNext() == 1);
  }
  Push(4);
  Push(1);
  CHECK(StartNext() == 1);
  CHECK(StartNext() == 4);
}

TEST_CASE_FIXTURE(two_tiers, "pool_queue/idle/predicts_no_wait")
{
  work_item item;
  item.mTier = 1;
  item.mClass = class_name("high");
  CHECK(mQueue->PredictedWait(item, mNow) == duration::zero());
}

// Waiting requests are served at 10 per second. A new request whose predicted
// wait exceeds the time until its deadline is refused on arrival, with a retry
// delay above the minimum.
TEST_CASE_FIXTURE(two_tiers,
                  "pool_queue/measured_wait_too_long/refused_at_once")
{
  for (int i = 0; i < 8; ++i) {
    Push(1);
  }
  for (int i = 0; i < 20; ++i) {
    mNow += Milliseconds(100);
    StartNext();
    Push(1);
  }
  work_item item;
  item.mTier = 1;
  item.mClass = class_name("high");
  item.mTeam = team_name("team");
  const double wait = ToSeconds(mQueue->PredictedWait(item, mNow));
  CHECK(wait == doctest::Approx(0.8).epsilon(0.15));

  waiting_request late{ item, { 100, Milliseconds(500) }, mNow };
  late.mItem.mDeadline = mNow + Seconds(1);
  const pool_queue::push_result pushed = mQueue->Push(late, 1, mRandom, mNow);
  REQUIRE(pushed.mRefused.size() == 1);
  CHECK(pushed.mRefused[0].mKind == error_kind::kDeadlineUnmeetable);
  CHECK(pushed.mRefused[0].mRetryAfter > Milliseconds(250));
  StartNext();
  late.mItem.mDeadline = mNow + Seconds(3);
  CHECK(mQueue->Push(late, 1, mRandom, mNow).mHandle.has_value());
}

// Another instance reports waiting requests of the high tier. This instance has
// only requests of the low tier. Until the report has expired, it must start no
// more of its requests than the minimum share of their class.
TEST_CASE_FIXTURE(two_tiers, "pool_queue/peer_waits/low_tier_gets_its_share")
{
  for (int i = 0; i < 8; ++i) {
    Push(4);
  }
  for (int i = 0; i < 5; ++i) {
    mNow += Milliseconds(100);
    StartNext();
    Push(4);
  }
  std::size_t started = 0;
  for (int i = 0; i < 800; ++i) {
    mPeers.OnReport(instance_name("a"), { mPool, 1, Seconds(2), {} }, mNow);
    mNow += Milliseconds(20);
    if (mQueue->Next(mPeers, mPool, {}, mNow).mItem != nullptr) {
      StartNext();
      Push(4);
      ++started;
    }
  }
  // In 16 s the pool could serve 160 requests, at 10 per second. The class may
  // start a quarter of these requests, less what it was served beyond its
  // minimum share before the reports.
  CHECK(started >= 32);
  CHECK(started <= 40);
  mNow += Seconds(2);
  CHECK(StartNext() == 4);
  CHECK(StartNext() == 4);
}

} // namespace
} // namespace thornhollow
