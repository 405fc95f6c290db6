#include <doctest/doctest.h>

#include "thornhollow/policy/placement/workload_kind.h"

namespace thornhollow {
namespace {

struct meter_of_two_kinds
{
  workload_kind mPlan{ Seconds(2), Milliseconds(800) };
  workload_kind mNote{ Milliseconds(300), Milliseconds(200) };
  workload_meter mSubject;
  time_point mNow = time_point() + Seconds(100);
};

TEST_CASE_FIXTURE(meter_of_two_kinds, "work_meter/steady_work/rates_and_sizes")
{
  for (int each = 0; each < 1'000; ++each, mNow += Milliseconds(20)) {
    mSubject.OnRequest(mNote, each % 10 == 0 ? 1'550 : 750, mNow);
    mSubject.OnSent(mNote, mNow);
  }
  const demand_by_kind result = mSubject.Demand(mNow);
  REQUIRE(result.size() == 1);
  CHECK(result[0].mKind == mNote);
  CHECK(result[0].mRequests == doctest::Approx(50).epsilon(0.02));
  CHECK(result[0].mTokens == doctest::Approx(50 * 830).epsilon(0.03));
  // One prompt in ten is long. The mean prompt size weighted by size is
  // therefore above the plain mean size.
  CHECK(result[0].mSquaredTokensPerSecond / result[0].mTokens ==
        doctest::Approx(899).epsilon(0.03));
  CHECK(result[0].mOpen == 1'000);
}

// Guards against rates that start too low: after a whole site restarts, the
// requests that callers sent meanwhile arrive within the first second. With
// uncorrected rates, engines were partitioned for a third of that demand.
TEST_CASE_FIXTURE(meter_of_two_kinds, "work_meter/first_second/rate_is_whole")
{
  for (int each = 0; each < 50; ++each, mNow += Milliseconds(20)) {
    mSubject.OnRequest(mNote, 800, mNow);
  }
  const demand_by_kind result = mSubject.Demand(mNow);
  CHECK(result.at(0).mRequests == doctest::Approx(50).epsilon(0.1));
  CHECK(result.at(0).mTokens == doctest::Approx(40'000).epsilon(0.1));
}

TEST_CASE_FIXTURE(meter_of_two_kinds, "work_meter/first_request/counts_for_few")
{
  mSubject.OnRequest(mNote, 800, mNow);
  CHECK(mSubject.Demand(mNow).at(0).mRequests < 3);
}

TEST_CASE_FIXTURE(meter_of_two_kinds, "work_meter/requests_end/none_is_open")
{
  mSubject.OnSent(mPlan, mNow);
  mSubject.OnSent(mPlan, mNow);
  mSubject.OnEnded(mPlan);
  CHECK(mSubject.Demand(mNow).at(0).mOpen == 1);
  mSubject.OnEnded(mPlan);
  mSubject.OnEnded(mPlan);
  mSubject.OnEnded(mNote);
  CHECK(mSubject.Demand(mNow).at(0).mOpen == 0);
}

// With hundreds of routes, each with a target of its own, the messages between
// instances would exceed the size of a datagram.
TEST_CASE_FIXTURE(meter_of_two_kinds, "work_meter/many_kinds/a_few_are_counted")
{
  for (int each = 0; each < 300; ++each) {
    mSubject.OnRequest({ Milliseconds(100 + each), {} }, 500, mNow);
  }
  CHECK(mSubject.Demand(mNow).size() == workload_meter::kMaxKinds);
  for (int each = 0; each < 300; ++each) {
    mSubject.OnEnded({ Milliseconds(100 + each), {} });
  }
  mNow += Seconds(60);
  mSubject.OnRequest(mNote, 700, mNow);
  CHECK(mSubject.Demand(mNow).size() <= workload_meter::kMaxKinds);
  CHECK(mSubject.Demand(mNow).back().mKind.mTarget == mNote.mTarget);
}

TEST_CASE_FIXTURE(meter_of_two_kinds, "add_demand/others/sums_by_kind")
{
  demand_by_kind result{ { mNote, 10, 7'000, 5e6, 3 } };
  AddDemand(
    result, { { mNote, 1, 700, 5e5, 1 }, { mPlan, 2, 18'000, 16e7, 1 } }, 2);
  REQUIRE(result.size() == 2);
  CHECK(result[0] == kind_demand{ mNote, 12, 8'400, 6e6, 5 });
  CHECK(result[1] == kind_demand{ mPlan, 4, 36'000, 32e7, 2 });
}

// A peer reports an impossible prefill rate: a billion tokens per millisecond.
TEST_CASE("add_view/peer_tells_nonsense/is_bounded")
{
  pool_view result{ {}, 50'000, 1 };
  AddView(result, { {}, 1e12, 1 });
  AddView(result, { {}, 0.001, 1 });
  AddView(result, { {}, 1e12, 0 });
  CHECK(result.mPrefillRateCount == 3);
  CHECK(result.mPrefillRateSum <= 50'000 + 2e6 + 2'000);
  CHECK(result.mPrefillRateSum >= 50'000 + 2'000);
}

} // namespace
} // namespace thornhollow
