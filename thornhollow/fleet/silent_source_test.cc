#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <random>

#include <doctest/doctest.h>

#include "thornhollow/fleet/testing/leaving_series.h"
#include "thornhollow/fleet/testing/silent_source_fleet.h"

namespace thornhollow {
namespace {

// Time after the start at which all instances know each other.
constexpr duration kSettled = Seconds(15);

// Guards against refused calls, or calls on an outdated route, at every
// instance for 3.2 s after a change was acknowledged. A change that reached all
// instances at once had restarted all watches at the same time. The source then
// stopped answering for two seconds and recovered, and a second change was
// acknowledged. No watch ended before three seconds after the first change, and
// each was abandoned two seconds later: every instance waited for an answer
// that would never come, and none sent a new request. In the logs of the
// instances that received the second change late, the watch of the
// configuration had been open for 6.9 s and had last been answered 6 s before,
// that of the endpoints 0.9 s before, and the change came from a peer.
TEST_CASE("silent_source/silence_after_a_change_that_all_heard/"
          "next_change_is_in_force_in_time")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    silent_source_fleet condition({ .mDomains = 3, .mPerDomain = 2 }, seed);
    condition.Change(kSettled, source_item_type::kConfiguration);
    condition.Silence(kSettled + Milliseconds(50),
                      kSettled + Milliseconds(2'050));
    condition.Change(kSettled + Milliseconds(2'793),
                     source_item_type::kConfiguration);
    condition.Run(kSettled + Seconds(10));
    CHECK(ToSeconds(condition.WorstDelay().mDelay) <=
          ToSeconds(silent_source_fleet::kMaxChangeDelay));
  }
}

// A fleet of a given shape with outages of the source of 0.3 to 30 s, each
// beginning at a random time after a change, and with changes during the outage
// and up to two seconds after it. With `aStopInstances`, one instance stops
// shortly before or during each outage.
struct random_fleet
{
  std::mt19937_64 mRandom;
  silent_source_fleet mFleet;
  duration mAt = kSettled;

  random_fleet(const fleet_shape& aShape,
               std::uint64_t aSeed,
               bool aStopInstances)
    : mRandom(aSeed)
    , mFleet(aShape, aSeed)
  {
    if (mRandom() % 2 == 0) {
      const auto domain = mRandom() % static_cast<unsigned>(aShape.mDomains);
      mFleet.IsolateDomain(static_cast<int>(domain), Between(0, 20));
    }
    const std::uint64_t silences = 1 + mRandom() % 3;
    const int instances = aShape.mDomains * aShape.mPerDomain;
    for (std::uint64_t each = 0; each < silences; ++each) {
      if (aStopInstances) {
        const auto stopped = mRandom() % static_cast<unsigned>(instances);
        mFleet.Stop(static_cast<int>(stopped), mAt + Between(-3, 8));
      }
      AddRandomSilence();
    }
    mFleet.Run(mAt + Seconds(8));
  }

  duration Between(double aMin, double aMax)
  {
    return FromSeconds(
      std::uniform_real_distribution<double>(aMin, aMax)(mRandom));
  }

  void AddRandomSilence()
  {
    mFleet.Change(mAt, source_item_type::kConfiguration);
    if (mRandom() % 2 == 0) {
      mFleet.Change(mAt + Between(0, 2), source_item_type::kEndpoints);
    }
    const duration from = mAt + Between(0, 8);
    const double length = ToSeconds(Between(std::log(0.3), std::log(30)));
    const duration until = from + FromSeconds(std::exp(length));
    mFleet.Silence(from, until);
    // In half of the cases the first change of the series is due at about the
    // end of the outage, and may have to wait until the source answers again.
    mAt = until + (mRandom() % 2 == 0 ? Between(-0.3, 0.1) : Between(0, 2));
    const std::uint64_t changes = 1 + mRandom() % 3;
    for (std::uint64_t each = 0; each < changes; ++each) {
      mFleet.Change(mAt, source_item_type::kConfiguration);
      mAt += Between(0.05, 1);
    }
    mAt = std::max(mAt, until) + Between(0, 6);
  }
};

// Runs a `random_fleet` for each seed. The number of seeds can be overridden by
// THORNHOLLOW_SEARCH_SEEDS.
void
CheckSeeds(const fleet_shape& aShape,
           std::uint64_t aSeeds,
           bool aStopInstances = false)
{
  if (const char* more = std::getenv("THORNHOLLOW_SEARCH_SEEDS")) {
    aSeeds = std::strtoull(more, nullptr, 10);
  }
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    const random_fleet condition(aShape, seed, aStopInstances);
    const change_delay result = condition.mFleet.WorstDelay();
    INFO("seed ", seed, ", acknowledged at ", ToSeconds(result.mAcknowledged));
    CHECK(ToSeconds(result.mDelay) <=
          ToSeconds(silent_source_fleet::kMaxChangeDelay));
  }
}

TEST_CASE("silent_source/three_instances/every_change_is_in_force_in_time")
{
  CheckSeeds({ .mDomains = 3, .mPerDomain = 1 }, 60);
}

TEST_CASE("silent_source/eight_instances/every_change_is_in_force_in_time")
{
  CheckSeeds({ .mDomains = 4, .mPerDomain = 2 }, 60);
}

// Guards against changes that arrive late because the instance whose turn it is
// to ask the source has stopped.
TEST_CASE("silent_source/instances_stop/every_change_is_in_force_in_time")
{
  CheckSeeds({ .mDomains = 3, .mPerDomain = 2 }, 60, true);
}

TEST_CASE("silent_source/source_is_slow/every_change_is_in_force_in_time")
{
  CheckSeeds(
    { .mDomains = 3, .mPerDomain = 2, .mSourceLatency = Milliseconds(200) },
    40);
}

TEST_CASE("silent_source/ninety_instances/every_change_is_in_force_in_time")
{
  CheckSeeds({ .mDomains = 3, .mPerDomain = 30 }, 4);
}

TEST_CASE("silent_source/420_instances/change_after_it_is_in_force_in_time")
{
  silent_source_fleet condition({ .mDomains = 11, .mPerDomain = 38 }, 1);
  condition.Change(Seconds(6), source_item_type::kConfiguration);
  condition.IsolateDomain(4, Seconds(6));
  condition.Silence(Seconds(6) + Milliseconds(500), Seconds(8));
  condition.Change(Seconds(8), source_item_type::kConfiguration);
  condition.Run(Seconds(13));
  CHECK(ToSeconds(condition.WorstDelay().mDelay) <=
        ToSeconds(silent_source_fleet::kMaxChangeDelay));
}

// Guards against sending work to endpoints for seconds after they left, in
// domains with readers, when several endpoints leave while one copy is being
// transferred.
TEST_CASE("silent_source/readers_and_leaving_endpoints/all_know_in_time")
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    silent_source_fleet condition(
      { .mDomains = 3, .mPerDomain = 30, .mReaders = 2, .mLossRate = 0.02 },
      seed);
    ScheduleLeaves(condition, kSettled, seed);
    condition.Run(kSettled + Seconds(10));
    CHECK(condition.Readers().size() == 6);
    CHECK(ToSeconds(condition.WorstLeaveDelay().mDelay) <=
          ToSeconds(silent_source_fleet::kMaxChangeDelay));
  }
}

