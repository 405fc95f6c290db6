#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/streams/origin_holders.h"

namespace thornhollow {
namespace {

constexpr std::uint64_t kStreams = 200;

struct fleet_size
{
  std::size_t mInstances;
  std::size_t mDomains;
};

std::vector<known_instance>
Fleet(std::size_t aInstances, std::size_t aDomains)
{
  std::vector<known_instance> fleet;
  for (std::size_t each = 0; each < aInstances; ++each) {
    fleet.push_back({ "10.0.0." + std::to_string(each) + ":7",
                      domain_name("d" + std::to_string(each % aDomains)) });
  }
  return fleet;
}

std::vector<known_instance>
Others(std::vector<known_instance> aFleet, std::size_t aSelf)
{
  aFleet.erase(aFleet.begin() + static_cast<std::ptrdiff_t>(aSelf));
  return aFleet;
}

// Streams of which one of those that are asked was told.
std::uint64_t
Found(const std::vector<known_instance>& aTellers,
      std::size_t aTeller,
      const std::vector<known_instance>& aAskers,
      std::size_t aAsker)
{
  const origin_holders teller(Others(aTellers, aTeller));
  const origin_holders asker(Others(aAskers, aAsker));
  std::uint64_t found = 0;
  for (std::uint64_t each = 1; each <= kStreams; ++each) {
    const auto told = teller.ToTell({ each }, aTellers[aTeller].mDomain);
    auto asked = asker.ToAsk({ each }, aAskers[aAsker].mDomain);
    asked.push_back(aAskers[aAsker].mAddress);
    found += std::ranges::find_first_of(told, asked) == told.end() ? 0 : 1;
  }
  return found;
}

// Whoever continues a stream has to ask an instance that was told.
TEST_CASE("origin_holders/any_two_instances/asked_were_told")
{
  for (const fleet_size& size :
       { fleet_size{ 3, 3 }, { 8, 3 }, { 30, 3 }, { 420, 11 } }) {
    CAPTURE(size.mInstances);
    const auto fleet = Fleet(size.mInstances, size.mDomains);
    CHECK(Found(fleet, 0, fleet, 1) == kStreams);
    CHECK(Found(fleet, 2, fleet, 0) == kStreams);
  }
}

TEST_CASE("origin_holders/one_instance_joined_or_ended/asked_were_told")
{
  auto fleet = Fleet(8, 3);
  auto joined = fleet;
  joined.push_back({ "10.0.1.1:7", domain_name("d1") });
  CHECK(Found(fleet, 0, joined, 4) == kStreams);
  CHECK(Found(joined, 0, fleet, 4) == kStreams);
  // The beginner itself has ended.
  const auto left = Others(fleet, 0);
  CHECK(Found(fleet, 0, left, 3) == kStreams);
}

// With one holder, its end would lose the streams of the site.
TEST_CASE("origin_holders/one_or_two_domains/several_holders_in_each")
{
  for (const std::size_t domains : { 1, 2 }) {
    const auto fleet = Fleet(8, domains);
    const origin_holders teller(Others(fleet, 0));
    for (std::uint64_t each = 1; each <= kStreams; ++each) {
      CHECK(teller.ToTell({ each }, domain_name("d0")).size() >=
            origin_holders::kMinHolders);
    }
    CHECK(Found(fleet, 0, Others(fleet, 0), 3) == kStreams);
  }
  const origin_holders pair(Others(Fleet(2, 1), 0));
  CHECK(pair.ToTell({ 1 }, domain_name("d0")).size() == 1);
}

TEST_CASE("origin_holders/a_whole_domain_is_gone/others_were_told")
{
  const auto fleet = Fleet(8, 3);
  auto left = fleet;
  std::erase_if(left, [](const known_instance& aOne) {
    return aOne.mDomain == domain_name("d0");
  });
  CHECK(Found(fleet, 0, left, 1) == kStreams);
}

// A domain that is cut off as a whole has to know its own streams.
TEST_CASE("origin_holders/own_domain/always_has_a_holder")
{
  const auto fleet = Fleet(420, 11);
  const origin_holders teller(Others(fleet, 0));
  for (std::uint64_t each = 1; each <= kStreams; ++each) {
    const auto told = teller.ToTell({ each }, domain_name("d0"));
    CHECK(told.size() >= origin_holders::kMaxDomains);
    CHECK(told.size() <= origin_holders::kMaxDomains + 1);
    CHECK(std::ranges::any_of(told, [&](const std::string& aTold) {
      return std::ranges::any_of(fleet, [&](const known_instance& aOne) {
        return aOne.mAddress == aTold && aOne.mDomain == domain_name("d0");
      });
    }));
  }
}

} // namespace
} // namespace thornhollow
