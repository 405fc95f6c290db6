// Detects that this process was paused: its loop ticks regularly, so a long
// step of the monotonic clock between two ticks means that it did not run.
//
//   if (gap.Tick(now)) { Apply(scheduler.OnClockGap(now)); }
//
// Failure scenario: a process is paused (suspended instance, memory pressure, a
// debugger) and resumes late. Without detection it continues with outdated
// state: endpoints that left meanwhile appear live, old load reports appear
// current, and the pause is measured as latency of the endpoints.
//
// Default values: the loop ticks every 100 ms. An engine step takes 4 ms, and
// scheduling on a busy small instance delays a tick by tens of milliseconds. So
// 1 s between two ticks (ten missed ticks) is not caused by a busy loop. A
// pause of less than 1 s needs no handling: load reports and the instance list
// lag by up to seconds even without a pause.
#ifndef THORNHOLLOW_POLICY_CLOCK_GAP_H_
#define THORNHOLLOW_POLICY_CLOCK_GAP_H_

#include <optional>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct clock_gap_settings
{
  // Maximum time between two ticks of the loop; a longer interval counts as a
  // pause of this process.
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

  // To be called regularly, before anything else in an iteration of the loop.
  // Returns true if the process was paused since the previous call.
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
