// Schedules the calls to a source that keep a mirror of one prefix up to date:
// a listing first, then consecutive watches (long polls).
//
//   source_follower follower(source_follower_settings{}, seed);
//   Make(follower.Start(mirror));
//   Make(follower.OnWatched(outcome, mirror, changes, now));
//
// Limits the load on the source during and after an outage, when all instances
// call it: failed calls are retried with exponential backoff up to a bound and
// with jitter, so that instances don't retry at the same moment.
//
// Guards against a source that is unresponsive for a moment. Watches that were
// open then, and calls made then, are never answered, even after the source
// recovers. If all instances wait for such calls, the source accepts a change
// but no instance learns of it. Three measures bound the delay to less than two
// seconds, whatever the length of the outage:
//
// - In each failure domain one instance's watch ends every second, in turn,
//   also after a change that ended all watches at once. Some instance therefore
//   always makes a new call soon.
// - If a response is overdue and no data arrives, another call is made
//   concurrently, and the first response to either is used. A slow source is
//   still usable.
// - Another call is also made if the open watch is suspected to be dead: a call
//   of this process for another prefix is overdue or failed, a peer's call
//   failed, or a peer reported a change that this watch should have returned.
//
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

// The position of this instance among the readers of the source in its failure
// domain, which staggers the ends of their watches.
struct watch_stagger
{
  // Zero-based position of this instance, unique among the `mCount` readers.
  std::size_t mIndex = 0;
  std::size_t mCount = 1;
  // The failure domain's offset as a fraction of `mStaggerInterval`, in (0, 1],
  // so that readers of different domains don't call the source at the same
  // moment.
  double mPhase = 1;

  friend bool operator==(const watch_stagger&, const watch_stagger&) = default;
};

// Why an open watch may never be answered.
enum class suspicion_reason : std::uint8_t
{
  // Another call of the same process, for other items, is overdue or failed.
  kOtherCallFails,
  // A peer reported that its calls to the source fail.
  kPeerFails,
  // A peer's copy contained a change that the open watch has not returned,
  // although the watch has been open for longer than the source takes to report
  // changes.
  kPeerKnewFirst,
};

// Returns the name of a suspicion reason, for logs.
std::string_view
Name(suspicion_reason aReason);

struct source_follower_settings
{
  // Delay after the first failed call, doubled for each further failed call up
  // to `mMaxBackoff`. A published change must take effect about two seconds
  // after the end of an outage, and a call may take a moment; a delay below
  // half a second leaves time for one more failed call.
  duration mInitialBackoff = Milliseconds(100);
  duration mMaxBackoff = Milliseconds(400);
  // Delay between a watch that returned changes and the next watch, to batch
  // further changes: otherwise each engine of a group that starts one after the
  // other costs one call per instance. A single change isn't delayed; changes
  // that follow it are delayed by at most an eighth of the two seconds within
  // which every instance must know them.
  duration mCoalesceDelay = Milliseconds(250);
  // Failures that last this long are an outage. Shorter failures are a broken
  // connection or a single failed call, during which no lease expires.
  duration mOutageThreshold = Seconds(1);
  // Interval at which one watch in each domain ends. Half the time within which
  // a change must take effect; the other half allows for a late response and
  // for updating peers.
  duration mStaggerInterval = Seconds(1);
  // Maximum length of a watch, in units of `mStaggerInterval`.
  std::size_t mMaxStaggerSlots = 20;
  // Wait of a watch that only probes whether the source responds.
  duration mProbeWait = Milliseconds(1);
  // A response is overdue if it is later than the largest recent delay plus
  // this margin. The sum is limited to `mMinResponseTimeout` and
  // `mMaxResponseTimeout`.
  duration mTimeoutMargin = Milliseconds(100);
  duration mMinResponseTimeout = Milliseconds(150);
  duration mMaxResponseTimeout = Milliseconds(600);
  // While the source fails, an instance makes a call at this interval times the
  // number of readers in its domain, limited to `mMinRetryInterval` and
  // `mMaxRetryInterval`. This keeps the call rate of a large fleet below the
  // capacity of the source.
  duration mRetryIntervalPerInstance = Milliseconds(50);
  duration mMinRetryInterval = Milliseconds(400);
  duration mMaxRetryInterval = Seconds(1);
  // Largest recent delay that is assumed until the first response arrives.
  duration mInitialDelay = Milliseconds(250);
  // A call is abandoned if no data arrives for this long after the response was
  // due or after its last part.
  duration mIdleTimeout = Seconds(2);
  // Minimum intervals between probes that are triggered by another call of the
  // same process (`mOwnProbeInterval`), and by a peer's failure
  // (`mPeerProbeInterval`). The interval for peers is longer because many
  // instances receive the reports of one peer's failure, for several seconds.
  duration mOwnProbeInterval = Seconds(1);
  duration mPeerProbeInterval = Seconds(3);

