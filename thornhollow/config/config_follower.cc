#include "thornhollow/config/config_follower.h"

#include <algorithm>
#include <utility>

#include "thornhollow/base/hash.h"
#include "thornhollow/config/sha256.h"

namespace thornhollow {
namespace {

// Sources kept for one revision, and revisions kept at a time: a burst of
// revisions or of peers must not make the follower grow.
constexpr std::size_t kMaxPeersOfCandidate = 4;
constexpr std::size_t kMaxCandidates = 8;
constexpr std::size_t kMaxRefused = 64;

} // namespace

config_follower::config_follower(const follower_settings& aSettings,
                                 instance_name aName,
                                 domain_name aDomain,
                                 std::uint64_t aSeed)
  : mSettings(aSettings)
  , mName(std::move(aName))
  , mDomain(std::move(aDomain))
  , mRandom(aSeed)
{
}

// -- events ----------------------------------------------------------------

follower_actions
config_follower::Start(std::span<const instance_name> aPeers, time_point aNow)
{
  mStarted = aNow;
  mNextRead = aNow;
  mNextStaleRead = aNow;
  for (const instance_name& peer : aPeers) {
    Ask(peer, aNow);
  }
  return Finish(aNow);
}

follower_actions
config_follower::SetMembers(std::vector<follower_member> aMembers,
                            time_point aNow)
{
  mMembers = std::move(aMembers);
  std::vector<std::string_view> names{ mName.Text() };
  for (const follower_member& each : mMembers) {
    if (each.mDomain == mDomain && each.mName != mName) {
      names.push_back(each.mName.Text());
    }
  }
  const auto order = RankByRendezvous(Hash64(mDomain.Text()), names);
  const auto own = std::ranges::find(order, std::size_t{ 0 });
  mIsReader =
    static_cast<std::size_t>(own - order.begin()) < mSettings.mReaders;
  return Finish(aNow);
}

follower_actions
config_follower::OnManifestRead(call_id aCall,
                                const manifest_answer& aAnswer,
                                time_point aNow)
{
  if (!Take<pending_read>(aCall)) {
    return Finish(aNow);
  }
  mReadWanted = false;
  ScheduleReads(aNow);
  if (const auto* text = std::get_if<manifest_text>(&aAnswer)) {
    OnPlatformVersion(text->mVersion, aNow);
    const revision read{ text->mVersion, Sha256Hex(text->mText) };
    if (Wanted(read)) {
      candidate* found = AddCandidate(read);
      if (found != nullptr && !found->mManifest) {
        mStore.Put(read.mDigest, text->mText);
        TakeManifest(read, *found);
      }
    }
  } else if (const auto* same = std::get_if<manifest_unchanged>(&aAnswer)) {
    OnPlatformVersion(same->mVersion.value_or(mHeldVersion), aNow);
  } else {
    OnReadFailed(aNow);
  }
  return Finish(aNow);
}

follower_actions
config_follower::OnFetched(call_id aCall,
                           std::optional<std::string> aBytes,
                           time_point aNow)
{
  const auto fetch = Take<pending_fetch>(aCall);
  if (!fetch) {
    return Finish(aNow);
  }
  if (!aBytes) {
    OnFetchFailed(*fetch);
  } else if (!mStore.Put(fetch->mDigest, std::move(*aBytes))) {
    ++mCounts.mWrongBytes;
    OnFetchFailed(*fetch);
  } else if (const auto found = mCandidates.find(fetch->mRevision);
             found != mCandidates.end() &&
             fetch->mDigest == fetch->mRevision.mDigest) {
    TakeManifest(found->first, found->second);
  }
  return Finish(aNow);
}

follower_actions
config_follower::OnPeerAnswered(call_id aCall,
                                const std::optional<config_word>& aWord,
                                time_point aNow)
{
  if (const auto asked = Take<pending_question>(aCall)) {
    if (aWord) {
      Heard(asked->mPeer, *aWord, aNow);
    } else {
      ++mCounts.mFailedCalls;
      mReadWanted = true;
    }
  }
  return Finish(aNow);
}

follower_actions
config_follower::OnHint(const instance_name& aPeer,
                        const config_hint& aHint,
                        time_point aNow)
{
  if (!mStarted) {
    return {};
  }
  if (aHint.mNewest > 0 && aHint.mPlatformAge) {
    Fresh(aHint.mNewest, aNow - *aHint.mPlatformAge);
  }
  if (aHint.mNewest > HeldWholeVersion()) {
    Ask(aPeer, aNow);
  }
  return Finish(aNow);
}

follower_actions
config_follower::OnVerdict(const revision& aRevision,
                           const faults& aFaults,
                           time_point aNow)
{
  if (!mJudging || mJudging->mRevision != aRevision) {
    return Finish(aNow);
  }
  const held_revision judged = std::move(*mJudging);
  mJudging.reset();
  if (!aFaults.empty()) {
    Refuse(judged.mRevision, judged.mManifest, aFaults);
    // Peers may have one in force that was skipped here: gossip tells only of
    // the highest.
    AskSomePeers(aNow);
  } else if (!mInForce || judged.mRevision > mInForce->mRevision) {
    mInForce = judged;
    ++mCounts.mPutInForce;
    mOut.emplace_back(put_in_force{ judged.mRevision });
    DropWhatIsBelow();
  }
  RetainBytes();
  return Finish(aNow);
}

follower_actions
config_follower::Advance(time_point aNow)
{
  return Finish(aNow);
}

// -- what is known ---------------------------------------------------------

std::optional<revision>
config_follower::InForce() const
{
  return mInForce ? std::optional(mInForce->mRevision) : std::nullopt;
}

config_word
config_follower::Word(time_point aNow) const
{
  config_word word{ InForce(),
                    InForce(),
                    mFreshAt ? aNow - *mFreshAt : kUnknownAge };
  if (mRefused) {
    word.mNewest = std::max(word.mNewest, std::optional(mRefused->mRevision));
  }
  // What is being judged is held whole, so peers may fetch it already.
  if (mJudging) {
    word.mNewest = std::max(word.mNewest, std::optional(mJudging->mRevision));
  }
  return word;
}

config_hint
config_follower::Hint(time_point aNow) const
{
  return { HeldWholeVersion(),
           mFreshAt ? std::optional(aNow - *mFreshAt) : std::nullopt };
}

std::uint64_t
config_follower::HeldWholeVersion() const
{
  const config_word word = Word(*mStarted);
  return word.mNewest ? word.mNewest->mVersion : 0;
}

bytes_ptr
config_follower::Held(std::string_view aDigest) const
{
  return mStore.Find(aDigest);
}

std::uint64_t
config_follower::NewestKnownVersion() const
{
  std::uint64_t newest = mInForce ? mInForce->mRevision.mVersion : 0;
  if (!mCandidates.empty()) {
    newest = std::max(newest, mCandidates.rbegin()->first.mVersion);
  }
  if (!mAllRefused.empty()) {
    newest = std::max(newest, mAllRefused.rbegin()->mVersion);
  }
  return newest;
}

// Whether `aRevision` could still come into force here.
bool
config_follower::Wanted(const revision& aRevision) const
{
  return (!mInForce || aRevision > mInForce->mRevision) &&
         !mAllRefused.contains(aRevision);
}

void
config_follower::Heard(const instance_name& aPeer,
                       const config_word& aWord,
                       time_point aNow)
{
  if (aWord.mInForce) {
    mPeersInForce = std::max(mPeersInForce, aWord.mInForce);
    AddPeer(*aWord.mInForce, aPeer);
  }
  if (aWord.mNewest) {
    AddPeer(*aWord.mNewest, aPeer);
  }
  if (aWord.mNewest) {
    Fresh(aWord.mNewest->mVersion, aNow - aWord.mPlatformAge);
  }
}

// Somebody knew at `aWhen` that the platform had nothing above `aVersion`. From
// one that knows less than this instance it proves nothing: it may have asked a
// stale replica.
void
config_follower::Fresh(std::uint64_t aVersion, time_point aWhen)
{
  if (aVersion >= NewestKnownVersion()) {
    mFreshAt = std::max(mFreshAt, std::optional(aWhen));
  }
}

void
config_follower::Ask(const instance_name& aPeer, time_point aNow)
{
  const bool asked = std::ranges::any_of(mCalls, [&](const auto& aEntry) {
    const auto* other = std::get_if<pending_question>(&aEntry.second.mKind);
    return other != nullptr && other->mPeer == aPeer;
  });
  if (aPeer == mName || asked ||
      Pending<pending_question>() >= mSettings.mAskedPeers) {
    return;
  }
  const call_id call =
    Call(pending_question{ aPeer }, aNow + mSettings.mStartPatience);
  mOut.emplace_back(ask_peer{ call, aPeer });
}

void
config_follower::AskSomePeers(time_point aNow)
{
  std::vector<instance_name> peers;
  for (const follower_member& each : mMembers) {
    peers.push_back(each.mName);
  }
  std::ranges::shuffle(peers, mRandom);
  for (const instance_name& peer : peers) {
    Ask(peer, aNow);
  }
}

void
config_follower::AddPeer(const revision& aRevision, const instance_name& aPeer)
{
  candidate* found = Wanted(aRevision) ? AddCandidate(aRevision) : nullptr;
  if (found == nullptr) {
    return;
  }
  auto& peers = found->mPeers;
  if (std::ranges::find(peers, aPeer) == peers.end()) {
    peers.insert(InOwnDomain(aPeer) ? peers.begin() : peers.end(), aPeer);
    peers.resize(std::min(peers.size(), kMaxPeersOfCandidate));
  }
}

// Null where the revision is lower than all of a full list.
config_follower::candidate*
config_follower::AddCandidate(const revision& aRevision)
{
  mCandidates.try_emplace(aRevision);
  if (mCandidates.size() > kMaxCandidates) {
    mCandidates.erase(mCandidates.begin());
  }
  const auto found = mCandidates.find(aRevision);
  return found == mCandidates.end() ? nullptr : &found->second;
}

// The manifest's bytes are held: reads them, or refuses the revision.
void
config_follower::TakeManifest(const revision& aRevision, candidate& aCandidate)
{
  const bytes_ptr held = mStore.Find(aRevision.mDigest);
  mHeldVersion = std::max(mHeldVersion, aRevision.mVersion);
  auto read = ReadManifest(held->mText);
  if (auto* found = std::get_if<faults>(&read)) {
    Refuse(aRevision, {}, std::move(*found));
  } else {
    aCandidate.mManifest = std::get<manifest>(std::move(read));
    // The wait was for the manifest; its parts may be had at once.
    aCandidate.mNotBefore = {};
  }
}

void
config_follower::Refuse(const revision& aRevision,
                        const manifest& aManifest,
                        faults aFaults)
{
  ++mCounts.mRefused;
  mAllRefused.insert(aRevision);
  if (mAllRefused.size() > kMaxRefused) {
    mAllRefused.erase(mAllRefused.begin());
  }
  mOut.emplace_back(report_refused{ aRevision, aFaults });
  if (!mRefused || aRevision > mRefused->mRevision) {
    mRefused = refused_state{ aRevision, std::move(aFaults) };
    mRefusedManifest = aManifest;
  }
  // Last: the argument may be the key itself.
  mCandidates.erase(aRevision);
}

void
config_follower::DropWhatIsBelow()
{
  const revision& inForce = mInForce->mRevision;
  std::erase_if(mCandidates,
                [&](const auto& aEntry) { return aEntry.first <= inForce; });
  std::erase_if(mAllRefused,
                [&](const revision& aEach) { return aEach <= inForce; });
  if (mRefused && mRefused->mRevision <= inForce) {
    mRefused.reset();
    mRefusedManifest = {};
  }
}

// Keeps the bytes of what is in force, of the newest refused revision (peers
// judge it too) and of what is being fetched.
void
config_follower::RetainBytes()
{
  std::unordered_set<std::string_view> wanted;
  const auto want = [&](const revision& aRevision, const manifest& aManifest) {
    wanted.insert(aRevision.mDigest);
    wanted.insert(aManifest.mParts.begin(), aManifest.mParts.end());
  };
  if (mInForce) {
    want(mInForce->mRevision, mInForce->mManifest);
  }
  if (mRefused) {
    want(mRefused->mRevision, mRefusedManifest);
  }
  if (mJudging) {
    want(mJudging->mRevision, mJudging->mManifest);
  }
  for (const auto& [name, each] : mCandidates) {
    if (each.mManifest) {
      want(name, *each.mManifest);
    }
  }
  mStore.Retain(wanted);
}

// -- calls -----------------------------------------------------------------

call_id
config_follower::Call(pending_kind aKind, time_point aGivenUp)
{
  mCalls.emplace(++mLastCall, pending_call{ std::move(aKind), aGivenUp });
  return mLastCall;
}

template<class kind>
std::optional<kind>
config_follower::Take(call_id aCall)
{
  const auto found = mCalls.find(aCall);
  if (found == mCalls.end() ||
      !std::holds_alternative<kind>(found->second.mKind)) {
    return std::nullopt;
  }
  kind taken = std::get<kind>(std::move(found->second.mKind));
  mCalls.erase(found);
  return taken;
}

template<class kind>
std::size_t
config_follower::Pending() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mCalls, [](const auto& aEntry) {
      return std::holds_alternative<kind>(aEntry.second.mKind);
    }));
}

