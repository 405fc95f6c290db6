#include "thornhollow/policy/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace thornhollow {

endpoint_table::endpoint_table(const endpoint_table_settings& /*aSettings*/,
                               std::uint64_t /*aSeed*/)
{
}

void
endpoint_table::Configure(const declarations& aDeclared,
                          const domain_name& /*aOwnDomain*/,
                          time_point /*aNow*/)
{
  std::unordered_map<endpoint_name, entry> kept;
  mByPool.clear();
  for (const endpoint& declared : aDeclared.mEndpoints) {
    entry next{ declared };
    if (const auto old = mEntries.find(declared.mName); old != mEntries.end()) {
      next.mState = old->second.mState;
      next.mInFlight = old->second.mInFlight;
    }
    kept.emplace(declared.mName, std::move(next));
    for (const pool_name& pool : declared.mPools) {
      mByPool[pool].push_back(declared.mName);
    }
  }
  mEntries = std::move(kept);
}

std::optional<endpoint_name>
endpoint_table::Choose(const work_item& aItem,
                       std::span<const endpoint_name> aTried,
                       time_point /*aNow*/)
{
  const auto pool = mByPool.find(aItem.mPool);
  if (pool == mByPool.end()) {
    return std::nullopt;
  }
  const entry* best = nullptr;
  bool bestWasTried = true;
  for (const endpoint_name& name : pool->second) {
    const entry& candidate = mEntries.at(name);
    if (candidate.mState != endpoint_state::kLive ||
        candidate.mInFlight >= candidate.mDeclared.mSlots) {
      continue;
    }
    const bool wasTried =
      std::ranges::find(aTried, name) != std::ranges::end(aTried);
    if (best == nullptr || std::pair(wasTried, candidate.mInFlight) <
                             std::pair(bestWasTried, best->mInFlight)) {
      best = &candidate;
      bestWasTried = wasTried;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mDeclared.mName);
}

void
endpoint_table::OnSent(const endpoint_name& aEndpoint,
                       const work_item& /*aItem*/,
                       time_point /*aNow*/)
{
  if (const auto found = mEntries.find(aEndpoint); found != mEntries.end()) {
    ++found->second.mInFlight;
  }
}

void
endpoint_table::OnFirstToken(const endpoint_name& /*aEndpoint*/,
                             const work_item& /*aItem*/,
                             duration /*aWait*/,
                             time_point /*aNow*/)
{
}

void
endpoint_table::OnEnded(const endpoint_name& aEndpoint,
                        const work_item& /*aItem*/,
                        attempt_end aHow,
                        std::uint32_t /*aTokens*/,
                        duration /*aLength*/,
                        time_point aNow)
{
  if (const auto found = mEntries.find(aEndpoint);
      found != mEntries.end() && found->second.mInFlight > 0) {
    --found->second.mInFlight;
  }
  if (aHow == attempt_end::kDeclinedLeaving) {
    SetState(aEndpoint, endpoint_state::kLeaving, aNow);
  }
}

void
endpoint_table::OnLoadReport(const endpoint_name& aEndpoint,
                             const load_report& aReport,
                             time_point aNow)
{
  if (aReport.mLeaving) {
    SetState(aEndpoint, endpoint_state::kLeaving, aNow);
  }
}

void
endpoint_table::SetState(const endpoint_name& aEndpoint,
                         endpoint_state aState,
                         time_point /*aNow*/)
{
  if (const auto found = mEntries.find(aEndpoint); found != mEntries.end()) {
    found->second.mState = aState;
  }
}

bool
endpoint_table::Serves(const pool_name& aPool) const
{
  return Places(aPool) > 0;
}

std::uint32_t
endpoint_table::Places(const pool_name& aPool) const
{
  std::uint32_t places = 0;
  if (const auto pool = mByPool.find(aPool); pool != mByPool.end()) {
    for (const endpoint_name& name : pool->second) {
      const entry& each = mEntries.at(name);
      places +=
        each.mState == endpoint_state::kLive ? each.mDeclared.mSlots : 0;
    }
  }
  return places;
}

} // namespace thornhollow
