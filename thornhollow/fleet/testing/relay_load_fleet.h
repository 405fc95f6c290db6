// For tests: many relaying instances before many engines in virtual time.
// Placement, admission and what instances tell each other of load are the
// product's own; callers, engines and the network are modelled.
//
//   relay_load_fleet fleet({ .mInstances = 195, .mEngines = 99 }, seed);
//   fleet.Burst(kPlans, 2.2, Seconds(9));
//   fleet.Run(Seconds(12));
//   CHECK(fleet.Got(kBriefs).InTime() >= 0.9);
//
#ifndef THORNHOLLOW_FLEET_TESTING_RELAY_LOAD_FLEET_H_
#define THORNHOLLOW_FLEET_TESTING_RELAY_LOAD_FLEET_H_

#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "thornhollow/base/hash.h"
#include "thornhollow/fleet/relay_peers.h"
#include "thornhollow/fleet/testing/slot_engine.h"
#include "thornhollow/policy/relay_pool.h"

namespace thornhollow {

// What callers ask for, by its promises.
struct load_kind
{
  // Over all instances.
  double mPerSecond = 0;
  duration mTarget{};
  duration mPause{};
  duration mPatience{};
  std::uint32_t mRank = 0;
  double mOwnTokens = 0;
  double mSharedTokens = 0;
  std::uint32_t mSessions = 1;
  double mAnswerTokens = 0;
  // Of sizes: 0 for all alike.
  double mSpread = 0;

  friend bool operator==(const load_kind&, const load_kind&) = default;
};

struct load_shape
{
  int mInstances = 195;
  int mEngines = 99;
  engine_shape mEngine;
  std::vector<load_kind> mKinds;
  relay_pool_settings mPool;
  relay_peer_settings mPeers;

  friend bool operator==(const load_shape&, const load_shape&) = default;
};

// How requests of a kind ended.
struct load_result
{
  int mAsked = 0;
  int mInTime = 0;
  // Answered whole, but begun late or with a pause that was too long.
  int mLate = 0;
  int mRefused = 0;
  int mDeclined = 0;
  // Without an answer when their callers left.
  int mGivenUp = 0;

  double InTime() const
  {
    return mAsked == 0 ? 1 : static_cast<double>(mInTime) / mAsked;
  }
};

class relay_load_fleet
{
public:
  relay_load_fleet(const load_shape& aShape, std::uint64_t aSeed)
    : mShape(aShape)
    , mRandom(aSeed)
    , mEngines(static_cast<std::size_t>(aShape.mEngines),
               slot_engine(aShape.mEngine))
    , mHeld(mEngines.size())
    , mResults(aShape.mKinds.size())
    , mFactors(aShape.mKinds.size(), 1.0)
  {
    for (int each = 0; each < aShape.mInstances; ++each) {
      Add(each, aSeed);
    }
    // All have met.
    for (int each = 0; each < 140; ++each) {
      mNow += kTickEvery;
      for (instance& one : mInstances) {
        Tell(one);
      }
    }
  }

  // From now on `aFactor` times as much of the kind comes.
  void Set(std::size_t aKind, double aFactor) { mFactors.at(aKind) = aFactor; }

  void Run(duration aFor)
  {
    const time_point end = mNow + aFor;
    while (mNow < end) {
      mNow += kStep;
      Arrive();
      Return();
      StepEngines();
      LeaveInVain();
      TickInstances();
    }
  }

  // Forgets what was counted.
  void Count() { mResults.assign(mResults.size(), load_result{}); }

  const load_result& Got(std::size_t aKind) const { return mResults.at(aKind); }

  // By how many engines instances differ about the border, least to most.
  std::pair<std::size_t, std::size_t> BulkEngines() const
  {
    std::pair<std::size_t, std::size_t> found{ mEngines.size(), 0 };
    for (const instance& each : mInstances) {
      found.first = std::min(found.first, each.mPool->BulkEngines());
      found.second = std::max(found.second, each.mPool->BulkEngines());
    }
    return found;
  }

private:
  static constexpr duration kStep = Milliseconds(5);
  static constexpr duration kTickEvery = Milliseconds(100);
  // Of a copy of shared parts between engines, in tokens that are read.
  static constexpr double kCopyTokens = 2'500;
  // As many sessions as an engine's memory holds.
  static constexpr std::size_t kSessionsHeld = 40;

