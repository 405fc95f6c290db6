// Compares the service that callers receive with a single endpoint policy
// switched on and off, in virtual time. The runs are deterministic, so the
// bounds need no tolerance for chance, only for the effect of changes to other
// code: each bound is half of the difference that was measured when the bound
// was set.

#include <cstdint>
#include <string>

#include <doctest/doctest.h>

#include "thornhollow/policy/scenario/catalog.h"

namespace thornhollow::scenario {
namespace {

constexpr std::uint64_t kSeeds = 2;

struct on_and_off
{
  // Mean attainment of tier 1 over the seeds.
  static double HighestTier(const deployment& aDeployment,
                            const scenario_spec& aScenario,
                            const scheduler_settings& aSettings)
  {
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      sum += Run(aDeployment, aScenario, aSettings, seed)
               .mClasses.front()
               .Attainment();
    }
    return sum / static_cast<double>(kSeeds);
  }

  scheduler_settings mOn;
  scheduler_settings mOff;
};

// Demand is twice the capacity and no load reports arrive. Without adaptive
// concurrency limits each of eight instances fills every slot by itself, so the
// engines get eight times the requests that they can batch, and requests of the
// highest tier wait behind these. Measured attainment of the highest tier with
// and without the limits: 0.91 and 0.72 in one deployment, 0.95 and 0.78 in the
// other.
TEST_CASE_FIXTURE(on_and_off,
                  "endpoint_scenario/reports_missing/limit_is_learnt")
{
  mOff.mEndpoints.mRecord.mLimit.mAdaptive = false;
  for (const deployment& each : { GraniteRelay(), FerreiraNetos() }) {
    scenario_spec overload = FindScenario(each, "overload_2");
    overload.mReportLag = Milliseconds(-1);
    const double on = HighestTier(each, overload, mOn);
    const double off = HighestTier(each, overload, mOff);
    MESSAGE(each.mName << ": on " << on << ", off " << off);
    CHECK(on >= off + 0.08);
  }
}

// Seven in ten requests share a prefix. If these requests were always sent to
// the endpoint that has the prefix cached, they would queue there while other
// endpoints have free slots.
TEST_CASE_FIXTURE(on_and_off, "endpoint_scenario/hot_prefix/spreads_under_load")
{
  mOff.mEndpoints.mChoice.mPrefillTimePerToken = Milliseconds(10);
  const deployment granite = GraniteRelay();
  const scenario_spec hot = FindScenario(granite, "hot_prefix");
  const double on = HighestTier(granite, hot, mOn);
  const double off = HighestTier(granite, hot, mOff);
  MESSAGE("on " << on << ", always sent to the caching endpoint " << off);
  CHECK(on >= 0.99);
  CHECK(on > off);
}

} // namespace
} // namespace thornhollow::scenario
