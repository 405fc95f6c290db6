#include "thornhollow/policy/queues/request_queue.h"

#include <algorithm>

namespace thornhollow {

request_queue::request_queue(const request_queue_settings& aSettings,
                             std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mPeerPressure(aSettings.mPeerPressure)
{
}

void
request_queue::Configure(const declarations& aDeclared, time_point /*aNow*/)
{
  std::unordered_map<class_name, class_objectives> objectives;
  for (const request_class& each : aDeclared.mClasses) {
    const service_level* level = FindLevel(aDeclared, each.mLevel);
    objectives[each.mName] = { each.mMinimumShare,
                               level == nullptr ? duration::zero()
                                                : level->mFirstTokenTarget };
  }
  for (auto& [name, pool] : mPools) {
    for (const auto& [removed, previous] : mObjectives) {
      if (!objectives.contains(removed)) {
        pool.SetObjectives(removed, {});
      }
    }
    for (const auto& [each, next] : objectives) {
      pool.SetObjectives(each, next);
    }
  }
  mObjectives = std::move(objectives);
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
    for (const auto& [name, objectives] : mObjectives) {
      found->second.SetObjectives(name, objectives);
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
  const pool_queue::push_result pushed =
    PoolOf(aItem.mPool).Push(request, WeightOf(aItem.mTeam), mRandom, aNow);
  for (const refuse& each : pushed.mRefused) {
    Extract(each.mTicket);
  }
  if (pushed.mHandle) {
    Add(request, *pushed.mHandle);
  }
  return pushed.mRefused;
}

std::vector<refuse>
request_queue::Requeue(const work_item& aItem,
                       const work_estimate& aWork,
                       time_point aNow)
{
  const waiting_request request{ aItem, aWork, aNow };
  pool_queue& pool = PoolOf(aItem.mPool);
  if (request.LatestStart() <= aNow) {
    return { pool.Refuse(
      request, error_kind::kDeadlineUnmeetable, mRandom, aNow) };
  }
  Add(request, pool.Requeue(request, aNow));
  return {};
}

void
request_queue::Add(const waiting_request& aRequest,
                   const pool_queue::queue_handle& aHandle)
{
  const ticket id = aRequest.mItem.mTicket;
  const time_point latest = aRequest.LatestStart();
  mLocations.emplace(id, location{ aRequest.mItem.mPool, aHandle, latest });
  mLatestStarts.emplace(latest, id);
}

std::optional<request_queue::location>
request_queue::Extract(ticket aTicket)
{
  const auto found = mLocations.find(aTicket);
  if (found == mLocations.end()) {
    return std::nullopt;
  }
  location extracted = std::move(found->second);
  mLatestStarts.erase({ extracted.mLatestStart, aTicket });
  mLocations.erase(found);
  return extracted;
}

next_request
request_queue::Next(const pool_name& aPool,
                    std::span<const class_name> aSkippedClasses,
                    time_point aNow)
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end()) {
    return {};
  }
  return found->second.Next(mPeerPressure, aPool, aSkippedClasses, aNow);
}

void
request_queue::Start(ticket aTicket, time_point aNow)
{
  if (const auto extracted = Extract(aTicket)) {
    mPools.at(extracted->mPool).Start(extracted->mHandle, aNow);
  }
}

void
request_queue::AdjustCost(const work_item& aItem,
                          double aExpected,
                          double aActual)
{
  if (const auto pool = mPools.find(aItem.mPool); pool != mPools.end()) {
    pool->second.AdjustCost(aItem, WeightOf(aItem.mTeam), aExpected, aActual);
  }
}

void
request_queue::Remove(ticket aTicket, time_point aNow)
{
  if (const auto extracted = Extract(aTicket)) {
    mPools.at(extracted->mPool).Remove(extracted->mHandle, aNow);
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
  mPeerPressure.Expire(aNow);
  std::vector<refuse> refused;
  while (!mLatestStarts.empty() && mLatestStarts.begin()->first <= aNow) {
    const location extracted = *Extract(mLatestStarts.begin()->second);
    pool_queue& pool = mPools.at(extracted.mPool);
    const waiting_request expired = pool.At(extracted.mHandle);
    pool.Remove(extracted.mHandle, aNow);
    const error_kind kind = expired.mItem.mDeadline <= aNow
                              ? error_kind::kDeadlineExpiredWaiting
                              : error_kind::kDeadlineUnmeetable;
    refused.push_back(pool.Refuse(expired, kind, mRandom, aNow));
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
  const auto keepEarlier = [&due](std::optional<time_point> aNext) {
    if (aNext && (!due || *aNext < *due)) {
      due = aNext;
    }
  };
  if (!mLatestStarts.empty()) {
    keepEarlier(mLatestStarts.begin()->first);
  }
  for (const auto& [name, pool] : mPools) {
    if (!pool.empty()) {
      if (const auto until = mPeerPressure.RestrictedUntil(name);
          until && *until > aNow) {
        keepEarlier(until);
        keepEarlier(pool.NextMinimumShareDue(aNow));
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
request_queue::FirstTokenTarget(const class_name& aClass) const
{
  const auto found = mObjectives.find(aClass);
  return found == mObjectives.end() ? duration::zero()
                                    : found->second.mFirstTokenTarget;
}

std::vector<pool_pressure>
request_queue::Pressure(time_point aNow) const
{
  std::vector<pool_pressure> out;
  for (const auto& [name, pool] : mPools) {
    pool_pressure next =
      pool.Pressure(name, mSettings.mPeerPressure.mMinWait, aNow);
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
  mPeerPressure.OnReport(aFrom, aPressure, aNow);
}

} // namespace thornhollow
