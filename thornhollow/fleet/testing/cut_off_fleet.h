// For tests: relaying instances in virtual time, some of which lose all
// endpoints while callers and the other instances reach them. The belief about
// contact, the choice of an instance to forward to and the hellos are
// production code; callers, connections, endpoints and the network are
// modelled.
//
//   cut_off_fleet fleet({ .mInstances = 30, .mCutOff = 10,
//                         .mFault = cut_fault::kHang }, seed);
//   const cut_off_result result = fleet.Run();
//   CHECK(result.mLater.Share() >= 0.95);
#ifndef THORNHOLLOW_FLEET_TESTING_CUT_OFF_FLEET_H_
#define THORNHOLLOW_FLEET_TESTING_CUT_OFF_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "thornhollow/fleet/forward_choice.h"
#include "thornhollow/fleet/relay_peers.h"
#include "thornhollow/policy/endpoints/endpoint_contact.h"

namespace thornhollow {

// How a cut shows at the instance.
enum class cut_fault : std::uint8_t
{
  // Connections are reset, and new ones refused.
  kReset,
  // Nothing passes, and new connections are never made.
  kHang,
  // Open connections live on, new ones are refused.
  kAlone,
};

struct cut_off_shape
{
  int mInstances = 8;
  int mDomains = 3;
  int mCutOff = 1;
  // Whether the instances that are cut off are those of whole domains.
  bool mByDomain = false;
  cut_fault mFault = cut_fault::kReset;
  double mRequestsPerSecond = 8;
  // Fraction of the hellos that are lost, 0 to 1.
  double mLossRate = 0.02;
  // Without forwarding, to compare with.
  bool mForwards = true;
  // Whether the cut begins before any request came.
  bool mFromStart = false;

  friend bool operator==(const cut_off_shape&, const cut_off_shape&) = default;
};

struct served_counts
{
  int mSent = 0;
  int mServed = 0;

  double Share() const
  {
    return mSent == 0 ? 1 : static_cast<double>(mServed) / mSent;
  }
};

struct cut_off_result
{
  // First tries at the instances that are cut off, in the first three seconds
  // of the cut and later, and at the others all the while.
  served_counts mAtFirst;
  served_counts mLater;
  served_counts mOthers;
  // Longest time from an instance's first request in the cut until it knew of
  // the cut, and from the cut's end until all requests went to endpoints again.
  duration mKnownAfter{};
  duration mDirectAfter{};
  // Instances that believed that they were cut off and were not.
  int mFalseBeliefs = 0;
  // Requests in progress at the most loaded of the others, and their mean.
  std::size_t mMostInProgress = 0;
  double mMeanInProgress = 0;
  // Requests that may run once and ran more often.
  int mRanTwice = 0;
  std::uint64_t mProbes = 0;
};

class cut_off_fleet
{
public:
  cut_off_fleet(const cut_off_shape& aShape, std::uint64_t aSeed)
    : mShape(aShape)
    , mRandom(aSeed)
  {
    for (int each = 0; each < aShape.mInstances; ++each) {
      Add(each, aSeed);
    }
    ChooseCutOff();
    for (std::size_t each = 0; each < mInstances.size(); ++each) {
      At(mNow + Draw(kTick), [this, each] { Tick(each); });
    }
  }

