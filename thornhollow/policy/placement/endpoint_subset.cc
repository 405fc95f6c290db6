#include "thornhollow/policy/placement/endpoint_subset.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <string_view>
#include <utility>

#include "thornhollow/base/hash.h"

namespace thornhollow {
namespace {

using weighted_index = std::pair<std::uint64_t, std::size_t>;

std::uint64_t
Weight(std::uint64_t aRouter, std::uint64_t aEndpoint)
{
  return CombineHash(aRouter, aEndpoint);
}

std::vector<std::uint64_t>
RouterHashes(const std::vector<instance_name>& aRouters,
             const instance_name& aOwn)
{
  std::vector<std::uint64_t> hashes{ Hash64(aOwn.Text()) };
  for (const instance_name& each : aRouters) {
    if (each != aOwn) {
      hashes.push_back(Hash64(each.Text()));
    }
  }
  return hashes;
}

// Returns the number of routers that have a higher rendezvous weight for
// `aEndpoint` than this router has.
std::size_t
CountRoutersWithHigherWeight(const std::vector<std::uint64_t>& aRouters,
                             std::uint64_t aOwn,
                             std::uint64_t aEndpoint)
{
  const std::uint64_t own = Weight(aOwn, aEndpoint);
  return static_cast<std::size_t>(
    std::ranges::count_if(aRouters, [own, aEndpoint](std::uint64_t aRouter) {
      return Weight(aRouter, aEndpoint) > own;
    }));
}

// Appends the indices of the elements of `aFrom` with the highest weights to
// `aChosen` until `aChosen` has `aMaxSize` elements.
void
AppendHeaviest(std::vector<weighted_index> aFrom,
               std::size_t aMaxSize,
               std::vector<std::size_t>& aChosen)
{
  std::ranges::sort(aFrom, std::greater<>());
  for (const auto& [weight, index] : aFrom) {
    if (aChosen.size() >= aMaxSize) {
      return;
    }
    aChosen.push_back(index);
  }
}

// Chooses the subset of a pool from the endpoints of the own domain when the
// domain has more than `mMaxPerPool` endpoints.
std::vector<std::size_t>
ChooseFromOwnDomain(std::span<const subset_candidate> aPool,
                    const std::vector<std::size_t>& aOwnDomain,
                    const subset_context& aContext,
                    const endpoint_subset_settings& aSettings)
{
  const std::vector<std::uint64_t> routers =
    RouterHashes(aContext.mRouters, aContext.mOwn);
  const std::uint64_t own = routers.front();
  const std::size_t totalAssignments = aSettings.mMeanPerPool * routers.size();
  const std::size_t routersPerEndpoint =
    (totalAssignments + aOwnDomain.size() - 1) / aOwnDomain.size();
  std::vector<weighted_index> preferred;
  std::vector<weighted_index> others;
  for (const std::size_t index : aOwnDomain) {
    const std::uint64_t endpoint = Hash64(aPool[index].mName.Text());
    auto& into =
      CountRoutersWithHigherWeight(routers, own, endpoint) < routersPerEndpoint
        ? preferred
        : others;
    into.emplace_back(Weight(own, endpoint), index);
  }
  std::vector<std::size_t> chosen;
  AppendHeaviest(std::move(preferred), aSettings.mMaxPerPool, chosen);
  AppendHeaviest(std::move(others), aSettings.mMinPerPool, chosen);
  return chosen;
}

} // namespace

std::vector<std::size_t>
ChooseSubset(std::span<const subset_candidate> aPool,
             const subset_context& aContext,
             const endpoint_subset_settings& aSettings)
{
  std::vector<std::size_t> chosen(aPool.size());
  std::iota(chosen.begin(), chosen.end(), 0);
  if (aPool.size() <= aSettings.mMaxPerPool) {
    return chosen;
  }
  const auto otherDomains =
    std::stable_partition(chosen.begin(), chosen.end(), [&](std::size_t aEach) {
      return aPool[aEach].mDomain == aContext.mDomain;
    });
  std::vector<weighted_index> others;
  const std::uint64_t own = Hash64(aContext.mOwn.Text());
  for (auto each = otherDomains; each != chosen.end(); ++each) {
    others.emplace_back(Weight(own, Hash64(aPool[*each].mName.Text())), *each);
  }
  chosen.erase(otherDomains, chosen.end());
  if (chosen.size() > aSettings.mMaxPerPool) {
    chosen = ChooseFromOwnDomain(aPool, chosen, aContext, aSettings);
  } else {
    AppendHeaviest(std::move(others), aSettings.mMaxPerPool, chosen);
  }
  std::ranges::sort(chosen);
  return chosen;
}

} // namespace thornhollow
