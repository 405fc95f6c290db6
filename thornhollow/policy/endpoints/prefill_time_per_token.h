// Prefill time per token of a single engine, estimated as the minimum of recent
// samples.
//
//   prefill_time_per_token time;
//   time.OnPrefill(8'000, wait, now);
//   if (time.Nanoseconds(now) > 1.15 * fastest) { ... it is slow ... }
//
// Load pattern: engines of one pool whose speeds differ by a third. An event of
// a stream takes five steps on average (one per token). A step that contains a
// chunk of a prompt takes 35 ms on a fast engine and 45 ms on one that is 1.3
// times as slow. Five such steps in a row exceed a limit of 200 ms between
// events on the slow engine (225 ms), but not on the fast one (175 ms). Streams
// with short limits should therefore run on the fast engines.
//
// The wait for the first event is at least the prefill time; queues and
// concurrent streams only add to it. The recent minimum of the wait per token
// is therefore a property of the engine, whatever its load. Intervals between
// events are less suitable: the low quantiles of such intervals, which are
// about 20 ms, differ by a quarter from one instance to another.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_PREFILL_TIME_PER_TOKEN_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_PREFILL_TIME_PER_TOKEN_H_

#include <algorithm>

#include "thornhollow/base/time.h"

namespace thornhollow {

class prefill_time_per_token
{
public:
  // Minimum number of prefilled tokens for a request to count as a sample. The
  // wait for fewer tokens depends more on the network than on the engine.
  static constexpr double kMinTokens = 3'500;
  // Time to the first event excluding the prefill: the network round trip, the
  // engine's start of the request, and one step.
  static constexpr double kOverheadSeconds = 0.018;
  // Relative growth per second of the minimum time per token, so that an engine
  // that became permanently slower is noticed.
  static constexpr double kGrowthPerSecond = 0.003;

  // A request that needed `aTokens` tokens of prefill had its first event after
  // `aWait`.
  void OnPrefill(double aTokens, duration aWait, time_point aNow)
  {
    const double seconds = ToSeconds(aWait) - kOverheadSeconds;
    if (aTokens < kMinTokens || seconds <= 0) {
      return;
    }
    OnReported(seconds / aTokens * 1e9, aNow);
  }

  // Another instance reported `aNanosecondsPerToken` for the same engine. The
  // value is stored like a local one and reported onward, so that after a few
  // exchanges of messages all instances have the same values for all engines,
  // however few messages each of them receives at a time. When ninety instances
  // used only the values received in the last second, they disagreed on which
  // engines were slow: the number that an instance classified as slow varied
  // between 12 and 71 of ninety engines.
  void OnReported(double aNanosecondsPerToken, time_point aNow)
  {
    const double before = Nanoseconds(aNow);
    mMin = before == 0 ? aNanosecondsPerToken
                       : std::min(aNanosecondsPerToken, before);
    mUpdatedAt = aNow;
  }

  // Estimated nanoseconds per token; 0 before the first sample.
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

#endif // THORNHOLLOW_POLICY_ENDPOINTS_PREFILL_TIME_PER_TOKEN_H_
