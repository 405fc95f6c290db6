#include <doctest/doctest.h>

#include "thornhollow/policy/placement/prefix_reuse_estimator.h"

namespace thornhollow {
namespace {

TEST_CASE("prefix_reuse_estimator/nothing_sent_yet/nobody_knows_any")
{
  const prefix_reuse_estimator subject;
  CHECK(subject.Probability(8) == doctest::Approx(0));
  CHECK(subject.Probability(0) == doctest::Approx(0));
}

TEST_CASE(
  "prefix_reuse_estimator/one_in_five_known_here/most_known_by_some_of_eight")
{
  prefix_reuse_estimator subject;
  for (int each = 0; each < 500; ++each) {
    subject.OnSent(each % 5 == 0);
  }
  CHECK(subject.Probability(1) == doctest::Approx(0.2).epsilon(0.25));
  CHECK(subject.Probability(8) > 0.75);
  CHECK(subject.Probability(8) < 0.92);
}

// Guards against an estimate that adapts too slowly: after a release a third of
// the sessions was new, and the number of tokens to prefill was underestimated.
TEST_CASE("prefix_reuse_estimator/sessions_change/is_followed_within_a_hundred")
{
  prefix_reuse_estimator subject;
  for (int each = 0; each < 1'000; ++each) {
    subject.OnSent(true);
  }
  for (int each = 0; each < 100; ++each) {
    subject.OnSent(false);
  }
  CHECK(subject.Probability(1) < 0.1);
}

} // namespace
} // namespace thornhollow