// Guards against refusing all requests after an outage in which the leases of
// all endpoints lapsed: instances that are not readers must learn of the outage
// from the readers.
TEST_CASE("silent_source/readers_and_lapsed_endpoints/all_count_on")
{
  silent_source_fleet condition(
    { .mDomains = 3, .mPerDomain = 30, .mReaders = 2 }, 1);
  constexpr int kEndpoints = 20;
  const duration back = kSettled + Seconds(6);
  condition.Silence(kSettled, back);
  for (int each = 0; each < kEndpoints; ++each) {
    condition.Join(Seconds(1), each);
    condition.Leave(back, each);
    condition.Join(back + Milliseconds(800 + 40 * each), each);
  }
  for (duration at = kSettled; at < back + Seconds(5); at += Milliseconds(50)) {
    condition.Run(at);
    for (int each = 0; each < 90; ++each) {
      REQUIRE(condition.EndpointsOf(each) == kEndpoints);
    }
  }
}

// Guards against a domain that receives no changes between the failure of its
// readers and their replacement; instances of other domains must report the
// changes to it.
TEST_CASE("silent_source/readers_of_a_domain_stop/next_change_is_in_time")
{
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    CAPTURE(seed);
    silent_source_fleet condition(
      { .mDomains = 5, .mPerDomain = 39, .mReaders = 2, .mLossRate = 0.02 },
      seed);
    condition.Run(kSettled);
    for (const int each : condition.Readers()) {
      if (each < 39) {
        condition.Stop(each, kSettled);
      }
    }
    condition.Change(kSettled + Milliseconds(100),
                     source_item_type::kConfiguration);
    condition.Change(kSettled + Milliseconds(900),
                     source_item_type::kConfiguration);
    condition.Run(kSettled + Seconds(6));
    CHECK(condition.Readers().size() == 10);
    CHECK(ToSeconds(condition.WorstDelay().mDelay) <=
          ToSeconds(silent_source_fleet::kMaxChangeDelay));
  }
}

// Guards against a configuration of hundreds of kilobytes that no instance
// other than the readers receives in time, because all request it from the few
// that hold it and each transfer takes longer than its time-out.
TEST_CASE("silent_source/readers_and_a_large_document/it_is_in_force_in_time")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    silent_source_fleet condition({ .mDomains = 3,
                                    .mPerDomain = 30,
                                    .mReaders = 2,
                                    .mLossRate = 0.02,
                                    .mDocumentBytes = 500'000 },
                                  seed);
    ScheduleLeaves(condition, kSettled, seed);
    condition.Change(kSettled, source_item_type::kConfiguration);
    condition.Change(kSettled + Seconds(3), source_item_type::kConfiguration);
    condition.Run(kSettled + Seconds(10));
    CHECK(ToSeconds(condition.WorstDelay().mDelay) <=
          ToSeconds(silent_source_fleet::kMaxChangeDelay));
    CHECK(ToSeconds(condition.WorstLeaveDelay().mDelay) <=
          ToSeconds(silent_source_fleet::kMaxChangeDelay));
  }
}

TEST_CASE("silent_source/readers/every_change_is_in_force_in_time")
{
  CheckSeeds(
    { .mDomains = 3, .mPerDomain = 30, .mReaders = 2, .mLossRate = 0.02 }, 4);
}

TEST_CASE("silent_source/readers_that_stop/every_change_is_in_force_in_time")
{
  CheckSeeds(
    { .mDomains = 3, .mPerDomain = 30, .mReaders = 2, .mLossRate = 0.02 },
    4,
    true);
}

} // namespace
} // namespace thornhollow
