#include "thornhollow/policy/endpoints/domain_reachability.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace thornhollow {

domain_reachability::domain_reachability(
  const domain_reachability_settings& aSettings,
  domain_name aOwn)
  : mSettings(aSettings)
  , mOwnDomain(std::move(aOwn))
{
}

domain_reachability::domain_state*
domain_reachability::FindOrAdd(const domain_name& aName)
{
  if (mDomains.size() >= mSettings.mMaxDomains && !mDomains.contains(aName)) {
    return nullptr;
  }
  return &mDomains[aName];
}

bool
domain_reachability::OnUnreachable(const domain_name& aDomain, time_point aNow)
{
  domain_state* its = FindOrAdd(aDomain);
  // Attempts that were in flight when the domain became suspected also fail,
  // but such a failure doesn't start another suspicion.
  if (its == nullptr || IsSuspicionActive(*its, aNow)) {
    return false;
  }
  ++its->mConsecutiveSuspicions;
  its->mSuspectedAt = aNow;
  return true;
}

void
domain_reachability::OnResponse(const domain_name& aDomain, time_point aNow)
{
  if (domain_state* its = FindOrAdd(aDomain)) {
    its->mLastContactAt = aNow;
    its->mSuspectedAt.reset();
    its->mConsecutiveSuspicions = 0;
  }
}

void
domain_reachability::OnPeerMessage(const domain_name& aDomain, time_point aNow)
{
  domain_state* its = FindOrAdd(aDomain);
  if (its == nullptr) {
    return;
  }
  its->mLastContactAt = aNow;
  its->mHasPeer = true;
  if (its->mConsecutiveSuspicions <= mSettings.mMaxClearedByPeers) {
    its->mSuspectedAt.reset();
  }
}

void
domain_reachability::ClearSuspicions()
{
  for (auto& [name, each] : mDomains) {
    each.mSuspectedAt.reset();
    each.mConsecutiveSuspicions = 0;
  }
}

bool
domain_reachability::AnySuspected(time_point aNow) const
{
  return std::ranges::any_of(mDomains, [&](const auto& aOne) {
    return IsSuspicionActive(aOne.second, aNow);
  });
}

bool
domain_reachability::IsSuspected(const domain_name& aDomain,
                                 time_point aNow) const
{
  const auto found = mDomains.find(aDomain);
  if (found != mDomains.end() && IsSuspicionActive(found->second, aNow)) {
    return true;
  }
  if (aDomain == mOwnDomain) {
    return false;
  }
  const auto cutOff = CutOffAt(aNow);
  return cutOff &&
         (found == mDomains.end() || found->second.mLastContactAt <= *cutOff);
}

bool
domain_reachability::IsSuspicionActive(const domain_state& aDomain,
                                       time_point aNow) const
{
  const duration maxDuration = aDomain.mHasPeer
                                 ? mSettings.mSuspicionWithPeers
                                 : mSettings.mSuspicionWithoutPeers;
  return aDomain.mSuspectedAt && aNow - *aDomain.mSuspectedAt < maxDuration;
}

// Returns when a second domain other than this instance's own became suspected,
// which means that this instance's own domain is probably cut off. Empty if
// fewer than two other domains are suspected.
std::optional<time_point>
domain_reachability::CutOffAt(time_point aNow) const
{
  std::vector<time_point> suspectedAt;
  for (const auto& [name, each] : mDomains) {
    if (name != mOwnDomain && IsSuspicionActive(each, aNow)) {
      suspectedAt.push_back(*each.mSuspectedAt);
    }
  }
  if (suspectedAt.size() < 2) {
    return std::nullopt;
  }
  std::ranges::sort(suspectedAt);
  return suspectedAt[1];
}

} // namespace thornhollow
