// Fleets of 3 to 420 instances in virtual time, some of which lose all
// endpoints for twelve seconds.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/fleet/testing/cut_off_fleet.h"

namespace thornhollow {
namespace {

constexpr double kLeastShare = 0.95;
constexpr double kLeastShareAtFirst = 0.5;
constexpr duration kKnownWithin = Seconds(1);
constexpr duration kDirectWithin = Seconds(2);

// Callers at the others are served so much more often where the cut is not
// handled.
constexpr double kUnhandledShare = 2.0 / 3;

const cut_off_shape kLargeFleet{ .mInstances = 420, .mDomains = 11 };

// The large fleet takes 20 s a play: in all cases only by hand, with
// THORNHOLLOW_CUT_LARGE=1.
std::vector<cut_off_shape>
Shapes()
{
  std::vector<cut_off_shape> shapes{
    { .mInstances = 3, .mDomains = 3 },
    { .mInstances = 8, .mDomains = 3 },
    { .mInstances = 30, .mDomains = 3 },
  };
  if (std::getenv("THORNHOLLOW_CUT_LARGE") != nullptr) {
    shapes.push_back(kLargeFleet);
  }
  return shapes;
}

// Added to the seed of each case, to play others by hand:
// THORNHOLLOW_CUT_SEED=100 fleet_test --source-file="*endpoint_cut_test.cc"
std::uint64_t
SeedOffset()
{
  const char* const text = std::getenv("THORNHOLLOW_CUT_SEED");
  return text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
}

void
Report(const cut_off_shape& aShape, const cut_off_result& aResult)
{
  MESSAGE(aShape.mCutOff,
          " of ",
          aShape.mInstances,
          " cut off, fault ",
          static_cast<int>(aShape.mFault),
          ": served at first ",
          aResult.mAtFirst.Share(),
          ", later ",
          aResult.mLater.Share(),
          ", at the others ",
          aResult.mOthers.Share(),
          "; known after ms ",
          ToMilliseconds(aResult.mKnownAfter),
          ", direct after ms ",
          ToMilliseconds(aResult.mDirectAfter),
          ", in progress at most ",
          aResult.mMostInProgress,
          ", mean ",
          aResult.mMeanInProgress,
          ", probes ",
          aResult.mProbes);
}

cut_off_result
Play(const cut_off_shape& aShape, std::uint64_t aSeed)
{
  cut_off_fleet fleet(aShape, aSeed + SeedOffset());
  const cut_off_result result = fleet.Run();
  Report(aShape, result);
  return result;
}

// Guards against callers that get nothing at instances which only lost their
// own links.
void
CheckServed(const cut_off_shape& aShape, std::uint64_t aSeed)
{
  const cut_off_result result = Play(aShape, aSeed);
  CAPTURE(aShape.mInstances);
  CAPTURE(aShape.mCutOff);
  CHECK(result.mLater.mSent > 0);
  CHECK(result.mLater.Share() >= kLeastShare * result.mOthers.Share());
  CHECK(result.mAtFirst.Share() >= kLeastShareAtFirst);
  CHECK(result.mOthers.Share() >= kLeastShare);
  // While enough connections are open, there is nothing to know.
  if (aShape.mFault != cut_fault::kAlone) {
    CHECK(result.mKnownAfter <= kKnownWithin);
  }
  CHECK(result.mDirectAfter <= kDirectWithin);
  CHECK(result.mFalseBeliefs == 0);
  CHECK(result.mRanTwice == 0);
}

void
CheckAllFaults(cut_off_shape aShape, std::uint64_t aSeed)
{
  for (const cut_fault each :
       { cut_fault::kReset, cut_fault::kHang, cut_fault::kAlone }) {
    aShape.mFault = each;
    CheckServed(aShape, ++aSeed);
  }
}

TEST_CASE("endpoint_cut/one_instance/its_callers_are_served")
{
  for (cut_off_shape each : Shapes()) {
    each.mCutOff = 1;
    CheckAllFaults(each, 10);
  }
}

TEST_CASE("endpoint_cut/a_third_of_the_instances/their_callers_are_served")
{
  for (cut_off_shape each : Shapes()) {
    each.mCutOff = each.mInstances / 3;
    CheckAllFaults(each, 20);
  }
}

TEST_CASE("endpoint_cut/a_third_of_a_larger_fleet/its_callers_are_served")
{
  cut_off_shape shape = kLargeFleet;
  shape.mInstances = 120;
  shape.mCutOff = shape.mInstances / 3;
  shape.mFault = cut_fault::kHang;
  // Keeps the play short.
  shape.mRequestsPerSecond = 2;
  CheckServed(shape, 22);
}

TEST_CASE("endpoint_cut/a_whole_domain/its_callers_are_served")
{
  for (cut_off_shape each : Shapes()) {
    each.mCutOff = each.mInstances / each.mDomains;
    each.mByDomain = true;
    CheckAllFaults(each, 30);
  }
}

TEST_CASE("endpoint_cut/two_thirds_of_the_instances/their_callers_are_served")
{
  for (cut_off_shape each : Shapes()) {
    each.mCutOff = each.mInstances * 2 / 3;
    CheckAllFaults(each, 40);
  }
}

// Guards against a conclusion that needs a history.
TEST_CASE("endpoint_cut/from_the_first_request_on/their_callers_are_served")
{
  for (cut_off_shape each : Shapes()) {
    each.mCutOff = each.mInstances / 3;
    each.mFromStart = true;
    CheckAllFaults(each, 50);
  }
}

TEST_CASE("endpoint_cut/without_forwarding/they_are_not_served")
{
  for (cut_off_shape each : Shapes()) {
    each.mCutOff = each.mInstances / 3;
    each.mForwards = false;
    for (const cut_fault fault : { cut_fault::kReset, cut_fault::kHang }) {
      each.mFault = fault;
      CHECK(Play(each, 60).mLater.Share() < kUnhandledShare);
    }
  }
}

// Guards against probes and forwarding on a calm day.
TEST_CASE("endpoint_cut/no_instance_is_cut_off/no_probe_and_no_belief")
{
  for (cut_off_shape each : Shapes()) {
    each.mCutOff = 0;
    const cut_off_result result = Play(each, 70);
    CHECK(result.mProbes == 0);
    CHECK(result.mFalseBeliefs == 0);
    CHECK(result.mOthers.Share() == 1);
  }
}

} // namespace
} // namespace thornhollow
