#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/endpoint_shares.h"

namespace thornhollow {
namespace {

std::vector<std::string>
Addresses(int aCount)
{
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<std::size_t>(aCount));
  for (int each = 0; each < aCount; ++each) {
    addresses.push_back("10.0.0." + std::to_string(each) + ":7");
  }
  return addresses;
}

// The shares of all instances, each of which knows all others.
std::vector<endpoint_share>
SharesOfAll(int aInstances, std::uint32_t aWanted, double aPresent = 1)
{
  const std::vector<std::string> all = Addresses(aInstances);
  std::vector<endpoint_share> result;
  for (const std::string& own : all) {
    std::vector<std::string> others = all;
    std::erase(others, own);
    endpoint_shares shares(own);
    shares.SetInstances(others, true, aPresent);
    result.push_back(shares.ShareOf(endpoint_name("e1"), aWanted));
  }
  return result;
}

std::uint32_t
Sum(const std::vector<endpoint_share>& aShares, double aBound)
{
  std::uint32_t sum = 0;
  for (const endpoint_share& each : aShares) {
    sum += each.WholePart(aBound);
  }
  return sum;
}

// Instances that each keep the whole bound exceed it together.
TEST_CASE("endpoint_shares/any_fleet/parts_sum_up_to_the_bound")
{
  for (const int instances : { 1, 3, 8, 85, 420 }) {
    for (const std::uint32_t bound : { 1U, 2U, 3U, 10U, 64U }) {
      CAPTURE(instances);
      CAPTURE(bound);
      const auto shares = SharesOfAll(instances, bound);
      CHECK(Sum(shares, bound) == bound);
      const auto users = std::ranges::count_if(shares, &endpoint_share::IsUser);
      CHECK(users == std::min(static_cast<int>(bound), instances));
    }
  }
}

TEST_CASE("endpoint_shares/bound_of_zero/one_user_without_a_part")
{
  const auto shares = SharesOfAll(8, 0);
  CHECK(std::ranges::count_if(shares, &endpoint_share::IsUser) == 1);
  CHECK(Sum(shares, 0) == 0);
}

// Both sides of a cut take themselves for all that are left.
TEST_CASE("endpoint_shares/sides_of_a_cut/parts_within_the_bound")
{
  const auto left = SharesOfAll(3, 64, 3.0 / 8);
  const auto right = SharesOfAll(5, 64, 5.0 / 8);
  CHECK(Sum(left, 64) + Sum(right, 64) <= 64);
  CHECK(Sum(left, 64) + Sum(right, 64) >= 60);
}

TEST_CASE("endpoint_shares/this_instance_may_not/others_use_it")
{
  endpoint_shares shares("10.0.0.9:7");
  shares.SetInstances(Addresses(3), false, 1);
  const endpoint_share share = shares.ShareOf(endpoint_name("e1"), 2);
  CHECK_FALSE(share.IsUser());
  CHECK(share.WholePart(10) == 0);
}

// A part may move only when one of its own users comes or goes.
TEST_CASE("endpoint_shares/another_instance_gone/rank_moves_up_at_most_by_one")
{
  std::vector<std::string> others = Addresses(8);
  endpoint_shares shares("10.0.0.9:7");
  shares.SetInstances(others, true, 1);
  const auto before = shares.ShareOf(endpoint_name("e1"), 2);
  others.pop_back();
  shares.SetInstances(others, true, 1);
  const auto after = shares.ShareOf(endpoint_name("e1"), 2);
  CHECK(after.mRank <= before.mRank);
  CHECK(after.mRank + 1 >= before.mRank);
}

} // namespace
} // namespace thornhollow
