#include "thornhollow/policy/queues/scheduler.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace thornhollow {

scheduler::scheduler(const scheduler_settings& aSettings, std::uint64_t aSeed)
  : mSettings(aSettings)
  , mEndpoints(aSettings.mEndpoints, aSeed)
  , mQueue(aSettings.mQueue, aSeed)
  , mRetryBudget(aSettings.mRetryBudget)
  , mRunTimes(aSettings.mRunTimes)
  , mClockGap(aSettings.mClockGap)
{
}

decisions
scheduler::Configure(const declarations& aDeclared,
                     const domain_name& aOwnDomain,
                     time_point aNow)
{
  decisions out;
  BeginEvent(aNow, out);
  mEndpoints.Configure(aDeclared, aOwnDomain, aNow);
  mQueue.Configure(aDeclared, aNow);
  mRetryBudget.Configure(aDeclared);
  mRunTimes.Configure(aDeclared);
  mTeamInFlight.Configure(aDeclared);
  RefuseUndeclared(aDeclared, aNow, out);
  StartWaiting(aNow, out);
  return out;
}

void
scheduler::RefuseUndeclared(const declarations& aDeclared,
                            time_point aNow,
                            decisions& aOut)
{
  std::unordered_set<class_name> classes;
  for (const request_class& each : aDeclared.mClasses) {
    classes.insert(each.mName);
  }
  std::unordered_set<team_name> teams;
  for (const team& each : aDeclared.mTeams) {
    teams.insert(each.mName);
  }
  std::vector<refuse> refused;
  for (const auto& [id, each] : mRequests) {
    const work_item& item = each.mItem;
    if (each.mEndpoint || !mQueue.Contains(id)) {
      continue;
    }
    if (!item.mClass.empty() && !classes.contains(item.mClass)) {
      refused.push_back({ id, error_kind::kUnknownClass, {} });
    } else if (!item.mTeam.empty() && !teams.contains(item.mTeam)) {
      refused.push_back({ id, error_kind::kUnknownTeam, {} });
    } else if (!mEndpoints.Serves(item.mPool)) {
      refused.push_back(WithoutEndpoint(item, aNow));
    }
  }
  std::ranges::sort(refused, {}, &refuse::mTicket);
  for (const refuse& each : refused) {
    mQueue.Remove(each.mTicket, aNow);
    Refuse(each, aOut);
  }
}

// Callers that came back before a failure domain does would be refused again.
refuse
scheduler::WithoutEndpoint(const work_item& aItem, time_point aNow)
{
  refuse refusal = mQueue.Refuse(aItem, error_kind::kNoEndpoint, aNow);
  if (const auto left = mEndpoints.OutOfServiceLeft(aItem.mPool, aNow)) {
    refusal.mRetryAfter += *left;
  }
  return refusal;
}

work_estimate
scheduler::Estimate(const work_item& aItem) const
{
  return { mEndpoints.ExpectedTokens(aItem) +
             kPromptTokenCost * aItem.mPromptTokens,
           mRunTimes.LowerBound(aItem) };
}

decisions
scheduler::Submit(const work_item& aItem, time_point aNow)
{
  decisions out;
  BeginEvent(aNow, out);
  if (!mEndpoints.Serves(aItem.mPool)) {
    out.emplace_back(WithoutEndpoint(aItem, aNow));
    return out;
  }
  if (!mTeamInFlight.TryAdd(aItem.mTeam, aItem.mTier)) {
    out.emplace_back(mQueue.Refuse(aItem, error_kind::kTeamOverLimit, aNow));
    return out;
  }
  mRequests[aItem.mTicket].mItem = aItem;
  for (const refuse& each : mQueue.Push(aItem, Estimate(aItem), aNow)) {
    Refuse(each, out);
  }
  StartWaiting(aItem.mPool, aNow, out);
  return out;
}

decisions
scheduler::Resubmit(ticket aTicket, time_point aNow)
{
  decisions out;
  BeginEvent(aNow, out);
  const auto found = mRequests.find(aTicket);
  if (found == mRequests.end()) {
    return out;
  }
  const work_item item = found->second.mItem;
  if (!mEndpoints.Serves(item.mPool)) {
    Refuse(WithoutEndpoint(item, aNow), out);
    return out;
  }
  if (!found->second.mTriedEndpoints.empty() &&
      !mRetryBudget.Spend(
        item.mClass, found->second.mTriedEndpoints.back(), aNow)) {
    Refuse(mQueue.Refuse(item, error_kind::kRetryBudgetSpent, aNow), out);
    return out;
  }
  for (const refuse& each : mQueue.Requeue(item, Estimate(item), aNow)) {
    Refuse(each, out);
  }
  StartWaiting(item.mPool, aNow, out);
  return out;
}

void
scheduler::OnFirstToken(ticket aTicket, time_point aNow)
{
  const auto found = mRequests.find(aTicket);
  if (found == mRequests.end() || !found->second.mEndpoint) {
    return;
  }
  request_state& started = found->second;
  const duration wait = aNow - started.mStartedAt;
  if (std::exchange(started.mInEndpointQueue, false)) {
    WindowFor(started.mItem, started.mUsesMinimumShare)
      ->OnFirstToken(wait, mQueue.FirstTokenTarget(started.mItem.mClass), aNow);
  }
  mEndpoints.OnFirstToken(*started.mEndpoint, started.mItem, wait, aNow);
}

