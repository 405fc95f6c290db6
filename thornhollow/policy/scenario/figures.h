// Figures over several runs of a scenario: medians over the seeds.
//
//   const outcomes runs = RunAll(GraniteRelay(), "overload_2", policy, 3);
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

// The scenario with the seeds 1 to `aSeeds`.
outcomes
RunSeeds(const deployment& aSite,
         const std::string& aScenario,
         const policy_choice& aPolicy,
         std::uint64_t aSeeds);

// Of the first class of this tier; there must be one.
double
Attainment(const outcomes& aRuns, int aTier);

// Attainment of all teams but the first, over all classes.
double
OtherTeamsAttainment(const outcomes& aRuns);

// The part of the useful tokens that the tiers from `aTier` down get.
double
TokenShareFromTier(const outcomes& aRuns, int aTier);

double
TokensPerSecond(const outcomes& aRuns);

double
WastedFraction(const outcomes& aRuns);

// Answers with an error, of any kind.
double
ErrorResponses(const outcomes& aRuns);

double
RecoverySeconds(const outcomes& aRuns);

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_FIGURES_H_
