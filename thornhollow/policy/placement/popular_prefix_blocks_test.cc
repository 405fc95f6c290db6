#include <doctest/doctest.h>

#include "thornhollow/policy/placement/popular_prefix_blocks.h"

namespace thornhollow {
namespace {

struct blocks_on_eighteen_engines
{
  popular_prefix_blocks mSubject;
  time_point mNow = time_point() + Seconds(100);

  bool Cached(std::uint64_t aBlock) const
  {
    return mSubject.CachedOnAll(aBlock, 18, 8, mNow);
  }
};

TEST_CASE_FIXTURE(
  blocks_on_eighteen_engines,
  "popular_prefix_blocks/asked_for_often/is_held_until_it_is_not")
{
  CHECK_FALSE(Cached(7));
  for (int each = 0; each < 5; ++each) {
    mSubject.OnRequested(7, mNow);
  }
  CHECK_FALSE(Cached(7));
  for (int each = 0; each < 5; ++each) {
    mSubject.OnRequested(7, mNow);
  }
  CHECK(Cached(7));
  CHECK_FALSE(Cached(8));
  mNow += Seconds(60);
  CHECK_FALSE(Cached(7));
}

// Guards against a table that is filled with the blocks of callers that send a
// unique prompt each time, so that the texts that all sessions share are not
// tracked.
TEST_CASE_FIXTURE(blocks_on_eighteen_engines,
                  "popular_prefix_blocks/many_parts/popular_one_finds_a_place")
{
  for (std::uint64_t block = 1; block <= 1'000; ++block) {
    mSubject.OnRequested(block, mNow);
    mNow += Milliseconds(10);
  }
  mNow += Seconds(30);
  for (int each = 0; each < 20; ++each) {
    mSubject.OnRequested(5'000, mNow);
  }
  CHECK(Cached(5'000));
  CHECK_FALSE(Cached(0));
}

} // namespace
} // namespace thornhollow
