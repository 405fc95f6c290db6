#include "thornhollow/policy/request_queue.h"

#include <iterator>
#include <utility>

namespace thornhollow {
namespace {

constexpr duration kComeBackAfter = Seconds(1);

} // namespace

request_queue::request_queue(const request_queue_settings& aSettings)
  : mSettings(aSettings)
{
}

void
request_queue::Configure(const declarations& /*aDeclared*/, time_point /*aNow*/)
{
}

std::vector<refuse>
request_queue::Push(const work_item& aItem, time_point /*aNow*/)
{
  std::vector<refuse> refused;
  auto& waiting = mPools[aItem.mPool];
  if (waiting.size() >= mSettings.mMaxWaiting) {
    const auto last = std::prev(waiting.end());
    if (last->second.mTier <= aItem.mTier) {
      refused.push_back(
        { aItem.mTicket, error_kind::kQueueFull, kComeBackAfter });
      return refused;
    }
    refused.push_back(
      { last->second.mTicket, error_kind::kShedForHigherTier, kComeBackAfter });
    mWhere.erase(last->second.mTicket);
    waiting.erase(last);
  }
  const rank order{ aItem.mTier, mNextOrder++ };
  waiting.emplace(order, aItem);
  mWhere.emplace(aItem.mTicket, place{ aItem.mPool, order });
  return refused;
}

const work_item*
request_queue::Next(const pool_name& aPool, time_point /*aNow*/)
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end() || found->second.empty()) {
    return nullptr;
  }
  return &found->second.begin()->second;
}

void
request_queue::Remove(ticket aTicket)
{
  const auto found = mWhere.find(aTicket);
  if (found == mWhere.end()) {
    return;
  }
  const auto pool = mPools.find(found->second.mPool);
  pool->second.erase(found->second.mRank);
  if (pool->second.empty()) {
    mPools.erase(pool);
  }
  mWhere.erase(found);
}

std::vector<refuse>
request_queue::Expire(time_point aNow)
{
  std::vector<refuse> refused;
  for (const auto& [pool, waiting] : mPools) {
    for (const auto& [order, item] : waiting) {
      if (item.mDeadline <= aNow) {
        refused.push_back({ item.mTicket,
                            error_kind::kDeadlineExpiredWaiting,
                            kComeBackAfter });
      }
    }
  }
  for (const refuse& each : refused) {
    Remove(each.mTicket);
  }
  return refused;
}

std::vector<pool_name>
request_queue::WaitingPools() const
{
  std::vector<pool_name> pools;
  for (const auto& [pool, waiting] : mPools) {
    pools.push_back(pool);
  }
  return pools;
}

std::optional<time_point>
request_queue::NextDeadline() const
{
  std::optional<time_point> first;
  for (const auto& [pool, waiting] : mPools) {
    for (const auto& [order, item] : waiting) {
      if (!first || item.mDeadline < *first) {
        first = item.mDeadline;
      }
    }
  }
  return first;
}

} // namespace thornhollow
