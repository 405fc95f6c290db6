// For tests: relaying instances in virtual time that follow one source with
// outages. Followers, mirrors, hellos and requests for copies are production
// code; the source, the latency of calls and the main loop of the daemon are
// modelled.
//
//   silent_source_fleet fleet({ .mDomains = 3, .mPerDomain = 2 }, seed);
//   fleet.Silence(Seconds(20), Seconds(22));
//   fleet.Change(Seconds(22), source_item_type::kConfiguration);
//   fleet.Run(Seconds(40));
//   CHECK(fleet.WorstDelay().mDelay <= silent_source_fleet::kMaxChangeDelay);
#ifndef THORNHOLLOW_FLEET_TESTING_SILENT_SOURCE_FLEET_H_
#define THORNHOLLOW_FLEET_TESTING_SILENT_SOURCE_FLEET_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "thornhollow/discovery/endpoint_roster.h"
#include "thornhollow/discovery/item_mirror.h"
#include "thornhollow/discovery/pending_calls.h"
#include "thornhollow/discovery/source_follower.h"
#include "thornhollow/fleet/copy_requests.h"
#include "thornhollow/fleet/large_copy_limiter.h"
#include "thornhollow/fleet/relay_peers.h"
#include "thornhollow/fleet/testing/fleet_shape.h"
#include "thornhollow/fleet/testing/modelled_instance.h"
#include "thornhollow/fleet/testing/silent_source.h"

namespace thornhollow {

class silent_source_fleet
{
public:
  // A change of an item must be in force at every instance within this time
  // after the source has acknowledged the change.
  static constexpr duration kMaxChangeDelay = Seconds(2);

  silent_source_fleet(const fleet_shape& aShape, std::uint64_t aSeed)
    : mShape(aShape)
    , mRandom(aSeed)
  {
    for (int domain = 0; domain < aShape.mDomains; ++domain) {
      for (int each = 0; each < aShape.mPerDomain; ++each) {
        Add(domain, each, aSeed);
      }
    }
  }

  // Makes the source silent from `aFrom` to `aUntil`, counted from the start of
  // the run. Calls that arrive or are pending at the source while it is silent
  // are never answered, not even afterwards.
  void Silence(duration aFrom, duration aUntil)
  {
    mSource.Silence(mStart + aFrom, mStart + aUntil);
  }

  // Changes one item. The change is acknowledged at `aAt` or, if the source is
  // silent at that time, as soon as the source answers again.
  void Change(duration aAt, source_item_type aType)
  {
    mSource.ScheduleChange(mStart + aAt, aType, "item", false);
  }

  // Makes an endpoint join or leave at `aAt` after the start of the run.
  void Join(duration aAt, int aEndpoint)
  {
    mSource.ScheduleChange(
      mStart + aAt, source_item_type::kEndpoints, NameOf(aEndpoint), false);
  }
  void Leave(duration aAt, int aEndpoint)
  {
    mSource.ScheduleChange(
      mStart + aAt, source_item_type::kEndpoints, NameOf(aEndpoint), true);
  }

  // Isolates a domain: from `aFrom` on, its instances reach the source and each
  // other, but no instance of another domain.
  void IsolateDomain(int aDomain, duration aFrom)
  {
    mIsolatedDomain = aDomain;
    mIsolatedFrom = mStart + aFrom;
  }

  // Makes the source ignore the calls of one instance that arrive or are
  // pending from `aFrom` to `aUntil`.
  void BlockSource(int aInstance, duration aFrom, duration aUntil)
  {
    instance& one = mInstances.at(static_cast<std::size_t>(aInstance));
    one.mBlockedFrom = mStart + aFrom;
    one.mBlockedUntil = mStart + aUntil;
  }

  // Stops the instance at `aAt` without notice to its peers.
  void Stop(int aInstance, duration aAt)
  {
    mInstances.at(static_cast<std::size_t>(aInstance)).mStopsAt = mStart + aAt;
  }

