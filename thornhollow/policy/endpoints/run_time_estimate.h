// Estimates the run time of requests from completed ones of the same class and
// pool.
//
//   run_time_estimate runs;
//   runs.Learn(item, runTime);
//   const duration lowerBound = runs.LowerBound(item);
//
// Load pattern: a request has waited so long that its response can no longer be
// complete by its deadline. If it is started anyway, it occupies a slot, is cut
// off at its deadline, and all its tokens are wasted, mostly at times when
// capacity is short.
//
// Choice of constants: the bound is the 10% quantile of the run times. With a
// higher quantile, more requests would be refused that could still have met
// their deadline. The shortest run seen is an outlier, so that a bound at that
// value would refuse almost nothing. Fewer than 16 runs are too few for a 10%
// quantile.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_RUN_TIME_ESTIMATE_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_RUN_TIME_ESTIMATE_H_

#include <unordered_map>

#include "thornhollow/policy/queues/length_estimate.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct run_time_settings
{
  // Fraction of the completed runs that are shorter than the lower bound of the
  // run time; 0 disables the bound.
  double mQuantile = 0.1;
  std::uint32_t mMinRuns = 16;

  friend bool operator==(const run_time_settings&,
                         const run_time_settings&) = default;
};

class run_time_estimate
{
public:
  explicit run_time_estimate(const run_time_settings& aSettings);

  // Drops the samples of classes that are no longer declared.
  void Configure(const declarations& aDeclared);

  // Records that a request like `aItem` was completed in `aRunTime`.
  void Learn(const work_item& aItem, duration aRunTime);

  // Lower bound for the run time of `aItem`: only the fraction `mQuantile` of
  // completed runs was shorter. Zero if the bound is disabled or fewer than
  // `mMinRuns` runs were recorded.
  duration LowerBound(const work_item& aItem) const;

private:
  // Histograms of the run times of completed requests, in milliseconds.
  using by_pool = std::unordered_map<pool_name, length_histogram>;

  run_time_settings mSettings;
  std::unordered_map<class_name, by_pool> mRuns;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_RUN_TIME_ESTIMATE_H_
