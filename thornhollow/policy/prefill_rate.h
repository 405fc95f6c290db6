// How many prompt tokens an engine of a pool reads in a second.
//
//   prefill_rate rate(55'000);
//   rate.OnPrefill(tokensBefore + ownTokens, wait);
//   const duration wait = FromSeconds(tokens / rate.PerSecond());
//
// Load pattern: engines of a deployment that nobody has measured; rates of
// present engines lie between 20 and 150 thousand. Each answer that begins
// tells one: the prompt tokens that its engine had to read until then, over the
// time that it took. What others sent there a moment ago isn't known, so single
// answers are far off; the median is close. It is followed by steps in
// proportion, large ones at first, so that odd answers move it little and a
// wrong first guess is left within ten: within a fifth, for rates of 20 to 150
// thousand, when one answer in five waited behind unknown prompts.
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
  // An engine outside of these isn't believed, nor who tells of one.
  static constexpr double kMin = 2'000;
  static constexpr double kMax = 2'000'000;

  // `aPrior`: tokens a second, until something was seen.
  explicit prefill_rate(double aPrior)
    : mPerSecond(aPrior)
  {
  }

  // An answer began after `aWait`, when its engine had read `aTokens`.
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
  // Whether it is more than the first guess.
  bool Known() const { return mSamples >= kMinSamples; }

private:
  // Shorter readings tell more of the network than of the engine.
  static constexpr double kMinTokens = 1'000;
  static constexpr double kMaxStep = 0.25;
  static constexpr double kMinStep = 0.02;

  // From then on it is told to others.
  static constexpr std::size_t kMinSamples = 5;

  double mPerSecond;
  std::size_t mSamples = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PREFILL_RATE_H_
