#include <doctest/doctest.h>

#include "thornhollow/fleet/large_copies.h"

namespace thornhollow {
namespace {

constexpr std::size_t kDocument = 400'000;

struct nothing_given_yet
{
  large_copies mGiven;
  time_point mNow = time_point() + Seconds(100);
};

// Guards against an instance whose link is full of copies that nobody waits
// for.
TEST_CASE_FIXTURE(nothing_given_yet, "large_copies/many_ask/two_get_it_at_once")
{
  int result = 0;
  for (int each = 0; each < 20; ++each) {
    result += mGiven.Gives(kDocument, mNow) ? 1 : 0;
  }
  CHECK(result == 2);
  mNow += Seconds(1);
  CHECK(mGiven.Gives(kDocument, mNow));
}

// Guards against news of leaving endpoints that wait behind a configuration.
TEST_CASE_FIXTURE(nothing_given_yet, "large_copies/small_ones/are_always_given")
{
  mGiven.Gives(kDocument, mNow);
  mGiven.Gives(kDocument, mNow);
  for (int each = 0; each < 100; ++each) {
    CHECK(mGiven.Gives(300, mNow));
  }
}

} // namespace
} // namespace thornhollow
