#include "thornhollow/policy/scheduler.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace thornhollow {

scheduler::scheduler(const scheduler_settings& aSettings, std::uint64_t aSeed)
  : mSettings(aSettings)
  , mEndpoints(aSettings.mEndpoints, aSeed)
  , mQueue(aSettings.mQueue, aSeed)
  , mRetries(aSettings.mRetries)
  , mRunTimes(aSettings.mRunTimes)
  , mClock(aSettings.mClockGap)
{
}

decisions
scheduler::Configure(const declarations& aDeclared,
                     const domain_name& aOwnDomain,
                     time_point aNow)
{
  decisions out;
  Begin(aNow, out);
  mEndpoints.Configure(aDeclared, aOwnDomain, aNow);
  mQueue.Configure(aDeclared, aNow);
  mRetries.Configure(aDeclared);
  mRunTimes.Configure(aDeclared);
  mTeams.Configure(aDeclared);
  RefuseUndeclared(aDeclared, aNow, out);
  StartWhatFits(aNow, out);
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
  for (const auto& [id, each] : mInProgress) {
    const work_item& item = each.mItem;
    if (each.mPlace || !mQueue.Holds(id)) {
      continue;
    }
    if (!item.mClass.empty() && !classes.contains(item.mClass)) {
      refused.push_back({ id, error_kind::kUnknownClass, {} });
    } else if (!item.mTeam.empty() && !teams.contains(item.mTeam)) {
      refused.push_back({ id, error_kind::kUnknownTeam, {} });
    } else if (!mEndpoints.Serves(item.mPool)) {
      refused.push_back(mQueue.Refuse(item, error_kind::kNoEndpoint, aNow));
    }
  }
  std::ranges::sort(refused, {}, &refuse::mTicket);
  for (const refuse& each : refused) {
    mQueue.Remove(each.mTicket, aNow);
    Refuse(each, aOut);
  }
}

work_estimate
scheduler::Estimate(const work_item& aItem) const
{
  return { mEndpoints.ExpectedTokens(aItem) +
             kPromptTokenCost * aItem.mPromptTokens,
           mRunTimes.Shortest(aItem) };
}

decisions
scheduler::Submit(const work_item& aItem, time_point aNow)
{
  decisions out;
  Begin(aNow, out);
  if (!mEndpoints.Serves(aItem.mPool)) {
    out.emplace_back(mQueue.Refuse(aItem, error_kind::kNoEndpoint, aNow));
    return out;
  }
  if (!mTeams.Add(aItem.mTeam, aItem.mTier)) {
    out.emplace_back(mQueue.Refuse(aItem, error_kind::kTeamOverLimit, aNow));
    return out;
  }
  mInProgress[aItem.mTicket].mItem = aItem;
  for (const refuse& each : mQueue.Push(aItem, Estimate(aItem), aNow)) {
    Refuse(each, out);
  }
  StartWhatFits(aItem.mPool, aNow, out);
  return out;
}

decisions
scheduler::Resubmit(ticket aTicket, time_point aNow)
{
  decisions out;
  Begin(aNow, out);
  const auto found = mInProgress.find(aTicket);
  if (found == mInProgress.end()) {
    return out;
  }
  const work_item item = found->second.mItem;
  if (!mEndpoints.Serves(item.mPool)) {
    Refuse(mQueue.Refuse(item, error_kind::kNoEndpoint, aNow), out);
    return out;
  }
  if (!found->second.mTried.empty() &&
      !mRetries.Spend(item.mClass, found->second.mTried.back(), aNow)) {
    Refuse(mQueue.Refuse(item, error_kind::kRetryBudgetSpent, aNow), out);
    return out;
  }
  for (const refuse& each : mQueue.PushAgain(item, Estimate(item), aNow)) {
    Refuse(each, out);
  }
  StartWhatFits(item.mPool, aNow, out);
  return out;
}

void
scheduler::OnFirstToken(ticket aTicket, time_point aNow)
{
  const auto found = mInProgress.find(aTicket);
  if (found == mInProgress.end() || !found->second.mPlace) {
    return;
  }
  progress& started = found->second;
  const duration wait = aNow - started.mStarted;
  if (std::exchange(started.mBeyond, false)) {
    WindowFor(started.mItem, started.mOwed)
      ->OnFirstToken(wait, mQueue.TargetOf(started.mItem.mClass), aNow);
  }
  mEndpoints.OnFirstToken(*started.mPlace, started.mItem, wait, aNow);
}

decisions
scheduler::OnAttemptEnded(ticket aTicket,
                          attempt_end aHow,
                          std::uint32_t aTokens,
                          time_point aNow)
{
  decisions out;
  Begin(aNow, out);
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
  // First, so that what falls due now is no decision about this ticket.
  if (const auto found = mInProgress.find(aTicket);
      found != mInProgress.end()) {
    ReleasePlace(found->second, attempt_end::kCancelled, 0, aNow);
    mQueue.Remove(aTicket, aNow);
    Drop(found);
  }
  Begin(aNow, out);
  StartWhatFits(aNow, out);
  return out;
}

decisions
scheduler::OnLoadReport(const endpoint_name& aEndpoint,
                        const load_report& aReport,
                        time_point aNow)
{
  decisions out;
  Begin(aNow, out);
  mEndpoints.OnLoadReport(aEndpoint, aReport, aNow);
  StartWhatFits(aNow, out);
  return out;
}

