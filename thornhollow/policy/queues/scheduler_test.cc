#include <doctest/doctest.h>

#include "thornhollow/policy/queues/scheduler.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };

struct one_slot_scheduler
{
  one_slot_scheduler()
  {
    mScheduler.Configure(Declared(), domain_name("d1"), kStart);
  }

  static declarations Declared()
  {
    declarations declared;
    declared.mModels = { { model_name("m") } };
    declared.mEndpoints = { { endpoint_name("e1"),
                              domain_name("d1"),
                              "127.0.0.1:1",
                              { pool_name("m") },
                              1 } };
    return declared;
  }

  static work_item Item(ticket aTicket, int aTier)
  {
    work_item item;
    item.mTicket = aTicket;
    item.mPool = pool_name("m");
    item.mTier = aTier;
    item.mArrival = kStart;
    item.mDeadline = kStart + Seconds(10);
    return item;
  }

  scheduler mScheduler{ scheduler_settings{}, 1 };
};

TEST_CASE_FIXTURE(one_slot_scheduler,
                  "scheduler/place_freed/higher_tier_starts_first")
{
  CHECK(mScheduler.Submit(Item(1, 2), kStart) ==
        decisions{ start{ 1, endpoint_name("e1") } });
  CHECK(mScheduler.Submit(Item(2, 4), kStart).empty());
  CHECK(mScheduler.Submit(Item(3, 1), kStart).empty());
  CHECK(mScheduler.OnAttemptEnded(
          1, attempt_end::kCompleted, 5, kStart + Seconds(1)) ==
        decisions{ start{ 3, endpoint_name("e1") } });
}

TEST_CASE_FIXTURE(one_slot_scheduler,
                  "scheduler/deadline_passed_waiting/refuses_as_not_run")
{
  mScheduler.Submit(Item(1, 2), kStart);
  mScheduler.Submit(Item(2, 2), kStart);
  CHECK(mScheduler.NextDue() == kStart + Seconds(10));
  const decisions due = mScheduler.Advance(kStart + Seconds(10));
  REQUIRE(due.size() == 1);
  CHECK(std::get<refuse>(due[0]).mKind == error_kind::kDeadlineExpiredWaiting);
  CHECK(mScheduler.Waiting() == 0);
}

// The process is paused for 20 s while requests wait. Whichever event the
// scheduler handles first, expired requests must be refused as not run. If
// started, expired requests would waste an endpoint's work because their
// callers have disconnected.
TEST_CASE_FIXTURE(one_slot_scheduler,
                  "scheduler/woke_late/deadlines_pass_before_anything_starts")
{
  mScheduler.Tick(kStart);
  mScheduler.Submit(Item(1, 2), kStart);
  mScheduler.Submit(Item(2, 2), kStart);
  const decisions woke = mScheduler.OnAttemptEnded(
    1, attempt_end::kCompleted, 5, kStart + Seconds(20));
  REQUIRE(woke.size() == 1);
  CHECK(std::get<refuse>(woke[0]).mTicket == 2);
  CHECK(std::get<refuse>(woke[0]).mKind == error_kind::kDeadlineExpiredWaiting);
}

// Requests of the class run for 4 s. A request that still waits 3 s before its
// deadline can no longer complete in time and must be refused instead of being
// started and cut off at the deadline.
TEST_CASE_FIXTURE(one_slot_scheduler,
                  "scheduler/cannot_finish_any_more/refused_not_started")
{
  time_point now = kStart;
  ticket next = 0;
  for (; next < 20; now += Seconds(4)) {
    work_item item = Item(++next, 2);
    item.mDeadline = now + Seconds(10);
    mScheduler.Submit(item, now);
    mScheduler.OnAttemptEnded(
      next, attempt_end::kCompleted, 500, now + Seconds(4));
    mScheduler.Forget(next, now + Seconds(4));
  }
  work_item running = Item(21, 2);
  running.mDeadline = now + Seconds(60);
  mScheduler.Submit(running, now);
  work_item late = Item(22, 2);
  late.mDeadline = now + Seconds(10);
  CHECK(mScheduler.Submit(late, now).empty());
  const decisions due = mScheduler.Advance(now + Seconds(7));
  REQUIRE(due.size() == 1);
  CHECK(std::get<refuse>(due[0]).mKind == error_kind::kDeadlineUnmeetable);
}

TEST_CASE_FIXTURE(one_slot_scheduler,
                  "scheduler/team_over_its_limit/refuses_with_its_kind")
{
  declarations declared = Declared();
  declared.mTeams = { { team_name("t"), {}, {}, 1, 1 } };
  mScheduler.Configure(declared, domain_name("d1"), kStart);
  work_item first = Item(1, 2);
  first.mTeam = team_name("t");
  work_item second = Item(2, 2);
  second.mTeam = team_name("t");
  CHECK(mScheduler.Submit(first, kStart).size() == 1);
  const decisions refused = mScheduler.Submit(second, kStart);
  REQUIRE(refused.size() == 1);
  CHECK(std::get<refuse>(refused[0]).mKind == error_kind::kTeamOverLimit);
  mScheduler.Forget(1, kStart);
  CHECK(mScheduler.Submit(second, kStart).size() == 1);
}

TEST_CASE_FIXTURE(one_slot_scheduler,
                  "scheduler/class_undeclared/waiting_requests_are_refused")
{
  declarations declared = Declared();
  declared.mClasses = { { class_name("c"), {}, 0, true, {} } };
  mScheduler.Configure(declared, domain_name("d1"), kStart);
  mScheduler.Submit(Item(1, 2), kStart);
  work_item waiting = Item(2, 2);
  waiting.mClass = class_name("c");
  CHECK(mScheduler.Submit(waiting, kStart).empty());
  const decisions out =
    mScheduler.Configure(Declared(), domain_name("d1"), kStart);
  REQUIRE(out.size() == 1);
  CHECK(std::get<refuse>(out[0]) == refuse{ 2, error_kind::kUnknownClass, {} });
}

} // namespace
} // namespace thornhollow
