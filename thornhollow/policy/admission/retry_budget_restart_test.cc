// Fleets in virtual time whose endpoints refuse a part of the requests while
// processes end and others start in their places. The retries of any window are
// compared with the limit, as endpoints and callers count them.

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/admission/shared_retry_budget.h"

namespace thornhollow {
namespace {

const pool_name kPool("engines");
constexpr duration kWindow = Seconds(10);
constexpr duration kStep = Milliseconds(20);
constexpr duration kMaxDelay = Milliseconds(500);
// Callers come from the beginning, endpoints refuse from here on.
constexpr duration kSoundFor = Seconds(22);
constexpr duration kRefusesFor = Seconds(16);
constexpr double kRatio = 0.2;

enum class kill_kind : std::uint8_t
{
  kNone,
  kAll,
  kHalf,
  kOne,
  kInTurn,
  kTwice,
};

struct restart_case
{
  int mInstances = 6;
  double mPerSecond = 60;
  double mRefused = 0.45;
  kill_kind mKill = kill_kind::kAll;
  // After the endpoints began to refuse.
  duration mKillAfter = Seconds(5);
  duration mDown = Milliseconds(500);
  // Largest share of requests of an instance, beside the smallest.
  double mUnevenness = 1;
  std::uint64_t mSeed = 1;

  // Grows with the fleet as those of the deployments do.
  double Fixed() const { return 40 + 1.8 * mInstances; }
};

class restarted_fleet
{
public:
  explicit restarted_fleet(const restart_case& aCase)
    : mCase(aCase)
    , mSettings{ .mRatio = kRatio, .mFixedRetries = aCase.Fixed() }
    , mRandom(aCase.mSeed)
  {
    for (int number = 0; number < aCase.mInstances; ++number) {
      std::uniform_real_distribution<double> weight(1, aCase.mUnevenness);
      mFleet.push_back({ shared_retry_budget(mSettings), weight(mRandom) });
    }
    ScheduleKills();
  }

  void Run()
  {
    const time_point end = time_point() + kSoundFor + kRefusesFor + kWindow;
    for (mNow = time_point() + kStep; mNow < end; mNow += kStep) {
      KillAndStart();
      std::poisson_distribution<int> arrivals(mCase.mPerSecond *
                                              ToSeconds(kStep));
      for (int count = arrivals(mRandom); count > 0; --count) {
        Arrive();
      }
    }
    std::ranges::sort(mRepeats);
  }

  // The most by which the repeats of a window exceed the limit.
  double WorstExcess() const
  {
    double worst = -mCase.Fixed();
    for (const time_point from : mRepeats) {
      const auto requests = std::max({ Count(mRequests, from),
                                       Count(mRequests, from - kWindow / 2),
                                       Count(mRequests, from - kWindow) });
      const double limit =
        kRatio * static_cast<double>(requests) + mCase.Fixed();
      worst =
        std::max(worst, static_cast<double>(Count(mRepeats, from)) - limit);
    }
    return worst;
  }

private:
  struct instance
  {
    shared_retry_budget mBudget;
    double mWeight = 1;
    time_point mUpFrom = time_point::min();
    // Largest number of instances seen since the start.
    std::size_t mSeen = 0;
  };
  struct kill
  {
    time_point mAt;
    std::size_t mInstance;
  };

  void ScheduleKills()
  {
    const time_point at = time_point() + kSoundFor + mCase.mKillAfter;
    const std::size_t all = mFleet.size();
    switch (mCase.mKill) {
      case kill_kind::kNone:
        return;
      case kill_kind::kAll:
        KillFirst(all, at, duration::zero());
        return;
      case kill_kind::kHalf:
        KillFirst((all + 1) / 2, at, duration::zero());
        return;
      case kill_kind::kOne:
        KillFirst(1, at, duration::zero());
        return;
      case kill_kind::kInTurn:
        KillFirst(all, at, Seconds(6) / static_cast<std::int64_t>(all));
        return;
      case kill_kind::kTwice:
        KillFirst(all, at, duration::zero());
        KillFirst(all, at + mCase.mDown + Seconds(3), duration::zero());
        return;
    }
  }

  void KillFirst(std::size_t aCount, time_point aAt, duration aApart)
  {
    for (std::size_t at = 0; at < aCount; ++at) {
      mKills.push_back({ aAt + aApart * static_cast<std::int64_t>(at), at });
    }
  }

  void KillAndStart()
  {
    for (const kill& each : mKills) {
      if (mNow - kStep < each.mAt && each.mAt <= mNow) {
        instance& killed = mFleet[each.mInstance];
        killed.mBudget = shared_retry_budget(mSettings);
        killed.mUpFrom = mNow + mCase.mDown;
        killed.mBudget.OnStart(killed.mUpFrom);
        killed.mSeen = 0;
      }
    }
    if ((mNow - time_point()) % Milliseconds(100) == duration::zero()) {
      LearnInstances();
    }
  }