bool
config_follower::IsFetching(const std::string& aDigest) const
{
  return std::ranges::any_of(mCalls, [&](const auto& aEntry) {
    const auto* fetch = std::get_if<pending_fetch>(&aEntry.second.mKind);
    return fetch != nullptr && fetch->mDigest == aDigest;
  });
}

// A connection that went silent gives no outcome, and neither does one of a
// process that was paused: the follower would wait for it for ever. Every call
// therefore ends at a time of its own, and an outcome that comes later finds no
// call any more.
void
config_follower::GiveUpLateCalls(time_point aNow)
{
  std::vector<pending_kind> late;
  for (auto each = mCalls.begin(); each != mCalls.end();) {
    if (each->second.mGivenUp <= aNow) {
      late.push_back(std::move(each->second.mKind));
      each = mCalls.erase(each);
    } else {
      ++each;
    }
  }
  for (const pending_kind& each : late) {
    if (const auto* fetch = std::get_if<pending_fetch>(&each)) {
      OnFetchFailed(*fetch);
    } else if (std::holds_alternative<pending_read>(each)) {
      OnReadFailed(aNow);
    } else {
      ++mCounts.mFailedCalls;
      mReadWanted = true;
    }
  }
}

void
config_follower::OnReadFailed(time_point aNow)
{
  ++mCounts.mFailedCalls;
  ScheduleReads(aNow);
  mNextRead = aNow + Spread(mSettings.mReadRetry);
}

