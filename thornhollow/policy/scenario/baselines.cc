#include "thornhollow/policy/scenario/baselines.h"

#include <utility>

namespace thornhollow::scenario {

baseline_scheduler::baseline_scheduler(balancing_algorithm aAlgorithm,
                                       std::uint64_t aSeed)
  : mAlgorithm(aAlgorithm)
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
    // Instances start their rotation over the pool at different endpoints.
    pool.mNext = mSeed % pool.mEndpoints.size();
  }
  return {};
}

decisions
baseline_scheduler::Submit(const work_item& aItem, time_point /*aNow*/)
{
  const auto [added, isNew] =
    mRequests.emplace(aItem.mTicket, baseline_request{ aItem, {}, {} });
  return Send(added->second);
}

decisions
baseline_scheduler::Resubmit(ticket aTicket, time_point /*aNow*/)
{
  const auto found = mRequests.find(aTicket);
  return found == mRequests.end() ? decisions{} : Send(found->second);
}

decisions
baseline_scheduler::OnAttemptEnded(ticket aTicket,
                                   attempt_end aHow,
                                   std::uint32_t /*aTokens*/,
                                   time_point /*aNow*/)
{
  if (const auto found = mRequests.find(aTicket); found != mRequests.end()) {
    if (aHow != attempt_end::kCompleted) {
      found->second.mFailedEndpoint = found->second.mEndpoint;
    }
    ReleaseEndpoint(found->second);
  }
  return {};
}

decisions
baseline_scheduler::Forget(ticket aTicket, time_point /*aNow*/)
{
  if (const auto found = mRequests.find(aTicket); found != mRequests.end()) {
    ReleaseEndpoint(found->second);
    mRequests.erase(found);
  }
  return {};
}

// Both algorithms avoid the endpoint at which the request's previous attempt
// failed, as common proxies do.
std::size_t
baseline_scheduler::PickEndpoint(pool_state& aPool,
                                 const baseline_request& aRequest) const
{
  const std::size_t count = aPool.mEndpoints.size();
  std::size_t best = aPool.mNext % count;
  if (aRequest.mFailedEndpoint == aPool.mEndpoints[best]) {
    best = (best + 1) % count;
  }
  if (std::holds_alternative<least_outstanding>(mAlgorithm)) {
    const auto outstanding = [this, &aPool](std::size_t aIndex) {
      const auto found = mOutstanding.find(aPool.mEndpoints[aIndex]);
      return found == mOutstanding.end() ? 0U : found->second;
    };
    for (std::size_t step = 1; step < count; ++step) {
      const std::size_t each = (aPool.mNext + step) % count;
      if (aRequest.mFailedEndpoint != aPool.mEndpoints[each] &&
          outstanding(each) < outstanding(best)) {
        best = each;
      }
    }
  }
  aPool.mNext = (best + 1) % count;
  return best;
}

decisions
baseline_scheduler::Send(baseline_request& aRequest)
{
  pool_state& pool = mPools.at(aRequest.mItem.mPool);
  aRequest.mEndpoint = pool.mEndpoints[PickEndpoint(pool, aRequest)];
  ++mOutstanding[*aRequest.mEndpoint];
  return { start{ aRequest.mItem.mTicket, *aRequest.mEndpoint } };
}

void
baseline_scheduler::ReleaseEndpoint(baseline_request& aRequest)
{
  if (aRequest.mEndpoint) {
    --mOutstanding[*std::exchange(aRequest.mEndpoint, std::nullopt)];
  }
}

} // namespace thornhollow::scenario
