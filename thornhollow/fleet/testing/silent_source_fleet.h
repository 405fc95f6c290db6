// For tests: relaying instances in virtual time that follow one source, which
// falls silent now and then. Their followers, mirrors, hellos and requests for
// each other's copies are the product's own; the source, the time that calls
// take and the daemon's loop are modelled.
//
//   silent_source_fleet fleet({ .mDomains = 3, .mPerDomain = 2 }, seed);
//   fleet.Silence(Seconds(20), Seconds(22));
//   fleet.Change(Seconds(22), followed::kConfiguration);
//   fleet.Run(Seconds(40));
//   CHECK(fleet.Worst().mTook <= silent_source_fleet::kInForceWithin);
//
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
#include "thornhollow/fleet/large_copies.h"
#include "thornhollow/fleet/relay_peers.h"
#include "thornhollow/fleet/testing/fleet_shape.h"
#include "thornhollow/fleet/testing/modelled_instance.h"
#include "thornhollow/fleet/testing/silent_source.h"

namespace thornhollow {

class silent_source_fleet
{
public:
  // In force everywhere within so long of the acknowledgement.
  static constexpr duration kInForceWithin = Seconds(2);

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

  // Times count from the start of the run. While the source is silent, what it
  // is asked and what waits there is never answered, not even afterwards.
  void Silence(duration aFrom, duration aUntil)
  {
    mSource.Silence(mStart + aFrom, mStart + aUntil);
  }

  // A change of one item, acknowledged at that moment, or as soon as the source
  // answers again.
  void Change(duration aAt, followed aWhich)
  {
    mSource.Plan(mStart + aAt, aWhich, "item", false);
  }

  // An endpoint joins, or leaves.
  void Join(duration aAt, int aEndpoint)
  {
    mSource.Plan(mStart + aAt, followed::kEndpoints, NameOf(aEndpoint), false);
  }
  void Leave(duration aAt, int aEndpoint)
  {
    mSource.Plan(mStart + aAt, followed::kEndpoints, NameOf(aEndpoint), true);
  }

  // From then on the domain's instances reach the source and each other only.
  void CutOff(int aDomain, duration aFrom)
  {
    mCutDomain = aDomain;
    mCutFrom = mStart + aFrom;
  }

  // What the instance asks the source meanwhile, and what waits there for it,
  // is never answered.
  void TurnAway(int aInstance, duration aFrom, duration aUntil)
  {
    instance& one = mInstances.at(static_cast<std::size_t>(aInstance));
    one.mTurnedAwayFrom = mStart + aFrom;
    one.mTurnedAwayUntil = mStart + aUntil;
  }

  // The instance is gone from then on, without a word.
  void Stop(int aInstance, duration aAt)
  {
    mInstances.at(static_cast<std::size_t>(aInstance)).mStopsAt = mStart + aAt;
  }

  void Run(duration aUntil)
  {
    for (; mNow < mStart + aUntil; mNow += kStep) {
      mSource.Publish(mNow);
      MoveBytes(mInstances,
                mShape.mLinkBytes * ToSeconds(kStep),
                [this](const instance& aTo, const copy_on_its_way& aCopy) {
                  return Begun(aCopy) ? Reached(aTo, aCopy.mFrom) : nullptr;
                });
      for (instance& each : mInstances) {
        Step(each);
      }
      NoteHeld();
    }
  }

  // The longest delay of a change of the configuration after which the source
  // answered for `kInForceWithin`; one that not all hold yet took until now.
  change_delay Worst() const
  {
    change_delay worst;
    for (const source_change& each : mSource.Changes()) {
      if (each.mWhich != followed::kConfiguration ||
          mSource.Silent(each.mAt, each.mAt + kInForceWithin)) {
        continue;
      }
      const duration took = each.mHeldByAll.value_or(mNow) - each.mAt;
      if (took > worst.mTook) {
        worst = { each.mAt - mStart, took };
      }
    }
    return worst;
  }

  // The longest time from the acknowledged leaving of an endpoint until no
  // instance sends it work; one that some still do took until now.
  change_delay WorstLeaving() const
  {
    change_delay worst;
    for (const source_change& each : mSource.Changes()) {
      if (each.mRemoved) {
        const duration took = each.mHeldByAll.value_or(mNow) - each.mAt;
        worst = std::max(worst,
                         { each.mAt - mStart, took },
                         [](const auto& aOne, const auto& aOther) {
                           return aOne.mTook < aOther.mTook;
                         });
      }
    }
    return worst;
  }

