#include <doctest/doctest.h>

#include "thornhollow/fleet/large_copy_limiter.h"

namespace thornhollow {
namespace {

constexpr std::size_t kDocument = 400'000;

struct idle_limiter
{
  large_copy_limiter mLimiter;
  time_point mNow = time_point() + Seconds(100);
};

// Guards against a link saturated by so many concurrent copies that their
// recipients time out before the copies arrive.
TEST_CASE_FIXTURE(idle_limiter,
                  "large_copy_limiter/many_ask/two_get_it_at_once")
{
  int result = 0;
  for (int each = 0; each < 20; ++each) {
    result += mLimiter.TryAdmit(kDocument, mNow) ? 1 : 0;
  }
  CHECK(result == 2);
  mNow += Seconds(1);
  CHECK(mLimiter.TryAdmit(kDocument, mNow));
}

// Guards against a limit that ignores the capacity of the link: over a narrow
// link only few copies can be sent in a second.
TEST_CASE("large_copy_limiter/links/are_used_as_far_as_they_carry")
{
  for (const double bytesPerSecond : { 1'250'000.0, 25'000'000.0 }) {
    large_copy_limiter_settings settings;
    settings.mLinkBytesPerSecond = bytesPerSecond;
    large_copy_limiter condition(settings);
    double admittedBytes = 0;
    for (int tick = 0; tick < 100; ++tick) {
      const time_point now = time_point() + tick * Milliseconds(100);
      for (int each = 0; each < 30; ++each) {
        admittedBytes += condition.TryAdmit(kDocument, now) ? kDocument : 0;
      }
    }
    CHECK(admittedBytes >= bytesPerSecond * 10 * 0.7);
    CHECK(admittedBytes <= bytesPerSecond * 10 * 0.9);
  }
}

// Guards against notices of leaving endpoints, which are small, being refused
// while copies of a large configuration are sent.
TEST_CASE_FIXTURE(idle_limiter,
                  "large_copy_limiter/small_ones/are_always_given")
{
  mLimiter.TryAdmit(kDocument, mNow);
  mLimiter.TryAdmit(kDocument, mNow);
  for (int each = 0; each < 100; ++each) {
    CHECK(mLimiter.TryAdmit(300, mNow));
  }
}

} // namespace
} // namespace thornhollow
