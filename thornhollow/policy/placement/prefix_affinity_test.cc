#include <doctest/doctest.h>

#include "thornhollow/policy/placement/prefix_affinity.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };
constexpr std::uint32_t kNoEndpoint = prefix_affinity::kNoEndpoint;

struct small_table
{
  prefix_affinity mAffinity{ { .mMaxPrefixes = 4 } };
};

TEST_CASE_FIXTURE(small_table,
                  "prefix_affinity/sent_to_several/most_recent_first")
{
  for (const std::uint32_t each : { 1U, 2U, 3U, 1U, 4U, 5U }) {
    mAffinity.Record(7, each, kStart);
  }
  CHECK(mAffinity.Lookup(7, kStart) ==
        prefix_affinity::endpoint_list{ 5, 4, 1, 3 });
  mAffinity.RemoveEndpoint(4);
  CHECK(mAffinity.Lookup(7, kStart) ==
        prefix_affinity::endpoint_list{ 5, 1, 3, kNoEndpoint });
}

TEST_CASE_FIXTURE(small_table,
                  "prefix_affinity/unused_for_long/no_longer_counts")
{
  mAffinity.Record(7, 1, kStart);
  CHECK(mAffinity.Lookup(7, kStart + Seconds(119))[0] == 1);
  CHECK(mAffinity.Lookup(7, kStart + Seconds(120))[0] == kNoEndpoint);
  CHECK(mAffinity.Lookup(0, kStart)[0] == kNoEndpoint);
}

TEST_CASE_FIXTURE(small_table,
                  "prefix_affinity/more_prefixes_than_places/oldest_leaves")
{
  for (std::uint64_t prefix = 1; prefix <= 5; ++prefix) {
    mAffinity.Record(
      prefix, 1, kStart + Seconds(static_cast<std::int64_t>(prefix)));
  }
  CHECK(mAffinity.Lookup(1, kStart + Seconds(5))[0] == kNoEndpoint);
  CHECK(mAffinity.Lookup(2, kStart + Seconds(5))[0] == 1);
}

} // namespace
} // namespace thornhollow