decisions
scheduler::OnEndpointState(const endpoint_name& aEndpoint,
                           endpoint_state aState,
                           time_point aNow)
{
  decisions out;
  Begin(aNow, out);
  mEndpoints.SetState(aEndpoint, aState, aNow);
  StartWhatFits(aNow, out);
  return out;
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
  Begin(aNow, out);
  if (mSettings.mPressureAtEngines ||
      !mEndpoints.HonoursTiers(aPressure.mPool)) {
    mQueue.OnPeerPressure(aFrom, aPressure, aNow);
  }
  StartWhatFits(aPressure.mPool, aNow, out);
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
  Begin(aNow, out);
  StartWhatFits(aNow, out);
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

// A process that stood still wakes with requests whose time is over. Whichever
// event it handles first would start them, at endpoints that it knows nothing
// of any more: the callers are gone and the work is wasted. So every event
// first lets the deadlines pass, and tells the endpoint side of the gap.
void
scheduler::Begin(time_point aNow, decisions& aOut)
{
  mNow = aNow;
  if (mTicking && mClock.Tick(aNow)) {
    mEndpoints.OnClockGap(aNow);
  }
  for (const refuse& each : mQueue.Expire(aNow)) {
    Refuse(each, aOut);
  }
  mEndpoints.Advance(aNow);
}

void
scheduler::StartWhatFits(time_point aNow, decisions& aOut)
{
  for (const pool_name& pool : mQueue.WaitingPools()) {
    StartWhatFits(pool, aNow, aOut);
  }
}

void
scheduler::StartWhatFits(const pool_name& aPool,
                         time_point aNow,
                         decisions& aOut)
{
  // Classes whose next request finds no place while another class's may: long
  // work, which is bounded at each endpoint, and what may not wait there.
  std::vector<class_name> passedOver;
  for (;;) {
    const next_request next = mQueue.Next(aPool, passedOver, aNow);
    if (next.mItem == nullptr) {
      return;
    }
    progress& found = mInProgress.at(next.mItem->mTicket);
    if (const auto chosen = Choose(found, next.mOwed, aNow)) {
      Start(found, *chosen, next.mOwed, aNow, aOut);
    } else if (next.mOwed || mEndpoints.IsLong(found.mItem)) {
      passedOver.push_back(found.mItem.mClass);
    } else {
      return;
    }
  }
}

scheduler::pool_windows::pool_windows(const endpoint_queue_settings& aSettings)
  : mWindows(kTierCount + 1, endpoint_queue_window(aSettings))
{
}

endpoint_queue_window*
scheduler::WindowFor(const work_item& aItem, bool aOwed)
{
  if (!aOwed && aItem.mTier > mSettings.mLowestBeyond) {
    return nullptr;
  }
  pool_windows& pool =
    mWindows.try_emplace(aItem.mPool, mSettings.mEndpointQueues).first->second;
  const int tier = std::clamp(aItem.mTier, kHighestTier, kLowestTier);
  return aOwed ? &pool.mWindows.back() : &pool.mWindows[tier - kHighestTier];
}

std::optional<endpoint_name>
scheduler::Choose(progress& aProgress, bool aOwed, time_point aNow)
{
  const work_item& item = aProgress.mItem;
  aProgress.mBeyond = false;
  if (auto free = mEndpoints.Choose(item, aProgress.mTried, aNow)) {
    return free;
  }
  endpoint_queue_window* window = WindowFor(item, aOwed);
  if (window == nullptr || !window->HasRoom()) {
    return std::nullopt;
  }
  auto queue = mEndpoints.ChooseBeyond(item,
                                       aProgress.mTried,
                                       aOwed ? mSettings.mMostOwedBeyond
                                             : mSettings.mMostBeyond,
                                       aNow);
  aProgress.mBeyond = queue.has_value();
  return queue;
}

void
scheduler::Start(progress& aProgress,
                 const endpoint_name& aEndpoint,
                 bool aOwed,
                 time_point aNow,
                 decisions& aOut)
{
  aProgress.mCost = Estimate(aProgress.mItem).mCost;
  mQueue.Start(aProgress.mItem.mTicket, aNow);
  mEndpoints.OnSent(aEndpoint, aProgress.mItem, aNow);
  aProgress.mPlace = aEndpoint;
  aProgress.mOwed = aOwed;
  if (aProgress.mBeyond) {
    WindowFor(aProgress.mItem, aOwed)->OnSent();
  }
  aProgress.mStarted = aNow;
  aProgress.mTried.push_back(aEndpoint);
  aOut.emplace_back(start{ aProgress.mItem.mTicket, aEndpoint, aOwed });
}

void
scheduler::Refuse(const refuse& aRefusal, decisions& aOut)
{
  if (const auto found = mInProgress.find(aRefusal.mTicket);
      found != mInProgress.end()) {
    Drop(found);
  }
  aOut.emplace_back(aRefusal);
}

void
scheduler::Drop(in_progress::iterator aProgress)
{
  mTeams.Remove(aProgress->second.mItem.mTeam, aProgress->second.mItem.mTier);
  mInProgress.erase(aProgress);
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
  if (std::exchange(aProgress.mBeyond, false)) {
    WindowFor(aProgress.mItem, aProgress.mOwed)->OnLost();
  }
  const endpoint_name place = *std::exchange(aProgress.mPlace, std::nullopt);
  const work_item& item = aProgress.mItem;
  const duration length = aNow - aProgress.mStarted;
  if (aHow == attempt_end::kCompleted) {
    mRetries.OnSuccess(item.mClass, place, aNow);
    mRunTimes.Learn(item, length);
  }
  if (aTokens > 0) {
    mQueue.Settle(
      item, aProgress.mCost, aTokens + kPromptTokenCost * item.mPromptTokens);
  }
  mEndpoints.OnEnded(place, item, aHow, aTokens, length, aNow);
}

} // namespace thornhollow
