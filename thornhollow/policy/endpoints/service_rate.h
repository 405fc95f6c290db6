// Service rate of a queue, measured only while work is waiting.
//
//   service_rate rate;
//   rate.Observe(isWaiting, now);     // before each change of the queue
//   rate.OnServed(cost);              // work dequeued from a non-empty queue
//   if (const auto perSecond = rate.PerSecond(now)) { ... }
//
// Load pattern: capacity changes while requests are queued (engines crash, slow
// down or recover; higher tiers take more). A declared rate is then wrong, and
// a rate that includes idle time measures the demand instead of the capacity.
// Waits predicted from either are unreliable.
//
// Choice of constants: past work loses weight with a time constant of 3 s,
// counting only time in which work was waiting. The rate thus follows the loss
// of an engine within a few seconds and still averages over many responses (a
// response of 239 tokens takes about two seconds). Less than 0.25 s of waiting
// covers only a few engine steps, too little for an estimate. An estimate older
// than 15 s is ignored, so that the state before an idle period does not affect
// the next burst.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_SERVICE_RATE_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_SERVICE_RATE_H_

#include <optional>

#include "thornhollow/base/time.h"

namespace thornhollow {

class service_rate
{
public:
  // Accounts for the time since the previous call of `Observe`. `aWaited` says
  // whether work was waiting in the queue since the previous call.
  void Observe(bool aWaited, time_point aNow);

  // Records that work of cost `aCost` left a non-empty queue for a slot. The
  // unit of the cost is the caller's choice.
  void OnServed(double aCost) { mServedCost += aCost; }

  // Cost served per second while work is waiting, or nullopt if there is no
  // recent measurement.
  std::optional<double> PerSecond(time_point aNow) const;

  // Cost served per second, counting one more item of cost `aCost` as already
  // served. For slow queues: `PerSecond` would suggest that a queue is not
  // served at all while its next item is awaited.
  std::optional<double> PerSecondWithNext(double aCost, time_point aNow) const;

  // The last measured service rate, in cost per second, regardless of its age;
  // nullopt if no rate was ever measured.
  std::optional<double> LastPerSecond() const;

private:
  double mServedCost = 0;
  double mWaitedSeconds = 0;
  time_point mLastObserved{};
  time_point mLastWaited{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_SERVICE_RATE_H_
