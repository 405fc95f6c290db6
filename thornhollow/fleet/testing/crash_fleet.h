// For tests: a fleet in virtual time whose endpoints end, under certain
// requests or of themselves. Suspects and gossip are production code;
// endpoints, callers and the network are modelled.
//
//   crash_fleet fleet({ .mInstances = 30, .mEndpoints = 20 }, seed);
//   fleet.AddCulprit(Seconds(2), Seconds(12), Milliseconds(150));
//   fleet.AddInnocents(Seconds(20), 5'000);
//   fleet.Run(Seconds(22));
//   CHECK(fleet.Result().mEndedByCulprit.at(0) <= 3);
#ifndef THORNHOLLOW_FLEET_TESTING_CRASH_FLEET_H_
#define THORNHOLLOW_FLEET_TESTING_CRASH_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "thornhollow/fleet/crash_gossip.h"
#include "thornhollow/policy/crash_suspects.h"

namespace thornhollow {

struct crash_fleet_shape
{
  std::size_t mInstances = 3;
  std::size_t mDomains = 3;
  std::size_t mEndpoints = 12;
  // Fraction of messages between instances that are lost, 0 to 1.
  double mLossRate = 0.02;
  // Whether instances ask `crash_suspects` before they send.
  bool mAsks = true;
};

struct crash_fleet_result
{
  // For each culprit: endpoints that ended under it, and how often it was sent
  // later than `kInTouchAfter` after the third end.
  std::vector<std::size_t> mEndedByCulprit;
  std::vector<std::size_t> mSentLate;
  std::size_t mInnocents = 0;
  std::size_t mAnswered = 0;
  // Innocent submissions that were rejected, or refused after a wait.
  std::size_t mRejected = 0;
  std::size_t mHeld = 0;
  // Largest number of sightings at one instance, and of bytes that one instance
  // sent in a second.
  std::size_t mMaxSightings = 0;
  std::size_t mMaxBytesPerSecond = 0;
  // Longest time from the third end under a culprit until every instance that
  // runs rejected it.
  duration mKnownAfter{};
};

class crash_fleet
{
public:
  // After this time an instance in touch must have heard of an end.
  static constexpr duration kInTouchAfter = Seconds(3);
  static constexpr duration kKnownWithin = Seconds(2);

  // `mMessageBytes` returns the size of an encoded report.
  std::function<std::size_t(const crash_report&)> mMessageBytes =
    [](const crash_report& aReport) {
      return 100 + aReport.mSightings.size() * 12 + aReport.mRuns.size() * 40 +
             aReport.mClearances.size() * 18;
    };

  crash_fleet(const crash_fleet_shape& aShape, std::uint64_t aSeed)
    : mShape(aShape)
    , mRandom(aSeed)
  {
    for (std::size_t each = 0; each < aShape.mInstances; ++each) {
      mInstances.push_back(std::make_unique<instance>());
      for (std::size_t peer = 0; peer < aShape.mInstances; ++peer) {
        if (peer != each) {
          mInstances.back()->mPeers.push_back(std::to_string(peer));
        }
      }
      StartInstance(each);
      At(Draw(0, 100), [this, each] { TickInstance(each); });
      At(Draw(0, 250), [this, each] { SendDigests(each); });
    }
    for (std::size_t each = 0; each < aShape.mEndpoints; ++each) {
      mEndpoints.push_back({ static_cast<endpoint_hash>(each), true, {} });
    }
    mNextEndpoint = static_cast<endpoint_hash>(aShape.mEndpoints);
  }

  // A content that ends each endpoint that begins to run it is submitted again
  // and again, at random instances.
  void AddCulprit(duration aFrom, duration aUntil, duration aInterval)
  {
    const std::size_t number = mResult.mEndedByCulprit.size();
    mResult.mEndedByCulprit.push_back(0);
    mResult.mSentLate.push_back(0);
    mThirdEnd.emplace_back();
    for (duration at = aFrom; at < aUntil; at += aInterval) {
      At(at, [this, number] {
        Submit({ .mContent = { kCulpritContent + number }, .mCulprit = number },
               RandomInstance());
      });
    }
  }

