#include <doctest/doctest.h>

#include "thornhollow/policy/suspects/suspect_runs.h"

namespace thornhollow {
namespace {

constexpr request_feature kPart{ 1001 };
constexpr request_feature kContent{ 1002 };
constexpr endpoint_hash kEndpoint = 7;

struct runs_of_two
{
  crash_suspects_settings mSettings;
  suspect_runs mFirst{ mSettings, 1 };
  suspect_runs mSecond{ mSettings, 2 };
  time_point mNow{ Seconds(1'000) };

  static announced_run Run(request_feature aFeature, bool aReserves = false)
  {
    return { .mFeature = aFeature,
             .mTicket = 1,
             .mEndpoint = kEndpoint,
             .mTrial = true,
             .mReserves = aReserves };
  }
  void Tell(suspect_runs& aFrom, suspect_runs& aTo, request_feature aFeature)
  {
    aTo.Merge(*aFrom.Report(aFrom.OwnKey(aFeature), mNow), mNow);
  }
};

TEST_CASE_FIXTURE(runs_of_two,
                  "suspect_runs/announced_by_both/lower_number_goes_first")
{
  mFirst.Announce(Run(kPart), mNow);
  mSecond.Announce(Run(kPart), mNow);
  Tell(mFirst, mSecond, kPart);
  Tell(mSecond, mFirst, kPart);
  CHECK_FALSE(mFirst.RunsElsewhere(kPart, mNow));
  CHECK(mSecond.RunsElsewhere(kPart, mNow));
}

TEST_CASE_FIXTURE(runs_of_two, "suspect_runs/long_run/keeps_contents_only")
{
  for (const request_feature each : { kPart, kContent }) {
    mFirst.Announce(Run(each), mNow);
    mFirst.Start(each, mNow);
    Tell(mFirst, mSecond, each);
  }
  mNow += mSettings.mSoloTime;
  CHECK_FALSE(mSecond.RunsElsewhere(kPart, mNow));
  CHECK(mSecond.RunsElsewhere(kContent, mNow));
}

TEST_CASE_FIXTURE(runs_of_two,
                  "suspect_runs/run_elsewhere/occupies_its_endpoint")
{
  mFirst.Announce(Run(kPart), mNow);
  Tell(mFirst, mSecond, kPart);
  CHECK(mSecond.IsOccupied(kEndpoint, 1, mNow));
  CHECK_FALSE(mSecond.IsOccupied(kEndpoint + 1, 1, mNow));
  CHECK_FALSE(mFirst.IsOccupied(kEndpoint, 1, mNow));
}

TEST_CASE_FIXTURE(runs_of_two, "suspect_runs/instance_ends/its_runs_expire")
{
  mFirst.Announce(Run(kContent, true), mNow);
  Tell(mFirst, mSecond, kContent);
  REQUIRE(mSecond.IsReserved(kEndpoint, mNow));
  mNow += mSettings.mRunValidity;
  CHECK_FALSE(mSecond.RunsElsewhere(kContent, mNow));
  CHECK_FALSE(mSecond.IsReserved(kEndpoint, mNow));
}

TEST_CASE_FIXTURE(runs_of_two,
                  "suspect_runs/late_report_of_an_ended_run/is_no_news")
{
  mFirst.Announce(Run(kPart), mNow);
  const suspect_run announced = *mFirst.Report(mFirst.OwnKey(kPart), mNow);
  mFirst.EndOwn(kPart, mNow);
  Tell(mFirst, mSecond, kPart);
  CHECK_FALSE(mSecond.Merge(announced, mNow));
  CHECK_FALSE(mSecond.RunsElsewhere(kPart, mNow));
}

} // namespace
} // namespace thornhollow
