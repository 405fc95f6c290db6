// Decides which call to a source comes next, so that a mirror of one prefix
// stays in step: a listing first, then watches, each after the last.
//
//   source_follower follower(follower_settings{}, seed);
//   Make(follower.Start());
//   Make(follower.OnWatched(outcome, mirror, now));
//
// Load this answers: an outage of the source with all instances asking it, and
// its return. Failed calls come further and further apart, up to a bound, with
// jitter, so that the source isn't met by all at the same moment.
#ifndef THORNHOLLOW_DISCOVERY_SOURCE_FOLLOWER_H_
#define THORNHOLLOW_DISCOVERY_SOURCE_FOLLOWER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/discovery/item_mirror.h"
#include "thornhollow/discovery/item_source.h"

namespace thornhollow {

struct follower_settings
{
  // First pause after a failed call, doubled up to the longest. What the source
  // publishes must be in force two seconds after an outage's end or so, and a
  // call may take a moment: half a second leaves room for one failure more.
  duration mFirstPause = Milliseconds(100);
  duration mLongestPause = Milliseconds(500);
  // Between a watch that told of something and the next, so that what follows
  // comes in one answer: calls are priced, and ninety engines that join one
  // after the other were a call each for ninety instances. News that stands
  // alone isn't delayed; other news by an eighth at most of the two seconds in
  // which it must be known.
  duration mGather = Milliseconds(250);
  // Failing for so long counts as an outage; a shorter one is a cut connection
  // or a refusal of one call, in which no lease lapses.
  duration mOutageAfter = Seconds(1);

  friend bool operator==(const follower_settings&,
                         const follower_settings&) = default;
};

// The next call to the source.
struct source_call
{
  // A listing, or a watch after `mAfter`.
  bool mList = true;
  std::uint64_t mAfter = 0;
  duration mPause{};

  friend bool operator==(const source_call&, const source_call&) = default;
};

class source_follower
{
public:
  source_follower(const follower_settings& aSettings, std::uint64_t aSeed);

  // The first call, and the one after anything that makes an answer on its way
  // worthless, such as a pause of this process.
  source_call Start(const item_mirror& aMirror) const;

  // Takes the answer into `aMirror`, appends what changed to `aNews`, and
  // returns the next call.
  source_call OnListed(const list_outcome& aOutcome,
                       item_mirror& aMirror,
                       std::vector<item_change>& aNews,
                       time_point aNow);
  source_call OnWatched(const watch_outcome& aOutcome,
                        item_mirror& aMirror,
                        std::vector<item_change>& aNews,
                        time_point aNow);

  // The source isn't asked from here any more: what it last did says nothing.
  void StopAsking() { EndFailing(); }

  // When the source last answered; what a peer told doesn't count. Nothing
  // before the first answer.
  std::optional<time_point> Answered() const { return mAnswered; }

  // The source has failed for longer than a moment.
  bool InOutage(time_point aNow) const;
  // The last answer was a failure.
  bool Failing() const { return mFailingSince.has_value(); }

private:
  source_call AfterFailure(const item_mirror& aMirror, time_point aNow);
  void NoteAnswer(time_point aNow);
  void EndFailing();

  follower_settings mSettings;
  std::mt19937_64 mRandom;
  std::optional<time_point> mFailingSince;
  std::optional<time_point> mAnswered;
  duration mPause;
  // The source forgot what the mirror is to be continued with, or was away.
  bool mMustList = false;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_SOURCE_FOLLOWER_H_
