#include "thornhollow/policy/scheduler.h"

#include <utility>

namespace thornhollow {
namespace {

constexpr duration kComeBackAfter = Seconds(1);

} // namespace

scheduler::scheduler(const scheduler_settings& aSettings, std::uint64_t aSeed)
  : mEndpoints(aSettings.mEndpoints, aSeed)
  , mQueue(aSettings.mQueue)
{
}

decisions
scheduler::Configure(const declarations& aDeclared,
                     const domain_name& aOwnDomain,
                     time_point aNow)
{
  mEndpoints.Configure(aDeclared, aOwnDomain, aNow);
  mQueue.Configure(aDeclared, aNow);
  return Advance(aNow);
}

decisions
scheduler::Submit(const work_item& aItem, time_point aNow)
{
  decisions out;
  if (!mEndpoints.Serves(aItem.mPool)) {
    out.emplace_back(
      refuse{ aItem.mTicket, error_kind::kNoEndpoint, kComeBackAfter });
    return out;
  }
  mInProgress.emplace(aItem.mTicket, progress{ aItem, {}, {}, {} });
  for (const refuse& each : mQueue.Push(aItem, aNow)) {
    mInProgress.erase(each.mTicket);
    out.emplace_back(each);
  }
  StartWhatFits(aNow, out);
  return out;
}

decisions
scheduler::Resubmit(ticket aTicket, time_point aNow)
{
  decisions out;
  const auto found = mInProgress.find(aTicket);
  if (found == mInProgress.end()) {
    return out;
  }
  const work_item item = found->second.mItem;
  if (!mEndpoints.Serves(item.mPool)) {
    mInProgress.erase(found);
    out.emplace_back(
      refuse{ aTicket, error_kind::kNoEndpoint, kComeBackAfter });
    return out;
  }
  for (const refuse& each : mQueue.Push(item, aNow)) {
    mInProgress.erase(each.mTicket);
    out.emplace_back(each);
  }
  StartWhatFits(aNow, out);
  return out;
}

void
scheduler::OnFirstToken(ticket aTicket, time_point aNow)
{
  const auto found = mInProgress.find(aTicket);
  if (found == mInProgress.end() || !found->second.mPlace) {
    return;
  }
  mEndpoints.OnFirstToken(*found->second.mPlace,
                          found->second.mItem,
                          aNow - found->second.mStarted,
                          aNow);
}

decisions
scheduler::OnAttemptEnded(ticket aTicket,
                          attempt_end aHow,
                          std::uint32_t aTokens,
                          time_point aNow)
{
  decisions out;
  if (const auto found = mInProgress.find(aTicket);
      found != mInProgress.end()) {
    ReleasePlace(found->second, aHow, aTokens, aNow);
  }
  StartWhatFits(aNow, out);
  return out;
}

decisions
scheduler::Forget(ticket aTicket, time_point aNow)
{
  decisions out;
  if (const auto found = mInProgress.find(aTicket);
      found != mInProgress.end()) {
    ReleasePlace(found->second, attempt_end::kCancelled, 0, aNow);
    mQueue.Remove(aTicket);
    mInProgress.erase(found);
  }
  StartWhatFits(aNow, out);
  return out;
}

decisions
scheduler::OnLoadReport(const endpoint_name& aEndpoint,
                        const load_report& aReport,
                        time_point aNow)
{
  mEndpoints.OnLoadReport(aEndpoint, aReport, aNow);
  return Advance(aNow);
}

decisions
scheduler::OnEndpointState(const endpoint_name& aEndpoint,
                           endpoint_state aState,
                           time_point aNow)
{
  mEndpoints.SetState(aEndpoint, aState, aNow);
  return Advance(aNow);
}

decisions
scheduler::Advance(time_point aNow)
{
  decisions out;
  for (const refuse& each : mQueue.Expire(aNow)) {
    mInProgress.erase(each.mTicket);
    out.emplace_back(each);
  }
  StartWhatFits(aNow, out);
  return out;
}

std::optional<time_point>
scheduler::NextDue() const
{
  return mQueue.NextDeadline();
}

void
scheduler::StartWhatFits(time_point aNow, decisions& aOut)
{
  for (const pool_name& pool : mQueue.WaitingPools()) {
    while (const work_item* next = mQueue.Next(pool, aNow)) {
      progress& found = mInProgress.at(next->mTicket);
      const auto chosen = mEndpoints.Choose(found.mItem, found.mTried, aNow);
      if (!chosen) {
        break;
      }
      mQueue.Remove(found.mItem.mTicket);
      mEndpoints.OnSent(*chosen, found.mItem, aNow);
      found.mPlace = *chosen;
      found.mStarted = aNow;
      found.mTried.push_back(*chosen);
      aOut.emplace_back(start{ found.mItem.mTicket, *chosen });
    }
  }
}

void
scheduler::ReleasePlace(progress& aProgress,
                        attempt_end aHow,
                        std::uint32_t aTokens,
                        time_point aNow)
{
  if (!aProgress.mPlace) {
    return;
  }
  const endpoint_name place = *std::exchange(aProgress.mPlace, std::nullopt);
  mEndpoints.OnEnded(
    place, aProgress.mItem, aHow, aTokens, aNow - aProgress.mStarted, aNow);
}

} // namespace thornhollow
