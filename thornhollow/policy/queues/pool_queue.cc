#include "thornhollow/policy/queues/pool_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace thornhollow {
namespace {

// Stands for an unlimited wait of a request; longer than any deadline.
constexpr duration kUnboundedWait = std::chrono::hours(1);
// Minimum delay until a class that is held back is re-evaluated. Prevents a
// busy loop in which, because of rounding, the class is due immediately again
// and again without becoming eligible.
constexpr duration kMinWakeDelay = Milliseconds(1);

duration
TimeFor(double aCost, double aRate)
{
  if (aCost <= 0) {
    return duration::zero();
  }
  const double seconds = aRate > 0 ? aCost / aRate : ToSeconds(kUnboundedWait);
  return FromSeconds(std::min(seconds, ToSeconds(kUnboundedWait)));
}

} // namespace

pool_queue::class_queue::class_queue(const pool_queue_settings& aSettings,
                                     const class_objectives& aObjectives)
  : mObjectives(aObjectives)
  , mWaiting(aSettings.mFairTeams)
  , mMinimumShare(aSettings.mMinimumShares ? aObjectives.mMinimumShare : 0)
  , mStandingQueue(aSettings.mStandingQueue, aObjectives.mFirstTokenTarget)
  , mRetrySchedule(aSettings.mRetrySchedule)
{
}

double
pool_queue::class_queue::NextCost() const
{
  const waiting_request* next = mWaiting.Front();
  return next == nullptr ? 0 : next->mWork.mCost;
}

pool_queue::pool_queue(const pool_queue_settings& aSettings)
  : mSettings(aSettings)
{
}

void
pool_queue::SetObjectives(const class_name& aClass,
                          const class_objectives& aObjectives)
{
  class_objectives& known = mObjectives[aClass];
  if (known == aObjectives) {
    return;
  }
  known = aObjectives;
  for (auto& [key, queue] : mClasses) {
    if (key.mClass == aClass) {
      queue.mObjectives = aObjectives;
      queue.mMinimumShare =
        minimum_share(mSettings.mMinimumShares ? aObjectives.mMinimumShare : 0);
      queue.mStandingQueue =
        standing_queue(mSettings.mStandingQueue, aObjectives.mFirstTokenTarget);
    }
  }
}

pool_queue::class_key
pool_queue::KeyOf(const work_item& aItem) const
{
  // Without tier order, all classes are given the same tier. If fair queueing
  // and minimum shares are also off, requests are served in order of arrival.
  return { mSettings.mTierOrder ? aItem.mTier : kHighestTier, aItem.mClass };
}

pool_queue::class_queue&
pool_queue::ClassOf(const class_key& aKey)
{
  if (const auto found = mClasses.find(aKey); found != mClasses.end()) {
    return found->second;
  }
  const auto objectives = mObjectives.find(aKey.mClass);
  return mClasses
    .emplace(aKey,
             class_queue(mSettings,
                         objectives == mObjectives.end() ? class_objectives{}
                                                         : objectives->second))
    .first->second;
}

void
pool_queue::Observe(time_point aNow)
{
  for (auto& [key, queue] : mClasses) {
    queue.mRate.Observe(!queue.mWaiting.empty(), aNow);
  }
  // While requests are held back for another instance, the rate at which
  // requests start does not reflect the pool's capacity, so it isn't measured.
  // The capacity during that time still accrues to the minimum shares.
  mRate.Observe(mCount > 0 && !mHeldBack, aNow);
  if (mHeldBack && aNow > mLastObserved) {
    AccrueShares(mRate.LastPerSecond().value_or(0) *
                 ToSeconds(aNow - mLastObserved));
  }
  mLastObserved = std::max(mLastObserved, aNow);
}

void
pool_queue::AccrueShares(double aServed)
{
  for (auto& [key, queue] : mClasses) {
    queue.mMinimumShare.Accrue(aServed, queue.NextCost());
  }
}

std::size_t
pool_queue::ReservedCapacity(const class_queue& aClass) const
{
  return static_cast<std::size_t>(std::ceil(
    aClass.mMinimumShare.Share() * static_cast<double>(mSettings.mMaxWaiting)));
}

std::size_t
pool_queue::SharedCount(const class_queue& aClass) const
{
  const std::size_t own = ReservedCapacity(aClass);
  return aClass.mWaiting.size() > own ? aClass.mWaiting.size() - own : 0;
}

std::size_t
pool_queue::TotalSharedCount() const
{
  std::size_t count = 0;
  for (const auto& [key, queue] : mClasses) {
    count += SharedCount(queue);
  }
  return count;
}

pool_queue::classes::value_type*
pool_queue::ShedCandidate()
{
  classes::value_type* candidate = nullptr;
  for (auto& each : mClasses) {
    const std::size_t count = SharedCount(each.second);
    if (count > 0 &&
        (candidate == nullptr || each.first.mTier > candidate->first.mTier ||
         count > SharedCount(candidate->second))) {
      candidate = &each;
    }
  }
  return candidate;
}

