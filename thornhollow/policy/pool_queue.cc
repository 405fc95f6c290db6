#include "thornhollow/policy/pool_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace thornhollow {
namespace {

// Stands for "longer than any deadline".
constexpr duration kForever = std::chrono::hours(1);
// Rounding of credits must not plan a wake for the present, again and again.
constexpr duration kLeastStep = Milliseconds(1);

duration
TimeFor(double aCost, double aRate)
{
  if (aCost <= 0) {
    return duration::zero();
  }
  const double seconds = aRate > 0 ? aCost / aRate : ToSeconds(kForever);
  return FromSeconds(std::min(seconds, ToSeconds(kForever)));
}

} // namespace

pool_queue::class_queue::class_queue(const pool_queue_settings& aSettings,
                                     const waiting_terms& aTerms)
  : mTerms(aTerms)
  , mWaiting(aSettings.mFairTeams)
  , mShare(aSettings.mMinimumShares ? aTerms.mMinimumShare : 0)
  , mStanding(aSettings.mStanding, aTerms.mFirstTokenTarget)
  , mReturns(aSettings.mReturns)
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
pool_queue::SetTerms(const class_name& aClass, const waiting_terms& aTerms)
{
  waiting_terms& known = mTerms[aClass];
  if (known == aTerms) {
    return;
  }
  known = aTerms;
  for (auto& [key, queue] : mClasses) {
    if (key.mClass == aClass) {
      queue.mTerms = aTerms;
      queue.mShare =
        minimum_share(mSettings.mMinimumShares ? aTerms.mMinimumShare : 0);
      queue.mStanding =
        standing_queue(mSettings.mStanding, aTerms.mFirstTokenTarget);
    }
  }
}

pool_queue::class_key
pool_queue::KeyOf(const work_item& aItem) const
{
  // Without tier order all classes are of one tier, and without fair teams and
  // shares then in order of arrival.
  return { mSettings.mTierOrder ? aItem.mTier : kHighestTier, aItem.mClass };
}

pool_queue::class_queue&
pool_queue::ClassOf(const class_key& aKey)
{
  if (const auto found = mClasses.find(aKey); found != mClasses.end()) {
    return found->second;
  }
  const auto terms = mTerms.find(aKey.mClass);
  return mClasses
    .emplace(
      aKey,
      class_queue(mSettings,
                  terms == mTerms.end() ? waiting_terms{} : terms->second))
    .first->second;
}

void
pool_queue::Observe(time_point aNow)
{
  for (auto& [key, queue] : mClasses) {
    queue.mRate.Observe(!queue.mWaiting.empty(), aNow);
  }
  // Work that is held back says nothing about what the pool can do. What it
  // could have done meanwhile still counts for the shares.
  mRate.Observe(mCount > 0 && !mHeld, aNow);
  if (mHeld && aNow > mObserved) {
    AccrueShares(mRate.LastPerSecond().value_or(0) *
                 ToSeconds(aNow - mObserved));
  }
  mObserved = std::max(mObserved, aNow);
}

void
pool_queue::AccrueShares(double aServed)
{
  for (auto& [key, queue] : mClasses) {
    queue.mShare.Accrue(aServed, queue.NextCost());
  }
}

std::size_t
pool_queue::OwnPlaces(const class_queue& aClass) const
{
  return static_cast<std::size_t>(std::ceil(
    aClass.mShare.Share() * static_cast<double>(mSettings.mMaxWaiting)));
}

std::size_t
pool_queue::InCommon(const class_queue& aClass) const
{
  const std::size_t own = OwnPlaces(aClass);
  return aClass.mWaiting.size() > own ? aClass.mWaiting.size() - own : 0;
}

std::size_t
pool_queue::CommonTaken() const
{
  std::size_t taken = 0;
  for (const auto& [key, queue] : mClasses) {
    taken += InCommon(queue);
  }
  return taken;
}

pool_queue::classes::value_type*
pool_queue::LastInCommon()
{
  classes::value_type* last = nullptr;
  for (auto& each : mClasses) {
    const std::size_t taken = InCommon(each.second);
    if (taken > 0 && (last == nullptr || each.first.mTier > last->first.mTier ||
                      taken > InCommon(last->second))) {
      last = &each;
    }
  }
  return last;
}

