// Distinguishes a queue that absorbs a short burst from a standing queue, and
// limits the predicted wait of new requests accordingly.
//
//   standing_queue standing(settings, firstTokenTarget);
//   standing.OnStarted(wait, now);
//   if (predicted > standing.MaxWait(untilDeadline, now)) { refuse }
//
// Load pattern: sustained overload of a class whose deadline is many times its
// first-token target. The queue grows until its wait equals the deadline and
// stays that long: every request is late and misses its first-token target,
// although the throughput is the same as with a short queue. A short burst,
// however, is better queued than refused. New requests are therefore accepted
// with predicted waits of up to their deadline as long as some request recently
// started within the target wait, which is `mTargetFraction` of the first-token
// target. Once all waits have exceeded the target wait for `mWindow`, the queue
// is considered standing, and new requests are accepted only if their predicted
// wait is within the target wait.
//
// CoDel (controlled delay) applies the same principle to packet queues.
//
// Measurements: docs/design/decisions_under_load.md.
#ifndef THORNHOLLOW_POLICY_QUEUES_STANDING_QUEUE_H_
#define THORNHOLLOW_POLICY_QUEUES_STANDING_QUEUE_H_

#include <optional>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct standing_queue_settings
{
  bool mEnabled = true;
  // A queue is standing once all waits have exceeded the target wait for this
  // long.
  duration mWindow = Milliseconds(500);
  // Target wait as a fraction of the first-token target; the rest is left for
  // the endpoint.
  double mTargetFraction = 0.3;

  friend bool operator==(const standing_queue_settings&,
                         const standing_queue_settings&) = default;
};

class standing_queue
{
public:
  standing_queue(const standing_queue_settings& aSettings, duration aTarget);

  // A request was given a slot after waiting for `aWait`.
  void OnStarted(duration aWait, time_point aNow);
  // The queue became empty and is therefore no longer standing.
  void OnEmpty() { mAboveSince.reset(); }

  bool IsStanding(time_point aNow) const;

  // The longest predicted wait with which a new request is accepted.
  duration MaxWait(duration aUntilDeadline, time_point aNow) const;

private:
  standing_queue_settings mSettings;
  duration mWaitTarget;
  std::optional<time_point> mAboveSince;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_QUEUES_STANDING_QUEUE_H_
