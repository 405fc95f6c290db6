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
//
// Guards against a source that falls silent: open watches never answer, not
// even once it is back, and what is asked into the silence doesn't either.
// Where all instances waited for 20 s a configuration came into force 12 s late
// on all of them, as nobody knew of it. So the instances' watches end one after
// the other, a second apart, whatever their number; who waits in vain says so
// to its peers, which then ask anew; and until an answer comes all ask for a
// moment only. A watch for each second and 20 at the most are 4 calls a second
// for 8 instances and 9 for 90, where 20 s alone were 0.8 and 9.
#ifndef THORNHOLLOW_DISCOVERY_SOURCE_FOLLOWER_H_
#define THORNHOLLOW_DISCOVERY_SOURCE_FOLLOWER_H_

#include <cstddef>
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
  // call may take a moment: less than half a second leaves room for one failure
  // more.
  duration mFirstPause = Milliseconds(100);
  duration mLongestPause = Milliseconds(400);
  // Between a watch that told of something and the next, so that what follows
  // comes in one answer: calls are priced, and ninety engines that join one
  // after the other were a call each for ninety instances. News that stands
  // alone isn't delayed; other news by an eighth at most of the two seconds in
  // which it must be known.
  duration mGather = Milliseconds(250);
  // Failing for so long counts as an outage; a shorter one is a cut connection
  // or a refusal of one call, in which no lease lapses.
  duration mOutageAfter = Seconds(1);
  // How long a watch waits: this much for each instance, within bounds.
  duration mWaitForEach = Seconds(1);
  duration mLeastWait = Seconds(4);
  duration mMostWait = Seconds(20);
  // After a failure, and when a peer tells of one: as long as it may take to
  // notice that the source is back.
  duration mShortWait = Milliseconds(300);
  // An answer that is later than a call's wait and this isn't waited for; more
  // with each failure, up to the most and from the first again, as a slow
  // source needs more than a silent one should get.
  duration mFirstLimit = Milliseconds(500);
  duration mMostLimit = Seconds(2);
  // Between two calls that peers' failures cause.
  duration mProbeEvery = Seconds(3);

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
  // How long a watch waits for changes.
  duration mWait{};
  // After that long beyond the wait no answer is expected any more.
  duration mLimit{};

  friend bool operator==(const source_call&, const source_call&) = default;
};

class source_follower
{
public:
  source_follower(const follower_settings& aSettings, std::uint64_t aSeed);

  // The first call, and the one after anything that makes an answer on its way
  // worthless, such as a pause of this process.
  source_call Start(const item_mirror& aMirror);
  // The call to make in place of a watch on its way, as a peer's call failed;
  // nothing where that would tell no more than what is known.
  std::optional<source_call> OnPeerFails(const item_mirror& aMirror,
                                         time_point aNow);
  // Instances that follow the source.
  void SetInstances(std::size_t aInstances) { mInstances = aInstances; }

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
  duration LongWait();
  source_call AfterFailure(const item_mirror& aMirror, time_point aNow);
  void NoteAnswer(time_point aNow);
  void EndFailing();

  follower_settings mSettings;
  std::mt19937_64 mRandom;
  std::optional<time_point> mFailingSince;
  std::optional<time_point> mAnswered;
  duration mPause;
  duration mLimit;
  std::size_t mInstances = 1;
  // The next watch is a short one.
  bool mProbing = false;
  std::optional<time_point> mProbed;
  // The source forgot what the mirror is to be continued with, or was away.
  bool mMustList = false;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_SOURCE_FOLLOWER_H_