  // Suspends the instance from `aFrom` to `aUntil`. Datagrams to it are lost
  // meanwhile. From `aFrom` on, changes need not be in force at it.
  void Freeze(int aInstance, duration aFrom, duration aUntil)
  {
    Stop(aInstance, aFrom);
    mInstances.at(static_cast<std::size_t>(aInstance)).mWakesAt =
      mStart + aUntil;
  }

  void Run(duration aUntil)
  {
    for (; mNow < mStart + aUntil; mNow += kStep) {
      mSource.Publish(mNow);
      AdvanceTransfers(mInstances,
                       mShape.mLinkBytesPerSecond * ToSeconds(kStep),
                       [this](const instance& aTo, const pending_copy& aCopy) {
                         return HasStarted(aCopy)
                                  ? FindReachable(aTo, aCopy.mFrom)
                                  : nullptr;
                       });
      for (instance& each : mInstances) {
        Step(each);
      }
      UpdateApplied();
    }
  }

  // The longest delay of a configuration change, among those after which the
  // source answered for `kMaxChangeDelay`. A change that has not reached every
  // instance yet counts with its delay so far.
  change_delay WorstDelay() const
  {
    change_delay worst;
    for (const source_change& each : mSource.Changes()) {
      if (each.mType != source_item_type::kConfiguration ||
          mSource.IsSilent(each.mAt, each.mAt + kMaxChangeDelay)) {
        continue;
      }
      const duration delay =
        each.mAppliedEverywhereAt.value_or(mNow) - each.mAt;
      if (delay > worst.mDelay) {
        worst = { each.mAt - mStart, delay };
      }
    }
    return worst;
  }

  // The longest time from the acknowledged removal of an endpoint until no
  // instance sends work to that endpoint. A removal that is not in force
  // everywhere yet counts with its delay so far.
  change_delay WorstLeaveDelay() const
  {
    change_delay worst;
    for (const source_change& each : mSource.Changes()) {
      if (each.mRemoved) {
        const duration delay =
          each.mAppliedEverywhereAt.value_or(mNow) - each.mAt;
        worst = std::max(worst,
                         { each.mAt - mStart, delay },
                         [](const auto& aOne, const auto& aOther) {
                           return aOne.mDelay < aOther.mDelay;
                         });
      }
    }
    return worst;
  }

  // Number of endpoints to which the instance sends work.
  std::size_t EndpointsOf(int aInstance) const
  {
    return mInstances.at(static_cast<std::size_t>(aInstance))
      .mRoster.Endpoints()
      .size();
  }

  // Indices of the instances that are currently readers.
  std::vector<int> Readers() const
  {
    std::vector<int> readers;
    for (std::size_t each = 0; each < mInstances.size(); ++each) {
      if (mInstances[each].mReads && !Stopped(mInstances[each])) {
        readers.push_back(static_cast<int>(each));
      }
    }
    return readers;
  }

  // The largest number of instances that became readers within one second since
  // `aFrom`.
  std::size_t MostNewReadersInASecond(duration aFrom) const
  {
    std::size_t most = 0;
    for (auto first = mNewReaders.begin(); first != mNewReaders.end();
         ++first) {
      if (*first >= mStart + aFrom) {
        const auto last =
          std::upper_bound(first, mNewReaders.end(), *first + Seconds(1));
        most = std::max(most, static_cast<std::size_t>(last - first));
      }
    }
    return most;
  }

  // Number of calls to the source so far.
  std::size_t Calls() const { return mCalls; }

private:
  static constexpr duration kStep = Milliseconds(10);
  static constexpr duration kTickInterval = Milliseconds(100);
  // As in the daemon: the longest wait for the next chunk when an instance
  // copies the source's items from a peer.
  static constexpr duration kCopyTimeout = Milliseconds(600);
  static constexpr double kEndpointBytes = 300;
  // Maximum size in bytes of a copy of the source's items that an instance
  // accepts from a peer; larger copies are rejected.
  static constexpr double kMaxCopyBytes = 1'048'576 + 4'096;
  // As in the daemon: for how long a failure of the source is reported to
  // peers.
  static constexpr duration kFailureReportPeriod = Seconds(5);

  using instance = modelled_instance;
  using subscription = modelled_subscription;

