// Decides which configuration an instance has in force, what it reads from the
// platform and what from its peers. No network, no clock: each call takes the
// present and returns what is to be done.
//
//   config_follower follower(settings, name, domain, seed);
//   Apply(follower.SetMembers(members, now));
//   Apply(follower.Start(peers, now));
//   ... Apply(follower.OnManifestRead(call, answer, now)); ...
//
// What holds, and why:
// - The revision in force never goes back. Only a higher revision (revision.h)
//   is ever fetched or put in force; one that is lower is ignored and counted,
//   whoever says it. An instance that starts asks its peers first and never
//   takes a revision below what a peer has in force.
// - A revision is in force whole or not at all. It is judged only when all its
//   parts are held, and parts are named by digest, so none can be of another
//   revision.
// - All instances end with the same revision. The verdict follows from the
//   bytes, and an instance that skipped a revision which its peers accepted
//   (because a later one, which is refused, was there already) hears of it from
//   them and takes it.
// - The platform's load grows with failure domains, not with instances: the top
//   few instances of a domain by rendezvous hash watch it; the others hear of
//   revisions from peers and fetch from them. One that has heard nothing fresh
//   for too long reads for itself.
// - With the platform down or stale, what is in force stays so.
#ifndef THORNHOLLOW_CONFIG_CONFIG_FOLLOWER_H_
#define THORNHOLLOW_CONFIG_CONFIG_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/bundle.h"
#include "thornhollow/config/config_word.h"
#include "thornhollow/config/fault.h"
#include "thornhollow/config/part_store.h"
#include "thornhollow/config/revision.h"

namespace thornhollow {

struct follower_settings
{
  // Instances of a failure domain that watch the platform. Two, so that one
  // that is paused or has a silent connection delays nothing.
  std::size_t mReaders = 2;
  // How long a watch waits. One second keeps a silent connection from hiding a
  // change for longer than `mReadTimeout`, and costs one call a second for each
  // reader: 22 of 2,000 at 11 domains.
  duration mWatch = Seconds(1);
  duration mReadTimeout = Milliseconds(1500);
  duration mFetchTimeout = Milliseconds(500);
  // Until a reader reads again after a failure, and up to as long again.
  duration mReadRetry = Milliseconds(500);
  // Without a fresh word of the platform's for this long, an instance that is
  // no reader reads for itself... Gossip at one interval a second takes about
  // five intervals through 38 members; at half of this, a few of 32 read at
  // any time though all was well.
  duration mStaleAfter = Seconds(10);
  // ...and again after this and up to as long again: 420 instances that are all
  // cut off make 28 to 42 calls a second together.
  duration mStaleRetry = Seconds(10);
  // How long a starting instance waits for the peers that it asked.
  duration mStartPatience = Seconds(1);
  // Peers that are asked at a time, at start and later.
  std::size_t mAskedPeers = 4;
  // A revision that no source could give is tried again after this.
  duration mRetryRevision = Seconds(1);
  std::size_t mParallelFetches = 8;
  // Parts that one instance asks of the platform in a second. 22 readers that
  // all need a whole bundle stay under 2,000 calls.
  std::int64_t mPlatformFetchesPerSecond = 64;

  friend bool operator==(const follower_settings&,
                         const follower_settings&) = default;
};

// An entry instance that is live, this one included or not.
struct follower_member
{
  instance_name mName;
  domain_name mDomain;

  friend bool operator==(const follower_member&,
                         const follower_member&) = default;
};

// Names a call that the owner carries out. Its outcome is reported with the
// same number; an outcome that comes after the follower gave up is ignored.
using call_id = std::uint64_t;

// Read the manifest from the platform, waiting up to `mWait` for a version
// above `mAfter`. Answer by `OnManifestRead`.
struct read_manifest
{
  call_id mCall = 0;
  std::uint64_t mAfter = 0;
  duration mWait{};

  friend bool operator==(const read_manifest&, const read_manifest&) = default;
};

// Get the bytes with this digest: a part from the platform, or a part or a
// manifest from a peer. Answer by `OnFetched`.
struct fetch_bytes
{
  call_id mCall = 0;
  std::string mDigest;
  // Nothing means the platform.
  std::optional<instance_name> mPeer;

  friend bool operator==(const fetch_bytes&, const fetch_bytes&) = default;
};

// Ask a peer for its `config_word`. Answer by `OnPeerAnswered`.
struct ask_peer
{
  call_id mCall = 0;
  instance_name mPeer;

