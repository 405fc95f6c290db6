#include <doctest/doctest.h>

#include "thornhollow/discovery/call_round.h"

namespace thornhollow {
namespace {

struct round_with_a_watch
{
  time_point mStart = time_point() + Seconds(10);
  call_round mRound;

  round_with_a_watch()
  {
    source_call watch;
    watch.mList = false;
    watch.mWait = Seconds(2);
    watch.mPatience = Milliseconds(350);
    watch.mLimit = Seconds(2);
    mRound.OnSent(watch, mStart);
  }
};

TEST_CASE_FIXTURE(round_with_a_watch, "call_round/nothing_comes/is_overdue")
{
  CHECK_FALSE(mRound.Overdue(mStart + Milliseconds(2'340)));
  CHECK(mRound.Overdue(mStart + Milliseconds(2'350)));
}

// Guards against a document of hundreds of kilobytes that is asked for again
// while it comes, and then comes twice as slowly.
TEST_CASE_FIXTURE(round_with_a_watch,
                  "call_round/large_answer/its_transfer_is_waited_for")
{
  for (int each = 0; each < 100; ++each) {
    const time_point now = mStart + Seconds(1) + each * Milliseconds(100);
    mRound.OnBytes(now);
    CHECK_FALSE(mRound.Overdue(now + Milliseconds(99)));
    CHECK_FALSE(
      mRound.MayBeDoubted(watch_doubt::kOtherCallFails, now + Milliseconds(1)));
  }
}

// Guards against waiting for an answer whose source fell silent in its middle.
TEST_CASE_FIXTURE(round_with_a_watch,
                  "call_round/answer_that_stops/is_overdue_within_a_second")
{
  mRound.OnBytes(mStart + Milliseconds(2'300));
  CHECK_FALSE(mRound.Overdue(mStart + Milliseconds(2'800)));
  CHECK(mRound.Overdue(mStart + Milliseconds(2'900)));
}

TEST_CASE_FIXTURE(round_with_a_watch, "call_round/ended/nothing_is_overdue")
{
  mRound.End();
  CHECK_FALSE(mRound.Overdue(mStart + Seconds(9)));
  CHECK_FALSE(
    mRound.MayBeDoubted(watch_doubt::kPeerKnewFirst, mStart + Seconds(9)));
}

TEST_CASE_FIXTURE(round_with_a_watch, "call_round/just_made/is_not_doubted")
{
  const time_point soon = mStart + Milliseconds(100);
  CHECK_FALSE(mRound.MayBeDoubted(watch_doubt::kPeerFails, soon));
  CHECK(mRound.MayBeDoubted(watch_doubt::kPeerKnewFirst, soon));
}

} // namespace
} // namespace thornhollow