decisions
scheduler::OnAttemptEnded(ticket aTicket,
                          attempt_end aHow,
                          std::uint32_t aTokens,
                          time_point aNow)
{
  decisions out;
  BeginEvent(aNow, out);
  if (const auto found = mRequests.find(aTicket); found != mRequests.end()) {
    ReleaseSlot(found->second, aHow, aTokens, aNow);
  }
  StartWaiting(aNow, out);
  return out;
}

decisions
scheduler::Forget(ticket aTicket, time_point aNow)
{
  decisions out;
  // The ticket is removed before `BeginEvent` is called, because `BeginEvent`
  // might return a refusal of a ticket that is still queued.
  if (const auto found = mRequests.find(aTicket); found != mRequests.end()) {
    ReleaseSlot(found->second, attempt_end::kCancelled, 0, aNow);
    mQueue.Remove(aTicket, aNow);
    Erase(found);
  }
  BeginEvent(aNow, out);
  StartWaiting(aNow, out);
  return out;
}

template<class change>
decisions
scheduler::ChangeEndpoints(time_point aNow, const change& aChange)
{
  decisions out;
  BeginEvent(aNow, out);
  aChange();
  StartWaiting(aNow, out);
  return out;
}

decisions
scheduler::OnLoadReport(const endpoint_name& aEndpoint,
                        const load_report& aReport,
                        time_point aNow)
{
  return ChangeEndpoints(
    aNow, [&] { mEndpoints.OnLoadReport(aEndpoint, aReport, aNow); });
}

decisions
scheduler::OnEndpointState(const endpoint_name& aEndpoint,
                           endpoint_state aState,
                           time_point aNow)
{
  return ChangeEndpoints(aNow,
                         [&] { mEndpoints.SetState(aEndpoint, aState, aNow); });
}

void
scheduler::OnEndpointRest(const endpoint_name& aEndpoint,
                          time_point aUntil,
                          time_point aNow)
{
  mEndpoints.Rest(aEndpoint, aUntil, aNow);
}

decisions
scheduler::OnRequestRate(const endpoint_name& aEndpoint,
                         const std::optional<double>& aRate,
                         time_point aNow)
{
  return ChangeEndpoints(
    aNow, [&] { mEndpoints.SetRequestRate(aEndpoint, aRate, aNow); });
}

std::vector<pool_pressure>
scheduler::Pressure(time_point aNow) const
{
  return mQueue.Pressure(aNow);
}

decisions
scheduler::OnPeerPressure(const instance_name& aFrom,
                          const pool_pressure& aPressure,
                          time_point aNow)
{
  decisions out;
  BeginEvent(aNow, out);
  if (mSettings.mApplyPressureToTieredPools ||
      !mEndpoints.HonoursTiers(aPressure.mPool)) {
    mQueue.OnPeerPressure(aFrom, aPressure, aNow);
  }
  StartWaiting(aPressure.mPool, aNow, out);
  return out;
}

void
scheduler::SetRouters(const instance_name& aOwn,
                      const std::vector<instance_name>& aRouters)
{
  mEndpoints.SetRouters(aOwn, aRouters);
}

duration
scheduler::PredictedWait(const work_item& aItem, time_point aNow) const
{
  return mQueue.PredictedWait(aItem, aNow);
}

std::vector<endpoint_status>
scheduler::Endpoints(time_point aNow) const
{
  return mEndpoints.Status(aNow);
}

decisions
scheduler::Advance(time_point aNow)
{
  decisions out;
  BeginEvent(aNow, out);
  StartWaiting(aNow, out);
  return out;
}

decisions
scheduler::Tick(time_point aNow)
{
  mTicking = true;
  return Advance(aNow);
}

std::optional<time_point>
scheduler::NextDue() const
{
  std::optional<time_point> due = mQueue.NextDue(mNow);
  if (const auto next = mEndpoints.NextDue();
      next && mQueue.size() > 0 && (!due || *next < *due)) {
    due = next;
  }
  return due;
}

// After a pause of the process, queued requests may be past their deadlines and
// the known endpoint state is outdated. The first event after the pause could
// start expired requests, although their callers have disconnected and the work
// would be wasted. Every event therefore first refuses expired requests and
// reports the gap to the endpoint table.
void
scheduler::BeginEvent(time_point aNow, decisions& aOut)
{
  mNow = aNow;
  if (mTicking && mClockGap.Tick(aNow)) {
    mEndpoints.OnClockGap(aNow);
  }
  for (const refuse& each : mQueue.Expire(aNow)) {
    Refuse(each, aOut);
  }
  mEndpoints.Advance(aNow);
}

void
scheduler::StartWaiting(time_point aNow, decisions& aOut)
{
  for (const pool_name& pool : mQueue.WaitingPools()) {
    StartWaiting(pool, aNow, aOut);
  }
}

