#include "thornhollow/routing/routing_table.h"

#include <algorithm>
#include <utility>

namespace thornhollow {
namespace {

// The host in lower case and without a port; colons of an IPv6 address are
// kept.
std::string
HostKey(std::string_view aHost)
{
  const std::size_t colon = aHost.rfind(':');
  if (colon != std::string_view::npos && aHost.find(']', colon) == aHost.npos) {
    aHost = aHost.substr(0, colon);
  }
  std::string key;
  key.reserve(aHost.size());
  for (const char each : aHost) {
    key += each >= 'A' && each <= 'Z' ? static_cast<char>(each + 32) : each;
  }
  return key;
}

} // namespace

routing_table::routing_table(routing_document aDocument)
  : mDocument(std::move(aDocument))
{
  for (std::size_t index = 0; index < mDocument.mRoutes.size(); ++index) {
    const route& each = mDocument.mRoutes[index];
    mRoutes.emplace(HostKey(each.mHost) + each.mPathPrefix, index);
  }
  for (std::size_t index = 0; index < mDocument.mTeams.size(); ++index) {
    for (const std::string& token : mDocument.mTeams[index].mTokens) {
      mTokens.emplace(token, index);
    }
  }
  for (std::size_t index = 0; index < mDocument.mPools.size(); ++index) {
    mPools.emplace(mDocument.mPools[index].mName, index);
  }
}

const route*
routing_table::Match(std::string_view aHost, std::string_view aPath) const
{
  std::string key = HostKey(aHost);
  const std::size_t hostEnd = key.size();
  key += aPath;
  for (std::size_t slash = key.rfind('/');
       slash != std::string::npos && slash >= hostEnd;
       slash = key.rfind('/')) {
    key.resize(slash + 1);
    if (const auto found = mRoutes.find(key); found != mRoutes.end()) {
      return &mDocument.mRoutes[found->second];
    }
    key.resize(slash);
  }
  return nullptr;
}

const routed_team*
routing_table::TeamForToken(std::string_view aToken) const
{
  const auto found = mTokens.find(std::string(aToken));
  return found == mTokens.end() ? nullptr : &mDocument.mTeams[found->second];
}

const routed_pool*
routing_table::Pool(const pool_name& aName) const
{
  const auto found = mPools.find(aName);
  return found == mPools.end() ? nullptr : &mDocument.mPools[found->second];
}

const pool_name*
routing_table::SelectPool(const route& aRoute, std::uint64_t aHash)
{
  std::uint64_t totalWeight = 0;
  for (const pool_weight& each : aRoute.mPools) {
    totalWeight += each.mWeight;
  }
  if (totalWeight == 0) {
    return nullptr;
  }
  std::uint64_t point = aHash % totalWeight;
  for (const pool_weight& each : aRoute.mPools) {
    if (point < each.mWeight) {
      return &each.mPool;
    }
    point -= each.mWeight;
  }
  return nullptr;
}

routing_table_ptr
MakeRoutingTable(routing_document aDocument)
{
  return routing_table_ptr(new routing_table(std::move(aDocument)));
}

std::uint32_t
EnginePriority(const route& aRoute, tier_number aTier)
{
  // Each route tier has three of the ten levels, one per effective tier.
  constexpr tier_number kLevelsPerRoute = 3;
  constexpr tier_number kLowestPriority = 9;
  const tier_number routeLevel = std::min(aRoute.mTier, kLowestPriority);
  const tier_number tierLevel = std::min(aTier, kLevelsPerRoute - 1);
  return std::min(routeLevel * kLevelsPerRoute + tierLevel, kLowestPriority);
}

tier_number
EffectiveTier(const route& aRoute, const routed_team* aTeam)
{
  if (aTeam != nullptr && aTeam->mTier) {
    return *aTeam->mTier;
  }
  return aRoute.mTier;
}

} // namespace thornhollow