  void Add(int aDomain, int aEach, std::uint64_t aSeed)
  {
    const std::string name =
      "10." + std::to_string(aDomain) + ".0." + std::to_string(aEach) + ":7";
    const domain_name domain("domain-" + std::to_string(aDomain));
    const std::uint64_t seed = aSeed * 10'000 + mInstances.size();
    relay_peer_settings settings;
    settings.mReaders = mShape.mReaders;
    instance one{ name,
                  domain,
                  aDomain,
                  std::make_unique<relay_peers>(
                    settings,
                    name,
                    domain,
                    std::vector<std::string>{
                      "10.0.0.0:7", "10.1.0.0:7", "10.2.0.0:7" },
                    seed),
                  copy_requests(copy_request_settings{}),
                  {},
                  {},
                  mStart + seed % 10 * kStep };
    for (const source_item_type which :
         { source_item_type::kConfiguration, source_item_type::kEndpoints }) {
      one.mSubscriptions.push_back(
        { which,
          source_follower(source_follower_settings{},
                          seed * 2 + one.mSubscriptions.size()),
          {},
          mStart });
    }
    large_copy_limiter_settings copies;
    copies.mLinkBytesPerSecond = mShape.mLinkBytesPerSecond;
    one.mCopyLimiter = large_copy_limiter(copies);
    mInstances.push_back(std::move(one));
  }

  bool Stopped(const instance& aInstance) const
  {
    return mNow >= aInstance.mStopsAt && mNow < aInstance.mWakesAt;
  }

  static std::string NameOf(int aEndpoint)
  {
    return "engine-" + std::to_string(aEndpoint);
  }

  void Step(instance& aInstance)
  {
    if (Stopped(aInstance)) {
      return;
    }
    ProcessCopies(aInstance);
    for (subscription& each : aInstance.mSubscriptions) {
      if (ProcessAnswers(aInstance, each)) {
        SendBriefHello(aInstance, aInstance.mPeers->OnNewRevision());
      }
      if (each.mSendPending && mNow >= each.mSendAt) {
        Send(each, each.mFollower.Start(each.mMirror));
      }
    }
    if (mNow >= aInstance.mNextTick) {
      aInstance.mNextTick = mNow + kTickInterval;
      Tick(aInstance);
    }
  }

  void StartCall(const instance& aInstance,
                 subscription& aSubscription,
                 const source_call& aCall)
  {
    std::ranges::move(aSubscription.mOutstanding,
                      std::back_inserter(aSubscription.mAbandoned));
    aSubscription.mOutstanding.clear();
    aSubscription.mRound.Clear();
    aSubscription.mIdle = !aInstance.mFollowsSource;
    if (aSubscription.mIdle) {
      aSubscription.mSendPending = false;
      aSubscription.mFollower.StopReading();
      return;
    }
    aSubscription.mSendPending = true;
    aSubscription.mSendAt = mNow + aCall.mSendDelay;
    if (aCall.mSendDelay <= duration::zero()) {
      Send(aSubscription, aCall);
    }
  }

  void Send(subscription& aSubscription, const source_call& aCall)
  {
    aSubscription.mSendPending = false;
    aSubscription.mOutstanding.push_back({ aCall, mNow, false });
    aSubscription.mRound.OnSent(aCall, mNow);
    ++mCalls;
  }

  // Handles the answers of the source that have arrived. Returns whether any
  // answer had changes.
  bool ProcessAnswers(instance& aInstance, subscription& aSubscription)
  {
    UpdateCalls(aInstance, aSubscription, aSubscription.mAbandoned);
    UpdateCalls(aInstance, aSubscription, aSubscription.mOutstanding);
    if (std::ranges::any_of(aSubscription.mOutstanding,
                            [this](const outstanding_call& aCall) {
                              return aCall.mLastBytes == mNow;
                            })) {
      aSubscription.mRound.OnBytes(mNow);
    }
    std::erase_if(aSubscription.mAbandoned,
                  [this](const outstanding_call& aCall) {
                    return IsComplete(aCall) || Expired(aCall);
                  });
    if (const auto complete =
          std::ranges::find_if(aSubscription.mOutstanding, IsComplete);
        complete != aSubscription.mOutstanding.end()) {
      const outstanding_call answered = *complete;
      aSubscription.mOutstanding.erase(complete);
      RecordDelay(aSubscription, answered);
      return HandleAnswer(aInstance, aSubscription, answered);
    }
    if (!aSubscription.mOutstanding.empty() &&
        Expired(aSubscription.mOutstanding.back())) {
      Fail(aInstance, aSubscription);
      return false;
    }
    std::erase_if(
      aSubscription.mOutstanding,
      [this](const outstanding_call& aCall) { return Expired(aCall); });
    return false;
  }

