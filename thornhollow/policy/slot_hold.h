// How long a request holds an engine's slot, in the mean of those that ended
// lately, and what that makes of a queue for slots.
//
//   slot_hold hold;
//   hold.OnBegun(wait);
//   hold.OnEnded(length);
//   const duration wait = hold.WaitFor(open, slots);
//
#ifndef THORNHOLLOW_POLICY_SLOT_HOLD_H_
#define THORNHOLLOW_POLICY_SLOT_HOLD_H_

#include "thornhollow/base/time.h"

namespace thornhollow {

class slot_hold
{
public:
  // Its first event came so long after it was sent.
  void OnBegun(duration aWait);
  // Its answer ended whole, so long after it was sent.
  void OnEnded(duration aLength);

  // From the first event to the end, in the mean.
  duration Mean() const;
  // Until a slot is free for one more of `aOpen` requests at engines that have
  // `aSlots` in all; zero where some are free or the slots aren't known.
  duration WaitFor(double aOpen, double aSlots) const;

private:
  // Of the last thirty or so.
  struct recent_mean
  {
    double mSum = 0;
    double mCount = 0;

    void Add(duration aOne);
    double Seconds() const { return mSum / mCount; }
  };

  recent_mean mWaits;
  recent_mean mLengths;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SLOT_HOLD_H_
