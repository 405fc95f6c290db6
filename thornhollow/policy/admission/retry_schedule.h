// Assigns retry delays to refused callers so that their retries arrive spread
// out and find capacity.
//
//   retry_schedule schedule(settings);
//   const duration after =
//     schedule.ScheduleRetry(backlog, cost, rate, random, now);
//
// Load pattern: an overload refuses thousands of requests within a second. If
// all callers were given the same delay, they would retry within the same
// second and overload the router again, for as long as they keep retrying. Here
// each refused request reserves the service time of its work, after the backlog
// and after the reservations of earlier refusals, so that retries arrive no
// faster than they can be served. Each delay is varied at random by up to 25%
// in both directions, so that requests refused in one batch do not return in
// one batch.
//
// Choice of the limits: the minimum delay of 0.25 s is a few times the wait in
// a healthy queue. The maximum is 30 s because capacity may be available again
// by then, and would stay unused while callers wait longer. Delays that would
// exceed the maximum are spread over its upper half, 15 to 30 s.
#ifndef THORNHOLLOW_POLICY_ADMISSION_RETRY_SCHEDULE_H_
#define THORNHOLLOW_POLICY_ADMISSION_RETRY_SCHEDULE_H_

#include <optional>
#include <random>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct retry_schedule_settings
{
  // If false, all callers get the same delay of four times `mMinDelay`.
  bool mSpread = true;
  duration mMinDelay = Milliseconds(250);
  duration mMaxDelay = Seconds(30);
  // Fraction of the measured service rate that is reserved for retries; the
  // rest is left for first attempts.
  double mRateFraction = 0.5;

  friend bool operator==(const retry_schedule_settings&,
                         const retry_schedule_settings&) = default;
};

class retry_schedule
{
public:
  explicit retry_schedule(const retry_schedule_settings& aSettings);

  // Returns the delay after which a request of cost `aCost` should be retried.
  // `aBacklog` is the time until the queue is expected to be short enough to
  // accept requests again. `aRate` is the measured service rate, as cost per
  // second in the unit of `aCost`; nullopt if unknown.
  duration ScheduleRetry(duration aBacklog,
                         double aCost,
                         std::optional<double> aRate,
                         std::mt19937_64& aRandom,
                         time_point aNow);

private:
  retry_schedule_settings mSettings;
  // Time up to which service time is already reserved for retries of refused
  // requests.
  time_point mReservedUntil{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_RETRY_SCHEDULE_H_