  struct instance
  {
    std::string mAddress;
    domain_name mDomain;
    std::unique_ptr<relay_peers> mPeers;
    std::unique_ptr<relay_pool> mPool;
    time_point mNextTick{};
  };
  struct live
  {
    std::size_t mInstance = 0;
    std::size_t mEngine = 0;
    std::size_t mKind = 0;
    request_profile mWork;
    relay_pick mPick;
    time_point mArrived{};
    bool mBegun = false;
    bool mLate = false;
  };

  struct returning
  {
    live mRequest;
    double mOwn = 0;
    double mAnswer = 0;
  };

  static endpoint_name NameOf(std::size_t aEngine)
  {
    return endpoint_name("engine-" + std::to_string(aEngine));
  }

  void Add(int aNumber, std::uint64_t aSeed)
  {
    instance one;
    const int domain = aNumber % 5;
    one.mAddress =
      "10." + std::to_string(domain) + ".0." + std::to_string(aNumber) + ":7";
    one.mDomain = domain_name("domain-" + std::to_string(domain));
    const std::uint64_t seed =
      aSeed * 1'000 + static_cast<std::uint64_t>(aNumber);
    one.mPeers =
      std::make_unique<relay_peers>(mShape.mPeers,
                                    one.mAddress,
                                    one.mDomain,
                                    std::vector<std::string>{ "10.0.0.0:7" },
                                    seed);
    one.mPool =
      std::make_unique<relay_pool>(mShape.mPool, true, one.mDomain, seed);
    one.mPool->SetSlots(mShape.mEngine.mSlots);
    one.mPool->SetInstances(static_cast<std::size_t>(mShape.mInstances));
    for (std::size_t each = 0; each < mEngines.size(); ++each) {
      mEngineOf[NameOf(each)] = each;
      one.mPool->Put({ NameOf(each), "", one.mDomain, 1, false });
    }
    one.mNextTick = mNow + (aNumber % 20) * kStep;
    mNumberOf[one.mAddress] = mInstances.size();
    mInstances.push_back(std::move(one));
  }

  void Arrive()
  {
    for (std::size_t kind = 0; kind < mShape.mKinds.size(); ++kind) {
      const double mean =
        mShape.mKinds[kind].mPerSecond * mFactors[kind] * ToSeconds(kStep);
      const int arrivals = std::poisson_distribution<int>(mean)(mRandom);
      for (int each = 0; each < arrivals; ++each) {
        Ask(kind);
      }
    }
  }

  double Sized(double aMean, double aSpread)
  {
    // Of the mean asked for, whatever the spread.
    std::normal_distribution<double> log(-aSpread * aSpread / 2, aSpread);
    return std::max(1.0, aMean * std::exp(aSpread > 0 ? log(mRandom) : 0.0));
  }

  void Ask(std::size_t aKind)
  {
    const load_kind& kind = mShape.mKinds[aKind];
    live one;
    one.mKind = aKind;
    one.mInstance = mRandom() % mInstances.size();
    one.mArrived = mNow;
    const std::uint64_t session = mRandom() % kind.mSessions;
    const double own =
      std::min(Sized(kind.mOwnTokens, kind.mSpread), 8 * kind.mOwnTokens);
    one.mWork.mTeam = team_name("team-" + std::to_string(mRandom() % 40));
    one.mWork.mEnginePriority = kind.mRank;
    one.mWork.mSharedTokens = static_cast<std::uint32_t>(kind.mSharedTokens);
    one.mWork.mPromptTokens =
      static_cast<std::uint32_t>(own + kind.mSharedTokens);
    one.mWork.mSharedPrefix = CombineHash(aKind + 1, session + 1);
    one.mWork.mTarget = kind.mTarget;
    one.mWork.mPause = kind.mPause;
    one.mWork.mDeadline = mNow + kind.mPatience;
    ++mResults[aKind].mAsked;
    Offer(one, own, Sized(kind.mAnswerTokens, kind.mSpread / 2));
  }