  // Starts the answers that are due and marks the calls that will never be
  // answered.
  void UpdateCalls(const instance& aInstance,
                   const subscription& aSubscription,
                   std::vector<outstanding_call>& aCalls)
  {
    const bool blocked =
      mNow >= aInstance.mBlockedFrom && mNow < aInstance.mBlockedUntil;
    for (outstanding_call& each : aCalls) {
      each.mLost = each.mLost || blocked || mSource.IsSilent(mNow, mNow);
      if (!each.mLost && !each.mBytesLeft &&
          AnswerStarts(aSubscription, each)) {
        each.mBytesLeft = AnswerBytes(aSubscription, each);
        each.mAnswerRevision = mSource.Revision();
      }
      if (!each.mLost && each.mBytesLeft) {
        each.mLastBytes = mNow;
      }
    }
  }

  static bool IsComplete(const outstanding_call& aCall)
  {
    return !aCall.mLost && aCall.mBytesLeft && *aCall.mBytesLeft <= 0;
  }

  bool HasStarted(const pending_copy& aCopy) const
  {
    return mNow >= aCopy.mRequestedAt + mShape.mCopyLatency;
  }

  bool Expired(const outstanding_call& aCall) const
  {
    return mNow >=
           std::max(Due(aCall), aCall.mLastBytes) + aCall.mCall.mIdleTimeout;
  }

  // Handles the time-out of the newest call to the source.
  void Fail(const instance& aInstance, subscription& aSubscription)
  {
    std::vector<item_change> none;
    const source_failure failure{ "no answer" };
    StartCall(aInstance,
              aSubscription,
              aSubscription.mOutstanding.back().mCall.mList
                ? aSubscription.mFollower.OnListed(
                    failure, aSubscription.mMirror, none, mNow)
                : aSubscription.mFollower.OnWatched(
                    failure, aSubscription.mMirror, none, mNow));
  }

  static time_point Due(const outstanding_call& aCall)
  {
    return aCall.mSent + aCall.mCall.mWait;
  }

  bool AnswerStarts(const subscription& aSubscription,
                    const outstanding_call& aCall) const
  {
    const bool changes =
      !aCall.mCall.mList &&
      !mSource.ChangesAfter(aSubscription.mType, aCall.mCall.mAfter).empty();
    return mNow >= (changes ? aCall.mSent : Due(aCall)) + mShape.mSourceLatency;
  }

  // Size of the answer of the source, in bytes. The answer to a listing has
  // only the newest configuration; the answer to a watch has every version
  // after the revision that the call named.
  double AnswerBytes(const subscription& aSubscription,
                     const outstanding_call& aCall) const
  {
    if (aSubscription.mType != source_item_type::kConfiguration) {
      return 0;
    }
    const std::size_t documents =
      aCall.mCall.mList
        ? mSource.Listing(aSubscription.mType).mItems.size()
        : mSource.ChangesAfter(aSubscription.mType, aCall.mCall.mAfter).size();
    return static_cast<double>(documents) * mShape.mDocumentBytes *
           mShape.mSourceEncodingRatio;
  }

  void RecordDelay(subscription& aSubscription, const outstanding_call& aCall)
  {
    if (mNow > Due(aCall)) {
      aSubscription.mFollower.RecordDelay(mNow - Due(aCall));
    }
  }

  // Sends another call if the pending one is overdue; as in the daemon, this is
  // checked on each tick.
  void RetryOverdue(subscription& aSubscription)
  {
    if (aSubscription.mRound.IsOverdue(mNow)) {
      Send(aSubscription,
           aSubscription.mFollower.OnOverdue(aSubscription.mMirror, mNow));
    }
  }

