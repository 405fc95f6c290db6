#include "thornhollow/policy/placement/workload_kind.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "thornhollow/policy/endpoints/prefill_rate.h"

namespace thornhollow {
namespace {

// Request rate below which a workload kind may be replaced by a new kind: a
// kind with such a low rate had no request for several time constants of the
// rate.
constexpr double kIdleRequestsPerSecond = 0.01;
// Minimum age of the first request, in seconds, that the warm-up correction of
// the rates assumes. With a lower age, a single request would be scaled up to
// many.
constexpr double kMinWarmUpSeconds = 0.4;

} // namespace

void
AddDemand(demand_by_kind& aSums, const demand_by_kind& aOthers, double aScale)
{
  for (const kind_demand& each : aOthers) {
    auto at = std::ranges::lower_bound(
      aSums, each.mKind, std::less<>(), &kind_demand::mKind);
    if (at == aSums.end() || at->mKind != each.mKind) {
      at = aSums.insert(at, kind_demand{ each.mKind });
    }
    at->mRequests += each.mRequests * aScale;
    at->mTokens += each.mTokens * aScale;
    at->mSquaredTokensPerSecond += each.mSquaredTokensPerSecond * aScale;
    at->mOpen += each.mOpen * aScale;
  }
}

void
AddView(pool_view& aSums, const pool_view& aOthers, double aScale)
{
  AddDemand(aSums.mDemand, aOthers.mDemand, aScale);
  if (aOthers.mPrefillRateCount <= 0) {
    return;
  }
  // Bounds the reported rate: if an instance reported engines a million times
  // too fast, all other instances would send every request to these engines.
  const double reported =
    std::clamp(aOthers.mPrefillRateSum / aOthers.mPrefillRateCount,
               prefill_rate::kMin,
               prefill_rate::kMax);
  aSums.mPrefillRateSum += reported * aOthers.mPrefillRateCount;
  aSums.mPrefillRateCount += aOthers.mPrefillRateCount;
}

workload_meter::counts*
workload_meter::FindOrAdd(const workload_kind& aKind, time_point aNow)
{
  if (const auto found = mKinds.find(aKind); found != mKinds.end()) {
    return &found->second;
  }
  if (mKinds.size() >= kMaxKinds) {
    std::erase_if(mKinds, [aNow](const auto& aOne) {
      return aOne.second.mInFlight == 0 &&
             aOne.second.mRequests.PerSecond(aNow) < kIdleRequestsPerSecond;
    });
  }
  return mKinds.size() < kMaxKinds ? &mKinds[aKind] : nullptr;
}

void
workload_meter::OnRequest(const workload_kind& aKind,
                          double aTokens,
                          time_point aNow)
{
  mFirstRequestAt = mFirstRequestAt.value_or(aNow);
  if (counts* its = FindOrAdd(aKind, aNow)) {
    its->mRequests.Add(1, aNow);
    its->mTokens.Add(aTokens, aNow);
    its->mSizes.Add(aTokens, aNow);
    its->mSquaredSizes.Add(aTokens * aTokens, aNow);
  }
}

void
workload_meter::OnSent(const workload_kind& aKind, time_point aNow)
{
  if (counts* its = FindOrAdd(aKind, aNow)) {
    ++its->mInFlight;
  }
}

void
workload_meter::OnEnded(const workload_kind& aKind)
{
  if (const auto found = mKinds.find(aKind); found != mKinds.end()) {
    found->second.mInFlight -=
      std::min<std::size_t>(found->second.mInFlight, 1);
  }
}

// When a whole site restarts, all instances start at the same moment and
// receive at once what callers sent meanwhile. Without this factor, measured
// rates take two seconds to rise, and engines were partitioned for half of the
// actual demand.
double
workload_meter::WarmUpFactor(time_point aNow) const
{
  if (!mFirstRequestAt) {
    return 1;
  }
  const double age =
    std::max(ToSeconds(aNow - *mFirstRequestAt), kMinWarmUpSeconds);
  return 1 / (1 - std::exp(-age / decaying_rate::kTimeConstantSeconds));
}

demand_by_kind
workload_meter::Demand(time_point aNow) const
{
  const double factor = WarmUpFactor(aNow);
  demand_by_kind sums;
  sums.reserve(mKinds.size());
  for (const auto& [kind, its] : mKinds) {
    const double tokens = its.mTokens.PerSecond(aNow) * factor;
    const double sizes = its.mSizes.PerSecond(aNow);
    const double weighted =
      sizes > 0 ? its.mSquaredSizes.PerSecond(aNow) / sizes : 0;
    sums.push_back({ kind,
                     its.mRequests.PerSecond(aNow) * factor,
                     tokens,
                     tokens * weighted,
                     static_cast<double>(its.mInFlight) });
  }
  return sums;
}

} // namespace thornhollow
