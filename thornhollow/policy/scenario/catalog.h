// The scenarios by name, and the policies that each is run with.
//
//   for (const scenario_spec& each : AllScenarios(GraniteRelay())) { ... }
//
#ifndef THORNHOLLOW_POLICY_SCENARIO_CATALOG_H_
#define THORNHOLLOW_POLICY_SCENARIO_CATALOG_H_

#include <string>
#include <vector>

#include "thornhollow/policy/scenario/simulation.h"

namespace thornhollow::scenario {

// Every scenario, for `aDeployment`'s own classes and engines.
std::vector<scenario_spec>
AllScenarios(const deployment& aDeployment);

// The scenario of this name; there must be one.
scenario_spec
FindScenario(const deployment& aDeployment, const std::string& aName);

struct named_policy
{
  std::string mName;
  policy_choice mPolicy;
};

// The project's scheduler, the same with its waiting side off (first in first
// out behind the learnt limits), and the two baselines.
std::vector<named_policy>
AllPolicies();

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_CATALOG_H_