  void Suspect(subscription& aSubscription, suspicion_reason aWhy)
  {
    if (!aSubscription.mRound.AllowsProbe(aWhy, mNow)) {
      return;
    }
    if (const auto call = aSubscription.mFollower.OnSuspected(
          aWhy, aSubscription.mMirror, mNow)) {
      Send(aSubscription, *call);
    }
  }

  bool HandleAnswer(instance& aInstance,
                    subscription& aSubscription,
                    const outstanding_call& aCall)
  {
    const source_call& call = aCall.mCall;
    const std::uint64_t upTo = aCall.mAnswerRevision;
    std::vector<item_change> changes;
    const source_call next =
      call.mList ? aSubscription.mFollower.OnListed(
                     mSource.Listing(aSubscription.mType, upTo),
                     aSubscription.mMirror,
                     changes,
                     mNow)
                 : aSubscription.mFollower.OnWatched(
                     source_changes{ mSource.ChangesAfter(
                                       aSubscription.mType, call.mAfter, upTo),
                                     upTo },
                     aSubscription.mMirror,
                     changes,
                     mNow);
    Apply(aInstance, aSubscription.mType, changes);
    StartCall(aInstance, aSubscription, next);
    return !changes.empty();
  }

  void Apply(instance& aInstance,
             source_item_type aType,
             const std::vector<item_change>& aChanges)
  {
    if (aType != source_item_type::kEndpoints) {
      return;
    }
    ReportSourceAnswers(aInstance);
    for (const item_change& each : aChanges) {
      if (each.mValue) {
        listed_endpoint entry;
        entry.mName = endpoint_name(each.mKey);
        aInstance.mRoster.OnListed(entry, mNow);
      } else {
        aInstance.mRoster.OnRemoved(endpoint_name(each.mKey), mNow);
      }
    }
  }

  void Tick(instance& aInstance)
  {
    const auto fails = [](const subscription& aSubscription) {
      return aSubscription.mFollower.Failing();
    };
    if (std::ranges::any_of(aInstance.mSubscriptions, fails)) {
      aInstance.mSourceFailsUntil = mNow + kFailureReportPeriod;
    }
    const bool peerFails = aInstance.mPeers->SourceFailsElsewhere(mNow);
    ReportSourceAnswers(aInstance);
    if (mNow < aInstance.mSourceFailsUntil || peerFails) {
      aInstance.mRoster.OnSourceFailed(mNow);
    }
    const bool reads = aInstance.mPeers->Reads(mNow);
    if (reads && !aInstance.mReads) {
      mNewReaders.push_back(mNow);
    }
    aInstance.mReads = reads;
    aInstance.mFollowsSource =
      aInstance.mReads || aInstance.mRequests.NeedsSource(mNow);
    aInstance.mRoster.Tick(mNow);
    const watch_stagger turn = aInstance.mPeers->Turn(mNow);
    for (subscription& each : aInstance.mSubscriptions) {
      each.mFollower.SetStagger(turn);
      if (!aInstance.mFollowsSource) {
        each.mFollower.StopReading();
        continue;
      }
      if (each.mIdle) {
        StartCall(aInstance, each, each.mFollower.Start(each.mMirror));
      }
      RetryOverdue(each);
      if (std::ranges::any_of(aInstance.mSubscriptions, fails)) {
        Suspect(each, suspicion_reason::kOtherCallFails);
      }
      if (peerFails) {
        Suspect(each, suspicion_reason::kPeerFails);
      }
    }
    const hello_round round = aInstance.mPeers->Tick(mNow);
    SendHello(aInstance, round.mFull, aInstance.mPeers->Alive() == 0);
    SendBriefHello(aInstance, round.mBrief);
    relay_hello probe = BriefHello(aInstance);
    probe.mWantsAnswer = true;
    Send(aInstance, probe, round.mProbed);
    const auto from = aInstance.mRequests.Tick(
      *aInstance.mPeers, KnownRevisions(aInstance), aInstance.mReads, mNow);
    if (from && from->mConfiguration) {
      RequestCopy(aInstance, from->mAddress, 0);
    }
    if (from && from->mEndpoints) {
      RequestCopy(aInstance, from->mAddress, 1);
    }
  }

