#include <doctest/doctest.h>

#include "thornhollow/policy/admission/tier_waits.h"

namespace thornhollow {
namespace {

struct two_tiers
{
  tier_waits mWaits;
  time_point mNow = time_point() + Seconds(100);

  two_tiers()
  {
    for (int each = 0; each < 4; ++each) {
      mWaits.OnRequest(0, mNow);
      mWaits.OnRequest(1, mNow);
      mWaits.OnSent(0);
      mWaits.OnSent(1);
    }
    mWaits.OnResponseStarted(0, Milliseconds(200), mNow);
    mWaits.OnResponseStarted(1, Seconds(2), mNow);
  }
};

TEST_CASE("tier_waits/nothing_seen/no_wait_and_no_lower_tier")
{
  const tier_waits waits;
  CHECK(waits.MeanWait(0, time_point()) == duration::zero());
  CHECK_FALSE(waits.HasLowerDemand(0, time_point()));
}

TEST_CASE_FIXTURE(two_tiers, "tier_waits/lower_tier_waits/not_the_first_ones")
{
  CHECK(ToSeconds(mWaits.MeanWait(0, mNow)) == doctest::Approx(0.2));
  CHECK(ToSeconds(mWaits.MeanWait(1, mNow)) == doctest::Approx(1.1));
}

TEST_CASE_FIXTURE(two_tiers, "tier_waits/lower_tier/counts_while_asked_for")
{
  CHECK(mWaits.HasLowerDemand(0, mNow));
  CHECK_FALSE(mWaits.HasLowerDemand(1, mNow));
  CHECK_FALSE(mWaits.HasLowerDemand(0, mNow + Seconds(30)));
}

TEST_CASE_FIXTURE(two_tiers, "tier_waits/none_waits_any_more/no_wait")
{
  for (int each = 0; each < 3; ++each) {
    mWaits.OnAbandoned(0);
  }
  CHECK(mWaits.MeanWait(0, mNow) == duration::zero());
  CHECK(mWaits.MeanWait(1, mNow) > duration::zero());
}

} // namespace
} // namespace thornhollow
