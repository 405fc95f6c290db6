#include <doctest/doctest.h>

#include "thornhollow/discovery/pending_calls.h"

namespace thornhollow {
namespace {

struct calls_with_watch
{
  time_point mStart = time_point() + Seconds(10);
  pending_calls mCalls;

  calls_with_watch()
  {
    source_call watch;
    watch.mList = false;
    watch.mWait = Seconds(2);
    watch.mResponseTimeout = Milliseconds(350);
    watch.mIdleTimeout = Seconds(2);
    mCalls.OnSent(watch, mStart);
  }
};

TEST_CASE_FIXTURE(calls_with_watch, "pending_calls/nothing_comes/is_overdue")
{
  CHECK_FALSE(mCalls.IsOverdue(mStart + Milliseconds(2'340)));
  CHECK(mCalls.IsOverdue(mStart + Milliseconds(2'350)));
}

// Guards against requesting a document of hundreds of kilobytes again during
// its transfer, which halves the bandwidth of both transfers.
TEST_CASE_FIXTURE(calls_with_watch,
                  "pending_calls/large_answer/its_transfer_is_waited_for")
{
  for (int each = 0; each < 100; ++each) {
    const time_point now = mStart + Seconds(1) + each * Milliseconds(100);
    mCalls.OnBytes(now);
    CHECK_FALSE(mCalls.IsOverdue(now + Milliseconds(99)));
    CHECK_FALSE(mCalls.AllowsProbe(suspicion_reason::kOtherCallFails,
                                   now + Milliseconds(1)));
  }
}

// Guards against waiting for the rest of a response when the source becomes
// unresponsive in the middle of the transfer.
TEST_CASE_FIXTURE(calls_with_watch,
                  "pending_calls/answer_that_stops/is_overdue_within_a_second")
{
  mCalls.OnBytes(mStart + Milliseconds(2'300));
  CHECK_FALSE(mCalls.IsOverdue(mStart + Milliseconds(2'800)));
  CHECK(mCalls.IsOverdue(mStart + Milliseconds(2'900)));
}

TEST_CASE_FIXTURE(calls_with_watch, "pending_calls/ended/nothing_is_overdue")
{
  mCalls.Clear();
  CHECK_FALSE(mCalls.IsOverdue(mStart + Seconds(9)));
  CHECK_FALSE(
    mCalls.AllowsProbe(suspicion_reason::kPeerKnewFirst, mStart + Seconds(9)));
}

TEST_CASE_FIXTURE(calls_with_watch, "pending_calls/just_made/is_not_doubted")
{
  const time_point shortlyAfter = mStart + Milliseconds(100);
  CHECK_FALSE(mCalls.AllowsProbe(suspicion_reason::kPeerFails, shortlyAfter));
  CHECK(mCalls.AllowsProbe(suspicion_reason::kPeerKnewFirst, shortlyAfter));
}

} // namespace
} // namespace thornhollow
