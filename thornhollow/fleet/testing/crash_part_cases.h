// For tests: plays a fleet in virtual time (crash_fleet.h) with requests that
// share a part which ends endpoints, for several seeds, and prints what callers
// got.
//
//   const case_result result = PlayParts("two", size, [](crash_fleet& aFleet) {
//     aFleet.AddCulpritPart(DeadlyPart(4));
//   });
//   CheckParts(result);
//
// Other seeds and more of them by hand:
//   THORNHOLLOW_CRASH_SEED=100 THORNHOLLOW_CRASH_SEEDS=1000
//     fleet_test --source-file="*crash_part_spread_test.cc"
#ifndef THORNHOLLOW_FLEET_TESTING_CRASH_PART_CASES_H_
#define THORNHOLLOW_FLEET_TESTING_CRASH_PART_CASES_H_

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/testing/crash_fleet.h"

namespace thornhollow {

inline constexpr std::size_t kMostEnded = 5;
// In nine of ten fleets.
inline constexpr std::size_t kUsuallyEnded = 4;
inline constexpr double kServedMeanwhile = 0.8;
inline constexpr double kServedAfter = 0.95;
inline constexpr duration kRecovery = Milliseconds(500);

inline constexpr request_feature kDeadly{ 7'000'001 };
inline constexpr request_feature kFatal{ 7'000'003 };
inline constexpr request_feature kCompanion{ 7'000'005 };
inline constexpr request_feature kKind{ 7'000'007 };
inline constexpr request_feature kTeam{ 7'000'009 };

struct fleet_size
{
  crash_fleet_shape mShape;
  std::uint64_t mSeeds = 1;
};

inline const std::vector<fleet_size> kSizes{
  { { .mInstances = 3, .mDomains = 3, .mEndpoints = 12 }, 5 },
  { { .mInstances = 8, .mDomains = 3, .mEndpoints = 12 }, 5 },
  { { .mInstances = 85, .mDomains = 3, .mEndpoints = 90 }, 1 },
  { { .mInstances = 420, .mDomains = 11, .mEndpoints = 200 }, 1 },
};

// The variable's number, if it is set.
inline std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

// What all seeds of one case and size showed.
struct case_result
{
  std::size_t mFleets = 0;
  std::size_t mMostEnded = 0;
  std::size_t mFleetsOverUsual = 0;
  std::size_t mMostLate = 0;
  double mServedMeanwhile = 0;
  double mServedAfter = 0;
  std::size_t mInnocents = 0;
  std::size_t mRejected = 0;
  std::size_t mRejectedByPart = 0;
  std::size_t mHeldLong = 0;
  duration mKnownAfter{};
};

using prepare_fleet = std::function<void(crash_fleet&)>;

// Adds what one fleet showed to the total; shares are summed up.
inline void
AddFleet(const crash_fleet& aFleet, std::size_t aSound, case_result& aTotal)
{
  const crash_fleet_result& result = aFleet.Result();
  std::size_t most = 0;
  for (std::size_t each = 0; each < result.mEndedByCulprit.size(); ++each) {
    most = std::max(most, result.mEndedByCulprit[each]);
    aTotal.mMostLate = std::max(aTotal.mMostLate, result.mSentLate[each]);
  }
  ++aTotal.mFleets;
  aTotal.mMostEnded = std::max(aTotal.mMostEnded, most);
  aTotal.mFleetsOverUsual += most > kUsuallyEnded ? 1 : 0;
  if (result.mFirstEnd) {
    const time_point over = *result.mLastEnd + kRecovery;
    aTotal.mServedMeanwhile +=
      aFleet.SoundShare(aSound, *result.mFirstEnd, over);
    aTotal.mServedAfter += aFleet.SoundShare(aSound, over);
  }
  aTotal.mInnocents += result.mInnocents;
  aTotal.mRejected += result.mRejected;
  aTotal.mRejectedByPart += result.mRejectedByPart;
  aTotal.mHeldLong += result.mHeldLongByPart;
  aTotal.mKnownAfter = std::max(aTotal.mKnownAfter, result.mKnownAfter);
}

inline void
PrintCase(const std::string& aCase,
          const fleet_size& aSize,
          const case_result& aTotal)
{
  MESSAGE(aCase,
          ", ",
          aSize.mShape.mInstances,
          " instances, ",
          aTotal.mFleets,
          " seeds: most ended ",
          aTotal.mMostEnded,
          ", over four in ",
          aTotal.mFleetsOverUsual,
          ", most sent late ",
          aTotal.mMostLate,
          ", known after ms ",
          ToMilliseconds(aTotal.mKnownAfter),
          ", sound served meanwhile ",
          aTotal.mServedMeanwhile,
          ", after ",
          aTotal.mServedAfter,
          ", innocent ",
          aTotal.mInnocents,
          ", rejected ",
          aTotal.mRejected,
          " (for a part ",
          aTotal.mRejectedByPart,
          "), held long for a part ",
          aTotal.mHeldLong);
}

// Plays the case at this size until then; sound requests of the same kind and
// team come all the while.
inline case_result
PlayParts(const std::string& aCase,
          const fleet_size& aSize,
          const prepare_fleet& aPrepare,
          duration aUntil = Seconds(14))
{
  case_result total;
  const std::uint64_t first = FromEnvironment("THORNHOLLOW_CRASH_SEED", 1);
  const std::uint64_t seeds =
    FromEnvironment("THORNHOLLOW_CRASH_SEEDS", aSize.mSeeds);
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    crash_fleet fleet(aSize.mShape, seed);
    const std::size_t sound = fleet.AddSound(
      { .mParts = { kKind, kTeam }, .mUntil = aUntil, .mPerSecond = 40 });
    aPrepare(fleet);
    fleet.Run(aUntil + Seconds(3));
    AddFleet(fleet, sound, total);
  }
  total.mServedMeanwhile /= static_cast<double>(seeds);
  total.mServedAfter /= static_cast<double>(seeds);
  PrintCase(aCase, aSize, total);
  return total;
}

// What callers of sound requests must get.
inline void
CheckCallers(const case_result& aResult)
{
  CHECK(aResult.mServedMeanwhile >= kServedMeanwhile);
  CHECK(aResult.mServedAfter >= kServedAfter);
  CHECK(aResult.mRejected == 0);
}

inline void
CheckParts(const case_result& aResult)
{
  CHECK(aResult.mMostEnded <= kMostEnded);
  CHECK(aResult.mMostLate == 0);
  CheckCallers(aResult);
}

inline culprit_part
DeadlyPart(double aPerSecond)
{
  return { .mPart = kDeadly,
           .mShared = { kKind, kTeam },
           .mPerSecond = aPerSecond };
}

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_CRASH_PART_CASES_H_
