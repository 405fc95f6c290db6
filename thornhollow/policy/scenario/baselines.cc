#include "thornhollow/policy/scenario/baselines.h"

#include <utility>

namespace thornhollow::scenario {

baseline_scheduler::baseline_scheduler(endpoint_order aOrder,
                                       std::uint64_t aSeed)
  : mOrder(aOrder)
  , mSeed(aSeed)
{
}

decisions
baseline_scheduler::Configure(const declarations& aDeclared,
                              const domain_name& /*aOwnDomain*/,
                              time_point /*aNow*/)
{
  mPools.clear();
  for (const endpoint& each : aDeclared.mEndpoints) {
    for (const pool_name& pool : each.mPools) {
      mPools[pool].mEndpoints.push_back(each.mName);
    }
  }
  for (auto& [name, pool] : mPools) {
    // Instances don't start their turns at the same endpoint.
    pool.mNext = mSeed % pool.mEndpoints.size();
  }
  return {};
}

decisions
baseline_scheduler::Submit(const work_item& aItem, time_point /*aNow*/)
{
  const auto [added, isNew] =
    mInProgress.emplace(aItem.mTicket, progress{ aItem, {}, {} });
  return Send(added->second);
}

decisions
baseline_scheduler::Resubmit(ticket aTicket, time_point /*aNow*/)
{
  const auto found = mInProgress.find(aTicket);
  return found == mInProgress.end() ? decisions{} : Send(found->second);
}

decisions
baseline_scheduler::OnAttemptEnded(ticket aTicket,
                                   attempt_end aHow,
                                   std::uint32_t /*aTokens*/,
                                   time_point /*aNow*/)
{
  if (const auto found = mInProgress.find(aTicket);
      found != mInProgress.end()) {
    if (aHow != attempt_end::kCompleted) {
      found->second.mFailed = found->second.mPlace;
    }
    Release(found->second);
  }
  return {};
}

decisions
baseline_scheduler::Forget(ticket aTicket, time_point /*aNow*/)
{
  if (const auto found = mInProgress.find(aTicket);
      found != mInProgress.end()) {
    Release(found->second);
    mInProgress.erase(found);
  }
  return {};
}

// Both take another endpoint than the one that just failed, as any proxy does.
std::size_t
baseline_scheduler::Pick(pool_state& aPool, const progress& aProgress) const
{
  const std::size_t count = aPool.mEndpoints.size();
  std::size_t best = aPool.mNext % count;
  if (aProgress.mFailed == aPool.mEndpoints[best]) {
    best = (best + 1) % count;
  }
  if (std::holds_alternative<least_outstanding>(mOrder)) {
    const auto open = [this, &aPool](std::size_t aIndex) {
      const auto found = mOpen.find(aPool.mEndpoints[aIndex]);
      return found == mOpen.end() ? 0U : found->second;
    };
    for (std::size_t step = 1; step < count; ++step) {
      const std::size_t each = (aPool.mNext + step) % count;
      if (aProgress.mFailed != aPool.mEndpoints[each] &&
          open(each) < open(best)) {
        best = each;
      }
    }
  }
  aPool.mNext = (best + 1) % count;
  return best;
}

decisions
baseline_scheduler::Send(progress& aProgress)
{
  pool_state& pool = mPools.at(aProgress.mItem.mPool);
  aProgress.mPlace = pool.mEndpoints[Pick(pool, aProgress)];
  ++mOpen[*aProgress.mPlace];
  return { start{ aProgress.mItem.mTicket, *aProgress.mPlace } };
}

void
baseline_scheduler::Release(progress& aProgress)
{
  if (aProgress.mPlace) {
    --mOpen[*std::exchange(aProgress.mPlace, std::nullopt)];
  }
}

} // namespace thornhollow::scenario
