// How fast waiting work is served, measured only while something waits.
//
//   service_rate rate;
//   rate.Observe(isWaiting, now);     // before each change of the queue
//   rate.OnServed(cost);              // work taken from a waiting queue
//   if (const auto perSecond = rate.PerSecond(now)) { ... }
//
// Load pattern: capacity changes under the queue (engines crash, slow down,
// come back; higher tiers take more). A declared rate is then wrong, and a rate
// that also counts quiet times tells the demand instead of the capacity; either
// way the wait predicted from it is hope.
//
// Grounds for the figures: a memory of 3 s of waiting follows a lost engine
// within a few seconds and still spans many answers (an answer of 239 tokens
// takes about two seconds). Less than 0.25 s of waiting says nothing yet: a few
// engine steps. A figure older than 15 s is forgotten: what was true before a
// quiet time isn't held against the next burst.
#ifndef THORNHOLLOW_POLICY_SERVICE_RATE_H_
#define THORNHOLLOW_POLICY_SERVICE_RATE_H_

#include <optional>

#include "thornhollow/base/time.h"

namespace thornhollow {

class service_rate
{
public:
  // The present, and whether work waited since the previous call.
  void Observe(bool aWaited, time_point aNow);

  // Work of this cost left a waiting queue for a place.
  void OnServed(double aCost) { mServedCost += aCost; }

  // Cost served a second while something waits; nothing where that was not
  // measured lately.
  std::optional<double> PerSecond(time_point aNow) const;

  // The same with one more piece of work of this cost counted as served: the
  // one that may be just about to be. For slow queues, where a pause between
  // two pieces would else read as a standstill.
  std::optional<double> PerSecondWithNext(double aCost, time_point aNow) const;

  // The last measured figure, however old; nothing where there never was one.
  std::optional<double> LastPerSecond() const;

private:
  double mServedCost = 0;
  double mWaitedSeconds = 0;
  time_point mLastObserved{};
  time_point mLastWaited{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SERVICE_RATE_H_
