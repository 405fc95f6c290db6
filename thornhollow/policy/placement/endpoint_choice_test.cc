#include <doctest/doctest.h>

#include "thornhollow/policy/placement/endpoint_choice.h"

namespace thornhollow {
namespace {

struct ordinary_request
{
  double Cost(const endpoint_cost_inputs& aEndpoint) const
  {
    return EstimateCost(aEndpoint, mRequest, endpoint_choice_settings{});
  }

  request_size mRequest{ 2000, 100 };
  endpoint_cost_inputs mIdle{ 0, 0.05, 0.005, 0, false, false };
};

// Hundreds of requests per second share one long prefix. If these requests
// always went to the endpoint that has the prefix cached, they would queue
// there while all other endpoints are idle.
TEST_CASE_FIXTURE(ordinary_request,
                  "endpoint_choice/prefix_holder/preferred_until_loaded")
{
  endpoint_cost_inputs holder = mIdle;
  holder.mHasCachedPrefix = true;
  holder.mUtilization = 0.1;
  CHECK(Cost(holder) < Cost(mIdle));
  holder.mUtilization = 0.3;
  CHECK(Cost(holder) > Cost(mIdle));
}

TEST_CASE_FIXTURE(ordinary_request,
                  "endpoint_choice/idle_straggler/costs_more_than_full_one")
{
  endpoint_cost_inputs straggler = mIdle;
  straggler.mTimePerToken *= 4;
  endpoint_cost_inputs full = mIdle;
  full.mUtilization = 1;
  CHECK(Cost(straggler) > Cost(full));
}

TEST_CASE_FIXTURE(ordinary_request,
                  "endpoint_choice/half_of_attempts_fail/costs_three_times")
{
  endpoint_cost_inputs failing = mIdle;
  failing.mFailureRate = 0.5;
  CHECK(Cost(failing) == doctest::Approx(3 * Cost(mIdle)));
}

} // namespace
} // namespace thornhollow
