// The scenarios by name, and the policies that each of them is run with.
//
//   for (const scenario_spec& each : AllScenarios(GraniteRelay())) { ... }
//
#ifndef THORNHOLLOW_POLICY_SCENARIO_CATALOG_H_
#define THORNHOLLOW_POLICY_SCENARIO_CATALOG_H_

#include <string>
#include <vector>

#include "thornhollow/policy/scenario/simulation.h"

namespace thornhollow::scenario {

// All scenarios, set up for the classes and engines of `aDeployment`.
std::vector<scenario_spec>
AllScenarios(const deployment& aDeployment);

// Returns the scenario named `aName`, which must exist.
scenario_spec
FindScenario(const deployment& aDeployment, const std::string& aName);

struct named_policy
{
  std::string mName;
  policy_choice mPolicy;
};

// Returns the project's scheduler, the scheduler with single mechanisms
// switched off or on, the scheduler without any of its queueing mechanisms
// (first in, first out, with the adaptive concurrency limits) or without any of
// its mechanisms for choosing endpoints, and the two baselines.
std::vector<named_policy>
AllPolicies();

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_CATALOG_H_
