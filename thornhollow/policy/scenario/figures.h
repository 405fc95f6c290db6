// Figures of several runs of a scenario, each the median over the runs.
//
//   const outcomes runs = RunSeeds(GraniteRelay(), "overload_2", policy, 3);
//   Attainment(runs, kHighestTier);
//
#ifndef THORNHOLLOW_POLICY_SCENARIO_FIGURES_H_
#define THORNHOLLOW_POLICY_SCENARIO_FIGURES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "thornhollow/policy/scenario/catalog.h"

namespace thornhollow::scenario {

using outcomes = std::vector<outcome>;

// Runs the scenario with seeds 1 to `aSeeds`.
outcomes
RunSeeds(const deployment& aSite,
         const std::string& aScenario,
         const policy_choice& aPolicy,
         std::uint64_t aSeeds);

// Attainment (fraction of requests within their targets) of the first class of
// the given tier, which must exist.
double
Attainment(const outcomes& aRuns, int aTier);

// Attainment (fraction of requests within their targets) of all teams except
// the first, over all classes.
double
OtherTeamsAttainment(const outcomes& aRuns);

// Fraction of the goodput, in tokens, of classes of `aTier` and lower tiers.
double
TokenShareFromTier(const outcomes& aRuns, int aTier);

double
TokensPerSecond(const outcomes& aRuns);

double
WastedFraction(const outcomes& aRuns);

// Number of responses with an error, over all kinds of errors.
double
ErrorResponses(const outcomes& aRuns);

double
RecoverySeconds(const outcomes& aRuns);

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_FIGURES_H_
