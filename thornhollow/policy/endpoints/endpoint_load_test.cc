#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/endpoint_load.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };

struct shared_endpoint
{
  static load_report Report(std::uint32_t aRunning,
                            std::uint32_t aWaiting,
                            time_point aTaken)
  {
    load_report report;
    report.mRunning = aRunning;
    report.mWaiting = aWaiting;
    report.mMeasuredAt = aTaken;
    return report;
  }

  endpoint_load mLoad{ endpoint_load_settings{} };
};

// Two routers share an endpoint whose report arrives late. The report counts
// one request of this router, which has sent two more since the report was
// taken. Without correction the router would either not count the two later
// requests or count the first one twice.
TEST_CASE_FIXTURE(shared_endpoint,
                  "endpoint_load/late_report/own_requests_counted_once")
{
  mLoad.OnSent(kStart);
  mLoad.OnSent(kStart + Seconds(2));
  mLoad.OnSent(kStart + Seconds(2));
  mLoad.OnReport(Report(4, 2, kStart + Seconds(1)), kStart + Seconds(2));
  CHECK(mLoad.InFlight() == 3);
  CHECK(mLoad.OthersInFlight(kStart + Seconds(2)) == 5);
}

TEST_CASE_FIXTURE(shared_endpoint, "endpoint_load/report_ages/fades_to_nothing")
{
  mLoad.OnReport(Report(7, 0, kStart), kStart);
  CHECK(mLoad.OthersInFlight(kStart + Seconds(1)) == 7);
  CHECK(mLoad.OthersInFlight(kStart + Milliseconds(4500)) ==
        doctest::Approx(3.5));
  CHECK(mLoad.OthersInFlight(kStart + Seconds(8)) == 0);
}

// Eight routers get the same report of an endpoint that just became idle.
// Without smoothing each router would fill all of the endpoint's slots at once.
TEST_CASE_FIXTURE(shared_endpoint,
                  "endpoint_load/others_leave_suddenly/seen_over_two_seconds")
{
  mLoad.OnReport(Report(8, 0, kStart), kStart);
  mLoad.OnReport(Report(0, 0, kStart + Seconds(2)), kStart + Seconds(2));
  CHECK(mLoad.OthersInFlight(kStart + Seconds(2)) ==
        doctest::Approx(8 / 2.718).epsilon(0.001));
}

TEST_CASE_FIXTURE(shared_endpoint,
                  "endpoint_load/older_report_comes_later/ignored")
{
  mLoad.OnReport(Report(7, 0, kStart + Seconds(1)), kStart + Seconds(1));
  mLoad.OnReport(Report(2, 0, kStart), kStart + Seconds(1));
  CHECK(mLoad.OthersInFlight(kStart + Seconds(1)) == 7);
  mLoad.DiscardReport();
  CHECK(mLoad.OthersInFlight(kStart + Seconds(1)) == 0);
}

} // namespace
} // namespace thornhollow
