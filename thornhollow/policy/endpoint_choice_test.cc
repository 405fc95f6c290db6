#include <doctest/doctest.h>

#include "thornhollow/policy/endpoint_choice.h"

namespace thornhollow {
namespace {

struct ordinary_request
{
  double Cost(const endpoint_figures& aEndpoint) const
  {
    return CostOf(aEndpoint, mRequest, endpoint_choice_settings{});
  }

  request_size mRequest{ 2000, 100 };
  endpoint_figures mIdle{ 0, 0.05, 0.005, 0, false, false };
};

// Hundreds of requests a second share one long prefix. Bound to the endpoint
// that holds it, they queue there while all others are idle.
TEST_CASE_FIXTURE(ordinary_request,
                  "endpoint_choice/prefix_holder/preferred_until_loaded")
{
  endpoint_figures holder = mIdle;
  holder.mHasPrefix = true;
  holder.mLoad = 0.1;
  CHECK(Cost(holder) < Cost(mIdle));
  holder.mLoad = 0.3;
  CHECK(Cost(holder) > Cost(mIdle));
}

TEST_CASE_FIXTURE(ordinary_request,
                  "endpoint_choice/idle_straggler/costs_more_than_full_one")
{
  endpoint_figures straggler = mIdle;
  straggler.mPerToken *= 4;
  endpoint_figures full = mIdle;
  full.mLoad = 1;
  CHECK(Cost(straggler) > Cost(full));
}

TEST_CASE_FIXTURE(ordinary_request,
                  "endpoint_choice/half_of_attempts_fail/costs_three_times")
{
  endpoint_figures failing = mIdle;
  failing.mFailureShare = 0.5;
  CHECK(Cost(failing) == doctest::Approx(3 * Cost(mIdle)));
}

} // namespace
} // namespace thornhollow
