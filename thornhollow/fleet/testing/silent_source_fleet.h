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
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "thornhollow/discovery/item_mirror.h"
#include "thornhollow/discovery/source_follower.h"
#include "thornhollow/fleet/copy_requests.h"
#include "thornhollow/fleet/relay_peers.h"

namespace thornhollow {

enum class followed : std::uint8_t
{
  kConfiguration,
  kEndpoints,
};

struct fleet_shape
{
  int mDomains = 3;
  int mPerDomain = 2;
  // An answer of the source takes so long.
  duration mLatency = Milliseconds(10);

  friend bool operator==(const fleet_shape&, const fleet_shape&) = default;
};

// How long a change took until every instance held it or a newer one.
struct change_delay
{
  duration mAcknowledged{};
  duration mTook{};

  friend bool operator==(const change_delay&, const change_delay&) = default;
};

class silent_source_fleet
{
public:
  // In force everywhere within so long of the acknowledgement.
  static constexpr duration kInForceWithin = Seconds(2);

  silent_source_fleet(const fleet_shape& aShape, std::uint64_t aSeed)
    : mShape(aShape)
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
    mSilences.push_back({ mStart + aFrom, mStart + aUntil });
  }

  // A change of one item, acknowledged at that moment, or as soon as the source
  // answers again.
  void Change(duration aAt, followed aWhich)
  {
    mPlanned.emplace_back(mStart + aAt, aWhich);
  }

  // From then on the domain's instances reach the source and each other only.
  void CutOff(int aDomain, duration aFrom)
  {
    mCutDomain = aDomain;
    mCutFrom = mStart + aFrom;
  }

  // The instance is gone from then on, without a word.
  void Stop(int aInstance, duration aAt)
  {
    mInstances.at(static_cast<std::size_t>(aInstance)).mStopsAt = mStart + aAt;
  }

  void Run(duration aUntil)
  {
    std::ranges::stable_sort(
      mPlanned, {}, &std::pair<time_point, followed>::first);
    for (; mNow < mStart + aUntil; mNow += kStep) {
      Publish();
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
    for (const change& each : mChanges) {
      if (each.mWhich != followed::kConfiguration ||
          Silent(each.mAt, each.mAt + kInForceWithin)) {
        continue;
      }
      const duration took = each.mHeldByAll.value_or(mNow) - each.mAt;
      if (took > worst.mTook) {
        worst = { each.mAt - mStart, took };
      }
    }
    return worst;
  }

  // Calls to the source until now.
  std::size_t Calls() const { return mCalls; }

private:
  static constexpr duration kStep = Milliseconds(10);
  static constexpr duration kTickEvery = Milliseconds(100);
  // As the daemon does: what it tells its peers of the source.
  static constexpr duration kTellsOfFailure = Seconds(5);

  struct span
  {
    time_point mFrom{};
    time_point mUntil{};
  };
  struct change
  {
    followed mWhich{};
    std::uint64_t mRevision = 0;
    time_point mAt{};
    std::optional<time_point> mHeldByAll;
  };
  struct open_call
  {
    source_call mCall;
    time_point mSent{};
    // Waited at the source while that was silent.
    bool mLost = false;
  };
  struct link
  {
    followed mWhich{};
    source_follower mFollower;
    item_mirror mMirror;
    time_point mSendAt{};
    bool mToSend = true;
    // On their way beside each other, the newest last.
    std::vector<open_call> mOpen;
  };
  struct instance
  {
    std::string mAddress;
    domain_name mDomain;
    int mDomainIndex = 0;
    std::unique_ptr<relay_peers> mPeers;
    copy_requests mRequests{ copy_request_settings{} };
    std::vector<link> mLinks;
    time_point mSourceFailsUntil{};
    time_point mNextTick{};
    time_point mStopsAt = time_point::max();
  };

  void Add(int aDomain, int aEach, std::uint64_t aSeed)
  {
    const std::string name =
      "10." + std::to_string(aDomain) + ".0." + std::to_string(aEach) + ":7";
    const domain_name domain("domain-" + std::to_string(aDomain));
    const std::uint64_t seed = aSeed * 10'000 + mInstances.size();
    instance one{ name,
                  domain,
                  aDomain,
                  std::make_unique<relay_peers>(
                    relay_peer_settings{},
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
                             mStart,
                             true,
                             {} });
    }
    mInstances.push_back(std::move(one));
  }

