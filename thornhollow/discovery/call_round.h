// The calls to the source that are on their way beside each other: whether
// another one is to be made, as nothing of an answer comes.
//
//   call_round round;
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
#ifndef THORNHOLLOW_DISCOVERY_CALL_ROUND_H_
#define THORNHOLLOW_DISCOVERY_CALL_ROUND_H_

#include <optional>

#include "thornhollow/base/time.h"
#include "thornhollow/discovery/source_follower.h"

namespace thornhollow {

struct call_round_settings
{
  // A call isn't doubted before: answers take a few milliseconds.
  duration mDoubtedAfter = Milliseconds(200);
  // Between two parts of an answer: a lost packet comes again within.
  duration mMostPause = Milliseconds(600);

  friend bool operator==(const call_round_settings&,
                         const call_round_settings&) = default;
};

class call_round
{
public:
  explicit call_round(const call_round_settings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  // A call was made beside those on their way.
  void OnSent(const source_call& aCall, time_point aNow);
  // A part of an answer to any of them came.
  void OnBytes(time_point aNow) { mLastBytes = aNow; }
  // None of them counts any more.
  void End();

  // Whether a call is on its way.
  bool Open() const { return mNewest.has_value(); }
  // Whether a part of an answer came a moment ago.
  bool Coming(time_point aNow) const;
  // Whether the newest call's answer is overdue and nothing of any comes.
  bool Overdue(time_point aNow) const;
  // Whether a reason to doubt the calls on their way is one to make another.
  bool MayBeDoubted(watch_doubt aWhy, time_point aNow) const;
  // How long ago the newest was made; zero where none is on its way.
  duration OpenFor(time_point aNow) const;

private:
  struct newest_call
  {
    time_point mSentAt{};
    time_point mOverdueAt{};
  };

  call_round_settings mSettings;
  std::optional<newest_call> mNewest;
  std::optional<time_point> mLastBytes;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_CALL_ROUND_H_