  friend bool operator==(const source_follower_settings&,
                         const source_follower_settings&) = default;
};

// The next call to the source.
struct source_call
{
  // Whether the call is a listing; otherwise it is a watch for changes after
  // revision `mAfter`.
  bool mList = true;
  std::uint64_t mAfter = 0;
  duration mSendDelay{};
  // How long a watch waits for changes; zero for a listing.
  duration mWait{};
  // If no data arrives within this time after the watch's wait, or after a
  // listing was requested, the response is overdue and `OnOverdue` is to be
  // called. A later response is still used, up to `mIdleTimeout`. See
  // `pending_calls`.
  duration mResponseTimeout{};
  duration mIdleTimeout{};

  friend bool operator==(const source_call&, const source_call&) = default;
};

class source_follower
{
public:
  source_follower(const source_follower_settings& aSettings,
                  std::uint64_t aSeed);

  // Returns the first call, or the next call after an event that invalidates
  // pending responses, such as a pause of this process.
  source_call Start(const item_mirror& aMirror);
  // The response to the newest call is overdue. Returns the call to make
  // concurrently with the pending ones.
  source_call OnOverdue(const item_mirror& aMirror, time_point aNow);
  // A pending watch is suspected of never being answered. Returns the call to
  // make concurrently with the watch, or nothing if the call would yield no new
  // information.
  std::optional<source_call> OnSuspected(suspicion_reason aReason,
                                         const item_mirror& aMirror,
                                         time_point aNow);
  // Sets the position of this instance among the readers of the source in its
  // failure domain, which staggers the ends of their watches.
  void SetStagger(const watch_stagger& aStagger);
  // Records how long after its due time a response arrived, which adjusts the
  // time-out of later responses.
  void RecordDelay(duration aDelay);

  // Applies the response to `aMirror`, appends the changes to `aChanges`, and
  // returns the next call.
  source_call OnListed(const list_outcome& aOutcome,
                       item_mirror& aMirror,
                       std::vector<item_change>& aChanges,
                       time_point aNow);
  source_call OnWatched(const watch_outcome& aOutcome,
                        item_mirror& aMirror,
                        std::vector<item_change>& aChanges,
                        time_point aNow);

  // Records that this instance no longer calls the source, so that earlier
  // failures are irrelevant.
  void StopReading() { ClearFailure(); }

  // Returns when the source last answered this instance, not counting reports
  // of peers; nullopt before the first answer.
  std::optional<time_point> LastAnswer() const { return mLastAnswer; }

  // Whether the source has failed for at least `mOutageThreshold`.
  bool InOutage(time_point aNow) const;
  // Whether two responses in a row were overdue, or the last call failed.
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
  // Whether the last watch elapsed without changes and `mStagger` has not
  // changed since, so that this instance's watches already end at its own
  // position among the readers.
  bool mIsStaggered = false;
  // Whether the next watch is a probe, which only tests whether the source
  // responds.
  bool mProbing = false;
  // When the last probe was made because a watch was suspected to be dead.
  std::optional<time_point> mLastProbe;
  // Largest recent delay of a response beyond its due time; the previous value
  // counts only half with each new response.
  duration mMaxRecentDelay;
  // Whether the next call must be a listing: the source dropped the required
  // history or was in an outage.
  bool mMustList = false;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_SOURCE_FOLLOWER_H_