  bool Stopped(const instance& aOne) const { return mNow >= aOne.mStopsAt; }

  // Whether the source is silent at some moment of the two and between.
  bool Silent(time_point aFrom, time_point aUntil) const
  {
    return std::ranges::any_of(mSilences, [&](const span& aOne) {
      return aOne.mFrom <= aUntil && aFrom < aOne.mUntil;
    });
  }

  void Publish()
  {
    while (!mPlanned.empty() && mPlanned.front().first <= mNow &&
           !Silent(mNow, mNow)) {
      mChanges.push_back({ mPlanned.front().second, ++mRevision, mNow, {} });
      mPlanned.erase(mPlanned.begin());
    }
  }

  void Step(instance& aOne)
  {
    if (Stopped(aOne)) {
      return;
    }
    for (link& each : aOne.mLinks) {
      if (LookForAnswers(each)) {
        Tell(aOne, aOne.mPeers->OnNews(), false);
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

  void Ask(link& aLink, const source_call& aCall)
  {
    aLink.mOpen.clear();
    aLink.mToSend = true;
    aLink.mSendAt = mNow + aCall.mPause;
    if (aCall.mPause <= duration::zero()) {
      Send(aLink, aCall);
    }
  }

  void Send(link& aLink, const source_call& aCall)
  {
    aLink.mToSend = false;
    aLink.mOpen.push_back({ aCall, mNow, false });
    ++mCalls;
  }

  // Whether there was news.
  bool LookForAnswers(link& aLink)
  {
    for (open_call& each : aLink.mOpen) {
      each.mLost = each.mLost || Silent(mNow, mNow);
      if (!each.mLost && IsAnswered(aLink, each)) {
        NoteDelay(aLink, each);
        return Answer(aLink, source_call(each.mCall));
      }
    }
    std::erase_if(aLink.mOpen, [this](const open_call& aOne) {
      return mNow >= Due(aOne) + aOne.mCall.mLimit;
    });
    return false;
  }

  static time_point Due(const open_call& aOpen)
  {
    return aOpen.mSent + aOpen.mCall.mWait;
  }

  bool IsAnswered(const link& aLink, const open_call& aOpen) const
  {
    const bool news =
      !aOpen.mCall.mList && !After(aLink.mWhich, aOpen.mCall.mAfter).empty();
    return mNow >= (news ? aOpen.mSent : Due(aOpen)) + mShape.mLatency;
  }

  void NoteDelay(link& aLink, const open_call& aOpen)
  {
    if (mNow > Due(aOpen)) {
      aLink.mFollower.NoteDelay(mNow - Due(aOpen));
    }
  }

  // The daemon looks at each tick.
  void AskBesideOverdue(link& aLink)
  {
    if (aLink.mOpen.empty()) {
      return;
    }
    const open_call& newest = aLink.mOpen.back();
    if (mNow >= Due(newest) + newest.mCall.mPatience) {
      Send(aLink, aLink.mFollower.OnOverdue(aLink.mMirror, mNow));
    }
  }

  void Doubt(link& aLink, watch_doubt aWhy)
  {
    if (aLink.mOpen.empty()) {
      return;
    }
    if (const auto call = aLink.mFollower.OnDoubt(aWhy, aLink.mMirror, mNow)) {
      Send(aLink, *call);
    }
  }

  std::vector<item_change> After(followed aWhich, std::uint64_t aAt) const
  {
    std::vector<item_change> after;
    for (const change& each : mChanges) {
      if (each.mWhich == aWhich && each.mRevision > aAt) {
        after.push_back(
          { "item", std::to_string(each.mRevision), each.mRevision });
      }
    }
    return after;
  }

  bool Answer(link& aLink, const source_call& aCall)
  {
    std::vector<item_change> news;
    const auto changes = After(aLink.mWhich, aCall.mList ? 0 : aCall.mAfter);
    if (!aCall.mList) {
      Ask(aLink,
          aLink.mFollower.OnWatched(
            source_changes{ changes, mRevision }, aLink.mMirror, news, mNow));
      return !news.empty();
    }
    source_listing listing{ {}, mRevision };
    if (!changes.empty()) {
      const item_change& last = changes.back();
      listing.mItems.push_back({ last.mKey, *last.mValue, last.mRevision });
    }
    Ask(aLink, aLink.mFollower.OnListed(listing, aLink.mMirror, news, mNow));
    return !news.empty();
  }

  void Tick(instance& aOne)
  {
    const auto fails = [](const link& aLink) {
      return aLink.mFollower.Failing();
    };
    if (std::ranges::any_of(aOne.mLinks, fails)) {
      aOne.mSourceFailsUntil = mNow + kTellsOfFailure;
    }
    aOne.mPeers->Reads(mNow < aOne.mSourceFailsUntil, mNow);
    const watch_turn turn = aOne.mPeers->Turn();
    const bool peerFails = aOne.mPeers->SourceFailsElsewhere(mNow);
    for (link& each : aOne.mLinks) {
      each.mFollower.SetTurn(turn);
      AskBesideOverdue(each);
      if (std::ranges::any_of(aOne.mLinks, fails)) {
        Doubt(each, watch_doubt::kOtherCallFails);
      }
      if (peerFails) {
        Doubt(each, watch_doubt::kPeerFails);
      }
    }
    Tell(aOne, aOne.mPeers->Tick(mNow), aOne.mPeers->Alive() == 0);
    const auto from =
      aOne.mRequests.Tick(*aOne.mPeers, Known(aOne), true, mNow);
    if (from) {
      Copy(aOne, *from);
    }
  }

  static known_revisions Known(const instance& aOne)
  {
    return { aOne.mLinks[0].mMirror.At(), aOne.mLinks[1].mMirror.At() };
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
    relay_hello hello;
    hello.mAddress = aOne.mAddress;
    hello.mDomain = aOne.mDomain;
    hello.mKnown = Known(aOne);
    hello.mPeers = aOne.mPeers->SomePeers();
    hello.mWantsAnswer = aAsk;
    hello.mSourceFails = mNow < aOne.mSourceFailsUntil;
    for (const std::string& each : aTo) {
      instance* const to = Reached(aOne, each);
      if (to == nullptr) {
        continue;
      }
      if (const auto back = to->mPeers->OnHello(hello, mNow)) {
        Tell(*to, { *back }, false);
      }
    }
  }

  void Copy(instance& aTo, const std::string& aFrom)
  {
    const instance* const from = Reached(aTo, aFrom);
    if (from == nullptr) {
      return;
    }
    bool news = false;
    for (std::size_t which = 0; which < aTo.mLinks.size(); ++which) {
      const item_mirror& its = from->mLinks[which].mMirror;
      link& link = aTo.mLinks[which];
      if (its.At() > link.mMirror.At() &&
          !link.mMirror.OnListing(its.Items(), its.At()).empty()) {
        Doubt(link, watch_doubt::kPeerKnewFirst);
        news = true;
      }
    }
    if (news) {
      Tell(aTo, aTo.mPeers->OnNews(), false);
    }
  }

  static std::uint64_t Holds(const instance& aOne)
  {
    const auto items = aOne.mLinks[0].mMirror.Items();
    return items.empty() ? 0 : items.front().mRevision;
  }

  void NoteHeld()
  {
    for (change& each : mChanges) {
      if (!each.mHeldByAll && HeldByAll(each.mRevision)) {
        each.mHeldByAll = mNow;
      }
    }
  }

  bool HeldByAll(std::uint64_t aRevision) const
  {
    return std::ranges::all_of(mInstances, [&](const instance& aOne) {
      return Stopped(aOne) || Holds(aOne) >= aRevision;
    });
  }

  fleet_shape mShape;
  time_point mStart = time_point() + Seconds(1'000);
  time_point mNow = mStart;
  std::vector<span> mSilences;
  std::vector<std::pair<time_point, followed>> mPlanned;
  std::vector<change> mChanges;
  std::uint64_t mRevision = 1;
  std::optional<int> mCutDomain;
  time_point mCutFrom{};
  std::vector<instance> mInstances;
  std::size_t mCalls = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_SILENT_SOURCE_FLEET_H_
