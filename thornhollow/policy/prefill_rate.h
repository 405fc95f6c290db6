// Estimates the prefill rate of a pool's engines, in prompt tokens per second.
//
//   prefill_rate rate(55'000);
//   rate.OnPrefill(tokensBefore + ownTokens, wait);
//   const duration wait = FromSeconds(tokens / rate.PerSecond());
//
// Load pattern: engines of a deployment that has not been measured; the rates
// of present engines lie between 20,000 and 150,000. Each response that starts
// gives a sample: the prompt tokens that its engine had to prefill until then,
// divided by the time that this took. Single samples are far off, as requests
// that other instances sent a moment ago are not known, but their median is
// close. The estimate follows the median in proportional steps, large ones at
// first, so that outliers move it little and a wrong prior is corrected within
// ten responses: to within a fifth, for rates of 20,000 to 150,000, when one
// response in five waited behind unknown prompts.
#ifndef THORNHOLLOW_POLICY_PREFILL_RATE_H_
#define THORNHOLLOW_POLICY_PREFILL_RATE_H_

#include <algorithm>
#include <cstddef>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/prefill_time_per_token.h"

namespace thornhollow {

class prefill_rate
{
public:
  // Bounds for plausible rates; samples and rates reported by other instances
  // are clamped to them.
  static constexpr double kMin = 2'000;
  static constexpr double kMax = 2'000'000;

  // `aPrior`: tokens per second to assume before the first sample.
  explicit prefill_rate(double aPrior)
    : mPerSecond(aPrior)
  {
  }

  // A response started after `aWait`, in which its engine prefilled `aTokens`.
  void OnPrefill(double aTokens, duration aWait)
  {
    const double seconds =
      ToSeconds(aWait) - prefill_time_per_token::kOverheadSeconds;
    if (aTokens < kMinTokens || seconds <= 0) {
      return;
    }
    const double sample = std::clamp(aTokens / seconds, kMin, kMax);
    const double step =
      std::clamp(1 / static_cast<double>(++mSamples), kMinStep, kMaxStep);
    mPerSecond *= sample > mPerSecond ? 1 + step : 1 / (1 + step);
    mPerSecond = std::clamp(mPerSecond, kMin, kMax);
  }

  double PerSecond() const { return mPerSecond; }
  // Whether there are enough samples to report the estimate to other instances.
  bool Known() const { return mSamples >= kMinSamples; }

private:
  // The wait for shorter prefills depends on the network more than the engine.
  static constexpr double kMinTokens = 1'000;
  static constexpr double kMaxStep = 0.25;
  static constexpr double kMinStep = 0.02;

  // Samples required before the estimate is reported to other instances.
  static constexpr std::size_t kMinSamples = 5;

  double mPerSecond;
  std::size_t mSamples = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PREFILL_RATE_H_
