#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <string>

#include <doctest/doctest.h>

#include "thornhollow/policy/admission/relay_admission.h"

namespace thornhollow {
namespace {

constexpr std::uint32_t kPrompt = 8'000;
// Prompt tokens per second that all engines together prefill for this instance.
constexpr double kRate = 40'000;

// Engines that prefill one prompt after another, in virtual time.
struct fifo_engines
{
  relay_admission mAdmission{ relay_admission_settings{} };
  std::mt19937_64 mRandom{ 1 };
  time_point mNow = time_point() + Seconds(100);

  struct prompt
  {
    time_point mSent{};
    time_point mStarts{};
  };
  std::deque<prompt> mQueue;
  time_point mFreeAt{};

  int mInTime = 0;
  int mLate = 0;
  int mRefused = 0;

  fifo_engines() { mAdmission.SetCapacity(kRate); }

  admission_request MakeRequest(const team_name& aTeam) const
  {
    const duration queue = std::max(mFreeAt - mNow, duration::zero());
    return { .mTeam = aTeam,
             .mTokens = kPrompt,
             .mTarget = Seconds(2),
             .mTimeLeft = Seconds(15),
             .mExpectedWait = queue + FromSeconds(kPrompt / kRate) };
  }

  void RunUntil(time_point aNow)
  {
    while (!mQueue.empty() && mQueue.front().mStarts <= aNow) {
      const prompt first = mQueue.front();
      mQueue.pop_front();
      const duration wait = first.mStarts - first.mSent;
      mAdmission.OnStarted({ 0, kPrompt }, wait, first.mStarts);
      ++(wait <= Seconds(2) ? mInTime : mLate);
    }
    mNow = aNow;
  }

  void Admit()
  {
    mFreeAt = std::max(mFreeAt, mNow) + FromSeconds(kPrompt / kRate);
    mQueue.push_back({ mNow, mFreeAt });
    mAdmission.OnSent({ 0, kPrompt });
  }

  bool Offer(const team_name& aTeam)
  {
    if (mAdmission.Decide(MakeRequest(aTeam), mRandom, mNow)) {
      ++mRefused;
      return false;
    }
    Admit();
    return true;
  }

