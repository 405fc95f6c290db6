#include <doctest/doctest.h>

#include "thornhollow/policy/scenario/catalog.h"
#include "thornhollow/policy/scenario/report.h"

namespace thornhollow::scenario {
namespace {

struct one_engine
{
  one_engine()
  {
    engine_model::callbacks calls;
    calls.mFirstToken = [this](ticket aTicket) {
      mFirst.emplace_back(aTicket, mLoop.Now() - mStart);
    };
    calls.mCompleted = [this](ticket aTicket, const engine_work&) {
      mEnded.emplace_back(aTicket, mLoop.Now() - mStart);
    };
    calls.mLost = [this](ticket aTicket, const engine_work& aWork) {
      mLost.emplace_back(aTicket, aWork.mOutputTokens);
    };
    mEngine.emplace(mLoop, mSettings, std::move(calls));
  }

  event_loop mLoop;
  time_point mStart = mLoop.Now();
  engine_settings mSettings{ .mSlots = 1 };
  std::vector<std::pair<ticket, duration>> mFirst;
  std::vector<std::pair<ticket, duration>> mEnded;
  std::vector<std::pair<ticket, double>> mLost;
  std::optional<engine_model> mEngine;
};

TEST_CASE_FIXTURE(one_engine, "engine_model/one_slot/honours_priority")
{
  mEngine->Add({ 1, 3, 0, 10, 100 });
  mEngine->Add({ 2, 3, 0, 10, 10 });
  mEngine->Add({ 3, 1, 0, 10, 10 });
  mLoop.RunUntil(mStart + Seconds(5));
  REQUIRE(mEnded.size() == 3);
  CHECK(mEnded[0].first == 1);
  CHECK(mEnded[1].first == 3);
  CHECK(mEnded[2].first == 2);
  // One prefill step of 6.5 ms, then 99 steps of 4.5 ms.
  CHECK(ToMilliseconds(mFirst[0].second) == 6);
  CHECK(ToMilliseconds(mEnded[0].second) == 452);
}

TEST_CASE_FIXTURE(one_engine, "engine_model/crash/loses_all_with_their_cost")
{
  mEngine->Add({ 1, 3, 0, 10, 1000 });
  mEngine->Add({ 2, 3, 0, 10, 10 });
  mLoop.RunUntil(mStart + Seconds(1));
  mEngine->Crash();
  REQUIRE(mLost.size() == 2);
  CHECK(mLost[0].second == doctest::Approx(221.8).epsilon(0.01));
  CHECK(mLost[1].second == 0);
  CHECK(!mEngine->IsUp());
}

TEST_CASE("simulation/same_seed/same_outcome")
{
  const deployment site = FerreiraNetos();
  const scenario_spec spec = FindScenario(site, "endpoint_crash");
  const named_policy policy = AllPolicies().front();
  CHECK(ToJson({ RunRow(site, spec, policy, 1) }) ==
        ToJson({ RunRow(site, spec, policy, 1) }));
}

// Checks the simulation itself: a baseline that sends every request immediately
// leaves all queueing to the engine models, which must attain nearly all
// targets at light load.
TEST_CASE("simulation/baselines_at_light_load/attain_nearly_all")
{
  const deployment site = GraniteRelay();
  const scenario_spec spec = FindScenario(site, "steady");
  const outcome got = Run(site, spec, least_outstanding{}, 1);
  for (const class_outcome& each : got.mClasses) {
    CHECK(each.mRequests > 100);
    CHECK(each.Attainment() > 0.97);
  }
  CHECK(got.mWastedFraction < 0.01);
}

} // namespace
} // namespace thornhollow::scenario
