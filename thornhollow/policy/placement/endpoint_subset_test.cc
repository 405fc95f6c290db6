#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/placement/endpoint_subset.h"

namespace thornhollow {
namespace {

struct large_domain
{
  large_domain()
  {
    for (int i = 0; i < 38; ++i) {
      mRouters.emplace_back("router-" + std::to_string(i));
    }
    for (int i = 0; i < 850; ++i) {
      mPool.push_back({ endpoint_name("engine-" + std::to_string(i)),
                        domain_name("d" + std::to_string(i % 11)) });
    }
  }

  std::vector<std::size_t> Of(int aRouter) const
  {
    const subset_context view{ mRouters[static_cast<std::size_t>(aRouter)],
                               mRouters,
                               domain_name("d0") };
    return ChooseSubset(mPool, view, endpoint_subset_settings{});
  }

  std::vector<instance_name> mRouters;
  std::vector<subset_candidate> mPool;
};

TEST_CASE_FIXTURE(large_domain,
                  "endpoint_subset/todays_size/takes_the_whole_pool")
{
  mPool.resize(13);
  CHECK(Of(0).size() == 13);
}

TEST_CASE_FIXTURE(large_domain,
                  "endpoint_subset/850_endpoints/bounded_and_evenly_covered")
{
  std::vector<int> covered(mPool.size());
  for (int router = 0; router < 38; ++router) {
    const auto subset = Of(router);
    CHECK(subset.size() >= endpoint_subset_settings{}.mMinPerPool);
    CHECK(subset.size() <= endpoint_subset_settings{}.mMaxPerPool);
    for (const std::size_t each : subset) {
      CHECK(mPool[each].mDomain == domain_name("d0"));
      ++covered[each];
    }
  }
  std::erase(covered, 0);
  CHECK(covered.size() == 78);
  CHECK(*std::ranges::min_element(covered) >= 4);
  CHECK(*std::ranges::max_element(covered) <= 8);
}

TEST_CASE_FIXTURE(large_domain,
                  "endpoint_subset/own_domain_small/others_fill_up")
{
  mPool.resize(35);
  const auto subset = Of(0);
  CHECK(subset.size() == endpoint_subset_settings{}.mMaxPerPool);
  CHECK(std::ranges::count_if(subset, [this](std::size_t aEach) {
          return mPool[aEach].mDomain == domain_name("d0");
        }) == 4);
}

// When a router leaves, the subsets of only a few other routers may change. If
// all subsets changed, every router would drop most of its connections and the
// latencies measured on them.
TEST_CASE_FIXTURE(large_domain,
                  "endpoint_subset/one_comes_or_goes/few_subsets_change")
{
  int moved = 0;
  for (int router = 0; router < 37; ++router) {
    const auto before = Of(router);
    const std::vector<instance_name> routers = mRouters;
    mRouters.pop_back();
    const auto after = Of(router);
    mRouters = routers;
    std::vector<std::size_t> both;
    std::ranges::set_intersection(before, after, std::back_inserter(both));
    moved += static_cast<int>(before.size() - both.size());
  }
  // The router that left had about 12 endpoints, as each router has. All other
  // routers together may drop at most twice that number.
  CHECK(moved <= 24);
}

} // namespace
} // namespace thornhollow