pool_queue::arrival
pool_queue::Push(const waiting_request& aRequest,
                 double aTeamWeight,
                 std::mt19937_64& aRandom,
                 time_point aNow)
{
  Observe(aNow);
  arrival out;
  const class_key key = KeyOf(aRequest.mItem);
  class_queue& own = ClassOf(key);
  if (IsTooLate(aRequest, own, aNow)) {
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
  out.mPlace = place{ key, own.mWaiting.Push(aRequest, aTeamWeight) };
  ++mCount;
  return out;
}

pool_queue::place
pool_queue::PushAgain(const waiting_request& aRequest, time_point aNow)
{
  Observe(aNow);
  const class_key key = KeyOf(aRequest.mItem);
  ++mCount;
  return { key, ClassOf(key).mWaiting.PushFront(aRequest) };
}

bool
pool_queue::IsTooLate(const waiting_request& aRequest,
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
         aClass.mStanding.Bound(untilLatest, aNow);
}

std::optional<refuse>
pool_queue::MakeRoom(const waiting_request& aRequest,
                     const class_key& aKey,
                     std::mt19937_64& aRandom,
                     time_point aNow)
{
  class_queue& own = ClassOf(aKey);
  if (own.mWaiting.size() < OwnPlaces(own) ||
      CommonTaken() < mSettings.mMaxWaiting) {
    return std::nullopt;
  }
  classes::value_type* const last = LastInCommon();
  const bool isLowerTier = last != nullptr && last->first.mTier > aKey.mTier;
  // Of one tier, the class with most requests in common places makes room, and
  // of one class the team that is furthest ahead of its share.
  const bool isLonger = last != nullptr && last->first.mTier == aKey.mTier &&
                        InCommon(last->second) > InCommon(own) + 1;
  const bool isOtherTeams = last != nullptr && last->first == aKey &&
                            own.mWaiting.GoesBeforeBack(aRequest.mItem.mTeam);
  if (!isLowerTier && !isLonger && !isOtherTeams) {
    return Refuse(aRequest, error_kind::kQueueFull, aRandom, aNow);
  }
  class_queue& other = last->second;
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
                 std::span<const class_name> aPassedOver,
                 time_point aNow)
{
  Observe(aNow);
  bool held = false;
  const waiting_request* owed = nullptr;
  const waiting_request* next = nullptr;
  int tier = kLowestTier;
  for (const auto& [key, queue] : mClasses) {
    const waiting_request* front = queue.mWaiting.Front();
    if (front == nullptr ||
        std::ranges::find(aPassedOver, key.mClass) != aPassedOver.end()) {
      continue;
    }
    if (owed == nullptr && queue.mShare.IsEligible(front->mWork.mCost)) {
      owed = front;
    }
    if (mRate.LastPerSecond() && aPeers.IsRestricted(aPool, key.mTier, aNow)) {
      held = true;
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
  mHeld = held && next == nullptr;
  if (owed != nullptr) {
    return { &owed->mItem, true };
  }
  return { next == nullptr ? nullptr : &next->mItem, false };
}

const waiting_request&
pool_queue::At(const place& aPlace) const
{
  return *mClasses.at(aPlace.mClass).mWaiting.Find(aPlace.mPosition);
}

void
pool_queue::Start(const place& aPlace, time_point aNow)
{
  class_queue& from = mClasses.at(aPlace.mClass);
  const waiting_request& started = At(aPlace);
  const double cost = started.mWork.mCost;
  from.mRate.OnServed(cost);
  from.mStanding.OnStarted(aNow - started.mQueuedAt, aNow);
  from.mShare.Spend(cost);
  if (!mHeld) {
    mRate.OnServed(cost);
    AccrueShares(cost);
  }
  from.mWaiting.Take(aPlace.mPosition);
  --mCount;
  if (from.mWaiting.empty()) {
    from.mStanding.OnEmpty();
  }
}

void
pool_queue::Settle(const work_item& aItem,
                   double aTeamWeight,
                   double aExpected,
                   double aActual)
{
  const auto found = mClasses.find(KeyOf(aItem));
  if (found != mClasses.end()) {
    found->second.mShare.Settle(aExpected, aActual);
    found->second.mWaiting.Settle(
      aItem.mTeam, aActual - aExpected, aTeamWeight);
  }
}

void
pool_queue::Remove(const place& aPlace, time_point aNow)
{
  Observe(aNow);
  if (const auto found = mClasses.find(aPlace.mClass);
      found != mClasses.end() &&
      found->second.mWaiting.Erase(aPlace.mPosition)) {
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
  const duration backlog =
    PredictedWait(aRequest.mItem, aNow) - own.mStanding.Bound(kForever, aNow);
  return {
    aRequest.mItem.mTicket,
    aKind,
    own.mReturns.ComeBackAfter(
      backlog, aRequest.mWork.mCost, RateFor(own, aNow), aRandom, aNow)
  };
}

// What a class is served, measured; at least its share of the pool.
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
  return std::max(*measured, pool.value_or(0) * aClass.mShare.Share());
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
                     duration aLeastWait,
                     time_point aNow) const
{
  pool_pressure out{ .mPool = aPool };
  for (const auto& [key, queue] : mClasses) {
    const waiting_request* next = queue.mWaiting.Front();
    if (next == nullptr || key.mTier > out.mLowestAdmitted) {
      continue;
    }
    if (const duration wait = aNow - next->mQueuedAt; wait >= aLeastWait) {
      out.mLowestAdmitted = key.mTier;
      out.mHigherWait = std::max(out.mHigherWait, wait);
    }
  }
  return out;
}

std::optional<time_point>
pool_queue::NextOwed(time_point aNow) const
{
  const auto rate = mRate.LastPerSecond();
  if (!mHeld || !rate) {
    return std::nullopt;
  }
  duration soonest = kForever;
  for (const auto& [key, queue] : mClasses) {
    if (!queue.mWaiting.empty() && queue.mShare.Share() > 0) {
      soonest = std::min(
        soonest,
        TimeFor(queue.mShare.CostUntilEligible(queue.NextCost()), *rate));
    }
  }
  return aNow + std::max(soonest, kLeastStep);
}

} // namespace thornhollow