void
config_follower::ScheduleReads(time_point aNow)
{
  mNextRead = mIsReader ? aNow : aNow + Spread(mSettings.mReadRetry);
  mNextStaleRead = aNow + Spread(mSettings.mStaleRetry);
}

time_point
config_follower::StaleAt() const
{
  return std::max(mFreshAt.value_or(*mStarted), *mStarted) +
         mSettings.mStaleAfter;
}

bool
config_follower::InOwnDomain(const instance_name& aPeer) const
{
  const auto found =
    std::ranges::find(mMembers, aPeer, &follower_member::mName);
  return found != mMembers.end() && found->mDomain == mDomain;
}

void
config_follower::OnFetchFailed(const pending_fetch& aFetch)
{
  ++mCounts.mFailedCalls;
  if (const auto found = mCandidates.find(aFetch.mRevision);
      found != mCandidates.end()) {
    ++found->second.mTries[aFetch.mDigest];
  }
}

// The platform answered with its present version. A replica of it that lags, or
// a restore, shows a version below what is in force: following it would take
// back what callers were promised, so it only counts.
void
config_follower::OnPlatformVersion(std::uint64_t aVersion, time_point aNow)
{
  if (mInForce && aVersion < mInForce->mRevision.mVersion) {
    ++mCounts.mLowerVersions;
    if (mReportedLower != aVersion) {
      mReportedLower = aVersion;
      mOut.emplace_back(report_lower{ aVersion, mInForce->mRevision });
    }
  }
  Fresh(aVersion, aNow);
}