void
scheduler::StartWaiting(const pool_name& aPool,
                        time_point aNow,
                        decisions& aOut)
{
  // Classes whose next request got no endpoint although a request of another
  // class may still get one: classes of long requests, whose number per
  // endpoint is limited, and classes whose request uses the minimum share, of
  // which only a limited number may wait in endpoint queues.
  std::vector<class_name> skippedClasses;
  for (;;) {
    const next_request next = mQueue.Next(aPool, skippedClasses, aNow);
    if (next.mItem == nullptr) {
      return;
    }
    request_state& found = mRequests.at(next.mItem->mTicket);
    if (const auto chosen =
          ChooseEndpoint(found, next.mUsesMinimumShare, aNow)) {
      Start(found, *chosen, next.mUsesMinimumShare, aNow, aOut);
    } else if (next.mUsesMinimumShare || mEndpoints.IsLong(found.mItem)) {
      skippedClasses.push_back(found.mItem.mClass);
    } else {
      return;
    }
  }
}

scheduler::pool_windows::pool_windows(
  const endpoint_queue_window_settings& aSettings)
  : mWindows(kTierCount + 1, endpoint_queue_window(aSettings))
{
}

endpoint_queue_window*
scheduler::WindowFor(const work_item& aItem, bool aUsesMinimumShare)
{
  if (!aUsesMinimumShare && aItem.mTier > mSettings.mLowestEndpointQueueTier) {
    return nullptr;
  }
  pool_windows& pool =
    mWindows.try_emplace(aItem.mPool, mSettings.mEndpointQueues).first->second;
  const int tier = std::clamp(aItem.mTier, kHighestTier, kLowestTier);
  return aUsesMinimumShare ? &pool.mWindows.back()
                           : &pool.mWindows[tier - kHighestTier];
}

std::optional<endpoint_name>
scheduler::ChooseEndpoint(request_state& aState,
                          bool aUsesMinimumShare,
                          time_point aNow)
{
  const work_item& item = aState.mItem;
  aState.mInEndpointQueue = false;
  if (auto free = mEndpoints.Choose(item, aState.mTriedEndpoints, aNow)) {
    return free;
  }
  endpoint_queue_window* window = WindowFor(item, aUsesMinimumShare);
  if (window == nullptr || !window->HasRoom()) {
    return std::nullopt;
  }
  auto queued = mEndpoints.ChooseForQueueing(
    item,
    aState.mTriedEndpoints,
    aUsesMinimumShare ? mSettings.mMaxMinimumSharePerEndpoint
                      : mSettings.mMaxQueuedPerEndpoint,
    aNow);
  aState.mInEndpointQueue = queued.has_value();
  return queued;
}

void
scheduler::Start(request_state& aState,
                 const endpoint_name& aEndpoint,
                 bool aUsesMinimumShare,
                 time_point aNow,
                 decisions& aOut)
{
  aState.mChargedCost = Estimate(aState.mItem).mCost;
  mQueue.Start(aState.mItem.mTicket, aNow);
  mEndpoints.OnSent(aEndpoint, aState.mItem, aNow);
  aState.mEndpoint = aEndpoint;
  aState.mUsesMinimumShare = aUsesMinimumShare;
  if (aState.mInEndpointQueue) {
    WindowFor(aState.mItem, aUsesMinimumShare)->OnSent();
  }
  aState.mStartedAt = aNow;
  aState.mTriedEndpoints.push_back(aEndpoint);
  aOut.emplace_back(
    start{ aState.mItem.mTicket, aEndpoint, aUsesMinimumShare });
}

void
scheduler::Refuse(const refuse& aRefusal, decisions& aOut)
{
  if (const auto found = mRequests.find(aRefusal.mTicket);
      found != mRequests.end()) {
    Erase(found);
  }
  aOut.emplace_back(aRefusal);
}

void
scheduler::Erase(request_states::iterator aState)
{
  mTeamInFlight.Remove(aState->second.mItem.mTeam, aState->second.mItem.mTier);
  mRequests.erase(aState);
}

void
scheduler::ReleaseSlot(request_state& aState,
                       attempt_end aHow,
                       std::uint32_t aTokens,
                       time_point aNow)
{
  if (!aState.mEndpoint) {
    return;
  }
  if (std::exchange(aState.mInEndpointQueue, false)) {
    WindowFor(aState.mItem, aState.mUsesMinimumShare)->OnDequeued();
  }
  const endpoint_name endpoint = *std::exchange(aState.mEndpoint, std::nullopt);
  const work_item& item = aState.mItem;
  const duration length = aNow - aState.mStartedAt;
  if (aHow == attempt_end::kCompleted) {
    mRetryBudget.OnSuccess(item.mClass, endpoint, aNow);
    mRunTimes.Learn(item, length);
  }
  if (aTokens > 0) {
    mQueue.AdjustCost(item,
                      aState.mChargedCost,
                      aTokens + kPromptTokenCost * item.mPromptTokens);
  }
  mEndpoints.OnEnded(endpoint, item, aHow, aTokens, length, aNow);
}

} // namespace thornhollow
