// For tests: many relaying instances and engines under load in virtual time.
// Placement, admission and the exchange of load between instances are
// production code; callers, engines and the network are modelled.
//
//   relay_load_fleet fleet({ .mInstances = 195, .mEngines = 99 }, seed);
//   fleet.SetRateFactor(kPlans, 2.2);
//   fleet.Run(Seconds(12));
//   CHECK(fleet.Result(kBriefs).InTimeFraction() >= 0.9);
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
#include "thornhollow/fleet/load_directory.h"
#include "thornhollow/fleet/relay_peers.h"
#include "thornhollow/fleet/testing/slot_engine.h"
#include "thornhollow/policy/placement/relay_pool.h"

namespace thornhollow {

// Arrivals and objectives of one workload kind.
struct load_profile
{
  // Mean number of request arrivals per second, summed over all instances.
  double mPerSecond = 0;
  duration mTarget{};
  duration mPause{};
  duration mCallerTimeout{};
  std::uint32_t mPriority = 0;
  double mOwnTokens = 0;
  double mSharedTokens = 0;
  std::uint32_t mSessions = 1;
  double mAnswerTokens = 0;
  // Standard deviation of the logarithm of the request sizes; 0 if all sizes
  // are equal.
  double mLengthLogStdDev = 0;

  friend bool operator==(const load_profile&, const load_profile&) = default;
};

struct load_shape
{
  int mInstances = 195;
  int mEngines = 99;
  engine_shape mEngine;
  // Of so many engines one prefills and decodes slower by `mSlowFactor`; 0:
  // none does.
  std::size_t mSlowEvery = 0;
  double mSlowFactor = 1.3;
  // How many engines' loads an instance asks for before it chooses one.
  std::size_t mAskedEngines = 0;
  std::vector<load_profile> mKinds;
  relay_pool_settings mPool;
  relay_peer_settings mPeers;

  friend bool operator==(const load_shape&, const load_shape&) = default;
};

// Outcomes of the requests of a workload kind.
struct load_result
{
  int mRequests = 0;
  int mInTime = 0;
  // Requests that were completed, but started late or with too long a pause.
  int mLate = 0;
  int mRefused = 0;
  int mDeclined = 0;
  // Requests that their callers abandoned at the deadline.
  int mTimedOut = 0;

  double InTimeFraction() const
  {
    return mRequests == 0 ? 1 : static_cast<double>(mInTime) / mRequests;
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
    , mCachedSessions(mEngines.size())
    , mResults(aShape.mKinds.size())
    , mFactors(aShape.mKinds.size(), 1.0)
  {
    for (std::size_t each = 0; aShape.mSlowEvery > 0 && each < mEngines.size();
         each += aShape.mSlowEvery) {
      mEngines[each] = slot_engine(Slower(aShape.mEngine, aShape.mSlowFactor));
    }
    for (int each = 0; each < aShape.mInstances; ++each) {
      Add(each, aSeed);
    }
    // Exchanges hellos until all instances know each other.
    for (int each = 0; each < 140; ++each) {
      mNow += kTickInterval;
      for (instance& one : mInstances) {
        SendHello(one);
      }
    }
  }

  // From now on multiplies the arrival rate of the workload kind by `aFactor`.
  void SetRateFactor(std::size_t aKind, double aFactor)
  {
    mFactors.at(aKind) = aFactor;
  }

  // For `aFor` from now, the first `aEngines` engines turn all requests away
  // and ask for a rest of `kRest` each time.
  void LetRest(std::size_t aEngines, duration aFor)
  {
    mRestingEngines = aEngines;
    mRestingUntil = mNow + aFor;
  }

  void Run(duration aFor)
  {
    const time_point end = mNow + aFor;
    while (mNow < end) {
      mNow += kStep;
      GenerateArrivals();
      SubmitRetries();
      StepEngines();
      CancelExpired();
      TickInstances();
    }
  }

  // Requests that resting engines turned away.
  int TurnedAway() const { return mTurnedAway; }

  // Resets the results of all workload kinds to zero.
  void ResetCounts() { mResults.assign(mResults.size(), load_result{}); }

  const load_result& Result(std::size_t aKind) const
  {
    return mResults.at(aKind);
  }

  // Smallest and largest number of engines that an instance's partition of the
  // engines reserves for bulk work.
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
  static constexpr duration kTickInterval = Milliseconds(100);
  static constexpr duration kRest = Seconds(3);
  // Cost of copying a shared prefix between engines, in prefill tokens.
  static constexpr double kCopyTokens = 2'500;
  // Maximum number of sessions in an engine's prefix cache.
  static constexpr std::size_t kMaxCachedSessions = 40;

  struct instance
  {
    std::string mAddress;
    domain_name mDomain;
    std::unique_ptr<relay_peers> mPeers;
    std::unique_ptr<relay_pool> mPool;
    std::unique_ptr<load_directory> mDirectory;
    time_point mNextTick{};
  };
  struct active_request
  {
    std::size_t mInstance = 0;
    std::size_t mEngine = 0;
    std::size_t mKind = 0;
    request_profile mProfile;
    relay_pick mPick;
    time_point mArrived{};
    bool mStarted = false;
    bool mLate = false;
  };

  struct scheduled_retry
  {
    active_request mRequest;
    double mOwn = 0;
    double mAnswer = 0;
  };

  static engine_shape Slower(engine_shape aShape, double aFactor)
  {
    aShape.mPrefillTokensPerSecond /= aFactor;
    aShape.mStepSeconds *= aFactor;
    return aShape;
  }

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
    one.mDirectory =
      std::make_unique<load_directory>(load_directory_settings{}, one.mAddress);
    one.mPool->SetSlots(mShape.mEngine.mSlots);
    one.mPool->SetInstances(static_cast<std::size_t>(mShape.mInstances));
    for (std::size_t each = 0; each < mEngines.size(); ++each) {
      mEngineIndex[NameOf(each)] = each;
      one.mPool->Put({ NameOf(each), "", one.mDomain, 1, false });
    }
    one.mNextTick = mNow + (aNumber % 20) * kStep;
    mInstanceIndex[one.mAddress] = mInstances.size();
    mInstances.push_back(std::move(one));
  }

