#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/endpoint_notices.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };
const endpoint_process_hash kProcess =
  EndpointProcessHash(endpoint_name("i-1"), 1);

struct notices
{
  endpoint_notices mNotices;
};

TEST_CASE_FIXTURE(notices, "endpoint_notices/leaving/holds_for_one_process")
{
  CHECK(mNotices.OnLeaving(kProcess, kStart));
  CHECK_FALSE(mNotices.OnLeaving(kProcess, kStart + Seconds(1)));
  CHECK(mNotices.IsLeaving(kProcess));
  // Started again under its name.
  CHECK_FALSE(mNotices.IsLeaving(EndpointProcessHash(endpoint_name("i-1"), 2)));
  CHECK_FALSE(mNotices.IsLeaving(EndpointProcessHash(endpoint_name("i-2"), 1)));
}

TEST_CASE_FIXTURE(notices, "endpoint_notices/leaving/is_forgotten_late")
{
  mNotices.OnLeaving(kProcess, kStart);
  mNotices.Tick(kStart + endpoint_notices::kLeavingRetention - Seconds(1));
  CHECK(mNotices.IsLeaving(kProcess));
  mNotices.Tick(kStart + endpoint_notices::kLeavingRetention);
  CHECK_FALSE(mNotices.IsLeaving(kProcess));
}

TEST_CASE_FIXTURE(notices, "endpoint_notices/rest/latest_end_counts")
{
  CHECK(mNotices.OnRest(kProcess, Seconds(3), kStart));
  CHECK_FALSE(mNotices.OnRest(kProcess, Seconds(1), kStart + Seconds(1)));
  CHECK(mNotices.RestUntil(kProcess) == kStart + Seconds(3));
  CHECK_FALSE(mNotices.OnRest(kProcess, Seconds(3), kStart + Seconds(1)));
  CHECK(mNotices.RestUntil(kProcess) == kStart + Seconds(4));
  CHECK(mNotices.OnRest(kProcess, Seconds(1), kStart + Seconds(4)));
}

TEST_CASE_FIXTURE(notices, "endpoint_notices/rest/of_zero_is_none")
{
  CHECK_FALSE(mNotices.OnRest(kProcess, duration::zero(), kStart));
  CHECK(mNotices.RestUntil(kProcess) <= kStart);
}

} // namespace
} // namespace thornhollow