  // Endpoints that the instance sends work to.
  std::size_t EndpointsOf(int aInstance) const
  {
    return mInstances.at(static_cast<std::size_t>(aInstance))
      .mRoster.Endpoints()
      .size();
  }

  // Those that read the source now.
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

  // Calls to the source until now.
  std::size_t Calls() const { return mCalls; }

private:
  static constexpr duration kStep = Milliseconds(10);
  static constexpr duration kTickEvery = Milliseconds(100);
  // As the daemon does: nobody waits longer for a part of a copy.
  static constexpr duration kCopyLimit = Milliseconds(600);
  static constexpr double kEndpointBytes = 300;
  // A longer answer of a peer is refused.
  static constexpr double kMostCopyBytes = 1'048'576 + 4'096;
  // As the daemon does: what it tells its peers of the source.
  static constexpr duration kTellsOfFailure = Seconds(5);

  using instance = modelled_instance;
  using link = modelled_link;

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
    for (const followed which :
         { followed::kConfiguration, followed::kEndpoints }) {
      one.mLinks.push_back({ which,
                             source_follower(source_follower_settings{},
                                             seed * 2 + one.mLinks.size()),
                             {},
                             mStart });
    }
    large_copy_settings copies;
    copies.mLinkBytesPerSecond = mShape.mLinkBytes;
    one.mLargeCopies = large_copies(copies);
    mInstances.push_back(std::move(one));
  }

  bool Stopped(const instance& aOne) const { return mNow >= aOne.mStopsAt; }

  static std::string NameOf(int aEndpoint)
  {
    return "engine-" + std::to_string(aEndpoint);
  }

  void Step(instance& aOne)
  {
    if (Stopped(aOne)) {
      return;
    }
    TakeCopies(aOne);
    for (link& each : aOne.mLinks) {
      if (LookForAnswers(aOne, each)) {
        TellBriefly(aOne, aOne.mPeers->OnNews());
      }
      if (each.mToSend && mNow >= each.mSendAt) {
        Send(each, each.mFollower.Start(each.mMirror));
      }
    }
    if (mNow >= aOne.mNextTick) {
      aOne.mNextTick = mNow + kTickEvery;
      Tick(aOne);
    }
  }

  void Ask(const instance& aOne, link& aLink, const source_call& aCall)
  {
    std::ranges::move(aLink.mOpen, std::back_inserter(aLink.mGivenUp));
    aLink.mOpen.clear();
    aLink.mRound.Clear();
    aLink.mIdle = !aOne.mAsksSource;
    if (aLink.mIdle) {
      aLink.mToSend = false;
      aLink.mFollower.StopReading();
      return;
    }
    aLink.mToSend = true;
    aLink.mSendAt = mNow + aCall.mSendDelay;
    if (aCall.mSendDelay <= duration::zero()) {
      Send(aLink, aCall);
    }
  }

  void Send(link& aLink, const source_call& aCall)
  {
    aLink.mToSend = false;
    aLink.mOpen.push_back({ aCall, mNow, false });
    aLink.mRound.OnSent(aCall, mNow);
    ++mCalls;
  }

  // Whether there was news.
  bool LookForAnswers(instance& aOne, link& aLink)
  {
    LookAt(aOne, aLink, aLink.mGivenUp);
    LookAt(aOne, aLink, aLink.mOpen);
    if (std::ranges::any_of(aLink.mOpen, [this](const open_call& aCall) {
          return aCall.mLastBytes == mNow;
        })) {
      aLink.mRound.OnBytes(mNow);
    }
    std::erase_if(aLink.mGivenUp, [this](const open_call& aCall) {
      return Came(aCall) || Expired(aCall);
    });
    if (const auto came = std::ranges::find_if(aLink.mOpen, Came);
        came != aLink.mOpen.end()) {
      const open_call answered = *came;
      aLink.mOpen.erase(came);
      RecordDelay(aLink, answered);
      return Answer(aOne, aLink, answered);
    }
    if (!aLink.mOpen.empty() && Expired(aLink.mOpen.back())) {
      Fail(aOne, aLink);
      return false;
    }
    std::erase_if(aLink.mOpen,
                  [this](const open_call& aCall) { return Expired(aCall); });
    return false;
  }

  // Answers begin to come, or never will.
  void LookAt(const instance& aOne,
              const link& aLink,
              std::vector<open_call>& aCalls)
  {
    const bool away =
      mNow >= aOne.mTurnedAwayFrom && mNow < aOne.mTurnedAwayUntil;
    for (open_call& each : aCalls) {
      each.mLost = each.mLost || away || mSource.Silent(mNow, mNow);
      if (!each.mLost && !each.mBytesLeft && Begins(aLink, each)) {
        each.mBytesLeft = AnswerBytes(aLink, each);
        each.mTellsUpTo = mSource.At();
      }
      if (!each.mLost && each.mBytesLeft) {
        each.mLastBytes = mNow;
      }
    }
  }