// -- what to do next -------------------------------------------------------

follower_actions
config_follower::Finish(time_point aNow)
{
  mLastNow = aNow;
  mPlatformFetchWaits = false;
  if (mStarted) {
    GiveUpLateCalls(aNow);
    if (!Collecting(aNow)) {
      Pursue(aNow);
    }
    ReadIfDue(aNow);
  }
  return std::exchange(mOut, {});
}

// A starting instance first hears what its peers have. Without this, one that
// is restarted beside a stale replica of the platform would put in force what
// the others have long left behind.
bool
config_follower::Collecting(time_point aNow) const
{
  return !mInForce && Pending<pending_question>() > 0 &&
         aNow < *mStarted + mSettings.mStartPatience;
}

void
config_follower::ReadIfDue(time_point aNow)
{
  const bool wanted = (mIsReader || mReadWanted) && aNow >= mNextRead;
  const bool stale = aNow >= StaleAt() && aNow >= mNextStaleRead;
  if ((!wanted && !stale) || Pending<pending_read>() > 0) {
    return;
  }
  ++mCounts.mPlatformReads;
  const call_id call = Call(pending_read{}, aNow + mSettings.mReadTimeout);
  mOut.emplace_back(read_manifest{
    call, mHeldVersion, mIsReader ? mSettings.mWatch : duration::zero() });
}

// Works on the highest revision that can be had. One below what a peer has in
// force is never taken, not even while nothing is in force here.
void
config_follower::Pursue(time_point aNow)
{
  for (auto each = mCandidates.rbegin(); each != mCandidates.rend(); ++each) {
    auto& [name, found] = *each;
    if (mPeersInForce && name < *mPeersInForce &&
        !mAllRefused.contains(*mPeersInForce)) {
      return;
    }
    if (aNow < found.mNotBefore) {
      continue;
    }
    if (!found.mManifest) {
      FetchOne(name, found, name.mDigest, aNow);
    } else {
      FetchParts(name, found, aNow);
    }
    if (aNow >= found.mNotBefore) {
      return;
    }
  }
}

