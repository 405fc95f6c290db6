// Tells a queue that only takes up a burst from one that stands, and bounds how
// long a new request may have to wait accordingly.
//
//   standing_queue standing(settings, firstTokenTarget);
//   standing.OnStarted(wait, now);
//   if (predicted > standing.Bound(untilDeadline, now)) { refuse }
//
// Load pattern: sustained overload of a class whose deadline is many times its
// first token's target. The queue then grows until it is as long as the
// deadline and stays there: everybody is served late, nobody meets the target,
// although as much is served as with a short queue. But a burst that ends soon
// is better waited for than refused. So a request may wait up to its deadline
// as long as the queue came down to the target lately; once every request has
// waited beyond the target for a while, the queue is a standing one, and new
// requests are taken only if they will meet their target.
//
// Controlled delay in routers' packet queues rests on the same observation.
//
// Figures: docs/design/decisions_under_load.md.
#ifndef THORNHOLLOW_POLICY_STANDING_QUEUE_H_
#define THORNHOLLOW_POLICY_STANDING_QUEUE_H_

#include <optional>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct standing_queue_settings
{
  bool mEnabled = true;
  // A queue whose waits all exceeded the target for this long stands.
  duration mWindow = Milliseconds(500);
  // The part of the first token's target that may pass in the queue; the rest
  // is for the endpoint.
  double mTargetFraction = 0.3;

  friend bool operator==(const standing_queue_settings&,
                         const standing_queue_settings&) = default;
};

class standing_queue
{
public:
  standing_queue(const standing_queue_settings& aSettings, duration aTarget);

  // A request left the queue for a place after `aWait`.
  void OnStarted(duration aWait, time_point aNow);
  // Nothing waits any more.
  void OnEmpty() { mAboveSince.reset(); }

  bool IsStanding(time_point aNow) const;

  // The longest predicted wait with which a request is taken.
  duration MaxWait(duration aUntilDeadline, time_point aNow) const;

private:
  standing_queue_settings mSettings;
  duration mWaitTarget;
  std::optional<time_point> mAboveSince;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_STANDING_QUEUE_H_
