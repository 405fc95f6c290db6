// Event loop in virtual time. Events run in the order of their times, and
// events of the same time in the order in which they were added. Two runs with
// the same events are identical, so that test results never depend on a real
// clock.
//
//   event_loop loop;
//   loop.At(loop.Now() + Seconds(1), [&] { ... });
//   loop.RunUntil(loop.Now() + Seconds(60));
//
#ifndef THORNHOLLOW_POLICY_SCENARIO_EVENT_LOOP_H_
#define THORNHOLLOW_POLICY_SCENARIO_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "thornhollow/base/time.h"

namespace thornhollow::scenario {

class event_loop
{
public:
  time_point Now() const { return mNow; }

  // Runs `aAction` at `aWhen`, or at the current time if `aWhen` has passed.
  void At(time_point aWhen, std::function<void()> aAction);
  void After(duration aDelay, std::function<void()> aAction);

  // Runs all events due up to and including `aEnd`, then sets `Now` to `aEnd`.
  void RunUntil(time_point aEnd);

private:
  struct event
  {
    time_point mWhen;
    std::uint64_t mOrder = 0;
    std::function<void()> mAction;
  };
  struct later
  {
    bool operator()(const event& aLeft, const event& aRight) const;
  };

  // Current simulated time. Doesn't start at the clock's epoch, because the
  // policies may use a zero time point for "never".
  time_point mNow{ Seconds(1000) };
  std::uint64_t mOrder = 0;
  std::priority_queue<event, std::vector<event>, later> mEvents;
};

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_EVENT_LOOP_H_