  friend bool operator==(const ask_peer&, const ask_peer&) = default;
};

// Let peers know at once that this version is held whole here, by gossip.
struct announce_version
{
  std::uint64_t mVersion = 0;

  friend bool operator==(const announce_version&,
                         const announce_version&) = default;
};

// Run `ReadBundle` on these bytes, off the data path. Answer by `OnVerdict`.
struct judge_bundle
{
  revision mRevision;
  manifest mManifest;
  // One for each digest of the manifest, in its order.
  std::vector<bytes_ptr> mParts;

  friend bool operator==(const judge_bundle&, const judge_bundle&) = default;
};

// The declarations that `judge_bundle` gave for this revision rule from now on.
struct put_in_force
{
  revision mRevision;

  friend bool operator==(const put_in_force&, const put_in_force&) = default;
};

// To be logged and counted: the revision was refused; the one in force stays.
struct report_refused
{
  revision mRevision;
  faults mFaults;

  friend bool operator==(const report_refused&,
                         const report_refused&) = default;
};

// To be logged and counted: the platform gave a version below the one in force.
// Once for each such version.
struct report_lower
{
  std::uint64_t mVersion = 0;
  revision mInForce;

  friend bool operator==(const report_lower&, const report_lower&) = default;
};

using follower_action = std::variant<read_manifest,
                                     fetch_bytes,
                                     ask_peer,
                                     announce_version,
                                     judge_bundle,
                                     put_in_force,
                                     report_refused,
                                     report_lower>;
using follower_actions = std::vector<follower_action>;

// Outcomes of `read_manifest`.
struct manifest_text
{
  std::uint64_t mVersion = 0;
  std::string mText;
};
struct manifest_unchanged
{
  // The platform's present version, where it says so.
  std::optional<std::uint64_t> mVersion;
};
struct read_failed
{};
using manifest_answer =
  std::variant<manifest_text, manifest_unchanged, read_failed>;

struct follower_counts
{
  std::uint64_t mPlatformReads = 0;
  std::uint64_t mPlatformFetches = 0;
  std::uint64_t mPeerFetches = 0;
  std::uint64_t mFailedCalls = 0;
  // Bytes that didn't have the digest asked for.
  std::uint64_t mWrongBytes = 0;
  // Answers of the platform below the revision in force.
  std::uint64_t mLowerVersions = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mPutInForce = 0;

  friend bool operator==(const follower_counts&,
                         const follower_counts&) = default;
};

struct refused_state
{
  revision mRevision;
  faults mFaults;

  friend bool operator==(const refused_state&, const refused_state&) = default;
};

class config_follower
{
public:
  // `aSeed` drives the choice of peers and the spread of retries.
  config_follower(const follower_settings& aSettings,
                  instance_name aName,
                  domain_name aDomain,
                  std::uint64_t aSeed);

  // Begins. `aPeers` are asked first, up to `mAskedPeers` of them.
  follower_actions Start(std::span<const instance_name> aPeers,
                         time_point aNow);

  // The live instances of all domains, as membership has them now.
  follower_actions SetMembers(std::vector<follower_member> aMembers,
                              time_point aNow);

  follower_actions OnManifestRead(call_id aCall,
                                  const manifest_answer& aAnswer,
                                  time_point aNow);
  // Nothing where the call failed or the other side doesn't hold the bytes.
  follower_actions OnFetched(call_id aCall,
                             std::optional<std::string> aBytes,
                             time_point aNow);
  follower_actions OnPeerAnswered(call_id aCall,
                                  const std::optional<config_word>& aWord,
                                  time_point aNow);
  // What a peer's gossip says.
  follower_actions OnHint(const instance_name& aPeer,
                          const config_hint& aHint,
                          time_point aNow);
  // Nothing in `aFaults` means accepted.
  follower_actions OnVerdict(const revision& aRevision,
                             const faults& aFaults,
                             time_point aNow);

  // Does what falls due.
  follower_actions Advance(time_point aNow);
  std::optional<time_point> NextDue() const;

