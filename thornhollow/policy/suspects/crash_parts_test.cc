// Requests no two of which are alike that share a part of their prompts under
// which endpoints end.
#include <doctest/doctest.h>

#include "thornhollow/policy/suspects/crash_suspects.h"
#include "thornhollow/policy/suspects/testing/suspects_fleet.h"

namespace thornhollow {
namespace {

constexpr request_feature kDeadly{ 1001 };
constexpr request_feature kCompanion{ 1003 };
constexpr request_feature kKind{ 1005 };
constexpr request_feature kTeam{ 1007 };

struct parts_fleet : public suspects_fleet
{
  std::uint64_t mNextContent = 2;
  endpoint_hash mNextEndpoint = 1;

  parts_fleet()
    : suspects_fleet(3)
  {
  }

  request_features NewRequest(std::vector<request_feature> aParts)
  {
    mNextContent += 2;
    return { { mNextContent }, std::move(aParts) };
  }

  // A new request with these parts is sent and ends its endpoint; returns
  // whether it was sent.
  bool EndUnder(std::size_t aInstance, std::vector<request_feature> aParts)
  {
    return SendAndEnd(
      aInstance, NewRequest(std::move(aParts)), mNextEndpoint++);
  }

  // A new request with these parts is sent and brings output; returns whether
  // it was sent.
  bool OutputOf(std::size_t aInstance, std::vector<request_feature> aParts)
  {
    const request_features request = NewRequest(std::move(aParts));
    const suspect_attempt attempt = Attempt(request, mNextEndpoint++);
    if (Send(aInstance, attempt) != send_verdict::kSend) {
      return false;
    }
    Advance(Milliseconds(50));
    mInstances.at(aInstance).OnOutput(request, attempt.mTicket, mNow);
    Exchange();
    return true;
  }

  send_decision Ask(std::size_t aInstance, const suspect_attempt& aAttempt)
  {
    return mInstances.at(aInstance).BeforeSend(aAttempt, mNow);
  }