  static bool Came(const open_call& aCall)
  {
    return !aCall.mLost && aCall.mBytesLeft && *aCall.mBytesLeft <= 0;
  }

  bool Begun(const copy_on_its_way& aCopy) const
  {
    return mNow >= aCopy.mAskedAt + mShape.mCopyTakes;
  }

  bool Expired(const open_call& aCall) const
  {
    return mNow >=
           std::max(Due(aCall), aCall.mLastBytes) + aCall.mCall.mIdleTimeout;
  }

  // The newest call is given up.
  void Fail(const instance& aOne, link& aLink)
  {
    std::vector<item_change> none;
    const source_failure failure{ "no answer" };
    Ask(aOne,
        aLink,
        aLink.mOpen.back().mCall.mList
          ? aLink.mFollower.OnListed(failure, aLink.mMirror, none, mNow)
          : aLink.mFollower.OnWatched(failure, aLink.mMirror, none, mNow));
  }

  static time_point Due(const open_call& aOpen)
  {
    return aOpen.mSent + aOpen.mCall.mWait;
  }

  bool Begins(const link& aLink, const open_call& aOpen) const
  {
    const bool news = !aOpen.mCall.mList &&
                      !mSource.After(aLink.mWhich, aOpen.mCall.mAfter).empty();
    return mNow >= (news ? aOpen.mSent : Due(aOpen)) + mShape.mLatency;
  }

  // A listing has the newest configuration, a watch each one since.
  double AnswerBytes(const link& aLink, const open_call& aOpen) const
  {
    if (aLink.mWhich != followed::kConfiguration) {
      return 0;
    }
    const std::size_t documents =
      aOpen.mCall.mList
        ? mSource.Listing(aLink.mWhich).mItems.size()
        : mSource.After(aLink.mWhich, aOpen.mCall.mAfter).size();
    return static_cast<double>(documents) * mShape.mDocumentBytes *
           mShape.mSourceEncoding;
  }

  void RecordDelay(link& aLink, const open_call& aOpen)
  {
    if (mNow > Due(aOpen)) {
      aLink.mFollower.RecordDelay(mNow - Due(aOpen));
    }
  }

  // The daemon looks at each tick.
  void AskBesideOverdue(link& aLink)
  {
    if (aLink.mRound.IsOverdue(mNow)) {
      Send(aLink, aLink.mFollower.OnOverdue(aLink.mMirror, mNow));
    }
  }

  void Doubt(link& aLink, suspicion_reason aWhy)
  {
    if (!aLink.mRound.AllowsProbe(aWhy, mNow)) {
      return;
    }
    if (const auto call =
          aLink.mFollower.OnSuspected(aWhy, aLink.mMirror, mNow)) {
      Send(aLink, *call);
    }
  }

  bool Answer(instance& aOne, link& aLink, const open_call& aOpen)
  {
    const source_call& call = aOpen.mCall;
    const std::uint64_t upTo = aOpen.mTellsUpTo;
    std::vector<item_change> news;
    const source_call next =
      call.mList
        ? aLink.mFollower.OnListed(
            mSource.Listing(aLink.mWhich, upTo), aLink.mMirror, news, mNow)
        : aLink.mFollower.OnWatched(
            source_changes{ mSource.After(aLink.mWhich, call.mAfter, upTo),
                            upTo },
            aLink.mMirror,
            news,
            mNow);
    Apply(aOne, aLink.mWhich, news);
    Ask(aOne, aLink, next);
    return !news.empty();
  }

  void Apply(instance& aOne,
             followed aWhich,
             const std::vector<item_change>& aNews)
  {
    if (aWhich != followed::kEndpoints) {
      return;
    }
    NoteSource(aOne);
    for (const item_change& each : aNews) {
      if (each.mValue) {
        listed_endpoint entry;
        entry.mName = endpoint_name(each.mKey);
        aOne.mRoster.OnListed(entry, mNow);
      } else {
        aOne.mRoster.OnRemoved(endpoint_name(each.mKey), mNow);
      }
    }
  }

