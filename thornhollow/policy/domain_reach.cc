#include "thornhollow/policy/domain_reach.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace thornhollow {

domain_reach::domain_reach(const domain_reach_settings& aSettings,
                           domain_name aOwn)
  : mSettings(aSettings)
  , mOwn(std::move(aOwn))
{
}

domain_reach::domain*
domain_reach::Known(const domain_name& aName)
{
  if (mDomains.size() >= mSettings.mMostDomains && !mDomains.contains(aName)) {
    return nullptr;
  }
  return &mDomains[aName];
}

bool
domain_reach::OnUnreached(const domain_name& aDomain, time_point aNow)
{
  domain* its = Known(aDomain);
  // Attempts that were on their way are part of the same doubt.
  if (its == nullptr || Lasts(*its, aNow)) {
    return false;
  }
  ++its->mDoubts;
  its->mDoubtedAt = aNow;
  return true;
}

void
domain_reach::OnAnswered(const domain_name& aDomain, time_point aNow)
{
  if (domain* its = Known(aDomain)) {
    its->mHeardAt = aNow;
    its->mDoubtedAt.reset();
    its->mDoubts = 0;
  }
}

void
domain_reach::OnPeerHeard(const domain_name& aDomain, time_point aNow)
{
  domain* its = Known(aDomain);
  if (its == nullptr) {
    return;
  }
  its->mHeardAt = aNow;
  its->mPeerHeard = true;
  if (its->mDoubts <= mSettings.mEndedByWords) {
    its->mDoubtedAt.reset();
  }
}

void
domain_reach::Forget()
{
  for (auto& [name, each] : mDomains) {
    each.mDoubtedAt.reset();
    each.mDoubts = 0;
  }
}

bool
domain_reach::AnyDoubted(time_point aNow) const
{
  return std::ranges::any_of(
    mDomains, [&](const auto& aOne) { return Lasts(aOne.second, aNow); });
}

bool
domain_reach::Doubted(const domain_name& aDomain, time_point aNow) const
{
  const auto found = mDomains.find(aDomain);
  if (found != mDomains.end() && Lasts(found->second, aNow)) {
    return true;
  }
  if (aDomain == mOwn) {
    return false;
  }
  const auto cutOff = CutOffAt(aNow);
  return cutOff &&
         (found == mDomains.end() || found->second.mHeardAt <= *cutOff);
}

bool
domain_reach::Lasts(const domain& aDomain, time_point aNow) const
{
  const duration most =
    aDomain.mPeerHeard ? mSettings.mHeardFor : mSettings.mUnheardFor;
  return aDomain.mDoubtedAt && aNow - *aDomain.mDoubtedAt < most;
}

// When a second domain other than the own one came into doubt.
std::optional<time_point>
domain_reach::CutOffAt(time_point aNow) const
{
  std::vector<time_point> doubts;
  for (const auto& [name, each] : mDomains) {
    if (name != mOwn && Lasts(each, aNow)) {
      doubts.push_back(*each.mDoubtedAt);
    }
  }
  if (doubts.size() < 2) {
    return std::nullopt;
  }
  std::ranges::sort(doubts);
  return doubts[1];
}

} // namespace thornhollow
