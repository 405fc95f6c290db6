#include <doctest/doctest.h>

#include "thornhollow/policy/scheduler.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };

struct one_slot_scheduler
{
  one_slot_scheduler()
  {
    declarations declared;
    declared.mModels = { { model_name("m") } };
    declared.mEndpoints = { { endpoint_name("e1"),
                              domain_name("d1"),
                              "127.0.0.1:1",
                              { pool_name("m") },
                              1 } };
    mScheduler.Configure(declared, domain_name("d1"), kStart);
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

} // namespace
} // namespace thornhollow
