#include "thornhollow/base/hash.h"

#include <algorithm>
#include <array>
#include <numeric>

#include <xxhash.h>

namespace thornhollow {

std::uint64_t
Hash64(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

std::uint64_t
CombineHash(std::uint64_t aLeft, std::uint64_t aRight)
{
  const std::array<std::uint64_t, 2> both{ aLeft, aRight };
  return XXH3_64bits(both.data(), sizeof(both));
}

std::vector<std::size_t>
RankByRendezvous(std::uint64_t aKey, std::span<const std::string_view> aNames)
{
  std::vector<std::uint64_t> weights;
  weights.reserve(aNames.size());
  for (const std::string_view name : aNames) {
    weights.push_back(CombineHash(aKey, Hash64(name)));
  }
  std::vector<std::size_t> order(aNames.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::ranges::sort(order, [&](std::size_t aFirst, std::size_t aSecond) {
    if (weights[aFirst] != weights[aSecond]) {
      return weights[aFirst] > weights[aSecond];
    }
    return aNames[aFirst] < aNames[aSecond];
  });
  return order;
}

} // namespace thornhollow