  // Offers prompts of one team at `aPerSecond` for `aFor`.
  void Load(double aPerSecond, duration aFor)
  {
    const time_point end = mNow + aFor;
    while (mNow < end) {
      Offer(team_name("office"));
      RunUntil(mNow + FromSeconds(1 / aPerSecond));
    }
  }
};

// Guards against admitting all prompts when twice as many arrive as engines can
// prefill: after four seconds every response started later than promised, and
// engines prefilled prompts whose callers had disconnected. Without admission
// control, 19 of 100 responses started in time.
TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/twice_the_capacity/most_taken_begin_in_time")
{
  Load(10, Seconds(10));
  RunUntil(mNow + Seconds(20));
  CHECK(mInTime >= 45);
  CHECK(mLate <= 5);
  CHECK(mRefused >= 35);
}

TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/within_capacity/nothing_is_refused")
{
  Load(4.5, Seconds(30));
  CHECK(mRefused == 0);
}

// Guards against counting a team's share in tokens: each occasional large
// prompt put its team above its fair share and was refused, while small prompts
// were admitted.
TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/large_prompts/are_taken_as_often_as_small")
{
  int largeTaken = 0;
  int large = 0;
  int smallTaken = 0;
  int small = 0;
  for (int tick = 0; tick < 600; ++tick) {
    admission_request request =
      MakeRequest(team_name("team" + std::to_string(tick * 7 % 5)));
    const bool isLarge = tick % 10 == 0;
    request.mTokens = isLarge ? 6 * kPrompt : kPrompt / 2;
    const bool taken = !mAdmission.Decide(request, mRandom, mNow);
    if (taken) {
      Admit();
    }
    (isLarge ? large : small) += 1;
    (isLarge ? largeTaken : smallTaken) += taken ? 1 : 0;
    RunUntil(mNow + Milliseconds(100));
  }
  CHECK(smallTaken < small);
  CHECK(largeTaken * small * 10 >= smallTaken * large * 8);
}

// Guards against refusing requests while engines are idle: three prompts
// arrived within a tick after an idle minute, and one was refused because the
// recent prefill rate was close to zero.
TEST_CASE_FIXTURE(fifo_engines, "relay_admission/burst_after_silence/is_taken")
{
  Load(1, Seconds(3));
  RunUntil(mNow + Seconds(60));
  for (int each = 0; each < 6; ++each) {
    CHECK(Offer(team_name("office")));
  }
  CHECK(mRefused == 0);
}

// Guards against remembering the queue of an overload for too long: capacity
// had recovered and engines were idle, but callers were still refused.
TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/overload_ends/all_are_taken_soon")
{
  Load(15, Seconds(10));
  RunUntil(mNow + Seconds(3));
  mRefused = 0;
  Load(4, Seconds(10));
  CHECK(mRefused == 0);
}

// Guards against a stale mean wait. The mean is the ratio of two rates that
// decay alike, so it was still several seconds a minute after an overload, and
// the next burst was refused although engines were idle.
TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/overload_long_over/nothing_is_remembered")
{
  Load(15, Seconds(10));
  RunUntil(mNow + Seconds(60));
  CHECK(mAdmission.ObservedWait(mNow) == duration::zero());
  mRefused = 0;
  for (int each = 0; each < 20; ++each) {
    CHECK(Offer(team_name("office")));
  }
}

// Guards against refusing all teams alike when one sends many times its usual
// load: teams with unchanged load lost as much as the team that caused the
// overload.
TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/one_team_sends_most/it_is_refused_most")
{
  int calmRefused = 0;
  int calm = 0;
  int hotRefused = 0;
  int hot = 0;
  for (int tick = 0; tick < 200; ++tick) {
    for (int each = 0; each < 3; ++each) {
      ++hot;
      hotRefused += Offer(team_name("hot")) ? 0 : 1;
    }
    if (tick % 4 == 0) {
      ++calm;
      const team_name team("calm" + std::to_string(tick / 4 % 4));
      calmRefused += Offer(team) ? 0 : 1;
    }
    RunUntil(mNow + Milliseconds(100));
  }
  CHECK(hotRefused > hot / 2);
  CHECK(calmRefused * 10 <= calm);
}

TEST_CASE_FIXTURE(
  fifo_engines,
  "relay_admission/refused/come_back_spread_and_while_they_wait")
{
  Load(15, Seconds(6));
  for (int each = 0; each < 5; ++each) {
    Admit();
  }
  duration minDelay = Seconds(60);
  duration maxDelay{};
  int refused = 0;
  for (int each = 0; each < 50; ++each) {
    if (const auto refusal =
          mAdmission.Decide(MakeRequest(team_name("office")), mRandom, mNow)) {
      ++refused;
      CHECK(refusal->mKind == error_kind::kQueueFull);
      minDelay = std::min(minDelay, refusal->mRetryAfter);
      maxDelay = std::max(maxDelay, refusal->mRetryAfter);
    }
  }
  REQUIRE(refused == 50);
  CHECK(minDelay >= Milliseconds(250));
  CHECK(maxDelay <= Seconds(5));
  CHECK(maxDelay - minDelay > Seconds(1));
}

TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/caller_leaves_before_its_turn/is_told_so")
{
  Load(15, Seconds(6));
  admission_request request = MakeRequest(team_name("office"));
  request.mTimeLeft = Milliseconds(600);
  const auto result = mAdmission.Decide(request, mRandom, mNow);
  REQUIRE(result.has_value());
  CHECK(result->mKind == error_kind::kDeadlineUnmeetable);
  CHECK(result->mRetryAfter <= Milliseconds(200));
}

TEST_CASE_FIXTURE(
  fifo_engines,
  "relay_admission/prompts_lost_with_their_engine/leave_no_wait")
{
  Load(15, Seconds(6));
  while (!mQueue.empty()) {
    mQueue.pop_front();
    mAdmission.OnAborted({ 0, kPrompt });
  }
  mFreeAt = mNow;
  CHECK(mAdmission.ObservedWait(mNow) == duration::zero());
  CHECK(Offer(team_name("office")));
}

// Guards against overload caused by stale data: ninety instances each saw free
// engines, as their data about the prompts of other instances was seconds old,
// and all instances together admitted four times the prefill capacity. Of 2,000
// prompts per second, 30 started in time.
TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/clear_overload/only_what_fits_is_taken")
{
  int taken = 0;
  int returned = 0;
  for (int each = 0; each < 2'000; ++each) {
    admission_request request =
      MakeRequest(team_name("t" + std::to_string(each % 7)));
    request.mExpectedWait = Milliseconds(100);
    request.mOverload = 4;
    taken += mAdmission.Decide(request, mRandom, mNow) ? 0 : 1;
    request.mIsRetry = true;
    returned += mAdmission.Decide(request, mRandom, mNow) ? 0 : 1;
    mNow += Milliseconds(1);
  }
  CHECK(taken > 400);
  CHECK(taken < 650);
  CHECK(returned > taken);
}

TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/target_of_zero/is_no_reason_to_refuse")
{
  Load(15, Seconds(6));
  admission_request request = MakeRequest(team_name("office"));
  request.mTarget = duration::zero();
  request.mOverload = 4;
  CHECK_FALSE(mAdmission.Decide(request, mRandom, mNow));
}

TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/overload_unclear/engines_decide")
{
  for (int each = 0; each < 500; ++each) {
    admission_request request = MakeRequest(team_name("office"));
    request.mOverload = 1.4;
    CHECK_FALSE(mAdmission.Decide(request, mRandom, mNow));
  }
}

// Guards against refusing a caller for a second time when it retries after the
// given delay while the overload lasts: the half second for which the caller
// waited would be wasted.
TEST_CASE_FIXTURE(fifo_engines,
                  "relay_admission/comes_back/is_taken_while_it_can_be_served")
{
  Load(15, Seconds(6));
  for (int each = 0; each < 5; ++each) {
    Admit();
  }
  admission_request request = MakeRequest(team_name("office"));
  REQUIRE(mAdmission.Decide(request, mRandom, mNow));
  request.mIsRetry = true;
  CHECK_FALSE(mAdmission.Decide(request, mRandom, mNow));
  request.mTimeLeft = Milliseconds(600);
  CHECK(mAdmission.Decide(request, mRandom, mNow));
}

// Engines that prefill prompts either in tier order, lower numbers first, or in
// order of arrival. Two in three prompts are of the second tier.
struct two_tier_engines
{
  struct prompt
  {
    std::uint32_t mTier = 0;
    time_point mSent{};
  };
  struct count
  {
    int mRequests = 0;
    int mInTime = 0;
    int mLate = 0;
    int mRefused = 0;
  };