  void GenerateArrivals()
  {
    for (std::size_t kind = 0; kind < mShape.mKinds.size(); ++kind) {
      const double mean =
        mShape.mKinds[kind].mPerSecond * mFactors[kind] * ToSeconds(kStep);
      const int arrivals = std::poisson_distribution<int>(mean)(mRandom);
      for (int each = 0; each < arrivals; ++each) {
        CreateRequest(kind);
      }
    }
  }

  double DrawSize(double aMean, double aLogStdDev)
  {
    // The logarithm is shifted so that the mean of the sizes is `aMean` for any
    // standard deviation.
    std::normal_distribution<double> log(-aLogStdDev * aLogStdDev / 2,
                                         aLogStdDev);
    return std::max(1.0, aMean * std::exp(aLogStdDev > 0 ? log(mRandom) : 0.0));
  }

  void CreateRequest(std::size_t aKind)
  {
    const load_profile& kind = mShape.mKinds[aKind];
    active_request one;
    one.mKind = aKind;
    one.mInstance = mRandom() % mInstances.size();
    one.mArrived = mNow;
    const std::uint64_t session = mRandom() % kind.mSessions;
    const double own = std::min(
      DrawSize(kind.mOwnTokens, kind.mLengthLogStdDev), 8 * kind.mOwnTokens);
    one.mProfile.mTeam = team_name("team-" + std::to_string(mRandom() % 40));
    one.mProfile.mEnginePriority = kind.mPriority;
    one.mProfile.mSharedTokens = static_cast<std::uint32_t>(kind.mSharedTokens);
    one.mProfile.mPromptTokens =
      static_cast<std::uint32_t>(own + kind.mSharedTokens);
    one.mProfile.mSharedPrefix = CombineHash(aKind + 1, session + 1);
    one.mProfile.mTarget = kind.mTarget;
    one.mProfile.mPause = kind.mPause;
    one.mProfile.mDeadline = mNow + kind.mCallerTimeout;
    ++mResults[aKind].mRequests;
    Submit(one, own, DrawSize(kind.mAnswerTokens, kind.mLengthLogStdDev / 2));
  }

