#include <doctest/doctest.h>

#include "thornhollow/policy/internal/pool_index.h"

namespace thornhollow::internal {
namespace {

struct four_members
{
  four_members()
  {
    for (std::uint32_t i = 0; i < 4; ++i) {
      mPool.Add(10 + i, pool_index::kOwnDomain);
      Set(i, 4, 0);
    }
  }

  void Set(std::uint32_t aMember, int aLowestTier, double aLost)
  {
    mPool.Update(aMember, { true, true, aLowestTier, 2, aLost });
  }

  pool_index mPool;
};

TEST_CASE_FIXTURE(four_members, "pool_index/members_fill_and_free/listed_once")
{
  Set(1, 0, 0);
  Set(0, 0, 0);
  CHECK(mPool.WithPlace(pool_index::kOwnDomain, 4) ==
        std::vector<std::uint32_t>{ 12, 13 });
  Set(1, 2, 0);
  CHECK(mPool.WithPlace(pool_index::kOwnDomain, 2) ==
        std::vector<std::uint32_t>{ 12, 13, 11 });
  CHECK(mPool.WithPlace(pool_index::kOwnDomain, 3) ==
        std::vector<std::uint32_t>{ 12, 13 });
  CHECK(mPool.Places() == 8);
  CHECK(mPool.Serving() == 4);
}

// A fault outside the endpoints makes all of them fail. Were all to leave,
// nothing would be served though each of them may answer.
TEST_CASE_FIXTURE(four_members, "pool_index/one_lost_of_four/no_other_may_go")
{
  CHECK(mPool.MayLose(1));
  Set(0, 0, 1);
  CHECK(mPool.MayLose(0));
  CHECK_FALSE(mPool.MayLose(1));
}

} // namespace
} // namespace thornhollow::internal
