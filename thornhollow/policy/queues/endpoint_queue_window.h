// Limits how many urgent requests this instance may queue at the endpoints,
// beyond this instance's share of their slots, based on how long such requests
// wait for their first token.
//
//   endpoint_queue_window window(endpoint_queue_window_settings{});
//   if (window.HasRoom()) { ... window.OnSent(); }
//   window.OnFirstToken(wait, target, now);
//
// Entry instances share the endpoints, and each has a fraction of their slots.
// When one instance has more requests of the highest tier than fit in its
// slots, the excess waits for one of these slots, while other instances fill
// their slots with lower tiers. Only the endpoints' own queues are shared by
// all instances, and they are ordered by priority: an urgent request queued at
// an endpoint gets the next slot that any instance's request frees. On the
// other hand, a request queued at an endpoint can no longer be refused in time
// or sent elsewhere, and without a limit these queues grow during an overload
// until every request of the highest tier is late.
//
// The limit (the window) therefore follows the wait: it grows while first
// tokens arrive within nine tenths of the class's target time to first token,
// and shrinks otherwise.
//
// Choice of the defaults:
// - The window grows by a quarter of a request per timely answer, so a window
//   of four doubles in sixteen answers, which is a second or two of an
//   instance's urgent requests.
// - A late answer shrinks the window by three tenths, at most once within the
//   time that a request may wait, so that several late answers caused by the
//   same queue count once.
// - With a smaller target fraction than nine tenths, the window also shrinks
//   because of waits that are caused by the run time of other requests rather
//   than by the queue. With 0.3, only 3% instead of 99% of the requests met
//   their target when one instance received all requests of the highest tier
//   (scenario split_tiers).
#ifndef THORNHOLLOW_POLICY_QUEUES_ENDPOINT_QUEUE_WINDOW_H_
#define THORNHOLLOW_POLICY_QUEUES_ENDPOINT_QUEUE_WINDOW_H_

#include <cstdint>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct endpoint_queue_window_settings
{
  bool mEnabled = true;
  double mInitialWindow = 4;
  double mMinWindow = 4;
  double mMaxWindow = 256;
  double mIncrease = 0.25;
  double mDecreaseFactor = 0.7;
  // Fraction of the target time to first token that a request may wait at an
  // endpoint.
  double mTargetFraction = 0.9;

  friend bool operator==(const endpoint_queue_window_settings&,
                         const endpoint_queue_window_settings&) = default;
};

class endpoint_queue_window
{
public:
  explicit endpoint_queue_window(
    const endpoint_queue_window_settings& aSettings);

  // Whether one more request may be queued at an endpoint.
  bool HasRoom() const;

  // A request was sent to be queued at an endpoint.
  void OnSent() { ++mWaiting; }
  // A queued request's first token arrived after `aWait`; the target of the
  // request's class is `aTarget`. Don't call `OnDequeued` for this request.
  void OnFirstToken(duration aWait, duration aTarget, time_point aNow);
  // A queued request ended without a first token.
  void OnDequeued();

  std::uint32_t Waiting() const { return mWaiting; }
  double Window() const { return mWindow; }

private:
  endpoint_queue_window_settings mSettings;
  double mWindow;
  std::uint32_t mWaiting = 0;
  time_point mLastDecrease{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_QUEUES_ENDPOINT_QUEUE_WINDOW_H_
