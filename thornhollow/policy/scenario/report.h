// Runs scenarios with several seeds and reports the median and range of the
// measured figures over the seeds, as a text table or as JSON.
//
//   const std::vector<report_row> rows = RunTable({ .mSeeds = 5 });
//   std::fputs(ToText(rows).c_str(), stdout);
//
#ifndef THORNHOLLOW_POLICY_SCENARIO_REPORT_H_
#define THORNHOLLOW_POLICY_SCENARIO_REPORT_H_

#include <string>
#include <vector>

#include "thornhollow/policy/scenario/catalog.h"

namespace thornhollow::scenario {

// Median and range of a figure over the seeds of a scenario's runs.
struct median_range
{
  double mMedian = 0;
  double mMin = 0;
  double mMax = 0;
};

// Returns the median and range of `aValues`, which must not be empty.
median_range
MedianRangeOf(std::vector<double> aValues);

struct class_row
{
  class_name mClass;
  int mTier = kLowestTier;
  median_range mAttainment;
  median_range mCompletion;
  median_range mFirstToken95;
  median_range mTokensPerSecond;
};

// The figures of one scenario in one deployment under one policy.
struct report_row
{
  std::string mDeployment;
  std::string mScenario;
  std::string mPolicy;
  std::vector<class_row> mClasses;
  median_range mOtherTeams;
  median_range mTokensPerSecond;
  median_range mRequestsPerSecond;
  median_range mWastedFraction;
  median_range mRecoverySeconds;
  median_range mRetryPeak;
  // Median count over the seeds of each error kind that occurred.
  std::vector<std::pair<error_kind, double>> mErrors;
};

struct table_options
{
  // Selects scenarios, deployments and policies whose name contains the text.
  // An empty text selects all.
  std::string mScenario;
  std::string mDeployment;
  std::string mPolicy;
  std::uint64_t mSeeds = 5;
};

// Runs the scenario with seeds 1 to `aSeeds`.
report_row
RunRow(const deployment& aDeployment,
       const scenario_spec& aScenario,
       const named_policy& aPolicy,
       std::uint64_t aSeeds);

std::vector<report_row>
RunTable(const table_options& aOptions);

std::string
ToText(const std::vector<report_row>& aRows);

std::string
ToJson(const std::vector<report_row>& aRows);

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_REPORT_H_
