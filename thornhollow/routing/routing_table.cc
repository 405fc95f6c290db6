#include "thornhollow/routing/routing_table.h"

#include <algorithm>
#include <utility>

namespace thornhollow {
namespace {

// The host in lower case and without a port; an IPv6 number keeps its colons.
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
  for (std::size_t at = 0; at < mDocument.mRoutes.size(); ++at) {
    const route& each = mDocument.mRoutes[at];
    mRoutes.emplace(HostKey(each.mHost) + each.mPathPrefix, at);
  }
  for (std::size_t at = 0; at < mDocument.mTeams.size(); ++at) {
    for (const std::string& token : mDocument.mTeams[at].mTokens) {
      mTokens.emplace(token, at);
    }
  }
  for (std::size_t at = 0; at < mDocument.mPools.size(); ++at) {
    mPools.emplace(mDocument.mPools[at].mName, at);
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
routing_table::TeamOf(std::string_view aToken) const
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
routing_table::PoolFor(const route& aRoute, std::uint64_t aHash)
{
  std::uint64_t sum = 0;
  for (const pool_weight& each : aRoute.mPools) {
    sum += each.mWeight;
  }
  if (sum == 0) {
    return nullptr;
  }
  std::uint64_t point = aHash % sum;
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
EngineRank(const route& aRoute, tier_number aTier)
{
  // Of ten ranks, three for the teams of each route.
  constexpr tier_number kTeamRanks = 3;
  constexpr tier_number kLeastUrgent = 9;
  const tier_number byRoute = std::min(aRoute.mTier, kLeastUrgent);
  const tier_number byTeam = std::min(aTier, kTeamRanks - 1);
  return std::min(byRoute * kTeamRanks + byTeam, kLeastUrgent);
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