  // A caller that is refused comes back once, when it was told.
  void Offer(live aOne, double aOwn, double aAnswer)
  {
    const duration left = aOne.mWork.mDeadline - mNow;
    relay_pool& pool = *mInstances[aOne.mInstance].mPool;
    const auto admitted = pool.Admit(aOne.mWork, left, mNow);
    if (const auto* refused = std::get_if<admission_refusal>(&admitted)) {
      if (aOne.mWork.mIsRetry) {
        ++mResults[aOne.mKind].mRefused;
        return;
      }
      aOne.mWork.mIsRetry = true;
      aOne.mInstance = mRandom() % mInstances.size();
      mReturning.emplace(mNow + refused->mRetryAfter,
                         returning{ aOne, aOwn, aAnswer });
      return;
    }
    aOne.mPick = *std::get<std::optional<relay_pick>>(admitted);
    Send(aOne, aOwn, aAnswer);
  }

  void Return()
  {
    while (!mReturning.empty() && mReturning.begin()->first <= mNow) {
      const returning next = mReturning.begin()->second;
      mReturning.erase(mReturning.begin());
      Offer(next.mRequest, next.mOwn, next.mAnswer);
    }
  }

  void Send(live& aOne, double aOwn, double aAnswer)
  {
    relay_pool& pool = *mInstances[aOne.mInstance].mPool;
    aOne.mEngine = mEngineOf.at(aOne.mPick.mEndpoint);
    pool.OnSent(aOne.mPick, aOne.mWork, mNow);
    const double missing = Missing(aOne);
    const engine_request request{
      ++mLastId, aOne.mWork.mEnginePriority, aOwn + missing, aAnswer
    };
    if (!mEngines[aOne.mEngine].Put(request)) {
      pool.OnEnded(
        aOne.mPick, aOne.mWork, attempt_end::kDeclined, false, {}, mNow);
      ++mResults[aOne.mKind].mDeclined;
      return;
    }
    mLive.emplace(mLastId, aOne);
  }

  // Of the shared parts, what the engine has to read, or a copy's worth of it.
  double Missing(const live& aOne)
  {
    std::vector<std::uint64_t>& held = mHeld[aOne.mEngine];
    const std::uint64_t session = aOne.mWork.mSharedPrefix;
    const bool holds = std::erase(held, session) > 0;
    held.push_back(session);
    if (held.size() > kSessionsHeld) {
      held.erase(held.begin());
    }
    const double shared = aOne.mWork.mSharedTokens;
    if (holds) {
      return 0;
    }
    return aOne.mPick.mCopyFrom.empty() ? shared
                                        : std::min(shared, kCopyTokens);
  }

  void StepEngines()
  {
    for (slot_engine& engine : mEngines) {
      for (const engine_event& each : engine.Step(kStep, mNow)) {
        Take(each);
      }
    }
  }

  void Take(const engine_event& aEvent)
  {
    const auto found = mLive.find(aEvent.mId);
    if (found == mLive.end()) {
      return;
    }
    live& one = found->second;
    relay_pool& pool = *mInstances[one.mInstance].mPool;
    const duration since = mNow - one.mArrived;
    if (aEvent.mKind == engine_event_kind::kFirstEvent) {
      one.mBegun = true;
      one.mLate = since > one.mWork.mTarget;
      pool.OnFirstByte(one.mPick, one.mWork, since, mNow);
      return;
    }
    one.mLate = one.mLate || aEvent.mLongestPause > one.mWork.mPause;
    pool.OnEnded(
      one.mPick, one.mWork, attempt_end::kCompleted, true, since, mNow);
    ++(one.mLate ? mResults[one.mKind].mLate : mResults[one.mKind].mInTime);
    mLive.erase(found);
  }