  void Tick(instance& aOne)
  {
    const auto fails = [](const link& aLink) {
      return aLink.mFollower.Failing();
    };
    if (std::ranges::any_of(aOne.mLinks, fails)) {
      aOne.mSourceFailsUntil = mNow + kTellsOfFailure;
    }
    const bool peerFails = aOne.mPeers->SourceFailsElsewhere(mNow);
    NoteSource(aOne);
    if (mNow < aOne.mSourceFailsUntil || peerFails) {
      aOne.mRoster.OnSourceFailed(mNow);
    }
    aOne.mReads = aOne.mPeers->Reads(mNow);
    aOne.mAsksSource = aOne.mReads || aOne.mRequests.NeedsSource(mNow);
    aOne.mRoster.Tick(mNow);
    const watch_stagger turn = aOne.mPeers->Turn(mNow);
    for (link& each : aOne.mLinks) {
      each.mFollower.SetStagger(turn);
      if (!aOne.mAsksSource) {
        each.mFollower.StopReading();
        continue;
      }
      if (each.mIdle) {
        Ask(aOne, each, each.mFollower.Start(each.mMirror));
      }
      AskBesideOverdue(each);
      if (std::ranges::any_of(aOne.mLinks, fails)) {
        Doubt(each, suspicion_reason::kOtherCallFails);
      }
      if (peerFails) {
        Doubt(each, suspicion_reason::kPeerFails);
      }
    }
    const hello_round round = aOne.mPeers->Tick(mNow);
    Tell(aOne, round.mWhole, aOne.mPeers->Alive() == 0);
    TellBriefly(aOne, round.mBrief);
    relay_hello asks = BriefHello(aOne);
    asks.mWantsAnswer = true;
    Send(aOne, asks, round.mAsked);
    const auto from =
      aOne.mRequests.Tick(*aOne.mPeers, Known(aOne), aOne.mReads, mNow);
    if (from && from->mConfiguration) {
      AskForCopy(aOne, from->mAddress, 0);
    }
    if (from && from->mEndpoints) {
      AskForCopy(aOne, from->mAddress, 1);
    }
  }

  // The peer answers as the daemon does.
  void AskForCopy(instance& aOne, const std::string& aFrom, std::size_t aWhich)
  {
    instance* const from = Reached(aOne, aFrom);
    if (from == nullptr) {
      return;
    }
    const item_mirror& its = from->mLinks[aWhich].mMirror;
    copy_on_its_way copy;
    copy.mFrom = aFrom;
    copy.mWhich = aWhich;
    copy.mAsked = aOne.mLinks[aWhich].mMirror.Revision();
    copy.mAt = its.Revision();
    copy.mAskedAt = mNow;
    if (copy.mAt <= copy.mAsked) {
      return;
    }
    std::size_t items = 0;
    if (auto changes = its.ChangesSince(copy.mAsked)) {
      copy.mChanges = std::move(*changes);
      items = copy.mChanges.size();
    } else {
      copy.mItems = its.Items();
      items = copy.mItems->size();
    }
    const double each = aWhich == 0 ? mShape.mDocumentBytes : kEndpointBytes;
    copy.mBytesLeft = each * static_cast<double>(items) * mShape.mPacking;
    if (aWhich == 1) {
      copy.mSourceBackFor = from->mRoster.TimeSinceRecovery(mNow);
    }
    if (!from->mLargeCopies.Gives(static_cast<std::size_t>(copy.mBytesLeft),
                                  mNow)) {
      aOne.mRequests.OnPutOff();
    } else if (copy.mBytesLeft <= kMostCopyBytes) {
      aOne.mCopies.push_back(std::move(copy));
    }
  }

  static known_revisions Known(const instance& aOne)
  {
    return { aOne.mLinks[0].mMirror.Revision(),
             aOne.mLinks[1].mMirror.Revision() };
  }

  instance* Reached(const instance& aFrom, const std::string& aAddress)
  {
    const auto found =
      std::ranges::find(mInstances, aAddress, &instance::mAddress);
    if (found == mInstances.end()) {
      return nullptr;
    }
    const bool cut = mCutDomain && mNow >= mCutFrom &&
                     (found->mDomainIndex == *mCutDomain) !=
                       (aFrom.mDomainIndex == *mCutDomain);
    return cut || Stopped(*found) ? nullptr : &*found;
  }

  void Tell(instance& aOne, const std::vector<std::string>& aTo, bool aAsk)
  {
    relay_hello hello = BriefHello(aOne);
    hello.mBrief = false;
    hello.mPeers = aOne.mPeers->SomePeers();
    hello.mWantsAnswer = aAsk;
    Send(aOne, hello, aTo);
  }

  void TellBriefly(instance& aOne, const std::vector<std::string>& aTo)
  {
    Send(aOne, BriefHello(aOne), aTo);
  }

