// How long runs take, learnt by class and pool from those that completed.
//
//   run_time_estimate runs;
//   runs.Learn(item, runLength);
//   const duration least = runs.Shortest(item);
//
// Load pattern: a request waited so long that its answer can't be whole before
// its deadline any more. Started nevertheless, it takes a place, is cut off at
// its deadline, and all its tokens are wasted, most of them exactly when
// capacity is short.
//
// Grounds for the figures: the run that one in ten stays below. A higher
// quantile refuses requests that would have made it; the lowest run seen is an
// outlier that refuses nothing. Fewer than 16 runs say nothing about a tenth.
#ifndef THORNHOLLOW_POLICY_RUN_TIME_ESTIMATE_H_
#define THORNHOLLOW_POLICY_RUN_TIME_ESTIMATE_H_

#include <unordered_map>

#include "thornhollow/policy/length_estimate.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct run_time_settings
{
  // Part of the runs that may be shorter than the estimate; 0: none is made.
  double mQuantile = 0.1;
  std::uint32_t mMinRuns = 16;

  friend bool operator==(const run_time_settings&,
                         const run_time_settings&) = default;
};

class run_time_estimate
{
public:
  explicit run_time_estimate(const run_time_settings& aSettings);

  // Forgets classes that are no longer declared.
  void Configure(const declarations& aDeclared);

  // A request like `aItem` got its whole answer in `aLength`.
  void Learn(const work_item& aItem, duration aRunTime);

  // A run of `aItem` is unlikely to be shorter; zero where nothing is known.
  duration LowerBound(const work_item& aItem) const;

private:
  // Lengths in milliseconds.
  using by_pool = std::unordered_map<pool_name, length_histogram>;

  run_time_settings mSettings;
  std::unordered_map<class_name, by_pool> mRuns;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_RUN_TIME_ESTIMATE_H_
