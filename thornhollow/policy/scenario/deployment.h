// The two reference deployments of the scenarios: declarations, entry
// instances, and the traffic of each class.
//
//   const deployment site = GraniteRelay();
//   const double rate = RequestRate(site, site.mTraffic.front());
//
#ifndef THORNHOLLOW_POLICY_SCENARIO_DEPLOYMENT_H_
#define THORNHOLLOW_POLICY_SCENARIO_DEPLOYMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "thornhollow/config/declarations.h"
#include "thornhollow/policy/scenario/engine_model.h"

namespace thornhollow::scenario {

// The traffic of one class in one pool. Lengths are log-normal: most are near
// the median, a few are many times as long.
struct class_traffic
{
  class_name mClass;
  pool_name mPool;
  // Fraction of its pool's capacity that the class demands when the total
  // demand equals the capacity (a load of 1).
  double mShareOfPool = 0;
  double mMedianPrompt = 0;
  double mMedianOutput = 0;
  // Standard deviation of the natural logarithm of the prompt length and of the
  // output length.
  double mLengthLogStdDev = 0.4;
  std::uint32_t mMaxOutput = 0;
  // Number of distinct prompt prefixes of the class. The n-th prefix is used
  // 1/n as often as the first.
  std::uint32_t mPrefixCount = 1;
};

struct deployment
{
  std::string mName;
  declarations mDeclared;
  engine_settings mEngine;
  std::vector<class_traffic> mTraffic;
  // The failure domain of each entry instance.
  std::vector<domain_name> mInstanceDomains;
  duration mInterDomainLatency{};
};

// Dispatch of relief goods: two pools of 10 and 3 engines, with long pallet
// plans mixed with short route notes.
deployment
GraniteRelay();

// Complaints about fly-tipping: two pools of 12 and 3 engines, with reports of
// similar length.
deployment
FerreiraNetos();

// Requests per second of `aTraffic` at which its class demands
// `mShareOfPool` of its pool, computed from the engine model for full batches,
// mean lengths and uncached prefixes.
double
RequestRate(const deployment& aDeployment, const class_traffic& aTraffic);

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_DEPLOYMENT_H_
