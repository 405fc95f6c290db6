#include "thornhollow/wire/internal/crash_codec.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "thornhollow/wire/internal/fixed_bytes.h"
#include "thornhollow/wire/internal/milliseconds.h"

namespace thornhollow::wire_internal {
namespace {

// A figure that is no progress, of a later version, counts as the least one
// that it may stand for.
run_progress
ToProgress(std::int32_t aTold, run_progress aLeast)
{
  constexpr auto kLast = static_cast<std::int32_t>(run_progress::kGoing);
  return aTold < static_cast<std::int32_t>(aLeast) || aTold > kLast
           ? aLeast
           : static_cast<run_progress>(aTold);
}

void
Read(const wire::endpoint_end& aEnd,
     const std::string& aBytes,
     bool aTrial,
     std::vector<crash_sighting>& aOut)
{
  const run_progress progress =
    aEnd.__isset.progress ? ToProgress(aEnd.progress, run_progress::kNoOutput)
                          : run_progress::kNoOutput;
  const std::optional<duration> ranFor =
    aEnd.__isset.ran_for_ms
      ? std::optional(FromWireMilliseconds(aEnd.ran_for_ms))
      : std::nullopt;
  for (std::size_t from = 0; from + kFixedBytes <= aBytes.size();
       from += kFixedBytes) {
    const request_feature feature{ ReadFixed(aBytes, from) };
    aOut.push_back({ static_cast<endpoint_hash>(aEnd.endpoint),
                     FromWireMilliseconds(aEnd.age_ms),
                     feature,
                     aTrial,
                     progress,
                     ranFor });
  }
}

} // namespace

wire::crash_report
ToWire(const crash_report& aReport)
{
  wire::crash_report out;
  // Sightings of one end have one age, so that it is sent once for each
  // progress.
  std::map<std::tuple<endpoint_hash, duration, run_progress>,
           wire::endpoint_end>
    ends;
  for (const crash_sighting& each : aReport.mSightings) {
    wire::endpoint_end& end =
      ends[{ each.mEndpoint, each.mAge, each.mProgress }];
    if (each.mProgress != run_progress::kNoOutput) {
      end.__set_progress(static_cast<std::int32_t>(each.mProgress));
    }
    end.__set_endpoint(static_cast<std::int32_t>(each.mEndpoint));
    end.__set_age_ms(ToWireMilliseconds(each.mAge));
    if (each.mRanFor) {
      end.__set_ran_for_ms(ToWireMilliseconds(*each.mRanFor));
    }
    AppendFixed(each.mTrial ? end.trials : end.suspects, each.mFeature.mValue);
    end.__isset.trials = true;
    end.__isset.suspects = true;
  }
  for (auto& [key, end] : ends) {
    out.ends.push_back(std::move(end));
  }
  for (const suspect_run& each : aReport.mRuns) {
    wire::suspect_run run;
    run.__set_request(static_cast<std::int64_t>(each.mFeature.mValue));
    run.__set_endpoint(static_cast<std::int32_t>(each.mEndpoint));
    run.__set_instance(static_cast<std::int64_t>(each.mInstance));
    run.__set_number(static_cast<std::int32_t>(each.mNumber));
    run.__set_remaining_ms(ToWireMilliseconds(each.mRemaining));
    run.__set_reserves(each.mReserves);
    run.__set_started(each.mStarted);
    out.runs.push_back(run);
  }
  for (const suspect_clearance& each : aReport.mClearances) {
    wire::suspect_clearance clearance;
    clearance.__set_request(static_cast<std::int64_t>(each.mFeature.mValue));
    clearance.__set_age_ms(ToWireMilliseconds(each.mAge));
    if (each.mProof != run_progress::kBegun) {
      clearance.__set_proof(static_cast<std::int32_t>(each.mProof));
    }
    out.clearances.push_back(clearance);
  }
  out.__isset.ends = true;
  out.__isset.runs = true;
  out.__isset.clearances = true;
  return out;
}

crash_report
FromWire(const wire::crash_report& aReport)
{
  crash_report report;
  for (const wire::endpoint_end& each : aReport.ends) {
    Read(each, each.suspects, false, report.mSightings);
    Read(each, each.trials, true, report.mSightings);
  }
  for (const wire::suspect_run& each : aReport.runs) {
    report.mRuns.push_back(
      { { static_cast<std::uint64_t>(each.request) },
        static_cast<endpoint_hash>(each.endpoint),
        static_cast<std::uint64_t>(each.instance),
        static_cast<std::uint32_t>(std::max(each.number, 0)),
        FromWireMilliseconds(each.remaining_ms),
        each.reserves,
        each.started });
  }
  for (const wire::suspect_clearance& each : aReport.clearances) {
    report.mClearances.push_back(
      { { static_cast<std::uint64_t>(each.request) },
        FromWireMilliseconds(each.age_ms),
        each.__isset.proof ? ToProgress(each.proof, run_progress::kBegun)
                           : run_progress::kBegun });
  }
  return report;
}

} // namespace thornhollow::wire_internal
