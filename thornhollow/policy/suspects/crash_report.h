// What instances tell each other about features of requests that are suspected
// of ending the endpoints that run them.
//
//   crash_report report = suspects.NextReport(kMaxBytes, now);
//   Send(peer, report);
//
// Times are told as ages, so that no clocks need to agree; an age only grows as
// a report is passed on.
#ifndef THORNHOLLOW_POLICY_SUSPECTS_CRASH_REPORT_H_
#define THORNHOLLOW_POLICY_SUSPECTS_CRASH_REPORT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/request_feature.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/suspects/run_progress.h"

namespace thornhollow {

// A request with the feature was open at an endpoint when the endpoint's
// process ended.
struct crash_sighting
{
  endpoint_hash mEndpoint = 0;
  // Time since the process ended.
  duration mAge{};
  request_feature mFeature;
  // Whether the request ran there as a trial; see
  // policy/suspects/crash_suspects.h.
  bool mTrial = false;
  run_progress mProgress = run_progress::kNoOutput;
  // How long the latest run that ended there had gone on; unset if not known.
  std::optional<duration> mRanFor = std::nullopt;

  friend bool operator==(const crash_sighting&,
                         const crash_sighting&) = default;
};

// A request with a suspected feature runs, or is about to run, at an endpoint.
struct suspect_run
{
  request_feature mFeature;
  endpoint_hash mEndpoint = 0;
  // The instance that sends the request; differs for each process.
  std::uint64_t mInstance = 0;
  // Increases with each run of the instance, so that a late message about an
  // earlier run is told from the present one.
  std::uint32_t mNumber = 0;
  // For how long the report is valid unless repeated; zero: the run has ended.
  duration mRemaining{};
  // Whether other instances keep new requests off the endpoint meanwhile.
  bool mReserves = false;
  // Whether the request has been sent; before, the run is only announced.
  bool mStarted = false;

  friend bool operator==(const suspect_run&, const suspect_run&) = default;
};

// A run with a suspected feature got so far that the endpoints that had ended
// earlier in a run were not ended by this feature.
struct suspect_clearance
{
  request_feature mFeature;
  // Time since then.
  duration mAge{};
  run_progress mProof = run_progress::kBegun;

  friend bool operator==(const suspect_clearance&,
                         const suspect_clearance&) = default;
};

// One message.
struct crash_report
{
  std::vector<crash_sighting> mSightings;
  std::vector<suspect_run> mRuns;
  std::vector<suspect_clearance> mClearances;

  bool empty() const
  {
    return mSightings.empty() && mRuns.empty() && mClearances.empty();
  }

  friend bool operator==(const crash_report&, const crash_report&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SUSPECTS_CRASH_REPORT_H_
