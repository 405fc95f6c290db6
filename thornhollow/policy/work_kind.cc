#include "thornhollow/policy/work_kind.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "thornhollow/policy/prefill_rate.h"

namespace thornhollow {
namespace {

// A kind of which less than this many requests came in a second gives its place
// to another one: none for several times the rates' memory.
constexpr double kIdleRequests = 0.01;
// Before that long after the first request a rate isn't scaled up any further:
// one request would count for many.
constexpr double kLeastSeconds = 0.4;

} // namespace

void
AddDemand(demand_sums& aSums, const demand_sums& aOthers, double aScale)
{
  for (const kind_demand& each : aOthers) {
    auto at = std::ranges::lower_bound(
      aSums, each.mKind, std::less<>(), &kind_demand::mKind);
    if (at == aSums.end() || at->mKind != each.mKind) {
      at = aSums.insert(at, kind_demand{ each.mKind });
    }
    at->mRequests += each.mRequests * aScale;
    at->mTokens += each.mTokens * aScale;
    at->mSquares += each.mSquares * aScale;
    at->mOpen += each.mOpen * aScale;
  }
}

void
AddView(pool_view& aSums, const pool_view& aOthers, double aScale)
{
  AddDemand(aSums.mDemand, aOthers.mDemand, aScale);
  if (aOthers.mReadSeen <= 0) {
    return;
  }
  // One instance that tells of engines a million times as fast would make all
  // others send them everything.
  const double told = std::clamp(aOthers.mReadSum / aOthers.mReadSeen,
                                 prefill_rate::kMin,
                                 prefill_rate::kMax);
  aSums.mReadSum += told * aOthers.mReadSeen;
  aSums.mReadSeen += aOthers.mReadSeen;
}

work_meter::counts*
work_meter::Of(const work_kind& aKind, time_point aNow)
{
  if (const auto found = mKinds.find(aKind); found != mKinds.end()) {
    return &found->second;
  }
  if (mKinds.size() >= kMaxKinds) {
    std::erase_if(mKinds, [aNow](const auto& aOne) {
      return aOne.second.mOpen == 0 &&
             aOne.second.mRequests.PerSecond(aNow) < kIdleRequests;
    });
  }
  return mKinds.size() < kMaxKinds ? &mKinds[aKind] : nullptr;
}

void
work_meter::OnAsked(const work_kind& aKind, double aTokens, time_point aNow)
{
  mBegun = mBegun.value_or(aNow);
  if (counts* its = Of(aKind, aNow)) {
    its->mRequests.Add(1, aNow);
    its->mTokens.Add(aTokens, aNow);
    its->mSizes.Add(aTokens, aNow);
    its->mSizeSquares.Add(aTokens * aTokens, aNow);
  }
}

void
work_meter::OnSent(const work_kind& aKind, time_point aNow)
{
  if (counts* its = Of(aKind, aNow)) {
    ++its->mOpen;
  }
}

void
work_meter::OnEnded(const work_kind& aKind)
{
  if (const auto found = mKinds.find(aKind); found != mKinds.end()) {
    found->second.mOpen -= std::min<std::size_t>(found->second.mOpen, 1);
  }
}

// All instances start at the same moment when a whole site was killed, and what
// callers sent meanwhile comes at once: with rates that take two seconds to
// rise, engines were shared out for half of what came.
double
work_meter::StartFactor(time_point aNow) const
{
  if (!mBegun) {
    return 1;
  }
  const double age = std::max(ToSeconds(aNow - *mBegun), kLeastSeconds);
  return 1 / (1 - std::exp(-age / decaying_rate::kTimeConstantSeconds));
}

demand_sums
work_meter::Demand(time_point aNow) const
{
  const double factor = StartFactor(aNow);
  demand_sums sums;
  sums.reserve(mKinds.size());
  for (const auto& [kind, its] : mKinds) {
    const double tokens = its.mTokens.PerSecond(aNow) * factor;
    const double sizes = its.mSizes.PerSecond(aNow);
    const double weighted =
      sizes > 0 ? its.mSizeSquares.PerSecond(aNow) / sizes : 0;
    sums.push_back({ kind,
                     its.mRequests.PerSecond(aNow) * factor,
                     tokens,
                     tokens * weighted,
                     static_cast<double>(its.mOpen) });
  }
  return sums;
}

} // namespace thornhollow
