#include "thornhollow/policy/prefix_affinity.h"

#include <algorithm>

#include "thornhollow/base/hash.h"

namespace thornhollow {

prefix_affinity::prefix_affinity(const prefix_affinity_settings& aSettings)
  : mSettings(aSettings)
  , mSets((std::max<std::size_t>(aSettings.mPrefixes, 1) + kWays - 1) / kWays)
{
}

void
prefix_affinity::Remember(std::uint64_t aPrefix,
                          std::uint32_t aEndpoint,
                          time_point aNow)
{
  if (aPrefix == 0 || !mSettings.mRemember) {
    return;
  }
  auto& ways = mSets[SetOf(aPrefix)];
  auto found = std::ranges::find(ways, aPrefix, &way::mPrefix);
  if (found == ways.end()) {
    found = std::ranges::min_element(ways, {}, &way::mUsed);
    *found = way{};
    found->mPrefix = aPrefix;
  }
  found->mUsed = aNow;
  // Moves the endpoint to the front; the least recent one drops off the end.
  auto last = std::ranges::find(found->mHolders, aEndpoint);
  if (last == found->mHolders.end()) {
    --last;
  }
  std::move_backward(found->mHolders.begin(), last, last + 1);
  found->mHolders.front() = aEndpoint;
}

prefix_affinity::holders
prefix_affinity::Holders(std::uint64_t aPrefix, time_point aNow) const
{
  if (aPrefix != 0) {
    const auto& ways = mSets[SetOf(aPrefix)];
    const auto found = std::ranges::find(ways, aPrefix, &way::mPrefix);
    if (found != ways.end() && aNow - found->mUsed < mSettings.mLife) {
      return found->mHolders;
    }
  }
  return way{}.mHolders;
}

void
prefix_affinity::Forget(std::uint32_t aEndpoint)
{
  for (auto& ways : mSets) {
    for (way& each : ways) {
      const auto kept =
        std::remove(each.mHolders.begin(), each.mHolders.end(), aEndpoint);
      std::fill(kept, each.mHolders.end(), kNobody);
    }
  }
}

std::size_t
prefix_affinity::SetOf(std::uint64_t aPrefix) const
{
  return CombineHash(aPrefix, 0) % mSets.size();
}

} // namespace thornhollow
