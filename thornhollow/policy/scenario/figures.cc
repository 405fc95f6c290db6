#include "thornhollow/policy/scenario/figures.h"

#include <algorithm>

namespace thornhollow::scenario {
namespace {

template<class figure>
double
Median(const outcomes& aRuns, figure aFigure)
{
  std::vector<double> values;
  for (const outcome& each : aRuns) {
    values.push_back(aFigure(each));
  }
  std::ranges::sort(values);
  return values[values.size() / 2];
}

} // namespace

outcomes
RunSeeds(const deployment& aSite,
         const std::string& aScenario,
         const policy_choice& aPolicy,
         std::uint64_t aSeeds)
{
  const scenario_spec spec = FindScenario(aSite, aScenario);
  outcomes runs;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    runs.push_back(Run(aSite, spec, aPolicy, seed));
  }
  return runs;
}

double
Attainment(const outcomes& aRuns, int aTier)
{
  return Median(aRuns, [aTier](const outcome& aOf) {
    return std::ranges::find(aOf.mClasses, aTier, &class_outcome::mTier)
      ->Attainment();
  });
}

double
TokenShareFromTier(const outcomes& aRuns, int aTier)
{
  return Median(aRuns, [aTier](const outcome& aOf) {
    double tokens = 0;
    for (const class_outcome& each : aOf.mClasses) {
      tokens += each.mTier >= aTier ? each.mTokensPerSecond : 0;
    }
    return tokens / aOf.mTokensPerSecond;
  });
}

double
WastedFraction(const outcomes& aRuns)
{
  return Median(aRuns, [](const outcome& aOf) { return aOf.mWastedFraction; });
}

double
ErrorResponses(const outcomes& aRuns)
{
  return Median(aRuns, [](const outcome& aOf) {
    double sum = 0;
    for (const std::uint32_t each : aOf.mErrors) {
      sum += each;
    }
    return sum;
  });
}

double
OtherTeamsAttainment(const outcomes& aRuns)
{
  return Median(aRuns,
                [](const outcome& aOf) { return aOf.mOtherTeamsAttainment; });
}

double
TokensPerSecond(const outcomes& aRuns)
{
  return Median(aRuns, [](const outcome& aOf) { return aOf.mTokensPerSecond; });
}

double
RecoverySeconds(const outcomes& aRuns)
{
  return Median(aRuns, [](const outcome& aOf) { return aOf.mRecoverySeconds; });
}

} // namespace thornhollow::scenario
