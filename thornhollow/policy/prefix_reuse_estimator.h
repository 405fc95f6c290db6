// How likely it is that some instance has sent a prefix before, of which this
// one knows nothing.
//
//   prefix_reuse_estimator known;
//   known.OnSent(wasKnownHere);
//   const double likely = known.Probability(instances);
//
// Load pattern: all engines are empty, as after a start of the whole site, and
// a burst of long prompts comes. All instances send a session to the same
// engine, so one that doesn't know the session takes its parts to be there; but
// nobody had sent it yet. Counted as if they were there, the first prompts take
// a multiple of what is believed, and the queues before them begin late.
//
// Each of the other instances sees other requests of the same sessions, and
// knows as large a part of them as this one does.
#ifndef THORNHOLLOW_POLICY_PREFIX_REUSE_ESTIMATOR_H_
#define THORNHOLLOW_POLICY_PREFIX_REUSE_ESTIMATOR_H_

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace thornhollow {

class prefix_reuse_estimator
{
public:
  // A request was sent whose prefix this instance had sent before, or not.
  void OnSent(bool aKnown)
  {
    ++mSamples;
    const double step = std::max(1 / static_cast<double>(mSamples), kMinStep);
    mKnownFraction += ((aKnown ? 1 : 0) - mKnownFraction) * step;
  }

  double Probability(std::size_t aInstances) const
  {
    const auto instances =
      static_cast<double>(std::max<std::size_t>(aInstances, 1));
    return 1 - std::pow(1 - mKnownFraction, instances);
  }

private:
  // A few dozen requests: sessions come and go within tens of seconds.
  static constexpr double kMinStep = 0.03;

  std::size_t mSamples = 0;
  double mKnownFraction = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PREFIX_REUSE_ESTIMATOR_H_
