// Tells refused callers when to come back, so that they find room and don't
// come together.
//
//   return_schedule returns(settings);
//   const duration after = returns.ComeBackAfter(backlog, cost, rate, random,
//                                                now);
//
// Load pattern: an overload refuses thousands within a second. Told the same
// delay, they return within the same second and overload the router again, for
// as long as they keep trying. Here each refused request books the service time
// that its work needs, after the backlog and after those told before it: the
// returns arrive at most as fast as they can be served. Jitter of a quarter
// either way hides what is left of the pattern, such as refusals in one batch.
//
// Grounds for the figures: never sooner than 0.25 s, a few times what a healthy
// queue takes; never later than 30 s, because capacity may be back by then and
// a caller that waits for nothing is lost work, too. Beyond that the returns
// spread over the upper half of the 30 s.
#ifndef THORNHOLLOW_POLICY_RETRY_SCHEDULE_H_
#define THORNHOLLOW_POLICY_RETRY_SCHEDULE_H_

#include <optional>
#include <random>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct retry_schedule_settings
{
  // False: everybody is told `mLeast` times four, as a fixed delay.
  bool mSpread = true;
  duration mMinDelay = Milliseconds(250);
  duration mMaxDelay = Seconds(30);
  // Part of the measured rate that is given to returning callers; the rest is
  // for those who come for the first time.
  double mRateFraction = 0.5;

  friend bool operator==(const retry_schedule_settings&,
                         const retry_schedule_settings&) = default;
};

class retry_schedule
{
public:
  explicit retry_schedule(const retry_schedule_settings& aSettings);

  // When a request of this cost should come back: `aBacklog` is the time until
  // the queue is short enough again, `aRate` the measured cost served a second.
  duration ScheduleRetry(duration aBacklog,
                         double aCost,
                         std::optional<double> aRate,
                         std::mt19937_64& aRandom,
                         time_point aNow);

private:
  retry_schedule_settings mSettings;
  // Up to when returning callers are booked.
  time_point mReservedUntil{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_RETRY_SCHEDULE_H_
