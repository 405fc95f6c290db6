// How fast an engine reads prompts, and what a prompt costs it.
//
//   pace.OnPrefill(2'900, wait, now);
//   if (pace.Nanoseconds() > 1.15 * fastest) { ... it is slow ... }
//
// Load pattern: engines of one pool that differ by a third in speed. What makes
// an event of a stream late is five long steps in a row; with a chunk of a
// prompt in it a step takes 35 ms on a fast engine and 45 on one that is 1.3
// times as slow, where five of them break a promise of 200 ms and five of the
// others just keep it. So urgent streams are to be on the fast ones.
//
// The wait for a first event is the time of reading at the least: queues and
// streams beside it only add to it. So the least time for each token that was
// seen lately is the engine's own, whatever it was busy with. Pauses between
// events tell less: the low quantiles of pauses of 20 ms differ by a quarter
// from instance to instance.
#ifndef THORNHOLLOW_POLICY_PREFILL_TIME_PER_TOKEN_H_
#define THORNHOLLOW_POLICY_PREFILL_TIME_PER_TOKEN_H_

#include <algorithm>

#include "thornhollow/base/time.h"

namespace thornhollow {

class prefill_time_per_token
{
public:
  // Shorter prompts tell more of the network than of the engine.
  static constexpr double kMinTokens = 3'500;
  // From a request's arrival to its first event, the reading left out: two
  // ways, the engine's own start, a step.
  static constexpr double kOverheadSeconds = 0.018;
  // The least is forgotten by so much a second, as engines slow down for good.
  static constexpr double kGrowthPerSecond = 0.003;

  // A prompt of which so many tokens were read had its first event after
  // `aWait`.
  void OnPrefill(double aTokens, duration aWait, time_point aNow)
  {
    const double seconds = ToSeconds(aWait) - kOverheadSeconds;
    if (aTokens < kMinTokens || seconds <= 0) {
      return;
    }
    OnReported(seconds / aTokens * 1e9, aNow);
  }

  // Another instance's pace for the same engine. It is kept like an own one,
  // and told on: what is known of all engines is thus the same on all instances
  // within a few rounds, however few of them each hears at a time. Of ninety
  // instances that went by what they had heard in the last second, each took
  // another 12 to 71 of ninety engines for slow.
  void OnReported(double aNanosecondsPerToken, time_point aNow)
  {
    const double before = Nanoseconds(aNow);
    mMin = before == 0 ? aNanosecondsPerToken
                       : std::min(aNanosecondsPerToken, before);
    mUpdatedAt = aNow;
  }

  // 0 before a prompt was read.
  double Nanoseconds(time_point aNow) const
  {
    const double passed = std::max(0.0, ToSeconds(aNow - mUpdatedAt));
    return mMin * (1 + kGrowthPerSecond * passed);
  }

private:
  double mMin = 0;
  time_point mUpdatedAt{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PREFILL_TIME_PER_TOKEN_H_