  // Whether a configuration is in force.
  bool Ready() const { return mInForce.has_value(); }
  std::optional<revision> InForce() const;
  // The newest refused revision above the one in force.
  const std::optional<refused_state>& Refused() const { return mRefused; }
  // What gossip carries.
  config_hint Hint(time_point aNow) const;
  // The answer to a peer that asks.
  config_word Word(time_point aNow) const;
  // Bytes for a peer that asks, or null.
  bytes_ptr Held(std::string_view aDigest) const;
  bool IsReader() const { return mIsReader; }
  const follower_counts& Counts() const { return mCounts; }

private:
  // A revision that may come into force.
  struct candidate
  {
    // Peers that hold it: those of the own domain first, of these the latest to
    // say so.
    std::vector<instance_name> mPeers;
    // Known once the manifest is held.
    std::optional<manifest> mManifest;
    // Failed calls by digest; decides which source is next.
    std::unordered_map<std::string, std::size_t> mTries;
    time_point mNotBefore{};
    bool mAnnounced = false;
  };
  struct held_revision
  {
    revision mRevision;
    manifest mManifest;
  };
  struct pending_read
  {};
  struct pending_fetch
  {
    revision mRevision;
    std::string mDigest;
  };
  struct pending_question
  {
    instance_name mPeer;
  };
  using pending_kind =
    std::variant<pending_read, pending_fetch, pending_question>;
  struct pending_call
  {
    pending_kind mKind;
    time_point mGivenUp{};
  };

  call_id Call(pending_kind aKind, time_point aGivenUp);
  // Takes the call out, or nothing where it is unknown or of another kind.
  template<class kind>
  std::optional<kind> Take(call_id aCall);
  template<class kind>
  std::size_t Pending() const;

  follower_actions Finish(time_point aNow);
  void GiveUpLateCalls(time_point aNow);
  void OnReadFailed(time_point aNow);
  void OnFetchFailed(const pending_fetch& aFetch);
  void OnPlatformVersion(std::uint64_t aVersion, time_point aNow);
  void Heard(const instance_name& aPeer, const config_word& aWord, time_point);
  bool Wanted(const revision& aRevision) const;
  candidate* AddCandidate(const revision& aRevision);
  void AddPeer(const revision& aRevision, const instance_name& aPeer);
  void TakeManifest(const revision& aRevision, candidate& aCandidate);
  void Refuse(const revision& aRevision, const manifest& aManifest, faults);
  void DropWhatIsBelow();
  void RetainBytes();

  void ReadIfDue(time_point aNow);
  bool Collecting(time_point aNow) const;
  void Pursue(time_point aNow);
  void FetchParts(const revision& aRevision,
                  candidate& aCandidate,
                  time_point aNow);
  bool FetchOne(const revision& aRevision,
                candidate& aCandidate,
                const std::string& aDigest,
                time_point aNow);
  bool FetchFromPlatform(const revision& aRevision,
                         candidate& aCandidate,
                         const std::string& aDigest,
                         time_point aNow);
  void Judge(const revision& aRevision, candidate& aCandidate);
  void Ask(const instance_name& aPeer, time_point aNow);
  void AskSomePeers(time_point aNow);
  void Fresh(std::uint64_t aVersion, time_point aWhen);
  bool IsFetching(const std::string& aDigest) const;
  std::uint64_t NewestKnownVersion() const;
  std::uint64_t HeldWholeVersion() const;
  bool InOwnDomain(const instance_name& aPeer) const;
  time_point StaleAt() const;
  void ScheduleReads(time_point aNow);
  duration Spread(duration aLength);

  const follower_settings mSettings;
  const instance_name mName;
  const domain_name mDomain;
  std::mt19937_64 mRandom;

  std::vector<follower_member> mMembers;
  bool mIsReader = true;
  part_store mStore;
  std::map<revision, candidate> mCandidates;
  std::optional<held_revision> mInForce;
  std::optional<refused_state> mRefused;
  manifest mRefusedManifest;
  // Refused revisions above the one in force.
  std::set<revision> mAllRefused;
  std::optional<held_revision> mJudging;
  // The highest revision that a peer said it has in force.
  std::optional<revision> mPeersInForce;
  // The highest version whose manifest is held.
  std::uint64_t mHeldVersion = 0;

  std::optional<time_point> mStarted;
  // Asked peers that haven't answered count as pending questions.
  bool mReadWanted = false;
  // Earliest time of a read that a reader makes or that something needs, and of
  // one for want of a fresh word.
  time_point mNextRead{};
  time_point mNextStaleRead{};
  // When the platform was last known to have nothing higher; nothing before the
  // first word of it.
  std::optional<time_point> mFreshAt;
  // Earliest time of the next part from the platform, and whether one waits.
  time_point mNextPlatformFetch{};
  bool mPlatformFetchWaits = false;
  time_point mLastNow{};
  std::optional<std::uint64_t> mReportedLower;

  call_id mLastCall = 0;
  std::unordered_map<call_id, pending_call> mCalls;
  follower_counts mCounts;
  follower_actions mOut;
};

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_CONFIG_FOLLOWER_H_