  // Requests a copy from the peer `aFrom`, which answers as in the daemon.
  void RequestCopy(instance& aInstance,
                   const std::string& aFrom,
                   std::size_t aSubscriptionIndex)
  {
    instance* const from = FindReachable(aInstance, aFrom);
    if (from == nullptr) {
      return;
    }
    const item_mirror& mirror =
      from->mSubscriptions[aSubscriptionIndex].mMirror;
    pending_copy copy;
    copy.mFrom = aFrom;
    copy.mSubscriptionIndex = aSubscriptionIndex;
    copy.mAfter =
      aInstance.mSubscriptions[aSubscriptionIndex].mMirror.Revision();
    copy.mAt = mirror.Revision();
    copy.mRequestedAt = mNow;
    if (copy.mAt <= copy.mAfter) {
      return;
    }
    std::size_t items = 0;
    if (auto changes = mirror.ChangesSince(copy.mAfter)) {
      copy.mChanges = std::move(*changes);
      items = copy.mChanges.size();
    } else {
      copy.mItems = mirror.Items();
      items = copy.mItems->size();
    }
    const double each =
      aSubscriptionIndex == 0 ? mShape.mDocumentBytes : kEndpointBytes;
    copy.mBytesLeft =
      each * static_cast<double>(items) * mShape.mCompressionRatio;
    if (aSubscriptionIndex == 1) {
      copy.mSourceBackFor = from->mRoster.TimeSinceRecovery(mNow);
    }
    if (!from->mCopyLimiter.TryAdmit(static_cast<std::size_t>(copy.mBytesLeft),
                                     mNow)) {
      aInstance.mRequests.OnDeclined();
    } else if (copy.mBytesLeft <= kMaxCopyBytes) {
      aInstance.mCopies.push_back(std::move(copy));
    }
  }

  static known_revisions KnownRevisions(const instance& aInstance)
  {
    return { aInstance.mSubscriptions[0].mMirror.Revision(),
             aInstance.mSubscriptions[1].mMirror.Revision() };
  }

  instance* FindReachable(const instance& aFrom, const std::string& aAddress)
  {
    const auto found =
      std::ranges::find(mInstances, aAddress, &instance::mAddress);
    if (found == mInstances.end()) {
      return nullptr;
    }
    const bool isolated = mIsolatedDomain && mNow >= mIsolatedFrom &&
                          (found->mDomainIndex == *mIsolatedDomain) !=
                            (aFrom.mDomainIndex == *mIsolatedDomain);
    return isolated || Stopped(*found) ? nullptr : &*found;
  }

  void SendHello(instance& aInstance,
                 const std::vector<std::string>& aTo,
                 bool aWantsAnswer)
  {
    relay_hello hello = BriefHello(aInstance);
    hello.mBrief = false;
    hello.mPeers = aInstance.mPeers->SamplePeers();
    hello.mWantsAnswer = aWantsAnswer;
    Send(aInstance, hello, aTo);
  }

  void SendBriefHello(instance& aInstance, const std::vector<std::string>& aTo)
  {
    Send(aInstance, BriefHello(aInstance), aTo);
  }

  relay_hello BriefHello(const instance& aInstance) const
  {
    relay_hello hello;
    hello.mBrief = true;
    hello.mAddress = aInstance.mAddress;
    hello.mDomain = aInstance.mDomain;
    hello.mRevisions =
      aInstance.mPeers->AllReadInDomain()
        ? KnownRevisions(aInstance)
        : known_revisions{
            aInstance.mSubscriptions[0].mMirror.LastChangeRevision(),
            aInstance.mSubscriptions[1].mMirror.LastChangeRevision()
          };
    hello.mSourceFails = mNow < aInstance.mSourceFailsUntil;
    if (const auto answered = SourceAnswered(aInstance)) {
      hello.mSourceAnswerAge = mNow - *answered;
    }
    return hello;
  }

