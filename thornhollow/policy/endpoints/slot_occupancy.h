// Average time for which a request occupies an engine slot, over requests that
// ended recently, and the wait in a queue for slots that results from it.
//
//   slot_occupancy occupancy;
//   occupancy.OnStarted(wait);
//   occupancy.OnEnded(length);
//   const duration wait = occupancy.WaitFor(inFlight, slots);
//
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_SLOT_OCCUPANCY_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_SLOT_OCCUPANCY_H_

#include "thornhollow/base/time.h"

namespace thornhollow {

class slot_occupancy
{
public:
  // The first event of a response arrived `aWait` after its request was sent.
  void OnStarted(duration aWait);
  // A response was completed `aLength` after its request was sent.
  void OnEnded(duration aLength);

  // Mean time from the first event to the end of a response; 2 s until both a
  // first event and an end have been recorded.
  duration Mean() const;
  // Time until a slot is free for one more request when `aInFlight` requests
  // are at engines with `aSlots` slots in total. Zero if slots are free or
  // their number is not known.
  duration WaitFor(double aInFlight, double aSlots) const;

private:
  // Exponentially decaying mean over about the last thirty samples.
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

#endif // THORNHOLLOW_POLICY_ENDPOINTS_SLOT_OCCUPANCY_H_
