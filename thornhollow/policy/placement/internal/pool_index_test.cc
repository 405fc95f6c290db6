#include <doctest/doctest.h>

#include "thornhollow/policy/placement/internal/pool_index.h"

namespace thornhollow::internal {
namespace {

struct four_members
{
  four_members()
  {
    for (std::uint32_t i = 0; i < 4; ++i) {
      mPool.Add(10 + i, pool_index::kOwnDomain);
      Set(i, true, 0);
    }
  }

  void Set(std::uint32_t aMember, bool aHasFreeSlot, double aLostFraction)
  {
    mPool.Update(aMember, { true, true, aHasFreeSlot, 2, aLostFraction });
  }

  pool_index mPool;
};

TEST_CASE_FIXTURE(four_members, "pool_index/members_fill_and_free/listed_once")
{
  Set(1, false, 0);
  Set(0, false, 0);
  CHECK(mPool.WithFreeSlot(pool_index::kOwnDomain) ==
        std::vector<std::uint32_t>{ 12, 13 });
  Set(1, true, 0);
  CHECK(mPool.WithFreeSlot(pool_index::kOwnDomain) ==
        std::vector<std::uint32_t>{ 12, 13, 11 });
  CHECK(mPool.Slots() == 8);
  CHECK(mPool.Serving() == 4);
}

// A fault outside the endpoints makes all endpoints fail. If all of them were
// ejected, no request would be served although some might succeed.
TEST_CASE_FIXTURE(four_members, "pool_index/one_lost_of_four/no_other_may_go")
{
  CHECK(mPool.CanEject(1));
  Set(0, false, 1);
  CHECK(mPool.CanEject(0));
  CHECK_FALSE(mPool.CanEject(1));
}

} // namespace
} // namespace thornhollow::internal
