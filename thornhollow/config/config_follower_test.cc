#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/config/config_follower.h"
#include "thornhollow/config/internal/follower_simulation.h"
#include "thornhollow/config/internal/sample_declarations.h"
#include "thornhollow/config/sha256.h"

namespace thornhollow {
namespace {

using internal::follower_simulation;

// Three domains of four instances, as a deployment of today, with version 1 in
// force everywhere.
struct config_follower_fixture
{
  // The bound within which an accepted configuration has to be in force.
  static constexpr duration kBound = Seconds(3);

  follower_simulation mFleet{ 20261202 };

  config_follower_fixture()
  {
    mFleet.Publish(1, Sample(1));
    for (const char* domain : { "hall-a", "hall-b", "hall-c" }) {
      mFleet.AddDomain(domain, 4);
    }
    REQUIRE(mFleet.RunUntilInForce(1, Seconds(10)));
  }

  // Configurations that differ in one team's weight.
  static bundle Sample(int aWeight)
  {
    const auto verdict = ReadDeclarations(std::vector<source_file>{
      { "a",
        internal::SampleWithoutTeams() + internal::SampleTeams(3) +
          "    weight: " + std::to_string(aWeight) + "\n" } });
    return MakeBundle(std::get<declarations>(verdict));
  }

  // One that every instance refuses: its parts are whole, but a class names a
  // level that is nowhere declared.
  static bundle Refused(int aWeight)
  {
    const auto verdict = ReadDeclarations(std::vector<source_file>{
      { "a",
        internal::SampleWithoutTeams() + internal::SampleTeams(3) +
          "    weight: " + std::to_string(aWeight) + "\n" } });
    declarations declared = std::get<declarations>(verdict);
    declared.mClasses[0].mLevel = level_name("missing");
    return MakeBundle(declared);
  }

  std::uint64_t Version(std::size_t aInstance) const
  {
    const auto& inForce = mFleet.State(aInstance).mInForce;
    return inForce ? inForce->mVersion : 0;
  }
  double Weight(std::size_t aInstance) const
  {
    return FindTeam(*mFleet.State(aInstance).mDeclared, team_name("team-2"))
      ->mWeight;
  }
};

TEST_CASE_FIXTURE(config_follower_fixture, "publish/all well/in force in bound")
{
  for (std::uint64_t version = 2; version < 12; ++version) {
    mFleet.Publish(version, Sample(static_cast<int>(version)));
    REQUIRE(mFleet.RunUntilInForce(version, kBound));
    CHECK(Weight(5) == static_cast<double>(version));
  }
  CHECK_FALSE(mFleet.AnyReverted());
}

// An operator publishes something that is refused. Every instance says why and
// goes on with what it had; the corrected one is in force in time.
TEST_CASE_FIXTURE(config_follower_fixture, "publish/refused/old one stays")
{
  mFleet.Publish(2, Refused(2));
  mFleet.RunFor(kBound);
  CHECK(mFleet.AllInForce(1));
  for (std::size_t each = 0; each < mFleet.size(); ++each) {
    const auto& refused = mFleet.Follower(each).Refused();
    REQUIRE(refused.has_value());
    CHECK(refused->mRevision.mVersion == 2);
    CHECK(refused->mFaults.front().mField == "classes[0].level");
  }
  mFleet.Publish(3, Sample(3));
  CHECK(mFleet.RunUntilInForce(3, kBound));
  CHECK_FALSE(mFleet.Follower(0).Refused().has_value());
}

// A replica of the platform lags: it shows version 1 again after version 2 was
// in force. An instance that followed it would take back what was promised.
TEST_CASE_FIXTURE(config_follower_fixture, "platform/older version/never back")
{
  mFleet.Publish(2, Sample(2));
  REQUIRE(mFleet.RunUntilInForce(2, kBound));
  mFleet.mPlatform.mStaleAt = 1;
  mFleet.RunFor(Seconds(60));
  CHECK(mFleet.AllInForce(2));
  std::uint64_t counted = 0;
  for (std::size_t each = 0; each < mFleet.size(); ++each) {
    counted += mFleet.Follower(each).Counts().mLowerVersions;
  }
  CHECK(counted > 0);

  // All are replaced one after another while it still lags.
  for (std::size_t each = 0; each < mFleet.size(); ++each) {
    mFleet.Restart(each);
    mFleet.RunFor(Seconds(2));
    CHECK(mFleet.Follower(each).Ready());
  }
  CHECK(mFleet.AllInForce(2));
  CHECK_FALSE(mFleet.AnyReverted());
}

// An instance is replaced while the platform is down. Without the peers' bundle
// it would never get ready, though all around it serve.
TEST_CASE_FIXTURE(config_follower_fixture, "start/platform down/peers' bundle")
{
  mFleet.mPlatform.mDown = true;
  mFleet.RunFor(Seconds(600));
  CHECK(mFleet.AllInForce(1));
  mFleet.Restart(0);
  CHECK_FALSE(mFleet.Follower(0).Ready());
  mFleet.RunFor(kBound);
  CHECK(mFleet.Follower(0).Ready());
  mFleet.mPlatform.mDown = false;
  mFleet.Publish(2, Sample(2));
  CHECK(mFleet.RunUntilInForce(2, kBound));
}

TEST_CASE_FIXTURE(config_follower_fixture, "platform/silent/found in bound")
{
  mFleet.mPlatform.mSilent = true;
  mFleet.RunFor(Seconds(20));
  mFleet.mPlatform.mSilent = false;
  mFleet.Publish(2, Sample(2));
  CHECK(mFleet.RunUntilInForce(2, kBound));
}

// An instance kept the old configuration for seconds after a new one had been
// published. The platform had been silent for a moment: the watches that waited
// there were never answered, nor were calls made in that moment, and the new
// one came at its end. A domain that is cut off from the others has two readers
// of its own, and nobody else to hear it from.
struct silent_for_a_moment
{
  std::mt19937_64 mRandom;
  follower_simulation mFleet;