  void Send(instance& aInstance,
            const relay_hello& aHello,
            const std::vector<std::string>& aTo)
  {
    for (const std::string& each : aTo) {
      instance* const to = FindReachable(aInstance, each);
      if (to == nullptr || IsDropped()) {
        continue;
      }
      if (const auto replyTo = to->mPeers->OnHello(aHello, mNow)) {
        SendBriefHello(*to, { *replyTo });
      }
    }
  }

  bool IsDropped()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) <
           mShape.mLossRate;
  }

  void ProcessCopies(instance& aInstance)
  {
    std::vector<pending_copy> complete;
    std::erase_if(aInstance.mCopies, [&](pending_copy& aCopy) {
      if (HasStarted(aCopy) &&
          FindReachable(aInstance, aCopy.mFrom) != nullptr) {
        aCopy.mLastBytes = mNow;
        aInstance.mRequests.OnBytes(CopiedItemsOf(aCopy), mNow);
      }
      const bool isComplete = aCopy.mLastBytes == mNow && aCopy.mBytesLeft <= 0;
      const bool timedOut =
        mNow - std::max(aCopy.mRequestedAt, aCopy.mLastBytes) >= kCopyTimeout;
      if (isComplete || timedOut) {
        aInstance.mRequests.OnEnded(CopiedItemsOf(aCopy));
      }
      if (isComplete) {
        complete.push_back(std::move(aCopy));
      }
      return isComplete || timedOut;
    });
    for (const pending_copy& each : complete) {
      ApplyCopy(aInstance, each);
    }
  }

  static copied_items CopiedItemsOf(const pending_copy& aCopy)
  {
    return aCopy.mSubscriptionIndex == 0 ? copied_items::kConfiguration
                                         : copied_items::kEndpoints;
  }

  void ApplyCopy(instance& aTo, const pending_copy& aCopy)
  {
    subscription& subscription = aTo.mSubscriptions[aCopy.mSubscriptionIndex];
    if (aCopy.mSourceBackFor && !aTo.mFollowsSource) {
      aTo.mRoster.OnRecoveryReported(mNow - *aCopy.mSourceBackFor);
    }
    if (aCopy.mAt <= subscription.mMirror.Revision()) {
      return;
    }
    const auto applied =
      aCopy.mItems ? subscription.mMirror.OnListing(*aCopy.mItems, aCopy.mAt)
                   : subscription.mMirror.OnPeerChanges(
                       aCopy.mChanges, aCopy.mAfter, aCopy.mAt);
    Apply(aTo, subscription.mType, applied);
    if (!applied.empty()) {
      Suspect(subscription, suspicion_reason::kPeerKnewFirst);
      SendBriefHello(aTo, aTo.mPeers->OnNewRevision());
    }
  }

  static std::uint64_t ConfigurationRevision(const instance& aInstance)
  {
    const auto items = aInstance.mSubscriptions[0].mMirror.Items();
    return items.empty() ? 0 : items.front().mRevision;
  }

  void UpdateApplied()
  {
    for (source_change& each : mSource.Changes()) {
      if (!each.mAppliedEverywhereAt && IsAppliedEverywhere(each)) {
        each.mAppliedEverywhereAt = mNow;
      }
    }
  }

  bool IsAppliedEverywhere(const source_change& aChange) const
  {
    return std::ranges::all_of(mInstances, [&](const instance& aInstance) {
      return mNow >= aInstance.mStopsAt || HasApplied(aInstance, aChange);
    });
  }

  static bool HasApplied(const instance& aInstance,
                         const source_change& aChange)
  {
    if (aChange.mRemoved) {
      return !aInstance.mRoster.Contains(endpoint_name(aChange.mKey));
    }
    return ConfigurationRevision(aInstance) >= aChange.mRevision;
  }

  fleet_shape mShape;
  std::mt19937_64 mRandom;
  time_point mStart = time_point() + Seconds(1'000);
  time_point mNow = mStart;
  silent_source mSource;
  std::optional<int> mIsolatedDomain;
  time_point mIsolatedFrom{};
  std::vector<instance> mInstances;
  std::size_t mCalls = 0;
  // When instances became readers, in order.
  std::vector<time_point> mNewReaders;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_SILENT_SOURCE_FLEET_H_