pool_queue::push_result
pool_queue::Push(const waiting_request& aRequest,
                 double aTeamWeight,
                 std::mt19937_64& aRandom,
                 time_point aNow)
{
  Observe(aNow);
  push_result out;
  const class_key key = KeyOf(aRequest.mItem);
  class_queue& own = ClassOf(key);
  if (WouldMissDeadline(aRequest, own, aNow)) {
    out.mRefused.push_back(
      Refuse(aRequest, error_kind::kDeadlineUnmeetable, aRandom, aNow));
    return out;
  }
  if (const auto refused = MakeRoom(aRequest, key, aRandom, aNow)) {
    out.mRefused.push_back(*refused);
    if (refused->mTicket == aRequest.mItem.mTicket) {
      return out;
    }
  }
  out.mHandle = queue_handle{ key, own.mWaiting.Push(aRequest, aTeamWeight) };
  ++mCount;
  return out;
}

pool_queue::queue_handle
pool_queue::Requeue(const waiting_request& aRequest, time_point aNow)
{
  Observe(aNow);
  const class_key key = KeyOf(aRequest.mItem);
  ++mCount;
  return { key, ClassOf(key).mWaiting.PushFront(aRequest) };
}

bool
pool_queue::WouldMissDeadline(const waiting_request& aRequest,
                              const class_queue& aClass,
                              time_point aNow) const
{
  const duration untilLatest = aRequest.LatestStart() - aNow;
  if (untilLatest <= duration::zero()) {
    return true;
  }
  if (!mSettings.mDeadlineCheck || mCount == 0) {
    return false;
  }
  return PredictedWait(aRequest.mItem, aNow) >
         aClass.mStandingQueue.MaxWait(untilLatest, aNow);
}

std::optional<refuse>
pool_queue::MakeRoom(const waiting_request& aRequest,
                     const class_key& aKey,
                     std::mt19937_64& aRandom,
                     time_point aNow)
{
  class_queue& own = ClassOf(aKey);
  if (own.mWaiting.size() < ReservedCapacity(own) ||
      TotalSharedCount() < mSettings.mMaxWaiting) {
    return std::nullopt;
  }
  classes::value_type* const candidate = ShedCandidate();
  const bool isLowerTier =
    candidate != nullptr && candidate->first.mTier > aKey.mTier;
  // Within a tier, a request of the class that uses most shared capacity is
  // shed, and within a class the request with the latest start tag.
  const bool isLargerClass =
    candidate != nullptr && candidate->first.mTier == aKey.mTier &&
    SharedCount(candidate->second) > SharedCount(own) + 1;
  const bool isOtherTeam = candidate != nullptr && candidate->first == aKey &&
                           own.mWaiting.PrecedesBack(aRequest.mItem.mTeam);
  if (!isLowerTier && !isLargerClass && !isOtherTeam) {
    return Refuse(aRequest, error_kind::kQueueFull, aRandom, aNow);
  }
  class_queue& other = candidate->second;
  refuse refused = Refuse(*other.mWaiting.Back(),
                          isLowerTier ? error_kind::kShedForHigherTier
                                      : error_kind::kQueueFull,
                          aRandom,
                          aNow);
  other.mWaiting.EraseBack();
  --mCount;
  return refused;
}

next_request
pool_queue::Next(const peer_pressure& aPeers,
                 const pool_name& aPool,
                 std::span<const class_name> aSkippedClasses,
                 time_point aNow)
{
  Observe(aNow);
  bool heldBack = false;
  const waiting_request* byMinimumShare = nullptr;
  const waiting_request* next = nullptr;
  int tier = kLowestTier;
  for (const auto& [key, queue] : mClasses) {
    const waiting_request* front = queue.mWaiting.Front();
    if (front == nullptr || std::ranges::find(aSkippedClasses, key.mClass) !=
                              aSkippedClasses.end()) {
      continue;
    }
    if (byMinimumShare == nullptr &&
        queue.mMinimumShare.IsEligible(front->mWork.mCost)) {
      byMinimumShare = front;
    }
    if (mRate.LastPerSecond() && aPeers.IsRestricted(aPool, key.mTier, aNow)) {
      heldBack = true;
      continue;
    }
    const bool isSooner =
      next == nullptr ||
      (key.mTier == tier && front->mQueuedAt < next->mQueuedAt);
    if (isSooner) {
      next = front;
      tier = key.mTier;
    }
  }
  mHeldBack = heldBack && next == nullptr;
  if (byMinimumShare != nullptr) {
    return { &byMinimumShare->mItem, true };
  }
  return { next == nullptr ? nullptr : &next->mItem, false };
}

const waiting_request&
pool_queue::At(const queue_handle& aHandle) const
{
  return *mClasses.at(aHandle.mClass).mWaiting.Find(aHandle.mPosition);
}