  bool IsUp(const instance& aInstance) const
  {
    return aInstance.mUpFrom <= mNow;
  }

  void LearnInstances()
  {
    const auto up = static_cast<std::size_t>(std::ranges::count_if(
      mFleet, [this](const instance& aEach) { return IsUp(aEach); }));
    for (instance& each : mFleet) {
      if (!IsUp(each)) {
        continue;
      }
      each.mSeen = std::max(each.mSeen, up);
      each.mBudget.SetInstances(each.mSeen > 1 ? each.mSeen : 0);
    }
  }

  instance* Choose()
  {
    double total = 0;
    for (const instance& each : mFleet) {
      total += IsUp(each) ? each.mWeight : 0;
    }
    double drawn = std::uniform_real_distribution<double>(0, total)(mRandom);
    for (instance& each : mFleet) {
      drawn -= IsUp(each) ? each.mWeight : 0;
      if (IsUp(each) && drawn <= 0) {
        return &each;
      }
    }
    return nullptr;
  }

  void Arrive()
  {
    mRequests.push_back(mNow);
    instance* taken = Choose();
    if (taken == nullptr) {
      return;
    }
    taken->mBudget.OnRequest(kPool, mNow);
    const bool refuses = mNow >= time_point() + kSoundFor &&
                         mNow < time_point() + kSoundFor + kRefusesFor;
    std::bernoulli_distribution refused(refuses ? mCase.mRefused : 0);
    if (refused(mRandom) && taken->mBudget.Spend(kPool, mNow)) {
      std::uniform_int_distribution<std::int64_t> delay(0, kMaxDelay.count());
      mRepeats.push_back(mNow + duration(delay(mRandom)));
    }
  }

  static std::ptrdiff_t Count(const std::vector<time_point>& aTimes,
                              time_point aFrom)
  {
    return std::ranges::lower_bound(aTimes, aFrom + kWindow) -
           std::ranges::lower_bound(aTimes, aFrom);
  }

  restart_case mCase;
  shared_retry_budget_settings mSettings;
  std::mt19937_64 mRandom;
  time_point mNow{};
  std::vector<instance> mFleet;
  std::vector<kill> mKills;
  std::vector<time_point> mRequests;
  std::vector<time_point> mRepeats;
};

double
WorstExcess(const restart_case& aCase)
{
  restarted_fleet fleet(aCase);
  fleet.Run();
  return fleet.WorstExcess();
}

constexpr kill_kind kKills[] = { kill_kind::kNone,   kill_kind::kAll,
                                 kill_kind::kHalf,   kill_kind::kOne,
                                 kill_kind::kInTurn, kill_kind::kTwice };

void
SearchKills(restart_case aCase)
{
  for (const kill_kind kill : kKills) {
    for (const double after : { 0.5, 2.0, 4.0, 5.5, 8.0, 12.0 }) {
      aCase.mKill = kill;
      aCase.mKillAfter = FromSeconds(after);
      ++aCase.mSeed;
      CAPTURE(aCase.mInstances);
      CAPTURE(aCase.mPerSecond);
      CAPTURE(aCase.mRefused);
      CAPTURE(static_cast<int>(kill));
      CAPTURE(after);
      CAPTURE(aCase.mUnevenness);
      CAPTURE(aCase.mSeed);
      CHECK(WorstExcess(aCase) <= 0);
    }
  }
}

// Guards against retries that two processes in a row spend by the same window:
// the first by the requests before its end, the second by those after it.
TEST_CASE(
  "retry_budget_restart/any_kill_while_endpoints_refuse/keeps_the_bound")
{
  for (const double refused : { 0.2, 0.45, 0.8, 1.0 }) {
    for (const double rate : { 5.0, 60.0, 150.0, 400.0 }) {
      SearchKills({ .mPerSecond = rate, .mRefused = refused });
    }
  }
}

TEST_CASE("retry_budget_restart/fleets_of_any_size/keep_the_bound")
{
  for (const int instances : { 1, 2, 3, 8, 30, 84 }) {
    for (const double uneven : { 1.0, 3.0 }) {
      SearchKills({ .mInstances = instances,
                    .mPerSecond = 20.0 + 15.0 * instances,
                    .mRefused = 0.8,
                    .mUnevenness = uneven });
    }
  }
}

TEST_CASE("retry_budget_restart/long_and_short_absence/keeps_the_bound")
{
  for (const double down : { 0.1, 2.0, 5.0 }) {
    SearchKills(
      { .mPerSecond = 150, .mRefused = 0.8, .mDown = FromSeconds(down) });
  }
}

} // namespace
} // namespace thornhollow
