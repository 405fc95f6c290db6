#include "thornhollow/policy/admission/tier_pressure.h"

#include <algorithm>
#include <cmath>

namespace thornhollow {

peer_pressure::peer_pressure(const tier_pressure_settings& aSettings)
  : mSettings(aSettings)
{
}

// The wait reported by another instance is halved every `mHalfLife`; the
// restriction ends when the halved wait falls below `mMinWait`.
time_point
peer_pressure::RestrictionEnd(duration aWait, time_point aMeasured) const
{
  const double factor = ToSeconds(aWait) / ToSeconds(mSettings.mMinWait);
  if (!mSettings.mEnabled || factor <= 1) {
    return time_point{};
  }
  const duration life =
    FromSeconds(std::log2(factor) * ToSeconds(mSettings.mHalfLife));
  return aMeasured + std::min(life, mSettings.mMaxReportLifetime);
}

void
peer_pressure::OnReport(const instance_name& aFrom,
                        const pool_pressure& aPressure,
                        time_point aNow)
{
  pool_reports& pool = mPools[aPressure.mPool];
  tier_restrictions& held = pool.mByInstance[aFrom];
  held = {};
  if (aPressure.mLowestAdmitted >= kHighestTier &&
      aPressure.mLowestAdmitted <= kLowestTier) {
    held.mUntil[aPressure.mLowestAdmitted - kHighestTier] =
      RestrictionEnd(aPressure.mHigherWait, aNow - aPressure.mAge);
  }
  Summarize(pool);
}

void
peer_pressure::Summarize(pool_reports& aPool)
{
  aPool.mLatest = {};
  for (const auto& [from, held] : aPool.mByInstance) {
    for (std::size_t tier = 0; tier < kTierCount; ++tier) {
      aPool.mLatest.mUntil[tier] =
        std::max(aPool.mLatest.mUntil[tier], held.mUntil[tier]);
    }
  }
}

bool
peer_pressure::IsRestricted(const pool_name& aPool,
                            int aTier,
                            time_point aNow) const
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end()) {
    return false;
  }
  const auto higher = std::clamp<std::ptrdiff_t>(
    aTier - kHighestTier, 0, static_cast<std::ptrdiff_t>(kTierCount));
  const auto& until = found->second.mLatest.mUntil;
  return std::any_of(until.begin(),
                     until.begin() + higher,
                     [aNow](time_point aEach) { return aEach > aNow; });
}

std::optional<time_point>
peer_pressure::RestrictedUntil(const pool_name& aPool) const
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end()) {
    return std::nullopt;
  }
  return std::ranges::max(found->second.mLatest.mUntil);
}

void
peer_pressure::Expire(time_point aNow)
{
  for (auto& [name, pool] : mPools) {
    std::erase_if(pool.mByInstance, [aNow](const auto& aEach) {
      return std::ranges::max(aEach.second.mUntil) <= aNow;
    });
  }
  std::erase_if(
    mPools, [](const auto& aEach) { return aEach.second.mByInstance.empty(); });
}

std::size_t
peer_pressure::size() const
{
  std::size_t reports = 0;
  for (const auto& [name, pool] : mPools) {
    reports += pool.mByInstance.size();
  }
  return reports;
}

} // namespace thornhollow