  // Contents that are each submitted once, and once more if that fails.
  void AddInnocents(duration aUntil, std::size_t aCount)
  {
    for (std::size_t each = 0; each < aCount; ++each) {
      At(Draw(0, ToMilliseconds(aUntil)), [this, each] {
        ++mResult.mInnocents;
        Submit({ .mContent = { each + 1 } }, RandomInstance());
      });
    }
  }

  // A fraction of the endpoints end at the same time.
  void CrashEndpoints(duration aAt, double aFraction)
  {
    At(aAt, [this, aFraction] {
      for (std::size_t each = 0; each < mEndpoints.size(); ++each) {
        if (Chance(aFraction)) {
          EndEndpoint(each);
        }
      }
    });
  }

  // Messages between the domain and the others are lost.
  void CutDomain(duration aFrom, duration aUntil, std::size_t aDomain)
  {
    At(aFrom, [this, aDomain] { mCutDomain = aDomain; });
    At(aUntil, [this] { mCutDomain.reset(); });
  }

  // The instance starts anew, knowing nothing.
  void Restart(duration aAt, std::size_t aInstance)
  {
    At(aAt, [this, aInstance] {
      StartInstance(aInstance);
      SendDigests(aInstance, false);
    });
  }

  void Run(duration aUntil)
  {
    while (!mEvents.empty() && mEvents.top().mAt <= mStart + aUntil) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mRun();
    }
  }

  const crash_fleet_result& Result() const { return mResult; }
  bool RejectsCulprit(std::size_t aInstance, std::size_t aCulprit) const
  {
    return mInstances.at(aInstance)->mSuspects->IsRejected(
      { kCulpritContent + aCulprit }, mNow);
  }

private:
  static constexpr std::uint64_t kCulpritContent = std::uint64_t{ 1 } << 62U;
  static constexpr std::size_t kMaxAttempts = 2;
  static constexpr int kMaxRefused = 6;
  static constexpr duration kWaitInterval = Milliseconds(10);
  static constexpr duration kMaxWait = Seconds(1);

  struct submission
  {
    request_feature mContent;
    // Number of the culprit; nothing for an innocent request.
    std::optional<std::size_t> mCulprit = std::nullopt;
    bool mIsRepeat = false;
    std::uint64_t mTicket = 0;
    std::size_t mInstance = 0;
    std::size_t mAttempts = 0;
    std::optional<time_point> mHeldSince = std::nullopt;
  };
  using submission_ptr = std::shared_ptr<submission>;
  struct open_attempt
  {
    submission_ptr mSubmission;
    bool mHasOutput = false;
  };
  struct endpoint
  {
    // Names the lifetime.
    endpoint_hash mName = 0;
    bool mIsUp = true;
    std::map<std::uint64_t, open_attempt> mOpen;
  };
  struct instance
  {
    std::unique_ptr<crash_suspects> mSuspects;
    std::unique_ptr<crash_gossip> mGossip;
    std::vector<std::string> mPeers;
    // Differs after each start, so that what belongs to an earlier process is
    // dropped.
    std::uint64_t mProcess = 0;
    bool mFlushPlanned = false;
    std::int64_t mSecond = 0;
    std::size_t mBytes = 0;
  };
  struct event
  {
    time_point mAt;
    std::uint64_t mNumber = 0;
    std::function<void()> mRun;

    // std::priority_queue returns the largest element first.
    friend bool operator<(const event& aLeft, const event& aRight)
    {
      return std::pair(aRight.mAt, aRight.mNumber) <
             std::pair(aLeft.mAt, aLeft.mNumber);
    }
  };

