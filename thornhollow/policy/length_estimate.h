// How many tokens a request's answer will have: learnt by class and pool.
//
//   length_estimate lengths(length_estimate_settings{});
//   lengths.Learn(item.mClass, item.mPool, tokens);
//   const double cost = lengths.Expected(item);
//   if (lengths.IsLong(item)) { ... }
//
// Load pattern: long jobs among short ones, with the length unknown when the
// request arrives. Without an estimate a plan of 4,000 tokens costs a team as
// much as a note of 40, and a handful of plans takes every place of a pool for
// tens of seconds while short requests miss their first token's target.
//
// Bounded memory: one histogram of kBuckets counters for each pair of class and
// pool, at most `mMostPairs` of them; the rest share their pool's.
//
// Grounds for the figures: buckets of a quarter octave give a quantile within
// 19%, far below the spread within one class. Counters are halved at 512
// answers, so that an estimate follows a change of habit within about a
// thousand answers. Below 16 answers the pool's own figure is used: a quantile
// of fewer says little. A class counts as long at four times the pool's median:
// then a place that it takes would have served four ordinary requests.
#ifndef THORNHOLLOW_POLICY_LENGTH_ESTIMATE_H_
#define THORNHOLLOW_POLICY_LENGTH_ESTIMATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "thornhollow/base/ids.h"
#include "thornhollow/config/declarations.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

// Token counts in buckets of a quarter octave; old counts fade.
class length_histogram
{
public:
  static constexpr std::size_t kBuckets = 72;

  void Add(std::uint32_t aTokens);
  // The length that a share `aShare` (0 to 1) of answers does not exceed; zero
  // where nothing was learnt.
  double Quantile(double aQuantile) const;
  double Mean() const;
  std::uint32_t Count() const { return mCount; }

private:
  std::array<std::uint16_t, kBuckets> mBuckets{};
  std::uint32_t mCount = 0;
};

struct length_estimate_settings
{
  // Taken while nothing is learnt; an ordinary answer (letter 1: 740,000
  // tokens over 3,100 requests a second is 239 each).
  double mDefaultLength = 239;
  // Answers of a class before its own figures are used.
  std::uint32_t mMinSamples = 16;
  // A class whose upper quartile is this often the pool's median is long.
  double mLongFactor = 4;
  std::size_t mMaxPairs = 1024;

  friend bool operator==(const length_estimate_settings&,
                         const length_estimate_settings&) = default;
};

class length_estimate
{
public:
  explicit length_estimate(const length_estimate_settings& aSettings);

  // Forgets classes and pools that are no longer declared.
  void Configure(const declarations& aDeclared);

  // A whole answer of `aTokens` tokens came.
  void Learn(const class_name& aClass,
             const pool_name& aPool,
             std::uint32_t aTokens);

  // Mean tokens to expect for `aItem`, never above its own maximum.
  double Expected(const work_item& aItem) const;

  // Tokens that a share `aShare` of such answers does not exceed.
  double Quantile(const work_item& aItem, double aQuantile) const;

  // Whether `aItem` holds a place for much longer than its pool's ordinary
  // work.
  bool IsLong(const work_item& aItem) const;

  // Pairs of class and pool held.
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

#endif // THORNHOLLOW_POLICY_LENGTH_ESTIMATE_H_
