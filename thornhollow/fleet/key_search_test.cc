// Randomized search for faults that make the request of a key run twice. Each
// seed yields a list of events, and the invariant is checked after each event:
// no two runs of a key are less than `mMinAllowedInterval` apart. CI runs a
// fixed number of seeds; for a longer search:
// THORNHOLLOW_KEY_SEEDS=20000 fleet_test -tc="key_search/*".

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/testing/fake_key_fleet.h"
#include "thornhollow/fleet/testing/fault_search.h"

namespace thornhollow {
namespace {

constexpr int kSeedsInCi = 300;

enum class fault : std::uint8_t
{
  kSubmit,
  kPause,
  kRestart,
  kReplace,
  kIsolate,
};

struct search_event
{
  // Time since the previous event.
  duration mAfter{};
  fault mKind = fault::kSubmit;
  std::size_t mNode = 0;
  claim_key mKey = 0;
  duration mLength{};
};

struct key_search
{
  key_protections mProtections;
  // Maximum time between two events, in milliseconds. With this default all
  // submissions of a key fall within its lifetime, which is 60 s here: there
  // are 30 events.
  std::int64_t mMaxEventGap = 1'900;
  std::int64_t mNodes = 5;
  std::size_t mDomains = 1;
  std::int64_t mMinPause = 0;
  std::int64_t mMaxPause = 40'000;
  // Maximum time from the grant to the send, as caused by queueing.
  duration mMaxSendDelay = Seconds(3);
  duration mRunDuration = Milliseconds(700);
  // Minimum time between two runs of submissions with the same key; a shorter
  // interval is a failure. With this default any second run is a failure.
  duration mMinAllowedInterval = Seconds(1'000'000);

  std::vector<search_event> Events(std::uint64_t aSeed) const
  {
    std::mt19937_64 random(aSeed);
    const auto upTo = [&](std::int64_t aMax) {
      return std::uniform_int_distribution<std::int64_t>(0, aMax)(random);
    };
    std::vector<search_event> out;
    for (int count = 0; count < 30; ++count) {
      search_event next{ Milliseconds(upTo(mMaxEventGap)),
                         fault::kSubmit,
                         static_cast<std::size_t>(upTo(mNodes - 1)),
                         static_cast<claim_key>(upTo(1)),
                         Milliseconds(mMinPause +
                                      upTo(mMaxPause - mMinPause)) };
      if (upTo(1) == 0) {
        next.mKind = static_cast<fault>(upTo(4));
      }
      // Half of the pauses hit a holder that may not have sent its submission
      // yet.
      if (next.mKind == fault::kPause && !out.empty() && upTo(1) == 0) {
        next.mNode = out.back().mNode;
      }
      out.push_back(next);
    }
    return out;
  }

  bool Fails(const std::vector<search_event>& aEvents, std::uint64_t aSeed)
  {
    fake_key_fleet fleet(link_quality{ 0.03, 0.1, 0.05 }, aSeed);
    fleet.mProtections = mProtections;
    fleet.mMaxSendDelay = mMaxSendDelay;
    fleet.mRunDuration = mRunDuration;
    fleet.mDomains = mDomains;
    fleet.Start(static_cast<int>(mNodes));
    for (const search_event& each : aEvents) {
      fleet.RunFor(each.mAfter);
      ApplyFault(fleet, each);
      if (fleet.MinRunInterval().value_or(mMinAllowedInterval) <
          mMinAllowedInterval) {
        return true;
      }
    }
    fleet.RunFor(Seconds(120));
    return fleet.MinRunInterval().value_or(mMinAllowedInterval) <
           mMinAllowedInterval;
  }

  static void ApplyFault(fake_key_fleet& aFleet, const search_event& aEvent)
  {
    switch (aEvent.mKind) {
      case fault::kSubmit:
        aFleet.Submit(aEvent.mNode, aEvent.mKey);
        break;
      case fault::kPause:
        aFleet.Pause(aEvent.mNode, aEvent.mLength);
        break;
      case fault::kRestart:
        aFleet.Restart(aEvent.mNode);
        break;
      case fault::kReplace:
        aFleet.Replace(aEvent.mNode);
        break;
      case fault::kIsolate:
        aFleet.Isolate(aEvent.mNode, aEvent.mLength / 4);
        break;
    }
  }