  // A refused caller retries once, after the delay that the refusal gave.
  void Submit(active_request aRequest, double aOwn, double aAnswer)
  {
    const duration left = aRequest.mProfile.mDeadline - mNow;
    relay_pool& pool = *mInstances[aRequest.mInstance].mPool;
    const auto asked =
      pool.Shortlist(aRequest.mProfile, mShape.mAskedEngines, mNow);
    LearnLoads(mInstances[aRequest.mInstance], asked);
    const auto admitted = pool.Admit(aRequest.mProfile, left, mNow, asked);
    if (const auto* refused = std::get_if<admission_refusal>(&admitted)) {
      if (aRequest.mProfile.mIsRetry) {
        ++mResults[aRequest.mKind].mRefused;
        return;
      }
      aRequest.mProfile.mIsRetry = true;
      aRequest.mInstance = mRandom() % mInstances.size();
      mRetries.emplace(mNow + refused->mRetryAfter,
                       scheduled_retry{ aRequest, aOwn, aAnswer });
      return;
    }
    const auto& pick = std::get<std::optional<relay_pick>>(admitted);
    if (!pick) {
      ++mResults[aRequest.mKind].mDeclined;
      return;
    }
    aRequest.mPick = *pick;
    Send(aRequest, aOwn, aAnswer);
  }

  void SubmitRetries()
  {
    while (!mRetries.empty() && mRetries.begin()->first <= mNow) {
      const scheduled_retry next = mRetries.begin()->second;
      mRetries.erase(mRetries.begin());
      Submit(next.mRequest, next.mOwn, next.mAnswer);
    }
  }

  void Send(active_request& aRequest, double aOwn, double aAnswer)
  {
    relay_pool& pool = *mInstances[aRequest.mInstance].mPool;
    aRequest.mEngine = mEngineIndex.at(aRequest.mPick.mEndpoint);
    pool.OnSent(aRequest.mPick, aRequest.mProfile, mNow);
    ReportLoad(aRequest);
    if (aRequest.mEngine < mRestingEngines && mNow < mRestingUntil) {
      TurnAway(aRequest, aOwn, aAnswer);
      return;
    }
    const double uncached = UncachedTokens(aRequest);
    const engine_request request{
      ++mLastId, aRequest.mProfile.mEnginePriority, aOwn + uncached, aAnswer
    };
    if (!mEngines[aRequest.mEngine].TrySubmit(request)) {
      pool.OnEnded(aRequest.mPick,
                   aRequest.mProfile,
                   attempt_end::kDeclined,
                   false,
                   {},
                   mNow);
      ReportLoad(aRequest);
      ++mResults[aRequest.mKind].mDeclined;
      return;
    }
    mActive.emplace(mLastId, aRequest);
  }

  // The request goes to another engine at once, if there is one.
  void TurnAway(active_request& aRequest, double aOwn, double aAnswer)
  {
    ++mTurnedAway;
    instance& at = mInstances[aRequest.mInstance];
    at.mPool->OnEnded(aRequest.mPick,
                      aRequest.mProfile,
                      attempt_end::kDeclined,
                      false,
                      {},
                      mNow);
    at.mPool->Put(
      { aRequest.mPick.mEndpoint, "", at.mDomain, 1, false, mNow + kRest });
    const auto pick =
      at.mPool->Choose(aRequest.mProfile, { aRequest.mPick.mEndpoint }, mNow);
    if (!pick) {
      ++mResults[aRequest.mKind].mDeclined;
      return;
    }
    aRequest.mPick = *pick;
    Send(aRequest, aOwn, aAnswer);
  }

  // Messages of the directory arrive at once.
  void ReportLoad(const active_request& aRequest)
  {
    if (mShape.mAskedEngines == 0) {
      return;
    }
    instance& from = mInstances[aRequest.mInstance];
    const auto load = from.mPool->LoadAt(aRequest.mPick);
    const auto report =
      from.mDirectory->SetOwn({ .mEndpoint = EndpointHash(load->mName),
                                .mPrefillTokens = load->mPrefillTokens,
                                .mInFlight = load->mInFlight },
                              mNow);
    if (report) {
      DirectoryAt(report->mAddress)
        .OnMessage(from.mAddress, report->mMessage, mNow);
    }
  }

  load_directory& DirectoryAt(const std::string& aAddress)
  {
    return *mInstances[mInstanceIndex.at(aAddress)].mDirectory;
  }

