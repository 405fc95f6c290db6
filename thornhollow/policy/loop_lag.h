// Tells whether this process may be behind with what it knows, since its event
// loop runs late.
//
//   const duration late = lag.Tick(now);
//   if (lag.MayBeBehind(now)) { /* Refuse for now rather than for good. */ }
//
// Failure this guards against: a process that was paused, or is short of
// processor time, answers requests before it reads the news that waits at its
// other sockets. It would tell callers for good that there is no such path or
// token, although a newer configuration has them.
#ifndef THORNHOLLOW_POLICY_LOOP_LAG_H_
#define THORNHOLLOW_POLICY_LOOP_LAG_H_

#include <algorithm>
#include <optional>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/clock_gap.h"

namespace thornhollow {

struct loop_lag_settings
{
  // A loop that ticks so much too late is behind with its input.
  duration mLate = Milliseconds(250);
  // How long after the last late tick news may still be on its way: it passes
  // from the source through one or two instances.
  duration mCatchUp = Seconds(2);

  friend bool operator==(const loop_lag_settings&,
                         const loop_lag_settings&) = default;
};

class loop_lag
{
public:
  loop_lag() = default;
  explicit loop_lag(const loop_lag_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  // To be called every `clock_gap::kTickInterval`. Returns by how much this
  // call is late; 0 for the first.
  duration Tick(time_point aNow)
  {
    const duration late = Late(aNow);
    if (late >= mSettings.mLate) {
      mBehindUntil = aNow + mSettings.mCatchUp;
    }
    mLastTick = aNow;
    return late;
  }

  // Also true between two ticks, once the next is late by so much.
  bool MayBeBehind(time_point aNow) const
  {
    return (mBehindUntil && aNow < *mBehindUntil) ||
           Late(aNow) >= mSettings.mLate;
  }

private:
  duration Late(time_point aNow) const
  {
    return mLastTick ? std::max(duration{},
                                aNow - *mLastTick - clock_gap::kTickInterval)
                     : duration{};
  }

  loop_lag_settings mSettings;
  std::optional<time_point> mLastTick;
  std::optional<time_point> mBehindUntil;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_LOOP_LAG_H_