void
pool_queue::Start(const queue_handle& aHandle, time_point aNow)
{
  class_queue& from = mClasses.at(aHandle.mClass);
  const waiting_request& started = At(aHandle);
  const double cost = started.mWork.mCost;
  from.mRate.OnServed(cost);
  from.mStandingQueue.OnStarted(aNow - started.mQueuedAt, aNow);
  from.mMinimumShare.Spend(cost);
  if (!mHeldBack) {
    mRate.OnServed(cost);
    AccrueShares(cost);
  }
  from.mWaiting.Dequeue(aHandle.mPosition);
  --mCount;
  if (from.mWaiting.empty()) {
    from.mStandingQueue.OnEmpty();
  }
}

void
pool_queue::AdjustCost(const work_item& aItem,
                       double aTeamWeight,
                       double aExpected,
                       double aActual)
{
  const auto found = mClasses.find(KeyOf(aItem));
  if (found != mClasses.end()) {
    found->second.mMinimumShare.Settle(aExpected, aActual);
    found->second.mWaiting.AdjustCost(
      aItem.mTeam, aActual - aExpected, aTeamWeight);
  }
}

void
pool_queue::Remove(const queue_handle& aHandle, time_point aNow)
{
  Observe(aNow);
  if (const auto found = mClasses.find(aHandle.mClass);
      found != mClasses.end() &&
      found->second.mWaiting.Erase(aHandle.mPosition)) {
    --mCount;
  }
}

refuse
pool_queue::Refuse(const waiting_request& aRequest,
                   error_kind aKind,
                   std::mt19937_64& aRandom,
                   time_point aNow)
{
  class_queue& own = ClassOf(KeyOf(aRequest.mItem));
  const duration backlog = PredictedWait(aRequest.mItem, aNow) -
                           own.mStandingQueue.MaxWait(kUnboundedWait, aNow);
  return {
    aRequest.mItem.mTicket,
    aKind,
    own.mRetrySchedule.ScheduleRetry(
      backlog, aRequest.mWork.mCost, RateFor(own, aNow), aRandom, aNow)
  };
}

// Returns the measured service rate of a class, or the class's minimum share of
// the pool's service rate, whichever is higher. Returns the pool's rate if no
// rate was measured for the class.
std::optional<double>
pool_queue::RateFor(const class_queue& aClass, time_point aNow) const
{
  const auto pool = mRate.PerSecond(aNow);
  const double mean = aClass.mWaiting.empty()
                        ? 0
                        : aClass.mWaiting.TotalCost() /
                            static_cast<double>(aClass.mWaiting.size());
  const auto measured = aClass.mRate.PerSecondWithNext(mean, aNow);
  if (!measured) {
    return pool;
  }
  return std::max(*measured, pool.value_or(0) * aClass.mMinimumShare.Share());
}

duration
pool_queue::PredictedWait(const work_item& aItem, time_point aNow) const
{
  const class_key key = KeyOf(aItem);
  const auto own = mClasses.find(key);
  const double ahead =
    own == mClasses.end() ? 0 : own->second.mWaiting.CostAhead(aItem.mTeam);
  double others = 0;
  for (const auto& [each, queue] : mClasses) {
    if (each.mTier <= key.mTier && each != key) {
      others += queue.mWaiting.TotalCost();
    }
  }
  duration wait{};
  if (const auto rate = mRate.PerSecond(aNow)) {
    wait = TimeFor(ahead + others, *rate);
  }
  if (ahead > 0) {
    if (const auto rate = RateFor(own->second, aNow)) {
      wait = std::max(wait, TimeFor(ahead, *rate));
    }
  }
  return wait;
}

pool_pressure
pool_queue::Pressure(const pool_name& aPool,
                     duration aMinWait,
                     time_point aNow) const
{
  pool_pressure out{ .mPool = aPool };
  for (const auto& [key, queue] : mClasses) {
    const waiting_request* next = queue.mWaiting.Front();
    if (next == nullptr || key.mTier > out.mLowestAdmitted) {
      continue;
    }
    if (const duration wait = aNow - next->mQueuedAt; wait >= aMinWait) {
      out.mLowestAdmitted = key.mTier;
      out.mHigherWait = std::max(out.mHigherWait, wait);
    }
  }
  return out;
}

std::optional<time_point>
pool_queue::NextMinimumShareDue(time_point aNow) const
{
  const auto rate = mRate.LastPerSecond();
  if (!mHeldBack || !rate) {
    return std::nullopt;
  }
  duration soonest = kUnboundedWait;
  for (const auto& [key, queue] : mClasses) {
    if (!queue.mWaiting.empty() && queue.mMinimumShare.Share() > 0) {
      soonest = std::min(
        soonest,
        TimeFor(queue.mMinimumShare.CostUntilEligible(queue.NextCost()),
                *rate));
    }
  }
  return aNow + std::max(soonest, kMinWakeDelay);
}

} // namespace thornhollow
