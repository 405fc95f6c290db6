#include "thornhollow/daemon/engine_warm_ups.h"

#include <algorithm>
#include <utility>

#include "thornhollow/base/endpoint_hash.h"

namespace thornhollow {
namespace {

// The first of the endpoint's pools that declares a warm-up, if one does.
std::optional<pool_name>
PoolWithWarmUp(const endpoint& aEndpoint, const std::set<pool_name>& aPools)
{
  const auto found =
    std::ranges::find_if(aEndpoint.mPools, [&](const pool_name& aPool) {
      return aPools.contains(aPool);
    });
  return found == aEndpoint.mPools.end() ? std::nullopt : std::optional(*found);
}

} // namespace

engine_warm_ups::engine_warm_ups(json_log& aLog,
                                 metrics& aMetrics,
                                 const instance_name& aOwnName)
  : mBounds(aLog, aMetrics, aOwnName.Text())
{
}

// Processes aren't told apart here: an engine keeps its name and address.
endpoint_process_hash
engine_warm_ups::ProcessOf(const endpoint_name& aEngine)
{
  return EndpointProcessHash(aEngine, 0);
}

void
engine_warm_ups::Configure(const declarations& aDeclared, time_point aNow)
{
  mPools.clear();
  mTellsAll = true;
  for (const model& each : aDeclared.mModels) {
    mBounds.SetWarmUp(PoolOf(each.mName), each.mWarmUp);
    if (each.mWarmUp.LimitsRequests()) {
      mPools.insert(PoolOf(each.mName));
    }
  }
  const std::set<domain_name> wereOut =
    std::exchange(mOutOfService, DomainsOutOfService(aDeclared));
  const std::set<endpoint_name> known = std::exchange(mEngines, {});
  for (const endpoint& each : aDeclared.mEndpoints) {
    const auto pool = PoolWithWarmUp(each, mPools);
    if (!pool) {
      continue;
    }
    mEngines.insert(each.mName);
    mBounds.Register(ProcessOf(each.mName), each.mName, *pool, each.mSlots);
    const bool isBack =
      wereOut.contains(each.mDomain) && !mOutOfService.contains(each.mDomain);
    if (isBack) {
      mBounds.PresumeCold(ProcessOf(each.mName), "return", aNow);
    } else if (!known.contains(each.mName)) {
      mBounds.PresumeCold(ProcessOf(each.mName), "unknown", aNow);
    }
  }
  for (const endpoint_name& each : known) {
    if (!mEngines.contains(each)) {
      mBounds.Forget(ProcessOf(each));
    }
  }
}

void
engine_warm_ups::OnReport(const endpoint_name& aEngine,
                          const load_report& aReport,
                          time_point aNow)
{
  if (mEngines.contains(aEngine)) {
    mBounds.OnWarmUpReported(
      ProcessOf(aEngine), aReport.mWarmUpLeft, aReport.mMeasuredAt, aNow);
  }
}

void
engine_warm_ups::OnUnreachable(const endpoint_name& aEngine, time_point aNow)
{
  if (mEngines.contains(aEngine)) {
    mBounds.PresumeCold(ProcessOf(aEngine), "unreachable", aNow);
  }
}

void
engine_warm_ups::SetInstances(const std::vector<std::string>& aOthers,
                              time_point aNow)
{
  const std::size_t alive = aOthers.size() + 1;
  mInstances.Observe(alive, aNow);
  const double present = mInstances.FractionLeft(alive, aNow);
  mBounds.OnPeersHeard(!aOthers.empty(), aNow);
  for (const pool_name& each : mPools) {
    mBounds.SetInstances(each, aOthers, true, present, aNow);
  }
}

std::vector<engine_rate>
engine_warm_ups::TakeChanges(time_point aNow)
{
  mBounds.TakeWarm(aNow);
  const bool tellsAll = std::exchange(mTellsAll, false);
  const std::map<endpoint_name, double> told = std::exchange(mRates, {});
  std::vector<engine_rate> changes;
  for (const endpoint_name& each : mEngines) {
    const auto rate = mBounds.RequestRate(ProcessOf(each), aNow);
    if (rate) {
      mRates.emplace(each, *rate);
    }
    const auto last = told.find(each);
    const bool isSame = last == told.end() ? !rate : rate == last->second;
    if (tellsAll || !isSame) {
      changes.push_back({ each, rate });
    }
  }
  for (const auto& [name, rate] : told) {
    if (!mEngines.contains(name)) {
      changes.push_back({ name, std::nullopt });
    }
  }
  return changes;
}

} // namespace thornhollow
