// Estimates the probability that some instance has already sent a prefix that
// this instance has never sent.
//
//   prefix_reuse_estimator reuse;
//   reuse.OnSent(wasKnownHere);
//   const double probability = reuse.Probability(instances);
//
// Load pattern: all engine caches are empty, as after a restart of the whole
// site, and a burst of long prompts arrives. All instances have the same
// preferred engine for a session. Without this estimate, an instance that does
// not know the session would assume that the session's prefix blocks are cached
// at that engine, although no instance has sent them yet. The first prompts
// would then take several times their estimated prefill time, and the requests
// queued behind them would start late.
//
// The model assumes that each of the other instances sees different requests of
// the same sessions and knows the same fraction of the prefixes as this one.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_PREFIX_REUSE_ESTIMATOR_H_
#define THORNHOLLOW_POLICY_PLACEMENT_PREFIX_REUSE_ESTIMATOR_H_

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace thornhollow {

class prefix_reuse_estimator
{
public:
  // Records that a request was sent. `aKnown`: this instance had sent the
  // request's prefix before.
  void OnSent(bool aKnown)
  {
    ++mSamples;
    const double step = std::max(1 / static_cast<double>(mSamples), kMinStep);
    mKnownFraction += ((aKnown ? 1 : 0) - mKnownFraction) * step;
  }

  // Probability that at least one of `aInstances` instances, this one included,
  // has sent a given prefix.
  double Probability(std::size_t aInstances) const
  {
    const auto instances =
      static_cast<double>(std::max<std::size_t>(aInstances, 1));
    return 1 - std::pow(1 - mKnownFraction, instances);
  }

private:
  // Minimum weight of a new request in the average, which spans a few dozen
  // requests, since sessions start and end within tens of seconds.
  static constexpr double kMinStep = 0.03;

  std::size_t mSamples = 0;
  double mKnownFraction = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PLACEMENT_PREFIX_REUSE_ESTIMATOR_H_
