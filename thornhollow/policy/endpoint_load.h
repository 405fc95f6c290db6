// What an endpoint holds: this router's own requests, exactly, and those of the
// other routers, from its load reports.
//
//   load.OnSent(now);
//   load.OnReport(report, now);
//   const double total = load.InFlight() + load.OthersInFlight(now);
//
// Load pattern: six to eight routers (at large scale a subset of 38) send to
// the same endpoints, and see them only through reports that are up to seconds
// old, or not at all. Without this each router either fills every slot itself,
// so that an endpoint holds slots times routers, or takes its own requests in
// the report for someone else's and sends too little.
//
// A report counts everything that ran or waited when it was taken. This
// router's own count at that moment is subtracted: the rest is of the others.
// What this router sent since is in its own present count, so nothing is
// counted twice, however late the report.
//
// What is left is smoothed. All routers see the same report at the same moment:
// were each to fill at once the places that it shows free, all would fill the
// same ones. The smoothed figure moves slowly enough that each sees the others'
// new work before it has taken the whole room.
//
// Grounds for the figures: the smoothing takes 2 s, a few reports at their
// usual lag. Reports lag by 0.1 to 5 s. A report up to 1 s old counts in full:
// a request runs for about as long, so most of what it saw is still there. From
// there it fades to nothing at 8 s, which covers the longest lag and an
// interval; then the endpoint's latency alone decides. 32 changes of the own
// count cover the lag at the rate of one endpoint (a few a second); beyond them
// the oldest known count stands in.
#ifndef THORNHOLLOW_POLICY_ENDPOINT_LOAD_H_
#define THORNHOLLOW_POLICY_ENDPOINT_LOAD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct endpoint_load_settings
{
  // False: reports are ignored, only own requests count.
  bool mUseReports = true;
  // Time in which a change of the others' requests counts by two thirds.
  duration mSmoothingTime = Seconds(2);
  // A report counts in full up to this age,
  duration mFullWeightAge = Seconds(1);
  // and for nothing from this age.
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
  // A report older than the one held is ignored.
  void OnReport(const load_report& aReport, time_point aNow);
  // After a pause: what reports said is no longer believed.
  void DiscardReport();

  // Own requests there.
  std::uint32_t InFlight() const { return mInFlight; }
  // Requests of other routers there, as far as a report still tells.
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

#endif // THORNHOLLOW_POLICY_ENDPOINT_LOAD_H_
