#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/streams/testing/stream_fleet.h"

namespace thornhollow {
namespace {

using testing::stream_fleet;
using testing::stream_fleet_counts;
using testing::stream_fleet_settings;

constexpr const char* kOld = "v1";
constexpr const char* kNew = "v2";
constexpr int kEndpointsEach = 6;
// Of the streams that are taken up while two endpoints of their version serve.
constexpr double kGoOn = 0.95;
constexpr double kGoOnWithKills = 0.8;
constexpr std::size_t kManyStreams = 10'000;
// From then on all know that one version has served for longer than any stream.
constexpr duration kVersionsAreKnown = Seconds(20);

// Sizes of fleets, and how many streams a second they serve.
struct fleet_size
{
  std::size_t mInstances;
  std::size_t mDomains;
  double mStreamsPerSecond;
};

constexpr fleet_size kSizes[] = { { 3, 3, 100 },
                                  { 8, 3, 200 },
                                  { 30, 3, 400 },
                                  { 420, 11, 3'100 } };

stream_fleet_settings
Settings(const fleet_size& aSize)
{
  stream_fleet_settings settings;
  settings.mInstances = aSize.mInstances;
  settings.mDomains = aSize.mDomains;
  settings.mStreamsPerSecond = aSize.mStreamsPerSecond;
  settings.mLongestStream = Seconds(5);
  return settings;
}

std::string
Endpoint(const char* aVersion, int aNumber)
{
  return std::string(aVersion) + "-" + std::to_string(aNumber);
}

void
StartAll(stream_fleet& aFleet, const char* aVersion)
{
  for (int each = 0; each < kEndpointsEach; ++each) {
    aFleet.Start(Endpoint(aVersion, each), aVersion);
  }
}

// Replaces the endpoints of one version by those of another, one after the
// other.
void
RollOut(stream_fleet& aFleet,
        const char* aFrom,
        const char* aTo,
        duration aBetween)
{
  for (int each = 0; each < kEndpointsEach; ++each) {
    aFleet.After(aBetween * each, [&aFleet, aTo, each] {
      aFleet.Start(Endpoint(aTo, each), aTo);
    });
    aFleet.After(aBetween * each + aBetween / 2, [&aFleet, aFrom, each] {
      aFleet.Stop(Endpoint(aFrom, each));
    });
  }
}

// One instance after the other is killed and starts again.
void
KillInTurn(stream_fleet& aFleet,
           std::size_t aInstances,
           duration aBetween,
           duration aFor)
{
  for (duration at = aBetween; at < aFor; at += aBetween) {
    aFleet.After(at, [&aFleet, aInstances] {
      const std::size_t killed = aFleet.Random()() % aInstances;
      if (aFleet.Alive() < aInstances) {
        return;
      }
      aFleet.Kill(killed);
      aFleet.After(Milliseconds(500),
                   [&aFleet, killed] { aFleet.StartAgain(killed); });
    });
  }
}

duration
RunFor(const fleet_size& aSize, std::size_t aStreams)
{
  return FromSeconds(static_cast<double>(aStreams) / aSize.mStreamsPerSecond);
}

void
CheckGoOn(const stream_fleet_counts& aCounts, double aShare)
{
  CAPTURE(aCounts.mBegun);
  CAPTURE(aCounts.mTakenUp);
  CAPTURE(aCounts.mGoneOn);
  CAPTURE(aCounts.mLost);
  std::string grounds;
  for (const auto& [ground, count] : aCounts.mGrounds) {
    grounds += ground + ": " + std::to_string(count) + "; ";
  }
  CAPTURE(grounds);
  CHECK(aCounts.mMixed == 0);
  CHECK(aCounts.mTakenUp > aCounts.mBegun / 20);
  CHECK(static_cast<double>(aCounts.mGoneOn) >=
        aShare * static_cast<double>(aCounts.mGoneOn + aCounts.mLost));
}

// Streams went on at whichever version the next endpoint had.
TEST_CASE("stream_versions/two_versions_side_by_side/streams_keep_theirs")
{
  for (const fleet_size& size : kSizes) {
    CAPTURE(size.mInstances);
    stream_fleet fleet(Settings(size), 1);
    StartAll(fleet, kOld);
    StartAll(fleet, kNew);
    fleet.Run(Seconds(5));
    fleet.RunStreams(RunFor(size, kManyStreams));
    CheckGoOn(fleet.Counts(), kGoOn);
  }
}

TEST_CASE("stream_versions/rollout/streams_keep_their_version")
{
  for (const fleet_size& size : kSizes) {
    CAPTURE(size.mInstances);
    stream_fleet fleet(Settings(size), 2);
    StartAll(fleet, kOld);
    fleet.Run(kVersionsAreKnown);
    const duration lasts = RunFor(size, kManyStreams);
    fleet.After(lasts / 8, [&fleet, lasts] {
      RollOut(fleet, kOld, kNew, lasts / (2 * kEndpointsEach));
    });
    fleet.RunStreams(lasts);
    CheckGoOn(fleet.Counts(), kGoOn);
  }
}

TEST_CASE("stream_versions/instances_killed_in_turn/streams_keep_their_version")
{
  for (const fleet_size& size : kSizes) {
    CAPTURE(size.mInstances);
    stream_fleet fleet(Settings(size), 3);
    StartAll(fleet, kOld);
    StartAll(fleet, kNew);
    fleet.Run(Seconds(5));
    const duration lasts = RunFor(size, kManyStreams);
    KillInTurn(fleet, size.mInstances, Seconds(3), lasts);
    fleet.RunStreams(lasts);
    CheckGoOn(fleet.Counts(), kGoOnWithKills);
  }
}

TEST_CASE("stream_versions/rollout_and_kills/streams_keep_their_version")
{
  for (const fleet_size& size : kSizes) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      CAPTURE(size.mInstances);
      CAPTURE(seed);
      stream_fleet fleet(Settings(size), seed);
      StartAll(fleet, kOld);
      fleet.Run(kVersionsAreKnown);
      const duration lasts = RunFor(size, kManyStreams);
      KillInTurn(fleet, size.mInstances, Seconds(3), lasts);
      RollOut(fleet, kOld, kNew, lasts / (2 * kEndpointsEach));
      fleet.RunStreams(lasts);
      CheckGoOn(fleet.Counts(), kGoOnWithKills);
    }
  }
}

TEST_CASE("stream_versions/beginner_cut_off_from_others/streams_keep_theirs")
{
  for (const fleet_size& size : kSizes) {
    CAPTURE(size.mInstances);
    stream_fleet fleet(Settings(size), 4);
    StartAll(fleet, kOld);
    fleet.Run(kVersionsAreKnown);
    fleet.CutOff(0);
    StartAll(fleet, kNew);
    fleet.RunStreams(RunFor(size, kManyStreams / 4));
    fleet.Heal(0);
    fleet.RunStreams(RunFor(size, kManyStreams / 4));
    CHECK(fleet.Counts().mMixed == 0);
  }
}

// Endpoints start again under their names as the other version, one after the
// other, and their entries come late.
TEST_CASE("stream_versions/restarts_with_late_entries/streams_keep_theirs")
{
  constexpr int kRestarts = 2 * kEndpointsEach;
  // Restarts are seconds apart in each fleet.
  constexpr double kMaxStreamsPerSecond = 400;
  for (const fleet_size& size : kSizes) {
    CAPTURE(size.mInstances);
    stream_fleet_settings settings = Settings(size);
    settings.mAsksProcesses = true;
    settings.mStreamsPerSecond =
      std::min(settings.mStreamsPerSecond, kMaxStreamsPerSecond);
    stream_fleet fleet(settings, 9);
    StartAll(fleet, kOld);
    StartAll(fleet, kNew);
    fleet.Run(Seconds(5));
    const duration lasts =
      FromSeconds(kManyStreams / settings.mStreamsPerSecond);
    const duration between = lasts / kRestarts;
    for (int each = 0; each < kRestarts; ++each) {
      const bool wasOld = each < kEndpointsEach;
      const std::string name =
        Endpoint(wasOld ? kOld : kNew, each % kEndpointsEach);
      fleet.After(between * each, [&fleet, name, wasOld, between] {
        fleet.Start(name, wasOld ? kNew : kOld, between / 4);
      });
    }
    fleet.RunStreams(lasts);
    CheckGoOn(fleet.Counts(), kGoOn);
  }
}

// Callers that name no submission can't be looked up.
TEST_CASE("stream_versions/unnamed/go_on_only_while_one_version_is_known")
{
  stream_fleet_settings settings = Settings(kSizes[1]);
  settings.mNamed = false;
  stream_fleet fleet(settings, 6);
  StartAll(fleet, kOld);
  fleet.Run(kVersionsAreKnown);
  fleet.RunStreams(Seconds(10));
  CheckGoOn(fleet.Counts(), kGoOn);
  fleet.ResetCounts();
  StartAll(fleet, kNew);
  fleet.Run(Seconds(1));
  fleet.ResetCounts();
  fleet.RunStreams(Seconds(10));
  CHECK(fleet.Counts().mMixed == 0);
  CHECK(fleet.Counts().mGoneOn == 0);
}

// While one version serves, nothing has to be told.
TEST_CASE("stream_versions/one_version_for_long/no_messages_but_questions")
{
  for (const fleet_size& size : kSizes) {
    CAPTURE(size.mInstances);
    stream_fleet_settings settings = Settings(size);
    settings.mBreakRate = 0;
    stream_fleet fleet(settings, 7);
    StartAll(fleet, kOld);
    fleet.Run(kVersionsAreKnown);
    fleet.ResetCounts();
    fleet.RunStreams(RunFor(size, kManyStreams / 4));
    CHECK(fleet.Counts().mMessages == 0);
  }
}

TEST_CASE("stream_versions/two_versions/messages_and_memory_are_bounded")
{
  // Holders stand in three domains, and in the own one.
  constexpr double kMaxCopies = 4;
  for (const fleet_size& size : kSizes) {
    CAPTURE(size.mInstances);
    stream_fleet_settings settings = Settings(size);
    settings.mBreakRate = 0;
    stream_fleet fleet(settings, 8);
    StartAll(fleet, kOld);
    StartAll(fleet, kNew);
    fleet.Run(Seconds(5));
    fleet.ResetCounts();
    const duration lasts = RunFor(size, kManyStreams / 4);
    fleet.RunStreams(lasts);
    const auto begun = static_cast<double>(fleet.Counts().mBegun);
    CHECK(static_cast<double>(fleet.Counts().mMessages) <= kMaxCopies * begun);
    CHECK(static_cast<double>(fleet.Counts().mTold) <= kMaxCopies * begun);
    const double each =
      2 * begun * (kMaxCopies + 1) / static_cast<double>(size.mInstances);
    fleet.RunStreams(lasts);
    CHECK(static_cast<double>(fleet.Held(0)) <= 1.5 * each);
    fleet.Run(Seconds(30));
    CHECK(fleet.Held(0) == 0);
  }
}

} // namespace
} // namespace thornhollow