  explicit silent_for_a_moment(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mFleet(aSeed)
  {
    mFleet.Publish(1, config_follower_fixture::Sample(1));
    for (const char* domain : { "hall-a", "hall-b", "hall-c" }) {
      mFleet.AddDomain(domain, 4);
    }
    for (const char* other : { "hall-b", "hall-c" }) {
      mFleet.mCutDomains.insert({ "hall-a", other });
      mFleet.mCutDomains.insert({ other, "hall-a" });
    }
    mFleet.RunFor(Seconds(12) + Between(0, 4));
  }

  duration Between(double aLeast, double aMost)
  {
    return FromSeconds(
      std::uniform_real_distribution<double>(aLeast, aMost)(mRandom));
  }

  // Whether what is published at the silence's end is in force in time.
  bool Result()
  {
    const double length = ToSeconds(Between(std::log(0.3), std::log(30)));
    mFleet.FallSilent();
    mFleet.RunFor(FromSeconds(std::exp(length)));
    mFleet.mPlatform.mSilent = false;
    mFleet.RunFor(Between(0, 0.3));
    mFleet.Publish(2, config_follower_fixture::Sample(2));
    return mFleet.RunUntilInForce(2, config_follower_fixture::kBound)
      .has_value();
  }
};

TEST_CASE("platform/silent for a moment/found in bound")
{
  // Those in which one member was told last, and the first ones.
  std::vector<std::uint64_t> seeds = { 555,  1737, 1795, 2077,
                                       2120, 2141, 2829, 2831 };
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    seeds.push_back(seed);
  }
  for (const std::uint64_t seed : seeds) {
    CAPTURE(seed);
    CHECK(silent_for_a_moment(seed).Result());
  }
}

TEST_CASE_FIXTURE(config_follower_fixture, "platform/slow/in force in bound")
{
  mFleet.mPlatform.mDelay = Milliseconds(400);
  mFleet.RunFor(Seconds(5));
  mFleet.Publish(2, Sample(2));
  CHECK(mFleet.RunUntilInForce(2, kBound));
}

// The manifest is there before its parts. Nothing of it may be in force, and
// nothing is lost when the parts follow.
TEST_CASE_FIXTURE(config_follower_fixture,
                  "manifest/parts missing/whole or not")
{
  mFleet.Publish(2, Sample(2), false);
  mFleet.RunFor(Seconds(20));
  CHECK(mFleet.AllInForce(1));
  mFleet.Restart(3);
  mFleet.RunFor(kBound);
  CHECK(Version(3) == 1);
  mFleet.PublishParts(Sample(2));
  CHECK(mFleet.RunUntilInForce(2, kBound));
}

// Two operators publish at the same time, from different files. Whoever comes
// second wins whole, on every instance.
TEST_CASE_FIXTURE(config_follower_fixture, "operators/two at once/later whole")
{
  mFleet.Publish(2, Sample(22));
  mFleet.RunFor(Milliseconds(4));
  mFleet.Publish(3, Sample(33));
  REQUIRE(mFleet.RunUntilInForce(3, kBound));
  for (std::size_t each = 0; each < mFleet.size(); ++each) {
    CHECK(Weight(each) == 33);
  }
}

// A domain is cut off from the platform, not from its peers: it hears of the
// change from them. Cut off from both it goes on with what it has, and follows
// after healing.
TEST_CASE_FIXTURE(config_follower_fixture, "domain/cut off, heals/follows")
{
  mFleet.mCutFromPlatform.insert("hall-c");
  mFleet.RunFor(Seconds(5));
  mFleet.Publish(2, Sample(2));
  CHECK(mFleet.RunUntilInForce(2, kBound));

  for (const char* other : { "hall-a", "hall-b" }) {
    mFleet.mCutDomains.insert({ other, "hall-c" });
    mFleet.mCutDomains.insert({ "hall-c", other });
  }
  mFleet.Publish(3, Sample(3));
  mFleet.RunFor(Seconds(120));
  CHECK(Version(0) == 3);
  CHECK(Version(11) == 2);
  mFleet.Restart(11);
  mFleet.RunFor(kBound);
  CHECK(Version(11) == 2);
  mFleet.mCutDomains.clear();
  CHECK(mFleet.RunUntilInForce(3, kBound));
  CHECK_FALSE(mFleet.AnyReverted());
}

// Both readers of a domain are paused across a change: the others of the domain
// hear of it from outside, and the paused ones catch up when they wake.
TEST_CASE_FIXTURE(config_follower_fixture,
                  "readers/paused/others and they follow")
{
  std::vector<std::size_t> readers;
  for (std::size_t each = 0; each < 4; ++each) {
    if (mFleet.Follower(each).IsReader()) {
      readers.push_back(each);
      mFleet.Pause(each, Seconds(30));
    }
  }
  REQUIRE(readers.size() == 2);
  mFleet.Publish(2, Sample(2));
  mFleet.RunFor(kBound);
  for (std::size_t each = 0; each < mFleet.size(); ++each) {
    const bool paused = std::ranges::find(readers, each) != readers.end();
    CHECK(Version(each) == (paused ? 1 : 2));
  }
  mFleet.RunFor(Seconds(27));
  CHECK(mFleet.RunUntilInForce(2, kBound));
}

// A paused instance skips an accepted revision and wakes to a later one, which
// is refused. Its peers have the skipped one in force; so must it.
TEST_CASE_FIXTURE(config_follower_fixture,
                  "skipped/later refused/same as peers")
{
  mFleet.Pause(1, Seconds(20));
  mFleet.Publish(2, Sample(2));
  mFleet.RunFor(Seconds(5));
  mFleet.Publish(3, Refused(3));
  mFleet.RunFor(Seconds(20));
  CHECK(mFleet.AllInForce(2));
  mFleet.Restart(2);
  mFleet.RunFor(kBound);
  CHECK(mFleet.AllInForce(2));
}

// One follower, driven event by event.
struct lone_follower_fixture
{
  bundle mFirst = config_follower_fixture::Sample(1);
  bundle mSecond = config_follower_fixture::Sample(2);
  instance_name mPeer{ "hall-1" };
  time_point mNow{ Seconds(100) };
  config_follower mFollower{ {},
                             instance_name("hall-0"),
                             domain_name("hall"),
                             1 };

