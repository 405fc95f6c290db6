// How fast an engine reads prompts, and what a prompt costs it.
//
//   pace.OnRead(2'900, wait, now);
//   if (pace.NanosecondsPerToken() > 1.15 * fastest) { ... it is slow ... }
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
#ifndef THORNHOLLOW_POLICY_READ_PACE_H_
#define THORNHOLLOW_POLICY_READ_PACE_H_

#include <algorithm>

#include "thornhollow/base/time.h"

namespace thornhollow {

class read_pace
{
public:
  // Shorter prompts tell more of the network than of the engine.
  static constexpr double kLeastTokens = 3'500;
  // From a request's arrival to its first event, the reading left out: two
  // ways, the engine's own start, a step.
  static constexpr double kOverheadSeconds = 0.018;
  // The least is forgotten by so much a second, as engines slow down for good.
  static constexpr double kForgetPerSecond = 0.003;

  // A prompt of which so many tokens were read had its first event after
  // `aWait`.
  void OnRead(double aTokens, duration aWait, time_point aNow)
  {
    const double seconds = ToSeconds(aWait) - kOverheadSeconds;
    if (aTokens < kLeastTokens || seconds <= 0) {
      return;
    }
    OnTold(seconds / aTokens * 1e9, aNow);
  }

  // Another instance's pace for the same engine. It is kept like an own one,
  // and told on: what is known of all engines is thus the same on all instances
  // within a few rounds, however few of them each hears at a time. Of ninety
  // instances that went by what they had heard in the last second, each took
  // another 12 to 71 of ninety engines for slow.
  void OnTold(double aNanosecondsPerToken, time_point aNow)
  {
    const double before = NanosecondsPerToken(aNow);
    mLeast = before == 0 ? aNanosecondsPerToken
                         : std::min(aNanosecondsPerToken, before);
    mAt = aNow;
  }

  // 0 before a prompt was read.
  double NanosecondsPerToken(time_point aNow) const
  {
    const double passed = std::max(0.0, ToSeconds(aNow - mAt));
    return mLeast * (1 + kForgetPerSecond * passed);
  }

private:
  double mLeast = 0;
  time_point mAt{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_READ_PACE_H_