  std::int64_t Uniform(std::int64_t aFrom, std::int64_t aTo)
  {
    return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(mRandom);
  }
  duration Draw(std::int64_t aFromMs, std::int64_t aToMs)
  {
    return Milliseconds(Uniform(aFromMs, aToMs));
  }
  duration Latency() { return std::chrono::microseconds(Uniform(300, 3'000)); }
  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>()(mRandom) < aProbability;
  }
  std::size_t RandomInstance()
  {
    return static_cast<std::size_t>(
      Uniform(0, static_cast<std::int64_t>(mInstances.size()) - 1));
  }

  void At(duration aSinceStart, std::function<void()> aRun)
  {
    mEvents.push({ mStart + aSinceStart, ++mNumber, std::move(aRun) });
  }
  void After(duration aDelay, std::function<void()> aRun)
  {
    mEvents.push({ mNow + aDelay, ++mNumber, std::move(aRun) });
  }

  void StartInstance(std::size_t aInstance)
  {
    instance& one = *mInstances[aInstance];
    one.mSuspects =
      std::make_unique<crash_suspects>(crash_suspects_settings{}, mRandom());
    one.mGossip = std::make_unique<crash_gossip>(
      crash_gossip_settings{}, *one.mSuspects, mRandom());
    ++one.mProcess;
  }

  std::size_t DomainOf(std::size_t aInstance) const
  {
    return aInstance % mShape.mDomains;
  }
  bool IsCutOff(std::size_t aFrom, std::size_t aTo) const
  {
    return mCutDomain &&
           (DomainOf(aFrom) == *mCutDomain) != (DomainOf(aTo) == *mCutDomain);
  }

  void Deliver(std::size_t aFrom,
               std::size_t aTo,
               std::function<void(instance&)> aHandle)
  {
    if (IsCutOff(aFrom, aTo) || Chance(mShape.mLossRate)) {
      return;
    }
    After(Latency(), [this, aTo, handle = std::move(aHandle)] {
      handle(*mInstances[aTo]);
      Flush(aTo);
      NoteKnown();
    });
  }

  void SendAll(std::size_t aFrom,
               const std::vector<outgoing_crash_report>& aReports)
  {
    instance& from = *mInstances[aFrom];
    for (const outgoing_crash_report& each : aReports) {
      for (const std::string& to : each.mTo) {
        CountBytes(from, mMessageBytes(each.mReport));
        Deliver(aFrom, std::stoul(to), [this, each](instance& aTo) {
          aTo.mSuspects->Merge(each.mReport, mNow);
        });
      }
    }
  }

  void CountBytes(instance& aFrom, std::size_t aBytes)
  {
    const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(mNow - mStart).count();
    if (std::exchange(aFrom.mSecond, second) != second) {
      aFrom.mBytes = 0;
    }
    aFrom.mBytes += aBytes;
    mResult.mMaxBytesPerSecond =
      std::max(mResult.mMaxBytesPerSecond, aFrom.mBytes);
  }

  // As the daemon does: at once, and again while something is due.
  void Flush(std::size_t aInstance)
  {
    instance& one = *mInstances[aInstance];
    mResult.mMaxSightings =
      std::max(mResult.mMaxSightings, one.mSuspects->Sightings());
    if (!one.mSuspects->HasNews(mNow)) {
      return;
    }
    SendAll(aInstance, one.mGossip->Due(one.mPeers, mNow));
    if (one.mSuspects->HasNews(mNow) &&
        !std::exchange(one.mFlushPlanned, true)) {
      After(Milliseconds(5), [this, aInstance] {
        mInstances[aInstance]->mFlushPlanned = false;
        Flush(aInstance);
      });
    }
  }

  void TickInstance(std::size_t aInstance)
  {
    mInstances[aInstance]->mSuspects->Tick(mNow);
    Flush(aInstance);
    After(Milliseconds(100), [this, aInstance] { TickInstance(aInstance); });
  }

  // The digest in the periodic messages of an instance.
  void SendDigests(std::size_t aInstance, bool aRepeat = true)
  {
    const std::uint64_t digest = mInstances[aInstance]->mSuspects->Digest();
    for (int each = 0; each < 8; ++each) {
      const std::size_t to = RandomInstance();
      if (to == aInstance) {
        continue;
      }
      Deliver(aInstance, to, [this, aInstance, to, digest](instance& aTo) {
        SendAll(to,
                aTo.mGossip->OnDigest(std::to_string(aInstance), digest, mNow));
      });
    }
    if (aRepeat) {
      After(Milliseconds(mInstances.size() < 128 ? 250 : 500),
            [this, aInstance] { SendDigests(aInstance); });
    }
  }

  // The life of a submission.

  void Submit(const submission& aSubmission, std::size_t aInstance)
  {
    auto one = std::make_shared<submission>(aSubmission);
    one->mTicket = ++mNextTicket;
    one->mInstance = aInstance;
    Attempt(one, std::nullopt);
  }

  void Attempt(const submission_ptr& aOne, std::optional<std::size_t> aPlanned)
  {
    crash_suspects& suspects = *mInstances[aOne->mInstance]->mSuspects;
    const auto chosen = aPlanned ? aPlanned : ChooseEndpoint(suspects);
    if (!chosen) {
      return Fail(aOne);
    }
    endpoint& where = mEndpoints[*chosen];
    const suspect_attempt attempt = AttemptOf(*aOne, where.mName);
    const send_decision decision =
      mShape.mAsks ? suspects.BeforeSend(attempt, mNow) : send_decision{};
    Flush(aOne->mInstance);
    if (decision.mVerdict == send_verdict::kReject) {
      mResult.mRejected += aOne->mCulprit ? 0 : 1;
      return;
    }
    if (decision.mVerdict == send_verdict::kWait) {
      Hold(aOne, decision.mKeepEndpoint ? chosen : std::nullopt);
      return;
    }
    aOne->mHeldSince.reset();
    if (!where.mIsUp) {
      suspects.OnSendEnded(aOne->mContent, aOne->mTicket, mNow);
      return Fail(aOne);
    }
    Send(aOne, where);
  }

  suspect_attempt AttemptOf(const submission& aOne, endpoint_hash aWhere) const
  {
    return { aOne.mContent, aOne.mTicket, aWhere, mEndpoints.size() };
  }

  std::optional<std::size_t> ChooseEndpoint(const crash_suspects& aSuspects)
  {
    for (int each = 0; each < 4 * kMaxRefused; ++each) {
      const auto drawn = static_cast<std::size_t>(
        Uniform(0, static_cast<std::int64_t>(mEndpoints.size()) - 1));
      if (mEndpoints[drawn].mIsUp &&
          !aSuspects.IsReserved(mEndpoints[drawn].mName, mNow)) {
        return drawn;
      }
    }
    return std::nullopt;
  }

  void Hold(const submission_ptr& aOne, std::optional<std::size_t> aPlanned)
  {
    if (!aOne->mHeldSince) {
      aOne->mHeldSince = mNow;
    }
    if (mNow - *aOne->mHeldSince >= kMaxWait) {
      mInstances[aOne->mInstance]->mSuspects->OnSendEnded(
        aOne->mContent, aOne->mTicket, mNow);
      mResult.mHeld += aOne->mCulprit ? 0 : 1;
      return;
    }
    After(kWaitInterval, [this, aOne, aPlanned] { Attempt(aOne, aPlanned); });
  }

  void Send(const submission_ptr& aOne, endpoint& aWhere)
  {
    ++aOne->mAttempts;
    if (aOne->mCulprit && mThirdEnd[*aOne->mCulprit] &&
        mNow - *mThirdEnd[*aOne->mCulprit] > kInTouchAfter) {
      ++mResult.mSentLate[*aOne->mCulprit];
    }
    const endpoint_hash name = aWhere.mName;
    aWhere.mOpen[aOne->mTicket] = { aOne };
    const duration begins = Latency() + Draw(5, 100);
    if (aOne->mCulprit) {
      After(begins + Draw(50, 120), [this, name, culprit = *aOne->mCulprit] {
        EndUnderCulprit(name, culprit);
      });
      return;
    }
    After(begins + Draw(5, 200), [this, aOne, name] { OnOutput(aOne, name); });
  }

  endpoint* Find(endpoint_hash aName)
  {
    for (endpoint& each : mEndpoints) {
      if (each.mName == aName && each.mIsUp) {
        return &each;
      }
    }
    return nullptr;
  }

  void EndUnderCulprit(endpoint_hash aName, std::size_t aCulprit)
  {
    endpoint* const where = Find(aName);
    if (where == nullptr) {
      return;
    }
    if (++mResult.mEndedByCulprit[aCulprit] == 3) {
      mThirdEnd[aCulprit] = mNow;
    }
    EndEndpoint(static_cast<std::size_t>(where - mEndpoints.data()));
  }

  void EndEndpoint(std::size_t aEndpoint)
  {
    endpoint& where = mEndpoints[aEndpoint];
    if (!where.mIsUp) {
      return;
    }
    where.mIsUp = false;
    for (const auto& [ticket, open] : std::exchange(where.mOpen, {})) {
      const bool output = open.mHasOutput;
      const std::uint64_t process =
        mInstances[open.mSubmission->mInstance]->mProcess;
      // The connection breaks, and a probe is refused.
      After(
        Latency() + Latency(),
        [this, one = open.mSubmission, name = where.mName, output, process] {
          OnLost(one, name, output, process);
        });
    }
    After(Draw(1'300, 3'000), [this, aEndpoint] {
      mEndpoints[aEndpoint] = { mNextEndpoint++, true, {} };
    });
  }

  void OnLost(const submission_ptr& aOne,
              endpoint_hash aName,
              bool aHadOutput,
              std::uint64_t aProcess)
  {
    instance& one = *mInstances[aOne->mInstance];
    if (one.mProcess != aProcess) {
      return;
    }
    if (!aHadOutput) {
      one.mSuspects->OnEndpointEnded(AttemptOf(*aOne, aName), mNow, mNow);
    }
    one.mSuspects->OnSendEnded(aOne->mContent, aOne->mTicket, mNow);
    Flush(aOne->mInstance);
    NoteKnown();
    if (aHadOutput) {
      return;
    }
    if (aOne->mAttempts < kMaxAttempts) {
      Attempt(aOne, std::nullopt);
      return;
    }
    Fail(aOne);
  }

  // The caller comes again once; a culprit's callers come anyway.
  void Fail(const submission_ptr& aOne)
  {
    if (aOne->mCulprit || aOne->mIsRepeat) {
      return;
    }
    After(Draw(100, 500), [this, aOne] {
      Submit({ .mContent = aOne->mContent, .mIsRepeat = true },
             RandomInstance());
    });
  }

  void OnOutput(const submission_ptr& aOne, endpoint_hash aName)
  {
    endpoint* const where = Find(aName);
    if (where == nullptr || !where->mOpen.contains(aOne->mTicket)) {
      return;
    }
    where->mOpen[aOne->mTicket].mHasOutput = true;
    ++mResult.mAnswered;
    mInstances[aOne->mInstance]->mSuspects->OnOutput(
      aOne->mContent, aOne->mTicket, mNow);
    Flush(aOne->mInstance);
    After(Draw(200, 2'000), [this, aOne, aName] {
      if (endpoint* const still = Find(aName)) {
        still->mOpen.erase(aOne->mTicket);
      }
    });
  }

  // Records when the last instance has come to reject a culprit.
  void NoteKnown()
  {
    for (std::size_t each = 0; each < mThirdEnd.size(); ++each) {
      if (!mThirdEnd[each] || mKnown.contains(each) || mCutDomain) {
        continue;
      }
      for (std::size_t one = 0; one < mInstances.size(); ++one) {
        if (!RejectsCulprit(one, each)) {
          return;
        }
      }
      mKnown.insert({ each, mNow });
      mResult.mKnownAfter =
        std::max(mResult.mKnownAfter, mNow - *mThirdEnd[each]);
    }
  }

  crash_fleet_shape mShape;
  std::mt19937_64 mRandom;
  time_point mStart{ Seconds(1'000) };
  time_point mNow{ mStart };
  std::uint64_t mNumber = 0;
  std::priority_queue<event> mEvents;
  std::vector<std::unique_ptr<instance>> mInstances;
  std::vector<endpoint> mEndpoints;
  endpoint_hash mNextEndpoint = 0;
  std::uint64_t mNextTicket = 0;
  std::optional<std::size_t> mCutDomain;
  std::vector<std::optional<time_point>> mThirdEnd;
  std::map<std::size_t, time_point> mKnown;
  crash_fleet_result mResult;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_CRASH_FLEET_H_
