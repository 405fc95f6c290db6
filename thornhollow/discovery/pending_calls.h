// Tracks the concurrent calls to the source and decides whether another one is
// needed because no response data arrives.
//
//   pending_calls calls;
//   calls.OnSent(call, now);
//   calls.OnBytes(now);                   // for each part of a response
//   if (calls.IsOverdue(now)) { ... }     // make another call, OnSent again
//   calls.Clear();                        // a response is complete, or
//                                         // none is expected any more
//
// Guards against repeating a call during a slow transfer: a response of
// hundreds of kilobytes takes longer on a narrow link than the time-out that
// detects an unresponsive source. Concurrent calls would accumulate, each with
// a smaller share of the bandwidth, until none of them completes. A response is
// therefore overdue only while no data arrives.
#ifndef THORNHOLLOW_DISCOVERY_PENDING_CALLS_H_
#define THORNHOLLOW_DISCOVERY_PENDING_CALLS_H_

#include <optional>

#include "thornhollow/base/time.h"
#include "thornhollow/discovery/source_follower.h"

namespace thornhollow {

struct pending_calls_settings
{
  // No probe is made if the newest call was sent less than this long ago; a
  // response usually takes a few milliseconds.
  duration mMinProbeAge = Milliseconds(200);
  // A response counts as still arriving for this long after its last part; long
  // enough for a lost packet to be retransmitted.
  duration mMaxPartGap = Milliseconds(600);

  friend bool operator==(const pending_calls_settings&,
                         const pending_calls_settings&) = default;
};

class pending_calls
{
public:
  explicit pending_calls(const pending_calls_settings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  // Records that another call was made, concurrently with any pending calls.
  void OnSent(const source_call& aCall, time_point aNow);
  // Records that part of a response to any pending call arrived.
  void OnBytes(time_point aNow) { mLastBytesAt = aNow; }
  // Stops tracking all calls.
  void Clear();

  // Whether any call is pending.
  bool IsPending() const { return mNewest.has_value(); }
  // Whether part of a response arrived within the last `mMaxPartGap`.
  bool IsReceiving(time_point aNow) const;
  // Whether the newest call is overdue and no data arrives for any call.
  bool IsOverdue(time_point aNow) const;
  // Whether another call is to be made as a probe, given that the pending calls
  // are suspected for `aReason` to never be answered.
  bool AllowsProbe(suspicion_reason aReason, time_point aNow) const;
  // Time since the newest call was made; zero if none is pending.
  duration NewestCallAge(time_point aNow) const;

private:
  struct newest_call
  {
    time_point mSentAt{};
    time_point mDueAt{};
  };

  pending_calls_settings mSettings;
  std::optional<newest_call> mNewest;
  std::optional<time_point> mLastBytesAt;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_PENDING_CALLS_H_
