#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/testing/silent_source_fleet.h"

namespace thornhollow {
namespace {

// Time after the start at which all instances know each other.
constexpr duration kSettled = Seconds(15);

// A fleet in which all readers of one domain stop at about the time of a
// configuration change, for good or suspended for seconds. Further changes
// precede and follow it.
struct fleet_without_readers
{
  std::mt19937_64 mRandom;
  silent_source_fleet mFleet;

  fleet_without_readers(const fleet_shape& aShape, std::uint64_t aSeed)
    : mRandom(aSeed)
    , mFleet(aShape, aSeed)
  {
    const duration change = kSettled + Between(0, 2);
    mFleet.Run(kSettled - Seconds(2));
    StopReaders(aShape, change);
    mFleet.Change(change, source_item_type::kConfiguration);
    for (std::uint64_t each = mRandom() % 3; each > 0; --each) {
      mFleet.Change(change + Between(-1, 3), source_item_type::kEndpoints);
    }
    for (std::uint64_t each = mRandom() % 3; each > 0; --each) {
      mFleet.Change(change + Between(0, 3), source_item_type::kConfiguration);
    }
    mFleet.Run(change + Seconds(7));
  }

  duration Between(double aMin, double aMax)
  {
    return FromSeconds(
      std::uniform_real_distribution<double>(aMin, aMax)(mRandom));
  }

  // In half of the cases the readers stop within 150 ms of the change, while it
  // is read, announced and copied.
  void StopReaders(const fleet_shape& aShape, duration aChange)
  {
    const auto domain =
      static_cast<int>(mRandom() % static_cast<unsigned>(aShape.mDomains));
    const bool suspended = mRandom() % 2 == 0;
    const double spread = mRandom() % 2 == 0 ? 0.15 : 2;
    const duration at = aChange + Between(-spread, spread / 2);
    const bool together = mRandom() % 2 == 0;
    std::vector<int> readers = mFleet.Readers();
    std::erase_if(
      readers, [&](int aEach) { return aEach / aShape.mPerDomain != domain; });
    // In a small domain all instances read; some stay in touch.
    readers.resize(std::min(readers.size(), aShape.mReaders));
    for (const int each : readers) {
      const duration from = together ? at : at + Between(0, 0.3);
      if (suspended) {
        mFleet.Freeze(each, from, from + Between(1, 5));
      } else {
        mFleet.Stop(each, from);
      }
    }
  }
};

// Runs a `fleet_without_readers` for each seed. The number of seeds can be
// overridden by THORNHOLLOW_SEARCH_SEEDS.
void
CheckSeeds(const fleet_shape& aShape, std::uint64_t aSeeds)
{
  if (const char* more = std::getenv("THORNHOLLOW_SEARCH_SEEDS")) {
    aSeeds = std::strtoull(more, nullptr, 10);
  }
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    const fleet_without_readers condition(aShape, seed);
    const change_delay result = condition.mFleet.WorstDelay();
    INFO("seed ", seed, ", acknowledged at ", ToSeconds(result.mAcknowledged));
    CHECK(ToSeconds(result.mDelay) <=
          ToSeconds(silent_source_fleet::kMaxChangeDelay));
  }
}

// These guard against an outdated configuration for 2.5 to 3 s in a domain
// whose readers all stopped before they passed a change on.
TEST_CASE("silent_readers/three_instances/changes_are_in_force_in_time")
{
  CheckSeeds({ .mDomains = 1, .mPerDomain = 3, .mReaders = 2 }, 60);
}

TEST_CASE("silent_readers/seven_instances/changes_are_in_force_in_time")
{
  CheckSeeds({ .mDomains = 1, .mPerDomain = 7, .mReaders = 2 }, 100);
}

TEST_CASE("silent_readers/one_domain_of_twenty/changes_are_in_force_in_time")
{
  CheckSeeds(
    { .mDomains = 1, .mPerDomain = 20, .mReaders = 2, .mLossRate = 0.02 }, 100);
}

TEST_CASE("silent_readers/slow_source/changes_are_in_force_in_time")
{
  CheckSeeds({ .mDomains = 1,
               .mPerDomain = 20,
               .mSourceLatency = Milliseconds(200),
               .mReaders = 2,
               .mLossRate = 0.02,
               .mCopyLatency = Milliseconds(150) },
             40);
}

TEST_CASE("silent_readers/two_domains/changes_are_in_force_in_time")
{
  CheckSeeds(
    { .mDomains = 2, .mPerDomain = 20, .mReaders = 2, .mLossRate = 0.02 }, 20);
}

TEST_CASE("silent_readers/420_instances/changes_are_in_force_in_time")
{
  CheckSeeds(
    { .mDomains = 11, .mPerDomain = 38, .mReaders = 2, .mLossRate = 0.02 }, 1);
}

// Guards against a burst of calls to the source when all instances of a domain
// miss its readers at the same time.
TEST_CASE("silent_readers/all_miss_them/two_take_over")
{
  for (const int perDomain : { 20, 38, 200 }) {
    CAPTURE(perDomain);
    silent_source_fleet condition({ .mDomains = 1,
                                    .mPerDomain = perDomain,
                                    .mReaders = 2,
                                    .mLossRate = 0.02 },
                                  1);
    condition.Run(kSettled);
    for (const int each : condition.Readers()) {
      condition.Stop(each, kSettled);
    }
    condition.Run(kSettled + Seconds(6));
    CHECK(condition.Readers().size() == 2);
    CHECK(condition.MostNewReadersInASecond(kSettled) <= 2);
  }
}

// Guards against instances that read the source because of lost hellos while
// the readers are there.
TEST_CASE("silent_readers/quiet_and_hellos_lost/calls_are_few")
{
  silent_source_fleet condition(
    { .mDomains = 1, .mPerDomain = 38, .mReaders = 2, .mLossRate = 0.02 }, 1);
  condition.Run(kSettled);
  const std::size_t before = condition.Calls();
  condition.Run(kSettled + Seconds(120));
  CHECK(condition.MostNewReadersInASecond(kSettled) <= 1);
  CHECK(condition.Readers().size() == 2);
  // Two readers with two watches, each of which ends every two seconds.
  CHECK(condition.Calls() - before <= 244);
}

} // namespace
} // namespace thornhollow
