// Bounds how many urgent requests this instance lets wait in the endpoints' own
// queues, beyond its places there, by how long they wait there.
//
//   endpoint_queue_window window(settings);
//   if (window.HasRoom()) { ... window.OnSent(); }
//   window.OnFirstToken(wait, bound, now);
//
// Load pattern: entry instances share the endpoints, and each has a part of
// their places. When one instance has more of the highest tier than its part
// holds, its requests wait for one of its own places, while other instances
// fill theirs with lower tiers. The endpoints' queues are the only ones that
// all instances share, and they honour priority: an urgent request that waits
// there gets the next place that any instance's request frees. But what waits
// there can't be refused in time or sent elsewhere any more, and without a
// bound the endpoints' queues of the highest tier grow as under no policy at
// all.
//
// So the bound follows the wait: it rises while the first tokens come within
// nine tenths of the class's target, and falls when they don't.
//
// Grounds for the figures: a quarter of a request more for each answer in time
// doubles a window of four in sixteen answers, a second or two of an instance's
// urgent work. Three tenths less for an answer that is late, at most once for
// each bound's time, so that the answers of one queue count once. A lower part
// of the target than nine tenths closes the window for waits that come from the
// length of the others' runs and not from the queue: with 0.3 one instance that
// had all of the highest tier attained 3% instead of 99% (scenario
// split_tiers).
#ifndef THORNHOLLOW_POLICY_ENDPOINT_QUEUE_WINDOW_H_
#define THORNHOLLOW_POLICY_ENDPOINT_QUEUE_WINDOW_H_

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
  // The part of the first token's target that a request may wait there.
  double mTargetFraction = 0.9;

  friend bool operator==(const endpoint_queue_window_settings&,
                         const endpoint_queue_window_settings&) = default;
};

class endpoint_queue_window
{
public:
  explicit endpoint_queue_window(
    const endpoint_queue_window_settings& aSettings);

  // Whether one more request may wait at an endpoint.
  bool HasRoom() const;

  // A request was sent to wait there.
  void OnSent() { ++mWaiting; }
  // Its first token came after `aWait`; the class's target is `aTarget`.
  void OnFirstToken(duration aWait, duration aTarget, time_point aNow);
  // It ended without a first token.
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

#endif // THORNHOLLOW_POLICY_ENDPOINT_QUEUE_WINDOW_H_