  std::string Describe(std::uint64_t aSeed)
  {
    const auto minimized = Minimize(Events(aSeed), [&](const auto& aSubset) {
      return Fails(aSubset, aSeed);
    });
    std::string out = "seed " + std::to_string(aSeed) + ":";
    for (const search_event& each : minimized) {
      out += " [+" + std::to_string(ToMilliseconds(each.mAfter)) + "ms fault " +
             std::to_string(static_cast<int>(each.mKind)) + " node " +
             std::to_string(each.mNode) + " key " + std::to_string(each.mKey) +
             " for " + std::to_string(ToMilliseconds(each.mLength)) + "ms]";
    }
    return out;
  }

  // Returns the seeds from 1 to `aSeeds` whose events violate the invariant.
  std::vector<std::uint64_t> FailingSeeds(int aSeeds)
  {
    std::vector<std::uint64_t> out;
    for (int seed = 1; seed <= aSeeds; ++seed) {
      const auto number = static_cast<std::uint64_t>(seed);
      if (Fails(Events(number), number)) {
        out.push_back(number);
      }
    }
    return out;
  }

  static int SeedCount()
  {
    const char* const asked = std::getenv("THORNHOLLOW_KEY_SEEDS");
    return asked == nullptr ? kSeedsInCi : std::atoi(asked);
  }
};

TEST_CASE_FIXTURE(key_search, "key_search/random_faults/no_key_runs_twice")
{
  // Instances die, are replaced without memory, pause and are partitioned, and
  // messages are lost, duplicated and delayed, while callers submit the same
  // request through several instances. A second run would carry out the request
  // twice.
  const auto failing = FailingSeeds(SeedCount());
  MESSAGE("seeds ", SeedCount(), ", failing ", failing.size());
  for (const std::uint64_t seed : failing) {
    FAIL_CHECK(Describe(seed));
  }
}

TEST_CASE_FIXTURE(key_search, "key_search/seeds_that_failed/hold")
{
  // Seeds in which the notification of a submission's end was lost and the same
  // process was granted the key again for the caller's retry (see
  // key/end_not_heard_and_sent_again in key_claims_test.cc).
  for (const std::uint64_t seed : { 1755, 6861, 9070, 12552, 19991 }) {
    CHECK_FALSE(Fails(Events(seed), seed));
  }
}

// With a protection disabled, the search of key_search must find requests that
// run twice; if it found none, its success with all protections would prove
// nothing.
TEST_CASE_FIXTURE(key_search, "key_search/without_claims/keys_run_twice")
{
  mProtections.mClaims = false;
  const auto failing = FailingSeeds(kSeedsInCi);
  MESSAGE("without claims: ", failing.size(), " of ", kSeedsInCi);
  CHECK(!failing.empty());
}

TEST_CASE_FIXTURE(key_search, "key_search/without_vouching/keys_run_twice")
{
  mProtections.mVouching = false;
  const auto failing = FailingSeeds(kSeedsInCi);
  MESSAGE("without vouching: ", failing.size(), " of ", kSeedsInCi);
  CHECK(!failing.empty());
}

// Callers that retry for longer than a key's lifetime, and instances that may
// be paused for longer than a key's lifetime.
struct long_key_search : key_search
{
  long_key_search()
  {
    mMaxEventGap = 8'000;
    // With twelve instances most are not witnesses of a key; pauses of
    // witnesses would only cause refusals.
    mNodes = 12;
    mDomains = 3;
    mMinPause = 50'000;
    mMaxPause = 100'000;
    mMaxSendDelay = Seconds(20);
    mRunDuration = Seconds(40);
    mMinAllowedInterval = Seconds(30);
  }
};

TEST_CASE_FIXTURE(long_key_search,
                  "key_search/after_a_lifetime/runs_are_half_of_it_apart")
{
  const auto failing = FailingSeeds(SeedCount());
  MESSAGE("seeds ", SeedCount(), ", failing ", failing.size());
  for (const std::uint64_t seed : failing) {
    FAIL_CHECK(Describe(seed));
  }
}

TEST_CASE_FIXTURE(long_key_search,
                  "key_search/without_second_look/runs_are_closer")
{
  mProtections.mBeforeSend = false;
  const auto failing = FailingSeeds(kSeedsInCi);
  MESSAGE("without BeforeSend: ", failing.size(), " of ", kSeedsInCi);
  CHECK(!failing.empty());
}

} // namespace
} // namespace thornhollow
