// Decides which requests an instance that is to stop still takes on.
//
//   const drain_schedule drain(Now(), grace);
//   if (!drain.Accepts(timeout, Now())) { ... }  // refused, not run
//
// Guards against requests that are taken on late in the grace and cut at its
// end, though another instance would have served them. At first everything is
// taken on, as the balancer still sends its callers here and most requests end
// soon; then what is certain to end in time. Load this answers: a planned stop,
// in calm.
#ifndef THORNHOLLOW_POLICY_ADMISSION_DRAIN_SCHEDULE_H_
#define THORNHOLLOW_POLICY_ADMISSION_DRAIN_SCHEDULE_H_

#include <algorithm>

#include "thornhollow/base/time.h"

namespace thornhollow {

class drain_schedule
{
public:
  // The process ends, whatever is in progress, `aGrace` after `aBeganAt`.
  constexpr drain_schedule(time_point aBeganAt, duration aGrace)
    : mEndsAt(aBeganAt + aGrace)
    , mTakesAllUntil(aBeganAt +
                     std::min(kTakesAllFor, aGrace / kTakingPartOfGrace))
  {
  }

  // Whether a request is taken on that may take up to `aTimeout`.
  constexpr bool Accepts(duration aTimeout, time_point aNow) const
  {
    return aNow < mTakesAllUntil || aNow + aTimeout + kAnswerTime < mEndsAt;
  }

  friend constexpr bool operator==(const drain_schedule&,
                                   const drain_schedule&) = default;

private:
  // Longer than the balancer takes to notice.
  static constexpr duration kTakesAllFor = Milliseconds(2'500);
  // At most this part of the grace, so that most of it is left for what was
  // taken on.
  static constexpr int kTakingPartOfGrace = 3;
  // For the answer to a request whose time is over.
  static constexpr duration kAnswerTime = Milliseconds(50);

  time_point mEndsAt;
  time_point mTakesAllUntil;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_DRAIN_SCHEDULE_H_
