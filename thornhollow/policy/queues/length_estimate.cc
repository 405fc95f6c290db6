#include "thornhollow/policy/queues/length_estimate.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace thornhollow {
namespace {

constexpr double kBucketsPerOctave = 4;
constexpr std::uint32_t kHalveAt = 512;
constexpr double kLongQuantile = 0.75;

std::size_t
BucketIndex(std::uint32_t aTokens)
{
  const double octaves = std::log2(std::max<double>(1, aTokens));
  return std::min(length_histogram::kBuckets - 1,
                  static_cast<std::size_t>(octaves * kBucketsPerOctave));
}

double
BucketMidpoint(std::size_t aBucket)
{
  const double octaves =
    (static_cast<double>(aBucket) + 0.5) / kBucketsPerOctave;
  return std::exp2(octaves);
}

} // namespace

void
length_histogram::Add(std::uint32_t aTokens)
{
  ++mBuckets[BucketIndex(aTokens)];
  if (++mCount < kHalveAt) {
    return;
  }
  mCount = 0;
  for (std::uint16_t& each : mBuckets) {
    each = static_cast<std::uint16_t>(each / 2);
    mCount += each;
  }
}

double
length_histogram::Quantile(double aQuantile) const
{
  const double target = aQuantile * mCount;
  double cumulative = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    cumulative += mBuckets[i];
    if (mBuckets[i] > 0 && cumulative >= target) {
      return BucketMidpoint(i);
    }
  }
  return 0;
}

double
length_histogram::Mean() const
{
  double sum = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    sum += mBuckets[i] == 0 ? 0 : mBuckets[i] * BucketMidpoint(i);
  }
  return mCount == 0 ? 0 : sum / mCount;
}

length_estimate::length_estimate(const length_estimate_settings& aSettings)
  : mSettings(aSettings)
{
}

void
length_estimate::Configure(const declarations& aDeclared)
{
  std::unordered_set<class_name> classes;
  for (const request_class& each : aDeclared.mClasses) {
    classes.insert(each.mName);
  }
  std::unordered_set<pool_name> pools;
  for (const endpoint& each : aDeclared.mEndpoints) {
    pools.insert(each.mPools.begin(), each.mPools.end());
  }
  std::erase_if(mPools, [&pools](const auto& aEach) {
    return !pools.contains(aEach.first);
  });
  mPairs = 0;
  for (auto& [name, pool] : mPools) {
    std::erase_if(pool.mByClass, [&classes](const auto& aEach) {
      return !classes.contains(aEach.first);
    });
    mPairs += pool.mByClass.size();
  }
}

void
length_estimate::Learn(const class_name& aClass,
                       const pool_name& aPool,
                       std::uint32_t aTokens)
{
  pool_lengths& pool = mPools[aPool];
  pool.mAll.Add(aTokens);
  auto found = pool.mByClass.find(aClass);
  if (found == pool.mByClass.end()) {
    if (mPairs >= mSettings.mMaxPairs) {
      return;
    }
    found = pool.mByClass.try_emplace(aClass).first;
    ++mPairs;
  }
  found->second.Add(aTokens);
}

double
length_estimate::Expected(const work_item& aItem) const
{
  const length_histogram* lengths = Find(aItem);
  return Capped(
    aItem, lengths == nullptr ? mSettings.mDefaultLength : lengths->Mean());
}

double
length_estimate::Quantile(const work_item& aItem, double aQuantile) const
{
  const length_histogram* lengths = Find(aItem);
  return Capped(aItem,
                lengths == nullptr ? mSettings.mDefaultLength
                                   : lengths->Quantile(aQuantile));
}

bool
length_estimate::IsLong(const work_item& aItem) const
{
  const auto pool = mPools.find(aItem.mPool);
  if (pool == mPools.end() ||
      pool->second.mAll.Count() < mSettings.mMinSamples) {
    return false;
  }
  const double poolMedian = pool->second.mAll.Quantile(0.5);
  return Quantile(aItem, kLongQuantile) >= mSettings.mLongFactor * poolMedian;
}

const length_histogram*
length_estimate::Find(const work_item& aItem) const
{
  const auto pool = mPools.find(aItem.mPool);
  if (pool == mPools.end()) {
    return nullptr;
  }
  const auto& [all, byClass] = pool->second;
  const auto found = byClass.find(aItem.mClass);
  if (found != byClass.end() &&
      found->second.Count() >= mSettings.mMinSamples) {
    return &found->second;
  }
  return all.Count() >= mSettings.mMinSamples ? &all : nullptr;
}

double
length_estimate::Capped(const work_item& aItem, double aTokens)
{
  return aItem.mMaxOutputTokens == 0
           ? aTokens
           : std::min<double>(aTokens, aItem.mMaxOutputTokens);
}

} // namespace thornhollow
