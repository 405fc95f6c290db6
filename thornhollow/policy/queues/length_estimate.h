// Estimates the number of output tokens of a request from earlier responses of
// the same class and pool.
//
//   length_estimate lengths(length_estimate_settings{});
//   lengths.Learn(item.mClass, item.mPool, tokens);
//   const double cost = lengths.Expected(item);
//   if (lengths.IsLong(item)) { ... }
//
// Load pattern: long jobs among short ones, where the length is unknown when
// the request arrives. Without an estimate a plan of 4,000 tokens costs a team
// as much as a note of 40, and a few plans occupy every slot of a pool for tens
// of seconds while short requests miss their target time to first token.
//
// Memory is bounded: one histogram of kBuckets counters for each pair of class
// and pool, at most `mMaxPairs` of them. Further pairs use their pool's
// histogram.
//
// Choice of constants: buckets of a quarter octave (each upper bound is 1.19
// times the lower one) give a quantile within 19%, far below the variation
// within one class. Counters are halved at 512 responses, so that an estimate
// follows a change of the response lengths within about a thousand responses.
// Below 16 responses of a class the pool's histogram is used, because a
// quantile of fewer samples is unreliable. A class counts as long if its upper
// quartile is four times the pool's median: a slot that such a request occupies
// could have served four typical requests.
#ifndef THORNHOLLOW_POLICY_QUEUES_LENGTH_ESTIMATE_H_
#define THORNHOLLOW_POLICY_QUEUES_LENGTH_ESTIMATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "thornhollow/base/ids.h"
#include "thornhollow/config/declarations.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

// Histogram of token counts in buckets of a quarter octave. Older samples lose
// weight over time.
class length_histogram
{
public:
  static constexpr std::size_t kBuckets = 72;

  void Add(std::uint32_t aTokens);
  // Token count of a response at quantile `aQuantile` (0 to 1); zero without
  // samples.
  double Quantile(double aQuantile) const;
  double Mean() const;
  std::uint32_t Count() const { return mCount; }

private:
  std::array<std::uint16_t, kBuckets> mBuckets{};
  std::uint32_t mCount = 0;
};

struct length_estimate_settings
{
  // Expected number of output tokens of a request while too few responses were
  // recorded: the mean of the expected workload, 740,000 tokens per second over
  // 3,100 requests per second.
  double mDefaultLength = 239;
  // Minimum number of responses of a class before the class's own histogram is
  // used.
  std::uint32_t mMinSamples = 16;
  // The requests of a class count as long if the upper quartile of the class's
  // response lengths is at least this multiple of the pool's median length.
  double mLongFactor = 4;
  std::size_t mMaxPairs = 1024;

  friend bool operator==(const length_estimate_settings&,
                         const length_estimate_settings&) = default;
};

class length_estimate
{
public:
  explicit length_estimate(const length_estimate_settings& aSettings);

  // Drops the histograms of classes and pools that are no longer declared.
  void Configure(const declarations& aDeclared);

  // Records a complete response of `aTokens` tokens.
  void Learn(const class_name& aClass,
             const pool_name& aPool,
             std::uint32_t aTokens);

  // Expected number of output tokens of `aItem`, at most the maximum that
  // `aItem` itself sets.
  double Expected(const work_item& aItem) const;

  // Number of output tokens of `aItem` at quantile `aQuantile` (0 to 1), at
  // most the maximum that `aItem` itself sets.
  double Quantile(const work_item& aItem, double aQuantile) const;

  // Whether `aItem` is likely to hold a slot for much longer than its pool's
  // typical request.
  bool IsLong(const work_item& aItem) const;

  // Number of pairs of class and pool with a histogram of their own.
  std::size_t size() const { return mPairs; }

private:
  struct pool_lengths
  {
    length_histogram mAll;
    std::unordered_map<class_name, length_histogram> mByClass;
  };

  const length_histogram* Find(const work_item& aItem) const;
  static double Capped(const work_item& aItem, double aTokens);

  length_estimate_settings mSettings;
  std::size_t mPairs = 0;
  std::unordered_map<pool_name, pool_lengths> mPools;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_QUEUES_LENGTH_ESTIMATE_H_
