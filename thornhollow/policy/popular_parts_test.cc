#include <doctest/doctest.h>

#include "thornhollow/policy/popular_parts.h"

namespace thornhollow {
namespace {

struct parts_before_eighteen_engines
{
  popular_parts mSubject;
  time_point mNow = time_point() + Seconds(100);

  bool Held(std::uint64_t aPart) const
  {
    return mSubject.HeldByAll(aPart, 18, 8, mNow);
  }
};

TEST_CASE_FIXTURE(parts_before_eighteen_engines,
                  "popular_parts/asked_for_often/is_held_until_it_is_not")
{
  CHECK_FALSE(Held(7));
  for (int each = 0; each < 5; ++each) {
    mSubject.OnAsked(7, mNow);
  }
  CHECK_FALSE(Held(7));
  for (int each = 0; each < 5; ++each) {
    mSubject.OnAsked(7, mNow);
  }
  CHECK(Held(7));
  CHECK_FALSE(Held(8));
  mNow += Seconds(60);
  CHECK_FALSE(Held(7));
}

// Callers that send a prompt of their own each time would fill the table, and
// the texts that all share would find no place.
TEST_CASE_FIXTURE(parts_before_eighteen_engines,
                  "popular_parts/many_parts/popular_one_finds_a_place")
{
  for (std::uint64_t part = 1; part <= 1'000; ++part) {
    mSubject.OnAsked(part, mNow);
    mNow += Milliseconds(10);
  }
  mNow += Seconds(30);
  for (int each = 0; each < 20; ++each) {
    mSubject.OnAsked(5'000, mNow);
  }
  CHECK(Held(5'000));
  CHECK_FALSE(Held(0));
}

} // namespace
} // namespace thornhollow