  void LeaveInVain()
  {
    std::erase_if(mLive, [this](const auto& aOne) {
      const live& one = aOne.second;
      if (mNow < one.mWork.mDeadline) {
        return false;
      }
      mEngines[one.mEngine].Cancel(aOne.first);
      mInstances[one.mInstance].mPool->OnEnded(one.mPick,
                                               one.mWork,
                                               attempt_end::kCancelled,
                                               one.mBegun,
                                               mNow - one.mArrived,
                                               mNow);
      ++mResults[one.mKind].mGivenUp;
      return true;
    });
  }

  void TickInstances()
  {
    for (instance& each : mInstances) {
      if (mNow >= each.mNextTick) {
        each.mNextTick = mNow + kTickEvery;
        Tell(each);
        UsePeers(each);
      }
    }
  }

  void TellSums(instance& aOne)
  {
    for (const sums_to_tell& each : aOne.mPeers->SumsToTell(
           { { kPool, aOne.mPool->LocalView(mNow) } }, mNow)) {
      relay_hello hello = Brief(aOne);
      hello.mSums = each.mSums;
      mInstances[mNumberOf.at(each.mAddress)].mPeers->OnHello(hello, mNow);
    }
  }

  void Ask(instance& aOne, const std::vector<std::string>& aOthers)
  {
    for (const std::string& each : aOthers) {
      instance& other = mInstances[mNumberOf.at(each)];
      other.mPeers->OnHello(Brief(aOne), mNow);
      aOne.mPeers->OnHello(Brief(other), mNow);
    }
  }

  static relay_hello Brief(const instance& aOne)
  {
    relay_hello hello;
    hello.mBrief = true;
    hello.mAddress = aOne.mAddress;
    hello.mDomain = aOne.mDomain;
    return hello;
  }

  void Tell(instance& aOne)
  {
    TellSums(aOne);
    const hello_round round = aOne.mPeers->Tick(mNow);
    Ask(aOne, round.mAsked);
    if (round.mWhole.empty()) {
      return;
    }
    relay_hello hello = Brief(aOne);
    hello.mBrief = false;
    hello.mPeers = aOne.mPeers->SomePeers();
    for (const relay_load& each : aOne.mPool->Loads(mNow)) {
      if (each.mPrefillTokens > 0 || each.mInFlight > 0) {
        hello.mWork.push_back({ WorkKey(each.mName),
                                each.mPrefillTokens,
                                each.mPrefillNanoseconds,
                                each.mInFlight });
      }
    }
    hello.mDemand = { { kPool, aOne.mPool->LocalView(mNow) } };
    hello.mWantsAnswer = aOne.mPeers->Alive() == 0;
    for (const std::string& each : round.mWhole) {
      const auto to = mNumberOf.find(each);
      if (to != mNumberOf.end()) {
        mInstances[to->second].mPeers->OnHello(hello, mNow);
      }
    }
  }

  void UsePeers(instance& aOne)
  {
    const auto work = aOne.mPeers->OthersWork(mNow);
    for (const relay_load& each : aOne.mPool->Loads(mNow)) {
      const auto found = work.find(WorkKey(each.mName));
      const endpoint_work its =
        found == work.end() ? endpoint_work{} : found->second;
      aOne.mPool->SetRemoteLoad(
        { each.mName, its.mOpen, its.mToRead, its.mPace }, mNow);
    }
    const auto views =
      aOne.mPeers->AllViews({ { kPool, aOne.mPool->LocalView(mNow) } }, mNow);
    aOne.mPool->SetView(views.at(kPool), mNow);
  }

  inline static const pool_name kPool{ "engines" };

  load_shape mShape;
  std::mt19937_64 mRandom;
  time_point mNow = time_point() + Seconds(1'000);
  std::vector<slot_engine> mEngines;
  // Sessions whose parts each engine holds, the latest last.
  std::vector<std::vector<std::uint64_t>> mHeld;
  std::map<endpoint_name, std::size_t> mEngineOf;
  std::vector<instance> mInstances;
  std::map<std::string, std::size_t> mNumberOf;
  std::map<std::uint64_t, live> mLive;
  std::multimap<time_point, returning> mReturning;
  std::uint64_t mLastId = 0;
  std::vector<load_result> mResults;
  std::vector<double> mFactors;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_RELAY_LOAD_FLEET_H_
