#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/endpoint_states.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };
const endpoint_name kEngine("e1");

struct engine_states
{
  endpoint_states mStates;
  const endpoint_state_changes mLeaves{ { kEngine, endpoint_state::kLeaving } };
  const endpoint_state_changes mReturns{ { kEngine, endpoint_state::kLive } };
};

TEST_CASE_FIXTURE(engine_states, "engine/own_word_against_list/stays_leaving")
{
  // An engine reports that it is leaving while the platform's list, which lags
  // by seconds, still shows it as live. If the list took precedence, the engine
  // would get requests that are cut off when the engine stops.
  CHECK(mStates.OnLeavingReported(kEngine, kStart + Seconds(60)) == mLeaves);
  CHECK(mStates.OnPlatformList({}).empty());
  CHECK(mStates.OnPlatformList({ kEngine }).empty());
  CHECK(mStates.Advance(kStart + Seconds(60)).empty());
  CHECK(mStates.OnPlatformList({}) == mReturns);
}

TEST_CASE_FIXTURE(engine_states, "engine/word_not_repeated/ends_by_itself")
{
  mStates.OnLeavingReported(kEngine, kStart + Seconds(60));
  CHECK(mStates.NextDue() == kStart + Seconds(60));
  CHECK(mStates.Advance(kStart + Seconds(59)).empty());
  CHECK(mStates.Advance(kStart + Seconds(60)) == mReturns);
  CHECK_FALSE(mStates.NextDue());
}

TEST_CASE_FIXTURE(engine_states, "engine/word_repeated/is_one_change")
{
  CHECK(mStates.OnLeavingReported(kEngine, kStart + Seconds(1)) == mLeaves);
  CHECK(mStates.OnLeavingReported(kEngine, kStart + Seconds(5)).empty());
  CHECK(mStates.Advance(kStart + Seconds(2)).empty());
}

} // namespace
} // namespace thornhollow
