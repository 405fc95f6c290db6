#include "thornhollow/policy/placement/prefix_affinity.h"

#include <algorithm>

#include "thornhollow/base/hash.h"

namespace thornhollow {

prefix_affinity::prefix_affinity(const prefix_affinity_settings& aSettings)
  : mSettings(aSettings)
  , mSets((std::max<std::size_t>(aSettings.mMaxPrefixes, 1) + kWays - 1) /
          kWays)
{
}

void
prefix_affinity::Record(std::uint64_t aPrefix,
                        std::uint32_t aEndpoint,
                        time_point aNow)
{
  if (aPrefix == 0 || !mSettings.mEnabled) {
    return;
  }
  auto& ways = mSets[SetIndex(aPrefix)];
  auto found = std::ranges::find(ways, aPrefix, &way::mPrefix);
  if (found == ways.end()) {
    found = std::ranges::min_element(ways, {}, &way::mLastUsed);
    *found = way{};
    found->mPrefix = aPrefix;
  }
  found->mLastUsed = aNow;
  // Moves the endpoint to the front of the list. If the endpoint is not in the
  // list, the least recent one is dropped.
  auto last = std::ranges::find(found->mEndpoints, aEndpoint);
  if (last == found->mEndpoints.end()) {
    --last;
  }
  std::move_backward(found->mEndpoints.begin(), last, last + 1);
  found->mEndpoints.front() = aEndpoint;
}

prefix_affinity::endpoint_list
prefix_affinity::Lookup(std::uint64_t aPrefix, time_point aNow) const
{
  if (aPrefix != 0) {
    const auto& ways = mSets[SetIndex(aPrefix)];
    const auto found = std::ranges::find(ways, aPrefix, &way::mPrefix);
    if (found != ways.end() &&
        aNow - found->mLastUsed < mSettings.mTimeToLive) {
      return found->mEndpoints;
    }
  }
  return way{}.mEndpoints;
}

void
prefix_affinity::RemoveEndpoint(std::uint32_t aEndpoint)
{
  for (auto& ways : mSets) {
    for (way& each : ways) {
      const auto kept =
        std::remove(each.mEndpoints.begin(), each.mEndpoints.end(), aEndpoint);
      std::fill(kept, each.mEndpoints.end(), kNoEndpoint);
    }
  }
}

std::size_t
prefix_affinity::SetIndex(std::uint64_t aPrefix) const
{
  return CombineHash(aPrefix, 0) % mSets.size();
}

} // namespace thornhollow
