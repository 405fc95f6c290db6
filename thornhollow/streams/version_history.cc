#include "thornhollow/streams/version_history.h"

#include <algorithm>

namespace thornhollow {

void
version_history::Put(const endpoint_name& aEndpoint,
                     const pool_name& aPool,
                     endpoint_version_hash aVersion,
                     time_point aNow)
{
  const auto known = mEndpoints.find(aEndpoint);
  if (known != mEndpoints.end() &&
      known->second == std::pair(aPool, aVersion)) {
    return;
  }
  Remove(aEndpoint, aNow);
  mEndpoints.emplace(aEndpoint, std::pair(aPool, aVersion));
  pool_history& history =
    mPools.try_emplace(aPool, pool_history{ aNow, {} }).first->second;
  ++history.mVersions[aVersion].mEndpoints;
}

void
version_history::Remove(const endpoint_name& aEndpoint, time_point aNow)
{
  const auto known = mEndpoints.find(aEndpoint);
  if (known == mEndpoints.end()) {
    return;
  }
  const auto& [pool, version] = known->second;
  auto& versions = mPools[pool].mVersions;
  presence& left = versions[version];
  --left.mEndpoints;
  left.mUntil = aNow;
  std::erase_if(versions, [&](const auto& aEntry) {
    return aEntry.second.mEndpoints == 0 &&
           aNow - aEntry.second.mUntil >= mWindow;
  });
  mEndpoints.erase(known);
}

void
version_history::Restart(time_point aNow)
{
  for (auto& [name, each] : mPools) {
    each.mSince = aNow;
  }
}

listed_versions
version_history::Of(const pool_name& aPool, time_point aNow) const
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end()) {
    return {};
  }
  listed_versions listed;
  for (const auto& [version, each] : found->second.mVersions) {
    if (each.mEndpoints == 0 && aNow - each.mUntil >= mWindow) {
      continue;
    }
    if (listed.mCount != version_count::kNone) {
      return { version_count::kSeveral, kUnknownVersion };
    }
    listed = { version_count::kSoleSoFar, version };
  }
  if (listed.mCount == version_count::kSoleSoFar &&
      aNow - found->second.mSince >= mWindow) {
    listed.mCount = version_count::kSole;
  }
  return listed;
}

} // namespace thornhollow
