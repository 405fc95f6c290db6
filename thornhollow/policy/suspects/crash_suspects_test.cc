#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/suspects/crash_suspects.h"
#include "thornhollow/policy/suspects/testing/suspects_fleet.h"

namespace thornhollow {
namespace {

constexpr request_feature kCulprit{ 14 };
constexpr request_feature kBystander{ 16 };

constexpr request_feature
OtherContent(std::uint64_t aNumber)
{
  return { 2 * aNumber };
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/ends_each_endpoint/rejected_after_three")
{
  endpoint_hash endpoint = 0;
  int sent = 0;
  for (std::size_t each = 0; each < 8; ++each) {
    sent += SendAndEnd(each % 2, kCulprit, ++endpoint) ? 1 : 0;
  }
  CHECK(sent == 3);
  CHECK(mInstances[0].IsRejected(kCulprit, mNow));
  CHECK(mInstances[1].IsRejected(kCulprit, mNow));
  CHECK(mInstances[0].Digest() == mInstances[1].Digest());
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/same_end_seen_by_two/counts_once")
{
  End(0, Attempt(kCulprit, 1));
  End(1, Attempt(kCulprit, 1));
  Exchange();
  CHECK(mInstances[0].EndedUnder(kCulprit) == 1);
  CHECK(mInstances[1].EndedUnder(kCulprit) == 1);
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/output_after_ends/clears_everywhere")
{
  SendAndEnd(0, kBystander, 1);
  SendAndEnd(1, kBystander, 2);
  REQUIRE(mInstances[0].EndedUnder(kBystander) == 2);
  REQUIRE(Send(0, Attempt(kBystander, 3)) == send_verdict::kSend);
  mInstances[0].OnOutput(Content(kBystander), 1, mNow);
  Exchange();
  for (crash_suspects& each : mInstances) {
    CHECK(each.EndedUnder(kBystander) == 0);
    CHECK(each.Digest() == 0);
  }
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/late_report_after_clearance/is_ignored")
{
  End(0, Attempt(kBystander, 1));
  const crash_report late = mInstances[0].NextReport(kNoLimit, mNow);
  Advance(Milliseconds(50));
  mInstances[0].OnOutput(Content(kBystander), 1, mNow);
  Exchange();
  // The report took as long as its age does not tell.
  crash_report delayed = late;
  delayed.mSightings.front().mAge = Milliseconds(60);
  mInstances[1].Merge(delayed, mNow);
  CHECK(mInstances[1].EndedUnder(kBystander) == 0);
}

TEST_CASE_FIXTURE(suspects_fleet, "crash_suspects/one_end/runs_one_at_a_time")
{
  SendAndEnd(0, kCulprit, 1);
  REQUIRE(Send(0, Attempt(kCulprit, 2)) == send_verdict::kSend);
  Exchange();
  CHECK(mInstances[1].BeforeSend(Attempt(kCulprit, 3), mNow).mVerdict ==
        send_verdict::kWait);
  // Another submission at the same instance waits as well.
  CHECK(mInstances[0].BeforeSend(Attempt(kCulprit, 3, 2), mNow).mVerdict ==
        send_verdict::kWait);
  mInstances[0].OnSendEnded(Content(kCulprit), 1, mNow);
  Exchange();
  CHECK(Send(1, Attempt(kCulprit, 3)) == send_verdict::kSend);
}

// Guards against a second run that ends another endpoint while one that began
// before the first end is still open.
TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/sent_before_the_first_end/others_wait_for_it")
{
  const suspect_attempt first = Attempt(kCulprit, 1);
  const suspect_attempt second = Attempt(kCulprit, 2);
  REQUIRE(Send(0, first) == send_verdict::kSend);
  REQUIRE(Send(1, second) == send_verdict::kSend);
  End(0, first);
  Exchange();
  Exchange();
  CHECK(mInstances[0].BeforeSend(Attempt(kCulprit, 3), mNow).mVerdict ==
        send_verdict::kWait);
  End(1, second);
  Exchange();
  CHECK(mInstances[0].BeforeSend(Attempt(kCulprit, 3), mNow).mKeepEndpoint);
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/instance_stops_during_run/others_go_on")
{
  SendAndEnd(0, kCulprit, 1);
  REQUIRE(Send(0, Attempt(kCulprit, 2)) == send_verdict::kSend);
  Exchange();
  REQUIRE(mInstances[1].BeforeSend(Attempt(kCulprit, 3), mNow).mVerdict ==
          send_verdict::kWait);
  Advance(crash_suspects_settings{}.mRunValidity);
  CHECK(mInstances[1].BeforeSend(Attempt(kCulprit, 3), mNow).mKeepEndpoint);
}

TEST_CASE_FIXTURE(suspects_fleet, "crash_suspects/trial/reserves_its_endpoint")
{
  SendAndEnd(0, kCulprit, 1);
  SendAndEnd(0, kCulprit, 2);
  REQUIRE(Send(0, Attempt(kCulprit, 3)) == send_verdict::kSend);
  CHECK(mInstances[0].IsReserved(3, mNow));
  CHECK(mInstances[1].IsReserved(3, mNow));
  CHECK_FALSE(mInstances[1].IsReserved(4, mNow));
  mInstances[0].OnSendEnded(Content(kCulprit), 1, mNow);
  Exchange();
  CHECK_FALSE(mInstances[1].IsReserved(3, mNow));
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/two_trials_announced_at_once/one_goes_first")
{
  SendAndEnd(0, kCulprit, 1);
  SendAndEnd(0, kCulprit, 2);
  const suspect_attempt first = Attempt(kCulprit, 3);
  const suspect_attempt second = Attempt(kCulprit, 4);
  REQUIRE(mInstances[0].BeforeSend(first, mNow).mKeepEndpoint);
  REQUIRE(mInstances[1].BeforeSend(second, mNow).mKeepEndpoint);
  Exchange();
  Exchange();
  Advance(crash_suspects_settings{}.mTrialNotice);
  CHECK(mInstances[0].BeforeSend(first, mNow).mVerdict == send_verdict::kSend);
  CHECK(mInstances[1].BeforeSend(second, mNow).mVerdict == send_verdict::kWait);
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/trials/reserve_a_part_of_the_pool_at_most")
{
  for (std::uint64_t each = 0; each < kPool; ++each) {
    End(0, Attempt(OtherContent(100 + each), 50));
    End(0, Attempt(OtherContent(100 + each), 51));
  }
  int announced = 0;
  for (std::uint64_t each = 0; each < kPool; ++each) {
    const auto attempt =
      Attempt(OtherContent(100 + each), static_cast<endpoint_hash>(each));
    announced += mInstances[0].BeforeSend(attempt, mNow).mKeepEndpoint ? 1 : 0;
  }
  CHECK(announced == 3);
}

// Guards against an innocent request that is rejected because it met three
// ends, without a trial.
TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/three_ends_without_a_trial/not_rejected")
{
  for (endpoint_hash each = 1; each <= 6; ++each) {
    End(0, Attempt(kBystander, each));
    Advance(Seconds(2));
  }
  Exchange();
  CHECK(mInstances[0].EndedUnder(kBystander) == 6);
  CHECK_FALSE(mInstances[0].IsRejected(kBystander, mNow));
  CHECK_FALSE(mInstances[1].IsRejected(kBystander, mNow));
}

// Guards against a popular content that is rejected because endpoints crash one
// after the other while submissions of it are open at several.
TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/sent_before_all_ends/third_is_no_trial")
{
  for (endpoint_hash each = 1; each <= 3; ++each) {
    REQUIRE(Send(0, Attempt(kBystander, each, each)) == send_verdict::kSend);
  }
  for (endpoint_hash each = 1; each <= 3; ++each) {
    End(0, Attempt(kBystander, each, each));
    Advance(Milliseconds(300));
  }
  CHECK(mInstances[0].EndedUnder(kBystander) == 3);
  CHECK_FALSE(mInstances[0].IsRejected(kBystander, mNow));
}

// Guards against an innocent request that is rejected for ends that another
// one brought about.
TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/bystander_of_a_culprit/not_rejected")
{
  for (endpoint_hash each = 1; each <= 3; ++each) {
    End(1, Attempt(kBystander, each));
    if (each < 3) {
      SendAndEnd(0, kCulprit, each);
    }
  }
  Exchange();
  REQUIRE(mInstances[1].EndedUnder(kBystander) == 3);
  // The third end had the bystander beside the culprit, so it proves half.
  Advance(Seconds(2));
  while (!mInstances[0].IsRejected(kCulprit, mNow)) {
    REQUIRE(SendAndEnd(0, kCulprit, 90));
    Advance(Seconds(2));
  }
  CHECK_FALSE(mInstances[1].IsRejected(kBystander, mNow));
}

// Guards against an innocent request that is rejected because many endpoints
// ended at once during its trial.
TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/others_end_at_the_same_time/no_evidence")
{
  SendAndEnd(0, kBystander, 1);
  SendAndEnd(0, kBystander, 2);
  const suspect_attempt trial = Attempt(kBystander, 3);
  REQUIRE(Send(0, trial) == send_verdict::kSend);
  End(1, Attempt(OtherContent(50), 4));
  End(1, Attempt(OtherContent(51), 5));
  End(1, Attempt(OtherContent(52), 6));
  End(0, trial);
  Exchange();
  CHECK(mInstances[0].EndedUnder(kBystander) == 3);
  CHECK_FALSE(mInstances[0].IsRejected(kBystander, mNow));
  CHECK_FALSE(mInstances[1].IsRejected(kBystander, mNow));
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/inconclusive_trials/two_are_conclusive")
{
  SendAndEnd(0, kCulprit, 1);
  SendAndEnd(0, kCulprit, 2);
  for (endpoint_hash each = 3; each <= 4; ++each) {
    CHECK_FALSE(mInstances[0].IsRejected(kCulprit, mNow));
    const suspect_attempt trial = Attempt(kCulprit, each);
    REQUIRE(Send(0, trial) == send_verdict::kSend);
    End(1, Attempt(OtherContent(100U + each), each));
    Exchange();
    End(0, trial);
    Exchange();
    Advance(Seconds(2));
  }
  CHECK(mInstances[0].IsRejected(kCulprit, mNow));
  CHECK(mInstances[1].IsRejected(kCulprit, mNow));
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/rejection_lapsed/one_more_trial_renews_it")
{
  for (endpoint_hash each = 1; each <= 3; ++each) {
    REQUIRE(SendAndEnd(0, kCulprit, each));
  }
  REQUIRE_FALSE(SendAndEnd(1, kCulprit, 4));
  Advance(crash_suspects_settings{}.mRejectionTime);
  for (crash_suspects& each : mInstances) {
    each.Tick(mNow);
  }
  CHECK(SendAndEnd(1, kCulprit, 5));
  CHECK_FALSE(SendAndEnd(0, kCulprit, 6));
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/retention_over/everything_is_forgotten")
{
  for (endpoint_hash each = 1; each <= 3; ++each) {
    SendAndEnd(0, kCulprit, each);
  }
  Advance(crash_suspects_settings{}.mRetention);
  mInstances[0].Tick(mNow);
  CHECK(mInstances[0].EndedUnder(kCulprit) == 0);
  CHECK(mInstances[0].Sightings() == 0);
  CHECK(mInstances[0].Digest() == 0);
}

// Guards against an instance that has just started and sends what others
// reject.
TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/just_started/full_report_rejects")
{
  for (endpoint_hash each = 1; each <= 3; ++each) {
    SendAndEnd(0, kCulprit, each);
  }
  crash_suspects started(crash_suspects_settings{}, 99);
  CHECK(started.Digest() != mInstances[0].Digest());
  started.Merge(mInstances[0].FullReport(kNoLimit, 0, mNow), mNow);
  CHECK(started.IsRejected(kCulprit, mNow));
  CHECK(started.Digest() == mInstances[0].Digest());
}

TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/merged_in_any_order/same_state")
{
  for (endpoint_hash each = 1; each <= 3; ++each) {
    SendAndEnd(0, kCulprit, each);
  }
  const crash_report report = mInstances[0].FullReport(kNoLimit, 0, mNow);
  crash_report reversed = report;
  std::ranges::reverse(reversed.mSightings);
  crash_suspects other(crash_suspects_settings{}, 98);
  other.Merge(reversed, mNow);
  other.Merge(report, mNow);
  CHECK(other.IsRejected(kCulprit, mNow));
  CHECK(other.Digest() == mInstances[0].Digest());
}

// Guards against a storm of ends that fills the memory, or drives out what is
// known of a culprit.
TEST_CASE_FIXTURE(suspects_fleet,
                  "crash_suspects/storm/is_bounded_and_keeps_the_culprit")
{
  for (endpoint_hash each = 1; each <= 3; ++each) {
    SendAndEnd(0, kCulprit, each);
  }
  for (std::uint64_t each = 0; each < 10'000; ++each) {
    End(0,
        Attempt(OtherContent(1'000 + each),
                static_cast<endpoint_hash>(each / 64 + 100)));
  }
  CHECK(mInstances[0].Sightings() <= crash_suspects_settings{}.mMaxSightings);
  CHECK(mInstances[0].IsRejected(kCulprit, mNow));
  CHECK(mInstances[0].EndedUnder(kCulprit) == 3);
}

TEST_CASE_FIXTURE(suspects_fleet, "crash_suspects/report/fits_its_limit")
{
  for (std::uint64_t each = 0; each < 200; ++each) {
    End(0,
        Attempt(OtherContent(1'000 + each),
                static_cast<endpoint_hash>(each / 8)));
  }
  std::size_t told = 0;
  for (int each = 0; each < 100 && mInstances[0].HasNews(mNow); ++each) {
    const crash_report report = mInstances[0].NextReport(750, mNow);
    CHECK(report.mSightings.size() <= 75);
    told += report.mSightings.size();
  }
  CHECK(told == 200);
}

} // namespace
} // namespace thornhollow