  relay_hello BriefHello(const instance& aOne) const
  {
    relay_hello hello;
    hello.mBrief = true;
    hello.mAddress = aOne.mAddress;
    hello.mDomain = aOne.mDomain;
    hello.mKnown =
      aOne.mPeers->AllReadHere()
        ? Known(aOne)
        : known_revisions{ aOne.mLinks[0].mMirror.LastChangeRevision(),
                           aOne.mLinks[1].mMirror.LastChangeRevision() };
    hello.mSourceFails = mNow < aOne.mSourceFailsUntil;
    if (const auto answered = SourceAnswered(aOne)) {
      hello.mSourceAnswerAge = mNow - *answered;
    }
    return hello;
  }

  void Send(instance& aOne,
            const relay_hello& aHello,
            const std::vector<std::string>& aTo)
  {
    for (const std::string& each : aTo) {
      instance* const to = Reached(aOne, each);
      if (to == nullptr || Lost()) {
        continue;
      }
      if (const auto back = to->mPeers->OnHello(aHello, mNow)) {
        TellBriefly(*to, { *back });
      }
    }
  }

  bool Lost()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < mShape.mLoss;
  }

  void TakeCopies(instance& aOne)
  {
    std::vector<copy_on_its_way> came;
    std::erase_if(aOne.mCopies, [&](copy_on_its_way& aCopy) {
      if (Begun(aCopy) && Reached(aOne, aCopy.mFrom) != nullptr) {
        aCopy.mLastBytes = mNow;
        aOne.mRequests.OnBytes(WhichOf(aCopy), mNow);
      }
      const bool whole = aCopy.mLastBytes == mNow && aCopy.mBytesLeft <= 0;
      const bool late =
        mNow - std::max(aCopy.mAskedAt, aCopy.mLastBytes) >= kCopyLimit;
      if (whole || late) {
        aOne.mRequests.OnEnded(WhichOf(aCopy));
      }
      if (whole) {
        came.push_back(std::move(aCopy));
      }
      return whole || late;
    });
    for (const copy_on_its_way& each : came) {
      TakeCopy(aOne, each);
    }
  }

  static copied_items WhichOf(const copy_on_its_way& aCopy)
  {
    return aCopy.mWhich == 0 ? copied_items::kConfiguration
                             : copied_items::kEndpoints;
  }

  void TakeCopy(instance& aTo, const copy_on_its_way& aCopy)
  {
    link& link = aTo.mLinks[aCopy.mWhich];
    if (aCopy.mSourceBackFor && !aTo.mAsksSource) {
      aTo.mRoster.OnRecoveryReported(mNow - *aCopy.mSourceBackFor);
    }
    if (aCopy.mAt <= link.mMirror.Revision()) {
      return;
    }
    const auto taken =
      aCopy.mItems
        ? link.mMirror.OnListing(*aCopy.mItems, aCopy.mAt)
        : link.mMirror.OnPeerChanges(aCopy.mChanges, aCopy.mAsked, aCopy.mAt);
    Apply(aTo, link.mWhich, taken);
    if (!taken.empty()) {
      Doubt(link, suspicion_reason::kPeerKnewFirst);
      TellBriefly(aTo, aTo.mPeers->OnNews());
    }
  }

  static std::uint64_t Holds(const instance& aOne)
  {
    const auto items = aOne.mLinks[0].mMirror.Items();
    return items.empty() ? 0 : items.front().mRevision;
  }

  void NoteHeld()
  {
    for (source_change& each : mSource.Changes()) {
      if (!each.mHeldByAll && HeldByAll(each)) {
        each.mHeldByAll = mNow;
      }
    }
  }

  bool HeldByAll(const source_change& aChange) const
  {
    return std::ranges::all_of(mInstances, [&](const instance& aOne) {
      return Stopped(aOne) || HeldBy(aOne, aChange);
    });
  }

  static bool HeldBy(const instance& aOne, const source_change& aChange)
  {
    if (aChange.mRemoved) {
      return !aOne.mRoster.Contains(endpoint_name(aChange.mKey));
    }
    return Holds(aOne) >= aChange.mRevision;
  }

  fleet_shape mShape;
  std::mt19937_64 mRandom;
  time_point mStart = time_point() + Seconds(1'000);
  time_point mNow = mStart;
  silent_source mSource;
  std::optional<int> mCutDomain;
  time_point mCutFrom{};
  std::vector<instance> mInstances;
  std::size_t mCalls = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_SILENT_SOURCE_FLEET_H_
