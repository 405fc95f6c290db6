// Sums up a run of the load tool: for each class attainment, delays and
// refusals; over all, goodput and wasted work.
//
//   load_report report(workload);
//   report.Add(classIndex, plannedAt, submissions, result);
//   std::puts(report.Table(elapsed, computed).c_str());
#ifndef THORNHOLLOW_TOOLS_LOAD_REPORT_H_
#define THORNHOLLOW_TOOLS_LOAD_REPORT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/tools/load_check.h"
#include "thornhollow/tools/load_workload.h"

namespace thornhollow {

struct percentiles
{
  duration mHalf{};
  duration mNinetyFive{};
  duration mNinetyNine{};

  friend bool operator==(const percentiles&, const percentiles&) = default;
};

// Exact percentiles by the nearest-rank method; zero without samples.
percentiles
PercentilesOf(std::vector<duration> aSamples);

class load_report
{
public:
  explicit load_report(const workload& aWorkload);

  // One request's end. `aPlanned` is the time of its arrival in the plan, so
  // that a late start counts against the answer.
  void Add(std::size_t aClass,
           time_point aPlanned,
           std::uint32_t aSubmissions,
           const load_result& aResult);

  // `aComputed` is what the engines count, where they were asked.
  std::string Table(duration aElapsed,
                    std::optional<std::uint64_t> aComputed) const;
  std::string Json(duration aElapsed,
                   std::optional<std::uint64_t> aComputed) const;

  // Whether every answer was complete or an explicit error.
  bool Sound() const;

private:
  struct class_sums
  {
    load_class mClass;
    std::uint64_t mSent = 0;
    std::uint64_t mSubmissions = 0;
    std::uint64_t mAttained = 0;
    std::uint64_t mTokens = 0;
    std::uint64_t mUsefulTokens = 0;
    std::array<std::uint64_t, kLoadOutcomes> mOutcomes{};
    // By kind and whether it ran, such as "queue_full/no".
    std::map<std::string, std::uint64_t> mErrors;
    std::map<std::string, std::uint64_t> mMismatches;
    std::vector<duration> mFirstToken;
    std::vector<duration> mBetweenTokens;
  };
  struct totals
  {
    std::uint64_t mCompleted = 0;
    std::uint64_t mTokens = 0;
    std::uint64_t mUsefulTokens = 0;
  };

  totals Totals() const;
  static std::uint64_t Of(const class_sums& aSums, load_outcome aOutcome);
  static bool Attains(const load_class& aClass,
                      time_point aPlanned,
                      const load_result& aResult);

  std::vector<class_sums> mSums;
};

} // namespace thornhollow

#endif // THORNHOLLOW_TOOLS_LOAD_REPORT_H_