  void LearnLoads(instance& aInstance,
                  const std::vector<endpoint_name>& aEngines)
  {
    std::vector<endpoint_hash> hashes;
    hashes.reserve(aEngines.size());
    for (const endpoint_name& each : aEngines) {
      hashes.push_back(EndpointHash(each));
    }
    load_inquiry inquiry = aInstance.mDirectory->Ask(hashes, mNow);
    std::vector<reported_load> loads = std::move(inquiry.mKnown);
    for (const outgoing_load& each : inquiry.mQuestions) {
      const auto answer = DirectoryAt(each.mAddress)
                            .OnMessage(aInstance.mAddress, each.mMessage, mNow);
      if (answer) {
        aInstance.mDirectory->OnAnswer(each.mAddress, *answer);
        loads.insert(loads.end(), answer->mLoads.begin(), answer->mLoads.end());
      }
    }
    aInstance.mDirectory->GiveUp(inquiry.mNumber, mNow);
    for (std::size_t each = 0; each < hashes.size(); ++each) {
      const auto found =
        std::ranges::find(loads, hashes[each], &reported_load::mEndpoint);
      if (found != loads.end()) {
        aInstance.mPool->SetRemoteLoad(
          { .mName = aEngines[each],
            .mInFlight = found->mInFlight,
            .mPrefillTokens = found->mPrefillTokens },
          mNow);
      }
    }
  }

  void TickDirectory(instance& aInstance)
  {
    aInstance.mDirectory->SetInstances(aInstance.mPeers->Addresses(), mNow);
    for (const outgoing_load& each : aInstance.mDirectory->Renew(mNow)) {
      DirectoryAt(each.mAddress)
        .OnMessage(aInstance.mAddress, each.mMessage, mNow);
    }
  }

  // Number of tokens of the shared prefix that the engine has to prefill, or
  // the cost of copying the prefix, in prefill tokens, if that cost is lower.
  double UncachedTokens(const active_request& aRequest)
  {
    std::vector<std::uint64_t>& cached = mCachedSessions[aRequest.mEngine];
    const std::uint64_t session = aRequest.mProfile.mSharedPrefix;
    const bool isCached = std::erase(cached, session) > 0;
    cached.push_back(session);
    if (cached.size() > kMaxCachedSessions) {
      cached.erase(cached.begin());
    }
    const double shared = aRequest.mProfile.mSharedTokens;
    if (isCached) {
      return 0;
    }
    return aRequest.mPick.mCopyFrom.empty() ? shared
                                            : std::min(shared, kCopyTokens);
  }

  void StepEngines()
  {
    for (slot_engine& engine : mEngines) {
      for (const engine_event& each : engine.Step(kStep, mNow)) {
        HandleEvent(each);
      }
    }
  }

  void HandleEvent(const engine_event& aEvent)
  {
    const auto found = mActive.find(aEvent.mId);
    if (found == mActive.end()) {
      return;
    }
    active_request& one = found->second;
    relay_pool& pool = *mInstances[one.mInstance].mPool;
    const duration since = mNow - one.mArrived;
    if (aEvent.mKind == engine_event_kind::kFirstEvent) {
      one.mStarted = true;
      one.mLate = since > one.mProfile.mTarget;
      pool.OnFirstByte(one.mPick, one.mProfile, since, mNow);
      ReportLoad(one);
      return;
    }
    one.mLate = one.mLate || aEvent.mMaxPause > one.mProfile.mPause;
    pool.OnEnded(
      one.mPick, one.mProfile, attempt_end::kCompleted, true, since, mNow);
    ReportLoad(one);
    ++(one.mLate ? mResults[one.mKind].mLate : mResults[one.mKind].mInTime);
    mActive.erase(found);
  }

  void CancelExpired()
  {
    std::erase_if(mActive, [this](const auto& aOne) {
      const active_request& one = aOne.second;
      if (mNow < one.mProfile.mDeadline) {
        return false;
      }
      mEngines[one.mEngine].Cancel(aOne.first);
      mInstances[one.mInstance].mPool->OnEnded(one.mPick,
                                               one.mProfile,
                                               attempt_end::kCancelled,
                                               one.mStarted,
                                               mNow - one.mArrived,
                                               mNow);
      ReportLoad(one);
      ++mResults[one.mKind].mTimedOut;
      return true;
    });
  }

