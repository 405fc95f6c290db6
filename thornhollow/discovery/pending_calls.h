// The calls to the source that are on their way beside each other: whether
// another one is to be made, as nothing of an answer comes.
//
//   pending_calls calls;
//   round.OnSent(call, now);
//   round.OnBytes(now);                  // for each part of an answer
//   if (round.Overdue(now)) { ... make another call, OnSent again ... }
//   round.End();                         // an answer is whole, or none will be
//
// Guards against giving up what is only slow: an answer of hundreds of
// kilobytes takes longer on a narrow link than a silent source may be waited
// for. It shows as calls that are made beside each other until none of their
// answers comes whole, as each has a smaller part of the link. So an answer
// counts as overdue only while nothing of it comes.
#ifndef THORNHOLLOW_DISCOVERY_PENDING_CALLS_H_
#define THORNHOLLOW_DISCOVERY_PENDING_CALLS_H_

#include <optional>

#include "thornhollow/base/time.h"
#include "thornhollow/discovery/source_follower.h"

namespace thornhollow {

struct pending_calls_settings
{
  // A call isn't doubted before: answers take a few milliseconds.
  duration mMinProbeAge = Milliseconds(200);
  // Between two parts of an answer: a lost packet comes again within.
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

  // A call was made beside those on their way.
  void OnSent(const source_call& aCall, time_point aNow);
  // A part of an answer to any of them came.
  void OnBytes(time_point aNow) { mLastBytesAt = aNow; }
  // None of them counts any more.
  void Clear();

  // Whether a call is on its way.
  bool IsPending() const { return mNewest.has_value(); }
  // Whether a part of an answer came a moment ago.
  bool IsReceiving(time_point aNow) const;
  // Whether the newest call's answer is overdue and nothing of any comes.
  bool IsOverdue(time_point aNow) const;
  // Whether a reason to doubt the calls on their way is one to make another.
  bool AllowsProbe(suspicion_reason aReason, time_point aNow) const;
  // How long ago the newest was made; zero where none is on its way.
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
