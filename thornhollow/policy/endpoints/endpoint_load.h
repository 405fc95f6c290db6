// Tracks the requests at one endpoint: this router's own, counted exactly, and
// those of other routers, estimated from the endpoint's load reports.
//
//   endpoint_load load(endpoint_load_settings{});
//   load.OnSent(now);
//   load.OnReport(report, now);
//   const double total = load.InFlight() + load.OthersInFlight(now);
//
// Several routers (six to eight; in large deployments a subset of 38 of them)
// send to the same endpoint and see each other's load only through reports that
// are up to seconds old, or missing. Without this module each router would
// either fill every slot by itself, so that an endpoint with N slots and R
// routers is sent N * R requests, or it would take its own requests in the
// report for those of others and send too few.
//
// A report counts everything that was running or waiting when it was taken.
// This router's own count at that moment is subtracted; the remainder belongs
// to the others. Requests that this router has sent since then are part of its
// current count, so nothing is counted twice, however late the report arrives.
//
// The remainder is smoothed. All routers receive the same report at the same
// time: if each at once filled the slots that it shows as free, all would fill
// the same ones. The smoothed value changes slowly enough for each router to
// see the others' new requests in later reports before it has used all of the
// free capacity.
//
// Choice of the defaults:
// - Smoothing takes 2 s, which spans a few reports at their usual lag of 0.1 to
//   5 s.
// - A report counts in full up to an age of 1 s. A request runs for about as
//   long, so most of the requests that the report counted still run.
// - From an age of 1 s on, a report's weight falls linearly to zero at 8 s,
//   which covers the longest lag plus a report interval. Without a report only
//   the endpoint's latency limits what it is sent (concurrency_limit.h).
// - A history of 32 changes of the own count covers the lag at the request rate
//   of one endpoint (a few per second). For times before that, the oldest
//   recorded count is used.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_LOAD_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_LOAD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct endpoint_load_settings
{
  // If false, load reports are ignored and only this router's requests count.
  bool mUseReports = true;
  // Time constant of the smoothed estimate of other routers' requests: after
  // this time, the estimate reflects about two thirds of a change.
  duration mSmoothingTime = Seconds(2);
  // Maximum age at which a load report counts in full.
  duration mFullWeightAge = Seconds(1);
  // Age from which on a load report is ignored.
  duration mZeroWeightAge = Seconds(8);

  friend bool operator==(const endpoint_load_settings&,
                         const endpoint_load_settings&) = default;
};

class endpoint_load
{
public:
  explicit endpoint_load(const endpoint_load_settings& aSettings);

  void OnSent(time_point aNow);
  void OnEnded(time_point aNow);
  // Records a load report of the endpoint, unless a later one was recorded.
  void OnReport(const load_report& aReport, time_point aNow);
  // Drops the estimate of other routers' requests, for example after this
  // process was paused.
  void DiscardReport();

  // This router's requests in flight at the endpoint.
  std::uint32_t InFlight() const { return mInFlight; }
  // Estimated number of requests of other routers at the endpoint; zero without
  // a recent report.
  double OthersInFlight(time_point aNow) const;

private:
  static constexpr std::size_t kHistorySize = 32;

  struct in_flight_sample
  {
    time_point mAt{};
    std::uint32_t mCount = 0;
  };

  void Record(time_point aNow);
  std::uint32_t InFlightAt(time_point aThen) const;

  endpoint_load_settings mSettings;
  std::uint32_t mInFlight = 0;
  std::array<in_flight_sample, kHistorySize> mHistory{};
  std::size_t mNext = 0;
  std::optional<time_point> mReportTaken;
  double mOthersInFlight = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_LOAD_H_
