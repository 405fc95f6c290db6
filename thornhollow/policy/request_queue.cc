#include "thornhollow/policy/request_queue.h"

#include <algorithm>

namespace thornhollow {

request_queue::request_queue(const request_queue_settings& aSettings,
                             std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mPeers(aSettings.mPeers)
{
}

void
request_queue::Configure(const declarations& aDeclared, time_point /*aNow*/)
{
  std::unordered_map<class_name, waiting_terms> terms;
  for (const request_class& each : aDeclared.mClasses) {
    const service_level* level = FindLevel(aDeclared, each.mLevel);
    terms[each.mName] = { each.mMinimumShare,
                          level == nullptr ? duration::zero()
                                           : level->mFirstTokenTarget };
  }
  for (auto& [name, pool] : mPools) {
    for (const auto& [gone, old] : mTerms) {
      if (!terms.contains(gone)) {
        pool.SetTerms(gone, {});
      }
    }
    for (const auto& [each, next] : terms) {
      pool.SetTerms(each, next);
    }
  }
  mTerms = std::move(terms);
  mWeights.clear();
  for (const team& each : aDeclared.mTeams) {
    if (each.mWeight > 0 && each.mWeight != 1) {
      mWeights.emplace(each.mName, each.mWeight);
    }
  }
}

pool_queue&
request_queue::PoolOf(const pool_name& aPool)
{
  const auto [found, isNew] = mPools.try_emplace(aPool, mSettings.mPool);
  if (isNew) {
    for (const auto& [name, terms] : mTerms) {
      found->second.SetTerms(name, terms);
    }
  }
  return found->second;
}

double
request_queue::WeightOf(const team_name& aTeam) const
{
  const auto found = mWeights.find(aTeam);
  return found == mWeights.end() ? 1 : found->second;
}

std::vector<refuse>
request_queue::Push(const work_item& aItem,
                    const work_estimate& aWork,
                    time_point aNow)
{
  const waiting_request request{ aItem, aWork, aNow };
  const pool_queue::arrival came =
    PoolOf(aItem.mPool).Push(request, WeightOf(aItem.mTeam), mRandom, aNow);
  for (const refuse& each : came.mRefused) {
    Take(each.mTicket);
  }
  if (came.mPlace) {
    Add(request, *came.mPlace);
  }
  return came.mRefused;
}

std::vector<refuse>
request_queue::PushAgain(const work_item& aItem,
                         const work_estimate& aWork,
                         time_point aNow)
{
  const waiting_request request{ aItem, aWork, aNow };
  pool_queue& pool = PoolOf(aItem.mPool);
  if (request.LatestStart() <= aNow) {
    return { pool.Refuse(
      request, error_kind::kDeadlineUnmeetable, mRandom, aNow) };
  }
  Add(request, pool.PushAgain(request, aNow));
  return {};
}

void
request_queue::Add(const waiting_request& aRequest,
                   const pool_queue::place& aPlace)
{
  const ticket id = aRequest.mItem.mTicket;
  const time_point latest = aRequest.LatestStart();
  mWhere.emplace(id, location{ aRequest.mItem.mPool, aPlace, latest });
  mLatestStarts.emplace(latest, id);
}

std::optional<request_queue::location>
request_queue::Take(ticket aTicket)
{
  const auto found = mWhere.find(aTicket);
  if (found == mWhere.end()) {
    return std::nullopt;
  }
  location taken = std::move(found->second);
  mLatestStarts.erase({ taken.mLatestStart, aTicket });
  mWhere.erase(found);
  return taken;
}

next_request
request_queue::Next(const pool_name& aPool,
                    std::span<const class_name> aPassedOver,
                    time_point aNow)
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end()) {
    return {};
  }
  return found->second.Next(mPeers, aPool, aPassedOver, aNow);
}

void
request_queue::Start(ticket aTicket, time_point aNow)
{
  if (const auto taken = Take(aTicket)) {
    mPools.at(taken->mPool).Start(taken->mPlace, aNow);
  }
}

void
request_queue::Settle(const work_item& aItem, double aExpected, double aActual)
{
  if (const auto pool = mPools.find(aItem.mPool); pool != mPools.end()) {
    pool->second.Settle(aItem, WeightOf(aItem.mTeam), aExpected, aActual);
  }
}

void
request_queue::Remove(ticket aTicket, time_point aNow)
{
  if (const auto taken = Take(aTicket)) {
    mPools.at(taken->mPool).Remove(taken->mPlace, aNow);
  }
}

refuse
request_queue::Refuse(const work_item& aItem, error_kind aKind, time_point aNow)
{
  return PoolOf(aItem.mPool).Refuse({ aItem, {}, aNow }, aKind, mRandom, aNow);
}

std::vector<refuse>
request_queue::Expire(time_point aNow)
{
  mPeers.Expire(aNow);
  std::vector<refuse> refused;
  while (!mLatestStarts.empty() && mLatestStarts.begin()->first <= aNow) {
    const location taken = *Take(mLatestStarts.begin()->second);
    pool_queue& pool = mPools.at(taken.mPool);
    const waiting_request late = pool.At(taken.mPlace);
    pool.Remove(taken.mPlace, aNow);
    const error_kind kind = late.mItem.mDeadline <= aNow
                              ? error_kind::kDeadlineExpiredWaiting
                              : error_kind::kDeadlineUnmeetable;
    refused.push_back(pool.Refuse(late, kind, mRandom, aNow));
  }
  return refused;
}

std::vector<pool_name>
request_queue::WaitingPools() const
{
  std::vector<pool_name> pools;
  for (const auto& [name, pool] : mPools) {
    if (!pool.empty()) {
      pools.push_back(name);
    }
  }
  return pools;
}

std::optional<time_point>
request_queue::NextDue(time_point aNow) const
{
  std::optional<time_point> due;
  const auto take = [&due](std::optional<time_point> aNext) {
    if (aNext && (!due || *aNext < *due)) {
      due = aNext;
    }
  };
  if (!mLatestStarts.empty()) {
    take(mLatestStarts.begin()->first);
  }
  for (const auto& [name, pool] : mPools) {
    if (!pool.empty()) {
      if (const auto until = mPeers.RestrictedUntil(name);
          until && *until > aNow) {
        take(until);
        take(pool.NextOwed(aNow));
      }
    }
  }
  return due;
}

duration
request_queue::PredictedWait(const work_item& aItem, time_point aNow) const
{
  const auto found = mPools.find(aItem.mPool);
  return found == mPools.end() ? duration::zero()
                               : found->second.PredictedWait(aItem, aNow);
}

duration
request_queue::TargetOf(const class_name& aClass) const
{
  const auto found = mTerms.find(aClass);
  return found == mTerms.end() ? duration::zero()
                               : found->second.mFirstTokenTarget;
}

std::vector<pool_pressure>
request_queue::Pressure(time_point aNow) const
{
  std::vector<pool_pressure> out;
  for (const auto& [name, pool] : mPools) {
    pool_pressure next = pool.Pressure(name, mSettings.mPeers.mMinWait, aNow);
    if (next.mHigherWait > duration::zero()) {
      out.push_back(std::move(next));
    }
  }
  return out;
}

void
request_queue::OnPeerPressure(const instance_name& aFrom,
                              const pool_pressure& aPressure,
                              time_point aNow)
{
  mPeers.OnReport(aFrom, aPressure, aNow);
}

} // namespace thornhollow
