// Decides which call to a source comes next, so that a mirror of one prefix
// stays in step: a listing first, then watches, each after the last.
//
//   source_follower follower(source_follower_settings{}, seed);
//   Make(follower.Start());
//   Make(follower.OnWatched(outcome, mirror, now));
//
// Load this answers: an outage of the source with all instances asking it, and
// its return. Refused calls come further and further apart, up to a bound, with
// jitter, so that the source isn't met by all at the same moment.
//
// Guards against a source that falls silent for a moment: a watch that was open
// then, and a call made then, is never answered, not even once the source is
// back. It shows as a change that is acknowledged and in force nowhere, as all
// wait. Three things hold it to less than two seconds, at any length of the
// silence:
//
// - In each failure domain an instance's watch ends every second, in turn, also
//   after a change that all heard of at once. So somebody asks anew.
// - Nobody waits for an answer that is overdue and of which nothing comes:
//   another call is made beside it, and the first answer to either is taken. A
//   slow source is still heard.
// - A reason to doubt a watch that is open brings such a call too: the same
//   process' other call is overdue, a peer's failed, or a peer told of a change
//   that this watch ought to have told of.
#ifndef THORNHOLLOW_DISCOVERY_SOURCE_FOLLOWER_H_
#define THORNHOLLOW_DISCOVERY_SOURCE_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/discovery/item_mirror.h"
#include "thornhollow/discovery/item_source.h"

namespace thornhollow {

// Which of the instances that ask the source in a failure domain this one is.
struct watch_stagger
{
  // From 0, each once, and how many they are.
  std::size_t mIndex = 0;
  std::size_t mCount = 1;
  // Above 0, 1 at the most: the domain's part of a turn, so that the domains
  // don't ask at the same moment either.
  double mPhase = 1;

  friend bool operator==(const watch_stagger&, const watch_stagger&) = default;
};

// Why an open watch may never be answered.
enum class suspicion_reason : std::uint8_t
{
  // A call of the same process for other items is overdue or failed.
  kOtherCallFails,
  // A peer tells that the source fails there.
  kPeerFails,
  // A peer's copy had a change that this watch, open for longer than telling of
  // it takes, hasn't told of.
  kPeerKnewFirst,
};

// For logs.
std::string_view
Name(suspicion_reason aReason);

struct source_follower_settings
{
  // First pause after a refused call, doubled up to the longest. What the
  // source publishes must be in force two seconds after an outage's end or so,
  // and a call may take a moment: less than half a second leaves room for one
  // refusal more.
  duration mInitialBackoff = Milliseconds(100);
  duration mMaxBackoff = Milliseconds(400);
  // Between a watch that told of something and the next, so that what follows
  // comes in one answer: engines that join one after the other would be a call
  // each for every instance. News that stands alone isn't delayed; other news
  // by an eighth at most of the two seconds in which it must be known.
  duration mCoalesceDelay = Milliseconds(250);
  // Failing for so long counts as an outage; a shorter one is a cut connection
  // or a refusal of one call, in which no lease lapses.
  duration mOutageThreshold = Seconds(1);
  // A watch of each domain ends so often. Half of the time in which a change
  // must be in force: the rest is for a late answer and for telling peers.
  duration mStaggerInterval = Seconds(1);
  // A watch waits no longer than so many turns.
  std::size_t mMaxStaggerSlots = 20;
  // A watch that is only to show whether the source answers.
  duration mProbeWait = Milliseconds(1);
  // An answer is overdue so much later than the longest delay seen lately,
  // within bounds.
  duration mTimeoutMargin = Milliseconds(100);
  duration mMinResponseTimeout = Milliseconds(150);
  duration mMaxResponseTimeout = Milliseconds(600);
  // While the source fails: between calls, for each instance of the domain,
  // within bounds. A large fleet's calls stay below what the source bears.
  duration mRetryIntervalPerInstance = Milliseconds(50);
  duration mMinRetryInterval = Milliseconds(400);
  duration mMaxRetryInterval = Seconds(1);
  // Taken for the longest delay before any was seen.
  duration mInitialDelay = Milliseconds(250);
  // An answer of which nothing came for so long after it was due, or after its
  // last part, isn't waited for.
  duration mIdleTimeout = Seconds(2);
  // Between two calls for which the doubt is the same process' other call, or a
  // peer's failure: many instances hear of that, for seconds.
  duration mOwnProbeInterval = Seconds(1);
  duration mPeerProbeInterval = Seconds(3);