  static revision Name(std::uint64_t aVersion, const bundle& aBundle)
  {
    return { aVersion, Sha256Hex(aBundle.mManifest) };
  }
  static config_word Word(const revision& aInForce)
  {
    return { aInForce, aInForce, duration::zero() };
  }

  template<class action>
  static std::vector<action> Of(const follower_actions& aActions)
  {
    std::vector<action> found;
    for (const follower_action& each : aActions) {
      if (const auto* one = std::get_if<action>(&each)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  // Answers fetches from `aBundle` and accepts it, until nothing is asked.
  void Serve(follower_actions aActions, const bundle& aBundle)
  {
    while (!aActions.empty()) {
      follower_actions next;
      for (const auto& fetch : Of<fetch_bytes>(aActions)) {
        std::optional<std::string> bytes;
        for (const bundle_part& part : aBundle.mParts) {
          if (part.mDigest == fetch.mDigest) {
            bytes = part.mText;
          }
        }
        Append(next, mFollower.OnFetched(fetch.mCall, bytes, mNow));
      }
      for (const auto& judge : Of<judge_bundle>(aActions)) {
        Append(next, mFollower.OnVerdict(judge.mRevision, {}, mNow));
      }
      mNow += Milliseconds(20);
      Append(next, mFollower.Advance(mNow));
      aActions = std::move(next);
    }
  }
  // The peer's gossip says that it has `aInForce`, and so does its answer.
  follower_actions Hear(const revision& aInForce)
  {
    follower_actions all =
      mFollower.OnHint(mPeer, { aInForce.mVersion, {} }, mNow);
    for (const auto& ask : Of<ask_peer>(all)) {
      Append(all, mFollower.OnPeerAnswered(ask.mCall, Word(aInForce), mNow));
    }
    return all;
  }
  static void Append(follower_actions& aTo, follower_actions aMore)
  {
    aTo.insert(aTo.end(), aMore.begin(), aMore.end());
  }
};

// An instance starts. A peer has version 2 in force and is gone before it gave
// its bytes; the platform's replica shows version 1. Taking that would serve
// callers of this one instance by what was replaced.
TEST_CASE_FIXTURE(lone_follower_fixture, "start/peer ahead, gone/waits for it")
{
  const std::vector peers{ mPeer };
  const auto begun = mFollower.Start(peers, mNow);
  const auto asked = Of<ask_peer>(begun);
  const auto read = Of<read_manifest>(begun);
  REQUIRE(asked.size() == 1);
  REQUIRE(read.size() == 1);
  const revision second = Name(2, mSecond);
  mFollower.OnPeerAnswered(asked[0].mCall, Word(second), mNow);
  const manifest_text stale{ 1, mFirst.mManifest };
  Serve(mFollower.OnManifestRead(read[0].mCall, stale, mNow), mFirst);
  CHECK_FALSE(mFollower.Ready());

  for (int each = 0; each < 100 && !mFollower.Ready(); ++each) {
    mNow += Milliseconds(100);
    for (const auto& next : Of<read_manifest>(mFollower.Advance(mNow))) {
      const manifest_text good{ 2, mSecond.mManifest };
      Serve(mFollower.OnManifestRead(next.mCall, good, mNow), mSecond);
    }
  }
  CHECK(mFollower.InForce() == second);
}

// Membership may gossip before the follower has begun.
TEST_CASE_FIXTURE(lone_follower_fixture, "hint/before the start/nothing held")
{
  CHECK(mFollower.Hint(mNow) == config_hint{ 0, std::nullopt });
  CHECK(mFollower.OnHint(mPeer, { 7, Seconds(1) }, mNow).empty());
}

TEST_CASE_FIXTURE(lone_follower_fixture, "lower/from anyone/nothing fetched")
{
  const auto read = Of<read_manifest>(mFollower.Start({}, mNow));
  const manifest_text good{ 2, mSecond.mManifest };
  Serve(mFollower.OnManifestRead(read.at(0).mCall, good, mNow), mSecond);
  REQUIRE(mFollower.Ready());
  const auto heard = Hear(Name(1, mFirst));
  CHECK(Of<fetch_bytes>(heard).empty());

  mNow += Seconds(2);
  auto due = mFollower.Advance(mNow);
  mNow += Seconds(2);
  Append(due, mFollower.Advance(mNow));
  const auto again = Of<read_manifest>(due);
  REQUIRE_FALSE(again.empty());
  const manifest_text stale{ 1, mFirst.mManifest };
  const auto after = mFollower.OnManifestRead(again.back().mCall, stale, mNow);
  CHECK(Of<fetch_bytes>(after).empty());
  CHECK(Of<judge_bundle>(after).empty());
  CHECK(Of<report_lower>(after).size() == 1);
  CHECK(mFollower.InForce() == Name(2, mSecond));
}

// A peer's disk or link changes a byte. What was asked for by digest is taken
// only with that digest; the next source is asked instead.
TEST_CASE_FIXTURE(lone_follower_fixture, "bytes/not those asked for/not taken")
{
  mFollower.Start({}, mNow);
  const auto heard = Hear(Name(2, mSecond));
  const auto fetch = Of<fetch_bytes>(heard);
  REQUIRE(fetch.size() == 1);
  CHECK(fetch[0].mPeer == mPeer);
  mFollower.OnFetched(fetch[0].mCall, mFirst.mManifest, mNow);
  CHECK(mFollower.Counts().mWrongBytes == 1);
  CHECK(mFollower.Held(fetch[0].mDigest) == nullptr);
}

// Everything at once, from a seed: publishing, refused or not, with or without
// parts, restarts, pauses, cuts, a platform that is down, silent, stale or
// slow. Nothing may go back at any time; after all is mended every instance has
// the last accepted revision.
struct random_faults_fixture : config_follower_fixture
{
  std::mt19937_64 mRandom;
  std::uint64_t mVersion = 1;

  std::uint64_t Below(std::uint64_t aBound) { return mRandom() % aBound; }
  std::int64_t Count(std::uint64_t aBound)
  {
    return static_cast<std::int64_t>(Below(aBound));
  }

  void OneThing()
  {
    static const std::array<std::string, 3> kDomains{ "hall-a",
                                                      "hall-b",
                                                      "hall-c" };
    auto& platform = mFleet.mPlatform;
    const std::string& domain = kDomains.at(Below(3));
    const std::string& other = kDomains.at(Below(3));
    switch (Below(10)) {
      case 0:
      case 1: {
        ++mVersion;
        const auto weight = static_cast<int>(mVersion);
        const bool refused = Below(3) == 0;
        const bundle made = refused ? Refused(weight) : Sample(weight);
        mFleet.Publish(mVersion, made, Below(4) != 0);
        break;
      }
      case 2:
        mFleet.Restart(Below(mFleet.size()));
        break;
      case 3:
        mFleet.Pause(Below(mFleet.size()), Seconds(1 + Count(20)));
        break;
      case 4:
        platform.mDown = !platform.mDown;
        break;
      case 5:
        platform.mSilent = !platform.mSilent;
        break;
      case 6:
        platform.mStaleAt.reset();
        if (Below(2) == 0) {
          platform.mStaleAt = 1 + Below(mVersion);
        }
        break;
      case 7:
        platform.mDelay = Milliseconds(1 + Count(800));
        break;
      case 8:
        mFleet.mCutFromPlatform.insert(domain);
        break;
      default:
        mFleet.mCutDomains.insert({ domain, other });
        mFleet.mCutDomains.insert({ other, domain });
    }
  }

  void Mend()
  {
    mFleet.mPlatform.mDown = false;
    mFleet.mPlatform.mSilent = false;
    mFleet.mPlatform.mStaleAt.reset();
    mFleet.mPlatform.mDelay = Milliseconds(3);
    mFleet.mCutFromPlatform.clear();
    mFleet.mCutDomains.clear();
    // The longest pause and the longest time limit are over.
    mFleet.RunFor(Seconds(25));
  }
};

TEST_CASE_FIXTURE(random_faults_fixture,
                  "faults/seeded sequences/none goes back")
{
  // One fleet lives through all sequences, each from its own seed.
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    mRandom.seed(seed);
    for (int step = 0; step < 30; ++step) {
      OneThing();
      mFleet.RunFor(Milliseconds(Count(3000)));
      REQUIRE_FALSE(mFleet.AnyReverted());
    }
    Mend();
    ++mVersion;
    mFleet.Publish(mVersion, Sample(static_cast<int>(mVersion % 1000) + 1));
    REQUIRE(mFleet.RunUntilInForce(mVersion, kBound));
    REQUIRE_FALSE(mFleet.AnyReverted());
  }
}

// The whole site comes up at once, the platform first answering nothing.
TEST_CASE("fleet/all start, platform comes late/in force in bound")
{
  follower_simulation fleet(7);
  fleet.mPlatform.mDown = true;
  fleet.AddDomain("hall-a", 3);
  fleet.AddDomain("hall-b", 3);
  fleet.RunFor(Seconds(30));
  CHECK_FALSE(fleet.Follower(0).Ready());
  fleet.mPlatform.mDown = false;
  fleet.Publish(1, config_follower_fixture::Sample(1));
  CHECK(fleet.RunUntilInForce(1, config_follower_fixture::kBound));
}

// The platform's counter counts every call, a waiting watch as one.
TEST_CASE("platform calls/eight times the instances/the same at rest")
{
  std::vector<double> atRest;
  for (const std::size_t count : { 4, 32 }) {
    follower_simulation fleet(11);
    fleet.Publish(1, config_follower_fixture::Sample(1));
    fleet.AddDomain("hall", count);
    fleet.RunFor(Seconds(20));
    const time_point from = fleet.Now();
    fleet.RunFor(Seconds(30));
    atRest.push_back(fleet.CallsPerSecond(from, 30));
  }
  CHECK(atRest[0] == doctest::Approx(atRest[1]).epsilon(0.05));
  CHECK(atRest[1] < 2.5);
}

} // namespace
} // namespace thornhollow