  cut_off_result Run()
  {
    RunUntil(mNow + kSettle);
    mCutAt = mNow + (mShape.mFromStart ? duration::zero() : kBefore);
    mHealAt = mCutAt + kCut;
    const time_point end = mHealAt + kAfter;
    for (std::size_t each = 0; each < mInstances.size(); ++each) {
      Arrive(each, end);
    }
    RunUntil(end);
    return mResult;
  }

private:
  static constexpr duration kTick = Milliseconds(100);
  // Until all instances know each other.
  static constexpr duration kSettle = Seconds(14);
  static constexpr duration kBefore = Seconds(4);
  static constexpr duration kCut = Seconds(12);
  static constexpr duration kAfter = Seconds(4);
  static constexpr duration kAtFirst = Seconds(3);
  static constexpr duration kRoundTrip = Milliseconds(2);
  static constexpr duration kConnectTimeout = Milliseconds(300);
  static constexpr duration kSilenceTimeout = Milliseconds(1'300);
  static constexpr duration kAnswer = Milliseconds(150);
  static constexpr duration kKeptFor = Seconds(3);
  static constexpr std::size_t kEndpoints = 12;
  static constexpr int kMaxUnsent = 6;
  static constexpr int kForwardAfterUnsent = 2;
  static constexpr std::size_t kMaxForwards = 4;

  struct instance
  {
    std::string mAddress;
    domain_name mDomain;
    std::unique_ptr<relay_peers> mPeers;
    endpoint_contact mContact{ endpoint_contact_settings{} };
    std::unique_ptr<forward_choice> mChoice;
    bool mCutOff = false;
    std::size_t mInProgress = 0;
    // When each idle connection to an endpoint was last used.
    std::vector<time_point> mIdle;
    std::optional<time_point> mKnownAt;
    std::optional<time_point> mFirstInCut;
  };

  struct request
  {
    std::size_t mAt = 0;
    bool mRepeatable = false;
    time_point mArrived{};
    int mUnsent = 0;
    int mRuns = 0;
    std::vector<std::string> mTried;
  };
  using request_ptr = std::shared_ptr<request>;

  void Add(int aNumber, std::uint64_t aSeed)
  {
    instance one;
    const int domain = aNumber % mShape.mDomains;
    one.mAddress =
      "10." + std::to_string(domain) + ".0." + std::to_string(aNumber) + ":7";
    one.mDomain = domain_name("domain-" + std::to_string(domain));
    const std::uint64_t seed =
      aSeed * 1'000 + static_cast<std::uint64_t>(aNumber);
    one.mPeers =
      std::make_unique<relay_peers>(relay_peer_settings{},
                                    one.mAddress,
                                    one.mDomain,
                                    std::vector<std::string>{ "10.0.0.0:7" },
                                    seed);
    one.mChoice = std::make_unique<forward_choice>(seed);
    mIndex[one.mAddress] = mInstances.size();
    mInstances.push_back(std::move(one));
  }

  void ChooseCutOff()
  {
    std::vector<std::size_t> order(mInstances.size());
    for (std::size_t each = 0; each < order.size(); ++each) {
      order[each] = each;
    }
    std::ranges::shuffle(order, mRandom);
    if (mShape.mByDomain) {
      std::ranges::stable_sort(order, {}, [this](std::size_t aOne) {
        return static_cast<int>(aOne) % mShape.mDomains;
      });
    }
    for (int each = 0; each < mShape.mCutOff; ++each) {
      mInstances[order[static_cast<std::size_t>(each)]].mCutOff = true;
    }
  }

  void At(time_point aWhen, std::function<void()> aWhat)
  {
    mEvents.emplace(aWhen, std::move(aWhat));
  }

  void RunUntil(time_point aEnd)
  {
    while (!mEvents.empty() && mEvents.begin()->first <= aEnd) {
      mNow = mEvents.begin()->first;
      const auto what = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      what();
    }
    mNow = aEnd;
  }

  duration Draw(duration aMost)
  {
    std::uniform_real_distribution<double> uniform(0, ToSeconds(aMost));
    return FromSeconds(uniform(mRandom));
  }

  bool IsCut(const instance& aInstance) const
  {
    return aInstance.mCutOff && mNow >= mCutAt && mNow < mHealAt;
  }

  void Tick(std::size_t aAt)
  {
    instance& one = mInstances[aAt];
    SendHellos(one);
    ProbeIfDue(aAt);
    CountLoad(one);
    At(mNow + kTick, [this, aAt] { Tick(aAt); });
  }

  void CountLoad(const instance& aInstance)
  {
    const bool counts =
      mNow >= mCutAt && mNow - mCutAt >= kAtFirst && mNow < mHealAt;
    if (aInstance.mCutOff || !counts) {
      return;
    }
    mResult.mMostInProgress =
      std::max(mResult.mMostInProgress, aInstance.mInProgress);
    mLoadSum += static_cast<double>(aInstance.mInProgress);
    mResult.mMeanInProgress = mLoadSum / static_cast<double>(++mLoadCount);
  }

  void SendHellos(instance& aInstance)
  {
    const hello_round round = aInstance.mPeers->Tick(mNow);
    relay_hello hello = FullHello(aInstance);
    hello.mWantsAnswer = aInstance.mPeers->Alive() == 0;
    for (const std::string& each : round.mFull) {
      Deliver(hello, each);
    }
    hello.mBrief = true;
    hello.mWantsAnswer = true;
    for (const std::string& each : round.mProbed) {
      Deliver(hello, each);
    }
  }

  relay_hello FullHello(const instance& aInstance) const
  {
    relay_hello hello;
    hello.mAddress = aInstance.mAddress;
    hello.mDomain = aInstance.mDomain;
    hello.mPeers = aInstance.mPeers->SamplePeers();
    hello.mForwarding.mPort = 9;
    hello.mForwarding.mInProgress =
      static_cast<std::uint32_t>(aInstance.mInProgress);
    if (const auto reached = aInstance.mContact.Reached(mNow)) {
      hello.mForwarding.mContacts = { { PoolHash(kPool), *reached } };
    }
    return hello;
  }

  void Deliver(const relay_hello& aHello, const std::string& aTo)
  {
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto to = mIndex.find(aTo);
    if (to == mIndex.end() || uniform(mRandom) < mShape.mLossRate) {
      return;
    }
    At(mNow + kRoundTrip / 2, [this, aHello, at = to->second] {
      instance& receiver = mInstances[at];
      if (const auto replyTo = receiver.mPeers->OnHello(aHello, mNow)) {
        relay_hello answer = FullHello(receiver);
        answer.mBrief = aHello.mBrief;
        Deliver(answer, *replyTo);
      }
    });
  }

  void ProbeIfDue(std::size_t aAt)
  {
    instance& one = mInstances[aAt];
    for (std::size_t due = one.mContact.TakeProbes(kEndpoints, mNow); due > 0;
         --due) {
      ++mResult.mProbes;
      Connect(aAt, [this, aAt](bool aConnected) {
        instance& probed = mInstances[aAt];
        probed.mContact.OnProbed(aConnected, mNow);
        NoteBelief(probed);
      });
    }
    NoteBelief(one);
  }

  void NoteBelief(instance& aInstance)
  {
    if (aInstance.mContact.State() != contact_state::kLost) {
      return;
    }
    if (!aInstance.mCutOff) {
      ++mResult.mFalseBeliefs;
    } else if (!aInstance.mKnownAt) {
      aInstance.mKnownAt = mNow;
      mResult.mKnownAfter = std::max(
        mResult.mKnownAfter, mNow - aInstance.mFirstInCut.value_or(mNow));
    }
  }

  // Opens a connection; calls `aDone` with whether that succeeded.
  void Connect(std::size_t aAt, std::function<void(bool)> aDone)
  {
    const bool cut = IsCut(mInstances[aAt]);
    const bool hangs = cut && mShape.mFault == cut_fault::kHang;
    At(mNow + (hangs ? kConnectTimeout : kRoundTrip / 2),
       [cut, done = std::move(aDone)] { done(!cut); });
  }

  void Arrive(std::size_t aAt, time_point aEnd)
  {
    std::exponential_distribution<double> gap(mShape.mRequestsPerSecond);
    const time_point when = mNow + FromSeconds(gap(mRandom));
    if (when >= aEnd - Seconds(1)) {
      return;
    }
    At(when, [this, aAt, aEnd] {
      Submit(aAt);
      Arrive(aAt, aEnd);
    });
  }

  void Submit(std::size_t aAt)
  {
    auto made = std::make_shared<request>();
    made->mAt = aAt;
    made->mRepeatable = mRandom() % 2 == 0;
    made->mArrived = mNow;
    if (served_counts* counts = Counts(*made)) {
      ++counts->mSent;
    }
    instance& one = mInstances[aAt];
    ++one.mInProgress;
    if (IsCut(one) && !one.mFirstInCut) {
      one.mFirstInCut = mNow;
    }
    Try(made);
  }

  served_counts* Counts(const request& aRequest)
  {
    if (aRequest.mArrived < mCutAt || aRequest.mArrived >= mHealAt) {
      return nullptr;
    }
    if (!mInstances[aRequest.mAt].mCutOff) {
      return &mResult.mOthers;
    }
    return aRequest.mArrived < mCutAt + kAtFirst ? &mResult.mAtFirst
                                                 : &mResult.mLater;
  }

  void Try(const request_ptr& aRequest)
  {
    instance& one = mInstances[aRequest->mAt];
    std::uniform_real_distribution<double> uniform(0, 1);
    const bool forward =
      mShape.mForwards && aRequest->mTried.size() < kMaxForwards &&
      (aRequest->mUnsent >= kForwardAfterUnsent || !aRequest->mTried.empty() ||
       one.mContact.ShouldForward(uniform(mRandom), mNow));
    if (forward && Forward(aRequest)) {
      return;
    }
    if (aRequest->mUnsent >= kMaxUnsent ||
        (mShape.mForwards && one.mContact.IsConfirmedLost(mNow))) {
      End(aRequest, false);
      return;
    }
    one.mContact.OnSent(mNow);
    if (TakeIdle(one)) {
      Send(aRequest, false);
      return;
    }
    Connect(aRequest->mAt, [this, aRequest](bool aConnected) {
      if (aConnected) {
        Send(aRequest, true);
        return;
      }
      ++aRequest->mUnsent;
      mInstances[aRequest->mAt].mContact.OnEnded();
      mInstances[aRequest->mAt].mContact.OnConnectFailed(mNow);
      ProbeIfDue(aRequest->mAt);
      Try(aRequest);
    });
  }

  // Takes a kept connection. A reset closes all of them, which shows.
  bool TakeIdle(instance& aInstance) const
  {
    std::erase_if(aInstance.mIdle,
                  [this](time_point aUsed) { return mNow - aUsed > kKeptFor; });
    if (IsCut(aInstance) && mShape.mFault == cut_fault::kReset) {
      aInstance.mIdle.clear();
    }
    if (aInstance.mIdle.empty()) {
      return false;
    }
    aInstance.mIdle.pop_back();
    return true;
  }

  void Send(const request_ptr& aRequest, bool aNewConnection)
  {
    instance& one = mInstances[aRequest->mAt];
    if (IsCut(one) && mShape.mFault == cut_fault::kHang) {
      HangOn(aRequest);
      return;
    }
    ++aRequest->mRuns;
    At(mNow + kAnswer + Draw(kAnswer), [this, aRequest, aNewConnection] {
      instance& sender = mInstances[aRequest->mAt];
      sender.mContact.OnEnded();
      if (IsCut(sender) && mShape.mFault != cut_fault::kAlone) {
        Lose(aRequest);
        return;
      }
      sender.mContact.OnAnswer(aNewConnection, mNow);
      sender.mIdle.push_back(mNow);
      End(aRequest, true);
    });
  }

  // The request was sent, and nothing comes: what may be repeated is tried
  // elsewhere, the rest waits in vain.
  void HangOn(const request_ptr& aRequest)
  {
    if (!aRequest->mRepeatable) {
      return;
    }
    At(mNow + kSilenceTimeout, [this, aRequest] {
      mInstances[aRequest->mAt].mContact.OnEnded();
      Lose(aRequest);
    });
  }

  void Lose(const request_ptr& aRequest)
  {
    mInstances[aRequest->mAt].mContact.OnTrouble();
    ProbeIfDue(aRequest->mAt);
    if (aRequest->mRepeatable) {
      Try(aRequest);
    } else {
      End(aRequest, false);
    }
  }

  bool Forward(const request_ptr& aRequest)
  {
    instance& one = mInstances[aRequest->mAt];
    const auto peer = one.mChoice->Choose(one.mPeers->ForwardPeers(kPool, mNow),
                                          aRequest->mTried);
    if (!peer) {
      return false;
    }
    aRequest->mTried.push_back(*peer);
    one.mChoice->OnSent(*peer);
    if (mNow >= mHealAt && one.mCutOff) {
      mResult.mDirectAfter = std::max(mResult.mDirectAfter, mNow - mHealAt);
    }
    const std::string address = peer->substr(0, peer->rfind(':')) + ":7";
    At(mNow + kRoundTrip / 2,
       [this, aRequest, peer = *peer, at = mIndex.at(address)] {
         ServeForwarded(aRequest, peer, at);
       });
    return true;
  }

  void ServeForwarded(const request_ptr& aRequest,
                      const std::string& aPeer,
                      std::size_t aAt)
  {
    instance& peer = mInstances[aAt];
    const bool livesOn = mShape.mFault == cut_fault::kAlone && TakeIdle(peer);
    if ((IsCut(peer) && !livesOn) || peer.mContact.IsConfirmedLost(mNow)) {
      peer.mContact.OnConnectFailed(mNow);
      At(mNow + kRoundTrip / 2, [this, aRequest, aPeer] {
        mInstances[aRequest->mAt].mChoice->OnEnded(aPeer);
        Try(aRequest);
      });
      return;
    }
    ++peer.mInProgress;
    ++aRequest->mRuns;
    At(mNow + kAnswer + Draw(kAnswer), [this, aRequest, aPeer, aAt] {
      --mInstances[aAt].mInProgress;
      mInstances[aAt].mIdle.push_back(mNow);
      mInstances[aRequest->mAt].mChoice->OnEnded(aPeer);
      End(aRequest, true);
    });
  }

  void End(const request_ptr& aRequest, bool aServed)
  {
    --mInstances[aRequest->mAt].mInProgress;
    mResult.mRanTwice += !aRequest->mRepeatable && aRequest->mRuns > 1 ? 1 : 0;
    if (served_counts* counts = Counts(*aRequest); counts && aServed) {
      ++counts->mServed;
    }
  }

  inline static const pool_name kPool{ "engines" };

  cut_off_shape mShape;
  std::mt19937_64 mRandom;
  time_point mNow = time_point() + Seconds(1'000);
  time_point mCutAt = time_point::max();
  time_point mHealAt = time_point::max();
  std::vector<instance> mInstances;
  std::map<std::string, std::size_t> mIndex;
  std::multimap<time_point, std::function<void()>> mEvents;
  double mLoadSum = 0;
  std::uint64_t mLoadCount = 0;
  cut_off_result mResult;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_CUT_OFF_FLEET_H_
