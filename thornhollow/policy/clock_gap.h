// Detects that this process stood still: its loop ticks regularly, so a long
// step of the monotonic clock between two ticks means that it was not running.
//
//   if (gap.Tick(now)) { Apply(scheduler.OnClockGap(now)); }
//
// Load pattern: a process is paused (suspended instance, memory pressure, a
// debugger) and wakes up late. Without this it goes on with what it believed
// before: endpoints that left meanwhile look live, old load reports look new,
// and the pause is learnt as latency of the endpoints.
//
// Grounds for the figures: the loop ticks every 100 ms; a step of the engines
// takes 4 ms, and scheduling on a busy small instance delays a tick by tens of
// milliseconds, so 1 s is ten missed ticks and no busy loop. Load reports and
// the instance list lag by up to seconds anyway: what changed within a pause of
// less than 1 s could not have been known without the pause either.
#ifndef THORNHOLLOW_POLICY_CLOCK_GAP_H_
#define THORNHOLLOW_POLICY_CLOCK_GAP_H_

#include <optional>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct clock_gap_settings
{
  // A longer step between two ticks is a gap.
  duration mMaxStep = Seconds(1);

  friend bool operator==(const clock_gap_settings&,
                         const clock_gap_settings&) = default;
};

class clock_gap
{
public:
  // How often the owner's loop should call `Tick`.
  static constexpr duration kTickInterval = Milliseconds(100);

  clock_gap() = default;
  explicit clock_gap(const clock_gap_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  // Called regularly, before anything else that the loop does in this turn.
  // True where the process stood still since the tick before.
  bool Tick(time_point aNow)
  {
    const bool wasPaused = mLastTick && aNow - *mLastTick > mSettings.mMaxStep;
    mLastTick = aNow;
    return wasPaused;
  }

private:
  clock_gap_settings mSettings;
  std::optional<time_point> mLastTick;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_CLOCK_GAP_H_
