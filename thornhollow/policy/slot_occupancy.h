// How long a request holds an engine's slot, in the mean of those that ended
// lately, and what that makes of a queue for slots.
//
//   slot_occupancy hold;
//   hold.OnStarted(wait);
//   hold.OnEnded(length);
//   const duration wait = hold.WaitFor(open, slots);
//
#ifndef THORNHOLLOW_POLICY_SLOT_OCCUPANCY_H_
#define THORNHOLLOW_POLICY_SLOT_OCCUPANCY_H_

#include "thornhollow/base/time.h"

namespace thornhollow {

class slot_occupancy
{
public:
  // Its first event came so long after it was sent.
  void OnStarted(duration aWait);
  // Its answer ended whole, so long after it was sent.
  void OnEnded(duration aLength);

  // From the first event to the end, in the mean.
  duration Mean() const;
  // Until a slot is free for one more of `aInFlight` requests at engines that
  // have `aSlots` in all; zero where some are free or the slots aren't known.
  duration WaitFor(double aInFlight, double aSlots) const;

private:
  // Of the last thirty or so.
  struct decaying_mean
  {
    double mSum = 0;
    double mCount = 0;

    void Add(duration aSample);
    double Seconds() const { return mSum / mCount; }
  };

  decaying_mean mWaits;
  decaying_mean mLengths;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SLOT_OCCUPANCY_H_
