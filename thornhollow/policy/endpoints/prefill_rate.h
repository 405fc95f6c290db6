// Estimates the prefill rate of a pool's engines, in prompt tokens per second.
//
//   prefill_rate rate(55'000);
//   rate.OnPrefill(tokensBefore + ownTokens, wait);
//   const duration wait = FromSeconds(tokens / rate.PerSecond());
//
// Load pattern: the prefill rate of a deployment's engines was never measured;
// the rates of present engines lie between 20,000 and 150,000 tokens per
// second. Each response that starts gives a sample: the prompt tokens that its
// engine had to prefill before the response started, divided by the time that
// this took. Single samples can be far off, because prompts that other
// instances sent to the engine a moment ago are not known here, but the median
// of the samples is close to the rate. The estimate moves towards each sample
// by a limited factor, which is larger for the first samples, and so follows
// their median: outliers change the estimate little, and a wrong prior is
// corrected within ten responses. After these the estimate is within 20% of the
// true rate, for rates between 20,000 and 150,000, when one response in five
// waited behind unknown prompts.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_PREFILL_RATE_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_PREFILL_RATE_H_

#include <algorithm>
#include <cstddef>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/endpoints/prefill_time_per_token.h"

namespace thornhollow {

class prefill_rate
{
public:
  // Minimum and maximum plausible rate, in tokens per second; samples and rates
  // reported by other instances are clamped to them.
  static constexpr double kMin = 2'000;
  static constexpr double kMax = 2'000'000;

  // `aPrior`: tokens per second to assume before the first sample.
  explicit prefill_rate(double aPrior)
    : mPerSecond(aPrior)
  {
  }

  // Records that a response started after `aWait`, in which its engine
  // prefilled `aTokens` prompt tokens.
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
  // Whether the estimated rate has enough samples to be reported to other
  // instances.
  bool Known() const { return mSamples >= kMinSamples; }

private:
  // Minimum number of prefilled tokens for a response to count as a sample. The
  // wait for fewer tokens depends more on the network than on the engine.
  static constexpr double kMinTokens = 1'000;
  static constexpr double kMaxStep = 0.25;
  static constexpr double kMinStep = 0.02;

  // Samples required before the estimate is reported to other instances.
  static constexpr std::size_t kMinSamples = 5;

  double mPerSecond;
  std::size_t mSamples = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_PREFILL_RATE_H_