  friend bool operator==(const source_follower_settings&,
                         const source_follower_settings&) = default;
};

// The next call to the source.
struct source_call
{
  // A listing, or a watch after `mAfter`.
  bool mList = true;
  std::uint64_t mAfter = 0;
  duration mSendDelay{};
  // How long a watch waits for changes; zero for a listing.
  duration mWait{};
  // Where nothing of the answer came after that long beyond the wait it is
  // overdue, and `OnOverdue` is to be called; it is still taken up to the
  // limit. See `pending_calls`.
  duration mResponseTimeout{};
  duration mIdleTimeout{};

  friend bool operator==(const source_call&, const source_call&) = default;
};

class source_follower
{
public:
  source_follower(const source_follower_settings& aSettings,
                  std::uint64_t aSeed);

  // The first call, and the one after anything that makes an answer on its way
  // worthless, such as a pause of this process.
  source_call Start(const item_mirror& aMirror);
  // The answer to the newest call is overdue. Returns the call to make beside
  // those on their way.
  source_call OnOverdue(const item_mirror& aMirror, time_point aNow);
  // The call to make beside a watch on its way that may never be answered;
  // nothing where that would tell no more than what is known.
  std::optional<source_call> OnSuspected(suspicion_reason aReason,
                                         const item_mirror& aMirror,
                                         time_point aNow);
  // This instance's turn among those that ask the source.
  void SetStagger(const watch_stagger& aStagger);
  // An answer came so long after it was due: what later ones are allowed.
  void RecordDelay(duration aDelay);

  // Takes the answer into `aMirror`, appends what changed to `aNews`, and
  // returns the next call.
  source_call OnListed(const list_outcome& aOutcome,
                       item_mirror& aMirror,
                       std::vector<item_change>& aChanges,
                       time_point aNow);
  source_call OnWatched(const watch_outcome& aOutcome,
                        item_mirror& aMirror,
                        std::vector<item_change>& aChanges,
                        time_point aNow);

  // The source isn't asked from here any more: what it last did says nothing.
  void StopReading() { ClearFailure(); }

  // When the source last answered; what a peer told doesn't count. Nothing
  // before the first answer.
  std::optional<time_point> LastAnswer() const { return mLastAnswer; }

  // The source has failed for longer than a moment.
  bool InOutage(time_point aNow) const;
  // Two answers in a row were overdue, or the last one was a failure.
  bool Failing() const { return mFailingSince.has_value(); }

private:
  duration WatchWait() const;
  duration ResponseTimeout();
  double Jitter();
  source_call AfterFailure(const item_mirror& aMirror, time_point aNow);
  void RecordFailure(time_point aNow);
  void RecordAnswer(time_point aNow);
  void ClearFailure();

  source_follower_settings mSettings;
  std::mt19937_64 mRandom;
  std::optional<time_point> mFailingSince;
  std::optional<time_point> mLastAnswer;
  duration mBackoff;
  watch_stagger mStagger;
  // The last watch waited its whole turn in vain and the turn is the same.
  bool mIsStaggered = false;
  // The next watch is a short one.
  bool mProbing = false;
  // The last call that a doubt brought.
  std::optional<time_point> mLastProbe;
  // Of the answers seen lately, the older the less it counts.
  duration mMaxRecentDelay;
  // The source forgot what the mirror is to be continued with, or was away.
  bool mMustList = false;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_SOURCE_FOLLOWER_H_