void
config_follower::FetchParts(const revision& aRevision,
                            candidate& aCandidate,
                            time_point aNow)
{
  bool whole = true;
  for (const std::string& digest : aCandidate.mManifest->mParts) {
    if (mStore.Find(digest)) {
      continue;
    }
    whole = false;
    if (!FetchOne(aRevision, aCandidate, digest, aNow)) {
      return;
    }
  }
  if (whole) {
    Judge(aRevision, aCandidate);
  }
}

// Asks the next source for the bytes: each peer that holds the revision, then
// the platform; when all failed, the revision is left for a while. False where
// nothing more can be asked for now.
bool
config_follower::FetchOne(const revision& aRevision,
                          candidate& aCandidate,
                          const std::string& aDigest,
                          time_point aNow)
{
  if (IsFetching(aDigest)) {
    return true;
  }
  if (Pending<pending_fetch>() >= mSettings.mParallelFetches) {
    return false;
  }
  const std::size_t tries = aCandidate.mTries[aDigest];
  const std::size_t peers = aCandidate.mPeers.size();
  if (tries > peers) {
    aCandidate.mTries.clear();
    aCandidate.mNotBefore = aNow + mSettings.mRetryRevision;
    return false;
  }
  if (tries == peers) {
    return FetchFromPlatform(aRevision, aCandidate, aDigest, aNow);
  }
  ++mCounts.mPeerFetches;
  const call_id call =
    Call(pending_fetch{ aRevision, aDigest }, aNow + mSettings.mFetchTimeout);
  mOut.emplace_back(fetch_bytes{ call, aDigest, aCandidate.mPeers[tries] });
  return true;
}

bool
config_follower::FetchFromPlatform(const revision& aRevision,
                                   candidate& aCandidate,
                                   const std::string& aDigest,
                                   time_point aNow)
{
  // The platform gives no manifest by digest, but its present one.
  if (aDigest == aRevision.mDigest) {
    mReadWanted = true;
    aCandidate.mTries.clear();
    aCandidate.mNotBefore = aNow + mSettings.mRetryRevision;
    return false;
  }
  if (aNow < mNextPlatformFetch) {
    mPlatformFetchWaits = true;
    return false;
  }
  mNextPlatformFetch = aNow + Seconds(1) / mSettings.mPlatformFetchesPerSecond;
  ++mCounts.mPlatformFetches;
  const call_id call =
    Call(pending_fetch{ aRevision, aDigest }, aNow + mSettings.mFetchTimeout);
  mOut.emplace_back(fetch_bytes{ call, aDigest, std::nullopt });
  return true;
}

void
config_follower::Judge(const revision& aRevision, candidate& aCandidate)
{
  if (mJudging) {
    return;
  }
  judge_bundle judge{ aRevision, *aCandidate.mManifest, {} };
  for (const std::string& digest : judge.mManifest.mParts) {
    judge.mParts.push_back(mStore.Find(digest));
  }
  mJudging = held_revision{ aRevision, *aCandidate.mManifest };
  mOut.emplace_back(std::move(judge));
  // Peers needn't wait for the verdict here: they come to the same one.
  if (!std::exchange(aCandidate.mAnnounced, true)) {
    mOut.emplace_back(announce_version{ aRevision.mVersion });
  }
}

std::optional<time_point>
config_follower::NextDue() const
{
  if (!mStarted) {
    return std::nullopt;
  }
  std::optional<time_point> due;
  const auto take = [&](time_point aWhen) {
    due = due ? std::min(*due, aWhen) : aWhen;
  };
  for (const auto& [id, call] : mCalls) {
    take(call.mGivenUp);
  }
  if (Pending<pending_read>() == 0) {
    take(mIsReader || mReadWanted ? mNextRead
                                  : std::max(mNextStaleRead, StaleAt()));
  }
  if (mPlatformFetchWaits) {
    take(mNextPlatformFetch);
  }
  for (const auto& [name, each] : mCandidates) {
    if (each.mNotBefore > mLastNow) {
      take(each.mNotBefore);
    }
  }
  return due;
}

// `aLength` and up to as long again, so that instances that failed together
// don't come back together.
duration
config_follower::Spread(duration aLength)
{
  std::uniform_int_distribution<duration::rep> more(0, aLength.count());
  return aLength + duration(more(mRandom));
}

} // namespace thornhollow
