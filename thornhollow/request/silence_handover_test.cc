#include <doctest/doctest.h>

#include "thornhollow/request/silence_handover.h"

namespace thornhollow {
namespace {

struct silent_attempt
{
  time_point mNow{ Seconds(100) };
  silence_handover mHandover;

  handover_step After(duration aTime)
  {
    mNow += aTime;
    return mHandover.OnSilence(mNow);
  }
};

} // namespace

TEST_CASE_FIXTURE(silent_attempt, "silence_handover/idle/prepares_at_once")
{
  CHECK(After({}) == handover_step::kPrepare);
  CHECK(mHandover.NextCheck(mNow) == mNow);
}

// Guards against a silent attempt that is closed before another endpoint has
// shown that it responds.
TEST_CASE_FIXTURE(silent_attempt, "silence_handover/preparing/never_switches")
{
  mHandover.OnPreparing();
  for (int step = 0; step < 100; ++step) {
    CHECK(After(Milliseconds(100)) == handover_step::kWait);
    CHECK(mHandover.NextCheck(mNow) > mNow);
  }
}

// Guards against two engines that work on one stream for long.
TEST_CASE_FIXTURE(silent_attempt,
                  "silence_handover/overlapping/switches_after_max_overlap")
{
  mHandover.OnPreparing();
  mHandover.OnSent(mNow);
  CHECK(mHandover.NextCheck(mNow) == mNow + Milliseconds(300));
  CHECK(After(Milliseconds(299)) == handover_step::kWait);
  CHECK(After(Milliseconds(1)) == handover_step::kSwitch);
}

// Guards against a loop without a pause where the silent attempt is kept beyond
// the overlap.
TEST_CASE_FIXTURE(silent_attempt,
                  "silence_handover/overlap_over/is_checked_after_a_pause")
{
  mHandover.OnSent(mNow);
  CHECK(After(Seconds(1)) == handover_step::kSwitch);
  CHECK(mHandover.NextCheck(mNow) == mNow + Milliseconds(200));
}

// Guards against questions without a pause to endpoints that all stand still.
TEST_CASE_FIXTURE(silent_attempt,
                  "silence_handover/failed/pauses_then_prepares")
{
  mHandover.OnPreparing();
  mHandover.OnFailed(mNow);
  CHECK(After({}) == handover_step::kWait);
  CHECK(mHandover.NextCheck(mNow) == mNow + Milliseconds(200));
  CHECK(After(Milliseconds(200)) == handover_step::kPrepare);
}

TEST_CASE_FIXTURE(silent_attempt, "silence_handover/reset/starts_anew")
{
  mHandover.OnSent(mNow);
  mHandover.Reset();
  CHECK(mHandover.Phase() == handover_phase::kIdle);
  CHECK(After(Seconds(1)) == handover_step::kPrepare);
}

// Guards against a stream that is taken from its endpoint within a pause that
// its route allows.
TEST_CASE("silence_handover/timeout/not_within_the_pause_that_the_route_allows")
{
  route stream;
  stream.mKind = request_kind::kResumableStream;
  stream.mEventGapTarget = Milliseconds(200);
  CHECK(SilenceTimeout(stream) == Milliseconds(1'300));
  stream.mEventGapTarget = Milliseconds(1'500);
  CHECK(SilenceTimeout(stream) == Milliseconds(1'500));
}

TEST_CASE("silence_handover/timeout/of_look_ups_by_their_target")
{
  route lookUp;
  lookUp.mKind = request_kind::kIdempotent;
  lookUp.mTarget = Milliseconds(150);
  CHECK(SilenceTimeout(lookUp) == Milliseconds(1'300));
  lookUp.mTarget = Milliseconds(500);
  CHECK(SilenceTimeout(lookUp) == Seconds(2));
}

} // namespace thornhollow
