// The two deployments of the brief as the scenarios run them: declarations,
// entry instances, and the traffic that each class brings.
#ifndef THORNHOLLOW_POLICY_SCENARIO_DEPLOYMENT_H_
#define THORNHOLLOW_POLICY_SCENARIO_DEPLOYMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "thornhollow/config/declarations.h"
#include "thornhollow/policy/scenario/engine_model.h"

namespace thornhollow::scenario {

// What the requests of one class look like. Lengths are log-normal: most are
// near the median, a few are many times as long.
struct class_traffic
{
  class_name mClass;
  pool_name mPool;
  // Part of its pool's capacity that the class asks for at a load of 1.
  double mShareOfPool = 0;
  double mMedianPrompt = 0;
  double mMedianOutput = 0;
  // Standard deviation of the logarithm of both lengths.
  double mLengthLogStdDev = 0.4;
  std::uint32_t mMaxOutput = 0;
  // Distinct prompt prefixes in use; the n-th is used 1/n as often as the
  // first.
  std::uint32_t mPrefixCount = 1;
};

struct deployment
{
  std::string mName;
  declarations mDeclared;
  engine_settings mEngine;
  std::vector<class_traffic> mTraffic;
  // The domain of each entry instance.
  std::vector<domain_name> mInstanceDomains;
  duration mInterDomainLatency{};
};

// Relief dispatch: 10 + 3 engines, long pallet plans beside short route notes.
deployment
GraniteRelay();

// Fly-tipping complaints: 12 + 3 engines, reports of like size.
deployment
FerreiraNetos();

// Requests a second of `aTraffic` at which its class asks for its share of the
// pool, from the model's own figures: full batches, mean lengths, cold
// prefixes.
double
RequestRate(const deployment& aDeployment, const class_traffic& aTraffic);

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_DEPLOYMENT_H_