  void EndUntilRejected(const std::vector<request_feature>& aParts)
  {
    for (std::size_t each = 0; each < 4; ++each) {
      REQUIRE(EndUnder(each % 3, aParts));
    }
    REQUIRE_FALSE(EndUnder(0, aParts));
  }
};

TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/ends_each_endpoint/rejected_after_four")
{
  int sent = 0;
  for (std::size_t each = 0; each < 9; ++each) {
    sent += EndUnder(each % 3, { kKind, kDeadly, kTeam }) ? 1 : 0;
    REQUIRE(OutputOf(each % 3, { kKind, kTeam }));
  }
  CHECK(sent == 4);
  for (const crash_suspects& each : mInstances) {
    CHECK(each.IsRejected(kDeadly, mNow));
    CHECK_FALSE(each.IsRejected(kKind, mNow));
    CHECK_FALSE(each.IsRejected(kTeam, mNow));
  }
}

// Guards against an outage of all requests that share a popular part with those
// that were open at endpoints which ended.
TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/output_between_ends/runs_side_by_side")
{
  for (int each = 0; each < 6; ++each) {
    REQUIRE(EndUnder(0, { kKind }));
    REQUIRE(OutputOf(1, { kKind }));
    Exchange();
  }
  const send_decision first = Ask(0, Attempt(NewRequest({ kKind }), 90, 2));
  const send_decision second = Ask(1, Attempt(NewRequest({ kKind }), 91, 3));
  CHECK(first.mVerdict == send_verdict::kSend);
  CHECK(second.mVerdict == send_verdict::kSend);
}

TEST_CASE_FIXTURE(parts_fleet, "crash_parts/two_ends/one_run_at_a_time")
{
  REQUIRE(EndUnder(0, { kDeadly }));
  REQUIRE(EndUnder(1, { kDeadly }));
  REQUIRE(Send(0, Attempt(NewRequest({ kDeadly }), 80)) == send_verdict::kSend);
  Exchange();
  CHECK(Ask(1, Attempt(NewRequest({ kDeadly }), 81)).mVerdict ==
        send_verdict::kWait);
  // Another submission at the same instance waits as well.
  CHECK(Ask(0, Attempt(NewRequest({ kDeadly }), 82, 2)).mVerdict ==
        send_verdict::kWait);
  CHECK(Ask(1, Attempt(NewRequest({ kKind }), 83)).mVerdict ==
        send_verdict::kSend);
}

// Guards against requests that wait behind one which stays in an engine's
// queue.
TEST_CASE_FIXTURE(parts_fleet, "crash_parts/run_takes_long/others_go_on")
{
  REQUIRE(EndUnder(0, { kDeadly }));
  REQUIRE(EndUnder(1, { kDeadly }));
  REQUIRE(Send(0, Attempt(NewRequest({ kDeadly }), 80)) == send_verdict::kSend);
  Exchange();
  Advance(crash_suspects_settings{}.mSoloTime);
  CHECK(Send(1, Attempt(NewRequest({ kDeadly }), 81)) == send_verdict::kSend);
}

TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/just_after_an_end/others_wait_shortly")
{
  const suspect_attempt ends = Attempt(NewRequest({ kDeadly }), 1);
  REQUIRE(Send(0, ends) == send_verdict::kSend);
  End(0, ends);
  Exchange();
  const suspect_attempt next = Attempt(NewRequest({ kDeadly }), 2);
  CHECK(Ask(1, next).mVerdict == send_verdict::kWait);
  Advance(crash_suspects_settings{}.mSettleTime);
  CHECK(Ask(1, next).mVerdict == send_verdict::kSend);
}

TEST_CASE_FIXTURE(parts_fleet, "crash_parts/ends_at_one_moment/count_as_one")
{
  for (endpoint_hash each = 1; each <= 6; ++each) {
    const suspect_attempt attempt = Attempt(NewRequest({ kTeam }), each, each);
    REQUIRE(Ask(0, attempt).mVerdict == send_verdict::kSend);
  }
  std::uint64_t content = 2;
  for (endpoint_hash each = 1; each <= 6; ++each) {
    content += 2;
    End(0, Attempt({ { content }, { kTeam } }, each, each));
    Advance(Milliseconds(1));
  }
  Exchange();
  Advance(crash_suspects_settings{}.mSettleTime);
  CHECK(mInstances[0].EndedUnder(kTeam) == 6);
  CHECK(Ask(0, Attempt(NewRequest({ kTeam }), 80, 8)).mVerdict ==
        send_verdict::kSend);
  CHECK(Ask(1, Attempt(NewRequest({ kTeam }), 81)).mVerdict ==
        send_verdict::kSend);
}

TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/one_content_ends_them/part_stays_free")
{
  const request_features content = NewRequest({ kTeam });
  for (endpoint_hash each = 1; each <= 3; ++each) {
    REQUIRE(SendAndEnd(0, content, each));
  }
  CHECK(mInstances[1].IsRejected(content.mContent, mNow));
  CHECK_FALSE(mInstances[1].IsRejected(kTeam, mNow));
  CHECK(Ask(1, Attempt(NewRequest({ kTeam }), 80)).mVerdict ==
        send_verdict::kSend);
}

TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/companion/is_cleared_by_a_request_without_it")
{
  EndUntilRejected({ kDeadly, kCompanion });
  CHECK(mInstances[1].IsRejected(kCompanion, mNow));
  CHECK(OutputOf(1, { kCompanion, kTeam }));
  for (const crash_suspects& each : mInstances) {
    CHECK_FALSE(each.IsRejected(kCompanion, mNow));
    CHECK(each.IsRejected(kDeadly, mNow));
  }
  CHECK_FALSE(EndUnder(2, { kDeadly }));
}

// Guards against a popular part that is rejected for a moment where the word of
// its output comes after those of the ends before it.
TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/just_rejected/waits_for_late_reports")
{
  EndUntilRejected({ kDeadly });
  const time_point since = mNow;
  crash_suspects started(crash_suspects_settings{}, 9);
  started.Merge(mInstances[0].FullReport(kNoLimit, 0, since), since);
  REQUIRE(started.IsRejected(kDeadly, since));
  const suspect_attempt next = Attempt(NewRequest({ kDeadly }), 90);
  CHECK(started.BeforeSend(next, since).mVerdict == send_verdict::kWait);
  CHECK(started.BeforeSend(next, since + crash_suspects_settings{}.mSettleTime)
          .mVerdict == send_verdict::kReject);
}

// Guards against a popular part that is suspected like the culprit at an
// instance that has not run requests with it lately.
TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/output_before_the_end/is_told_to_others")
{
  REQUIRE(OutputOf(0, { kTeam }));
  Advance(Seconds(1));
  for (endpoint_hash each = 60; each < 62; ++each) {
    const suspect_attempt lost =
      Attempt(NewRequest({ kTeam, kDeadly }), each, each);
    REQUIRE(Ask(1, lost).mVerdict == send_verdict::kSend);
    Advance(Milliseconds(20));
    End(1, lost);
    Exchange();
    Exchange();
    Advance(Milliseconds(100));
  }
  // Two ends so close to each other restrict the unknown part alone.
  CHECK(Ask(2, Attempt(NewRequest({ kTeam }), 70)).mVerdict ==
        send_verdict::kSend);
  CHECK(Ask(2, Attempt(NewRequest({ kDeadly }), 71)).mVerdict ==
        send_verdict::kWait);
}

TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/culprit_without_companion/clears_the_companion")
{
  EndUntilRejected({ kDeadly, kCompanion });
  REQUIRE(EndUnder(1, { kDeadly, kTeam }));
  CHECK_FALSE(EndUnder(1, { kDeadly, kTeam }));
  for (const crash_suspects& each : mInstances) {
    CHECK_FALSE(each.IsRejected(kCompanion, mNow));
    CHECK(each.IsRejected(kDeadly, mNow));
  }
}

TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/sound_before/is_rejected_after_four_as_well")
{
  for (int each = 0; each < 20; ++each) {
    REQUIRE(OutputOf(0, { kDeadly }));
    Advance(Seconds(1));
  }
  EndUntilRejected({ kDeadly });
}

TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/end_told_after_a_later_output/is_answered")
{
  const suspect_attempt ends = Attempt(NewRequest({ kKind }), 1);
  REQUIRE(Send(0, ends) == send_verdict::kSend);
  End(0, ends);
  const crash_report late = mInstances[0].NextReport(kNoLimit, mNow);
  Advance(Milliseconds(20));
  const request_features other = NewRequest({ kKind });
  REQUIRE(Ask(1, Attempt(other, 2)).mVerdict == send_verdict::kSend);
  mInstances[1].OnOutput(other, 1, mNow);
  Advance(Milliseconds(5));
  // As old as when it was sent, plus the time on the way.
  crash_report delayed = late;
  for (crash_sighting& each : delayed.mSightings) {
    each.mAge += Milliseconds(24);
  }
  mInstances[1].Merge(delayed, mNow);
  CHECK(mInstances[1].EndedUnder(kKind) == 0);
  Exchange();
  CHECK(mInstances[0].EndedUnder(kKind) == 0);
}

TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/rejection_lapses/one_request_decides_again")
{
  EndUntilRejected({ kDeadly });
  Advance(crash_suspects_settings{}.mRejectionTime);
  for (crash_suspects& each : mInstances) {
    each.Tick(mNow);
  }
  CHECK(EndUnder(1, { kDeadly }));
  CHECK_FALSE(EndUnder(0, { kDeadly }));
}

TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/rejection_lapses/output_ends_it_everywhere")
{
  EndUntilRejected({ kDeadly });
  Advance(crash_suspects_settings{}.mRejectionTime);
  REQUIRE(OutputOf(1, { kDeadly }));
  for (std::size_t each = 0; each < 3; ++each) {
    CHECK(OutputOf(each, { kDeadly }));
    CHECK(mInstances[each].EndedUnder(kDeadly) == 0);
  }
}

TEST_CASE_FIXTURE(parts_fleet,
                  "crash_parts/two_culprits/each_is_rejected_by_its_own_ends")
{
  for (std::size_t each = 0; each < 4; ++each) {
    REQUIRE(EndUnder(each % 3, { kDeadly, kTeam }));
    REQUIRE(EndUnder(each % 3, { kCompanion, kTeam }));
    REQUIRE(OutputOf(0, { kTeam }));
  }
  for (const crash_suspects& each : mInstances) {
    CHECK(each.IsRejected(kDeadly, mNow));
    CHECK(each.IsRejected(kCompanion, mNow));
    CHECK_FALSE(each.IsRejected(kTeam, mNow));
  }
}

TEST_CASE_FIXTURE(parts_fleet, "crash_parts/instance_starts_anew/learns_it")
{
  EndUntilRejected({ kDeadly });
  crash_suspects started(crash_suspects_settings{}, 9);
  started.Merge(mInstances[0].FullReport(kNoLimit, 0, mNow), mNow);
  CHECK(started.IsRejected(kDeadly, mNow));
}

} // namespace
} // namespace thornhollow