  relay_admission mAdmission{ relay_admission_settings{} };
  std::mt19937_64 mRandom{ 1 };
  time_point mNow = time_point() + Seconds(100);
  bool mByTier = true;
  std::deque<prompt> mQueue;
  time_point mFreeAt{};
  std::array<count, 2> mCounts{};

  two_tier_engines() { mAdmission.SetCapacity(kRate); }

  void Read()
  {
    while (!mQueue.empty() && mFreeAt <= mNow) {
      auto next = mQueue.begin();
      if (mByTier) {
        next = std::ranges::min_element(mQueue, {}, &prompt::mTier);
      }
      const prompt one = *next;
      mQueue.erase(next);
      mFreeAt = std::max(mFreeAt, one.mSent) + FromSeconds(kPrompt / kRate);
      const duration wait = mFreeAt - one.mSent;
      mAdmission.OnStarted({ one.mTier, kPrompt }, wait, mNow);
      ++(wait <= Seconds(2) ? mCounts.at(one.mTier).mInTime
                            : mCounts.at(one.mTier).mLate);
    }
  }

  void Offer(std::uint32_t aTier)
  {
    ++mCounts.at(aTier).mRequests;
    const double queued = static_cast<double>(mQueue.size()) * kPrompt / kRate;
    const admission_request request{ .mTeam = team_name("office"),
                                     .mTier = aTier,
                                     .mTokens = kPrompt,
                                     .mTarget = Seconds(2),
                                     .mTimeLeft = Seconds(15),
                                     .mExpectedWait = FromSeconds(queued) };
    if (mAdmission.Decide(request, mRandom, mNow)) {
      ++mCounts.at(aTier).mRefused;
      return;
    }
    mQueue.push_back({ aTier, mNow });
    mAdmission.OnSent({ aTier, kPrompt });
  }

  void Load(double aPerSecond, duration aFor)
  {
    int number = 0;
    for (const time_point end = mNow + aFor; mNow < end;
         mNow += FromSeconds(1 / aPerSecond)) {
      Read();
      Offer(++number % 3 == 0 ? 0 : 1);
    }
    for (const time_point end = mNow + Seconds(20); mNow < end;
         mNow += Milliseconds(50)) {
      Read();
    }
  }
};

// Guards against refusing requests of the first tier because requests of the
// second tier are queued, although engines serve the first tier first: the
// higher tier was shed before the lower one.
TEST_CASE_FIXTURE(two_tier_engines,
                  "relay_admission/twice_the_capacity/lower_tier_is_shed_first")
{
  Load(10, Seconds(10));
  CHECK(mCounts[0].mRefused == 0);
  CHECK(mCounts[0].mInTime == mCounts[0].mRequests);
  CHECK(mCounts[1].mRefused >= 20);
}

// Guards against admitting all requests of the first tier when engines ignore
// tiers: the first tier then waits like the second, and its responses start
// late.
TEST_CASE_FIXTURE(two_tier_engines,
                  "relay_admission/tiers_not_heeded/first_is_refused_as_well")
{
  mByTier = false;
  Load(10, Seconds(10));
  CHECK(mCounts[0].mRefused >= mCounts[0].mRequests / 4);
}

} // namespace
} // namespace thornhollow