  void TickInstances()
  {
    for (instance& each : mInstances) {
      if (mNow >= each.mNextTick) {
        each.mNextTick = mNow + kTickInterval;
        SendHello(each);
        ApplyPeerLoad(each);
        TickDirectory(each);
      }
    }
  }

  void SendAggregation(instance& aInstance)
  {
    for (const outgoing_aggregation& each :
         aInstance.mPeers->AggregationMessages(
           { { kPool, aInstance.mPool->LocalView(mNow) } }, mNow)) {
      relay_hello hello = BriefHello(aInstance);
      hello.mAggregation = each.mMessage;
      mInstances[mInstanceIndex.at(each.mAddress)].mPeers->OnHello(hello, mNow);
    }
  }

  void Probe(instance& aInstance, const std::vector<std::string>& aOthers)
  {
    for (const std::string& each : aOthers) {
      instance& other = mInstances[mInstanceIndex.at(each)];
      other.mPeers->OnHello(BriefHello(aInstance), mNow);
      aInstance.mPeers->OnHello(BriefHello(other), mNow);
    }
  }

  static relay_hello BriefHello(const instance& aInstance)
  {
    relay_hello hello;
    hello.mBrief = true;
    hello.mAddress = aInstance.mAddress;
    hello.mDomain = aInstance.mDomain;
    return hello;
  }

  void SendHello(instance& aInstance)
  {
    SendAggregation(aInstance);
    const hello_round round = aInstance.mPeers->Tick(mNow);
    Probe(aInstance, round.mProbed);
    if (round.mFull.empty()) {
      return;
    }
    relay_hello hello = BriefHello(aInstance);
    hello.mBrief = false;
    hello.mPeers = aInstance.mPeers->SamplePeers();
    for (const relay_load& each : aInstance.mPool->Loads(mNow)) {
      if (each.mPrefillTokens > 0 || each.mInFlight > 0) {
        hello.mLoads.push_back({ EndpointHash(each.mName),
                                 each.mPrefillTokens,
                                 each.mPrefillNanoseconds,
                                 each.mInFlight });
      }
    }
    hello.mDemand = { { kPool, aInstance.mPool->LocalView(mNow) } };
    hello.mWantsAnswer = aInstance.mPeers->Alive() == 0;
    for (const std::string& each : round.mFull) {
      const auto to = mInstanceIndex.find(each);
      if (to != mInstanceIndex.end()) {
        mInstances[to->second].mPeers->OnHello(hello, mNow);
      }
    }
  }

  void ApplyPeerLoad(instance& aInstance)
  {
    const auto work = aInstance.mPeers->RemoteLoad(mNow);
    for (const relay_load& each : aInstance.mPool->Loads(mNow)) {
      const auto found = work.find(EndpointHash(each.mName));
      const reported_load load =
        found == work.end() ? reported_load{} : found->second;
      aInstance.mPool->SetRemoteLoad({ each.mName,
                                       load.mInFlight,
                                       load.mPrefillTokens,
                                       load.mPrefillNanoseconds },
                                     mNow);
    }
    const auto views = aInstance.mPeers->FleetViews(
      { { kPool, aInstance.mPool->LocalView(mNow) } }, mNow);
    aInstance.mPool->SetView(views.at(kPool), mNow);
  }

  inline static const pool_name kPool{ "engines" };

  load_shape mShape;
  std::mt19937_64 mRandom;
  time_point mNow = time_point() + Seconds(1'000);
  std::vector<slot_engine> mEngines;
  // Sessions whose prefixes are cached, indexed by engine; of each engine the
  // most recently used session is last.
  std::vector<std::vector<std::uint64_t>> mCachedSessions;
  std::map<endpoint_name, std::size_t> mEngineIndex;
  std::vector<instance> mInstances;
  std::map<std::string, std::size_t> mInstanceIndex;
  std::map<std::uint64_t, active_request> mActive;
  std::multimap<time_point, scheduled_retry> mRetries;
  std::uint64_t mLastId = 0;
  std::size_t mRestingEngines = 0;
  time_point mRestingUntil{};
  int mTurnedAway = 0;
  std::vector<load_result> mResults;
  std::vector<double> mFactors;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_RELAY_LOAD_FLEET_H_
