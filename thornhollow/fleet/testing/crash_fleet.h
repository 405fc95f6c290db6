// For tests: a fleet in virtual time whose endpoints end, under certain
// requests or of themselves. Suspects and gossip are production code;
// endpoints, callers and the network are modelled.
//
//   crash_fleet fleet({ .mInstances = 30, .mEndpoints = 20 }, seed);
//   fleet.AddCulprit(Seconds(2), Seconds(12), Milliseconds(150));
//   fleet.AddCulpritPart({ .mPart = part, .mShared = { kind, team } });
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
#include "thornhollow/policy/suspects/crash_suspects.h"

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
  // later than `kInTouchAfter` after it must be known: after the third end of a
  // content, the fifth of a part.
  std::vector<std::size_t> mEndedByCulprit;
  std::vector<std::size_t> mSentLate;
  std::size_t mInnocents = 0;
  std::size_t mAnswered = 0;
  // Innocent submissions that were rejected, or refused after a wait.
  std::size_t mRejected = 0;
  std::size_t mHeld = 0;
  // Innocent submissions that were rejected for a part, and those that waited
  // longer than `kLongHold` for one, not for their content.
  std::size_t mRejectedByPart = 0;
  std::size_t mHeldLongByPart = 0;
  // Largest number of sightings at one instance, and of bytes that one instance
  // sent in a second.
  std::size_t mMaxSightings = 0;
  std::size_t mMaxBytesPerSecond = 0;
  // Longest time from the end after which a culprit must be known until every
  // instance that runs rejected it; 0 if it was known before.
  duration mKnownAfter{};
  // The first and the last end under a part.
  std::optional<time_point> mFirstEnd;
  std::optional<time_point> mLastEnd;
};

// Requests no two of which are alike that share a part which ends each endpoint
// that begins to run them.
struct culprit_part
{
  request_feature mPart;
  // Other parts of these requests.
  std::vector<request_feature> mShared;
  duration mFrom = Seconds(2);
  duration mUntil = Seconds(12);
  double mPerSecond = 4;
  // From when on the part ends endpoints; before, it is sound.
  duration mDeadlyFrom{};
  // How long after the first output it ends them; nothing: before any output.
  std::optional<duration> mOutputFor = std::nullopt;
  // Nothing: at all instances.
  std::optional<std::size_t> mInstance = std::nullopt;
};

// Sound requests with these parts, whose attempts are counted.
struct sound_series
{
  std::vector<request_feature> mParts;
  duration mUntil = Seconds(14);
  double mPerSecond = 40;
};

class crash_fleet
{
public:
  // After this time an instance in touch must have heard of an end.
  static constexpr duration kInTouchAfter = Seconds(3);
  static constexpr duration kKnownWithin = Seconds(2);
  static constexpr duration kLongHold = Milliseconds(100);

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
    const request_feature content{ kCulpritContent + 2 * number };
    AddCulpritRecord(content, kContentEnds, {});
    for (duration at = aFrom; at < aUntil; at += aInterval) {
      At(at, [this, number, content] {
        Submit({ .mFeatures = { content, {} }, .mCulprit = number },
               RandomInstance());
      });
    }
  }

  void AddCulpritPart(const culprit_part& aCulprit)
  {
    const std::size_t number = mResult.mEndedByCulprit.size();
    AddCulpritRecord(aCulprit.mPart, kPartEnds, aCulprit.mDeadlyFrom);
    mCulprits.back().mOutputFor = aCulprit.mOutputFor;
    std::vector<request_feature> parts = aCulprit.mShared;
    parts.push_back(aCulprit.mPart);
    std::exponential_distribution<double> gap(aCulprit.mPerSecond);
    for (duration at = aCulprit.mFrom; at < aCulprit.mUntil;
         at += FromSeconds(gap(mRandom))) {
      At(at, [this, number, parts, where = aCulprit.mInstance] {
        Submit({ .mFeatures = { NewContent(), parts }, .mCulprit = number },
               where.value_or(RandomInstance()));
      });
    }
  }

  // Returns the number of the series.
  std::size_t AddSound(const sound_series& aSeries)
  {
    const std::size_t number = mSound.size();
    mSound.emplace_back();
    std::exponential_distribution<double> gap(aSeries.mPerSecond);
    for (duration at = FromSeconds(gap(mRandom)); at < aSeries.mUntil;
         at += FromSeconds(gap(mRandom))) {
      At(at, [this, number, parts = aSeries.mParts] {
        ++mResult.mInnocents;
        mSound[number].push_back({ mNow });
        Submit({ .mFeatures = { NewContent(), parts },
                 .mSound = sound_number{ number, mSound[number].size() - 1 } },
               RandomInstance());
      });
    }
    return number;
  }

  // Of the requests of a series that were sent in that time, the fraction that
  // brought output at the first attempt.
  double SoundShare(std::size_t aSeries,
                    time_point aFrom,
                    time_point aUntil = time_point::max()) const
  {
    double sent = 0;
    double begun = 0;
    for (const sound_request& each : mSound.at(aSeries)) {
      if (each.mSentAt >= aFrom && each.mSentAt < aUntil) {
        sent += 1;
        begun += each.mBegun ? 1 : 0;
      }
    }
    return sent > 0 ? begun / sent : 1;
  }

  // Contents that are each submitted once, and once more if that fails.
  void AddInnocents(duration aUntil, std::size_t aCount)
  {
    for (std::size_t each = 0; each < aCount; ++each) {
      At(Draw(0, ToMilliseconds(aUntil)), [this, each] {
        ++mResult.mInnocents;
        Submit({ .mFeatures = { { 2 * each + 2 }, InnocentParts() } },
               RandomInstance());
      });
    }
  }

  // From now on innocent requests share parts: of their kind, of their team,
  // and of a session of a few requests.
  void ShareParts() { mInnocentsShare = true; }

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
      mCulprits.at(aCulprit).mFeature, mNow);
  }

private:
  static constexpr std::uint64_t kCulpritContent = std::uint64_t{ 1 } << 62U;
  static constexpr std::uint64_t kNewContent = std::uint64_t{ 1 } << 61U;
  // Ends after which a culprit must be known.
  static constexpr std::size_t kContentEnds = 3;
  static constexpr std::size_t kPartEnds = 5;
  static constexpr std::size_t kMaxAttempts = 2;
  static constexpr int kMaxRefused = 6;
  static constexpr duration kWaitInterval = Milliseconds(10);
  static constexpr duration kMaxWait = Seconds(1);

  // A request of a series of sound ones.
  struct sound_number
  {
    std::size_t mSeries = 0;
    std::size_t mRequest = 0;
  };
  struct sound_request
  {
    time_point mSentAt{};
    // Output came at the first attempt.
    bool mBegun = false;
  };
  struct culprit
  {
    request_feature mFeature;
    // The end after which it must be known.
    std::size_t mKnownFromEnd = kContentEnds;
    duration mDeadlyFrom{};
    std::optional<time_point> mKnownFrom = std::nullopt;
    std::optional<duration> mOutputFor = std::nullopt;
  };
  struct submission
  {
    request_features mFeatures;
    // Number of the culprit; nothing for an innocent request.
    std::optional<std::size_t> mCulprit = std::nullopt;
    std::optional<sound_number> mSound = std::nullopt;
    bool mIsRepeat = false;
    std::uint64_t mTicket = 0;
    std::size_t mInstance = 0;
    std::size_t mAttempts = 0;
    std::optional<time_point> mHeldSince = std::nullopt;
    bool mHeldLong = false;
  };
  using submission_ptr = std::shared_ptr<submission>;
  struct open_attempt
  {
    submission_ptr mSubmission;
    run_progress mProgress = run_progress::kNoOutput;
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

  void AddCulpritRecord(request_feature aFeature,
                        std::size_t aKnownFromEnd,
                        duration aDeadlyFrom)
  {
    mResult.mEndedByCulprit.push_back(0);
    mResult.mSentLate.push_back(0);
    mCulprits.push_back({ aFeature, aKnownFromEnd, aDeadlyFrom });
  }

  request_feature NewContent() { return { kNewContent + 2 * ++mContents }; }

  std::vector<request_feature> InnocentParts()
  {
    if (!mInnocentsShare) {
      return {};
    }
    constexpr std::int64_t kKinds = 5;
    constexpr std::int64_t kTeams = 10;
    constexpr std::int64_t kSessions = 2'000;
    constexpr std::uint64_t kTeamParts = 1'001;
    constexpr std::uint64_t kSessionParts = 10'001;
    const auto draw = [this](std::int64_t aCount) {
      return 2 * static_cast<std::uint64_t>(Uniform(0, aCount - 1));
    };
    return { { draw(kKinds) + 1 },
             { draw(kTeams) + kTeamParts },
             { draw(kSessions) + kSessionParts } };
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
      CountRejected(*aOne, suspects);
      return;
    }
    if (decision.mVerdict == send_verdict::kWait) {
      Hold(aOne, decision.mKeepEndpoint ? chosen : std::nullopt);
      return;
    }
    aOne->mHeldSince.reset();
    if (!where.mIsUp) {
      suspects.OnSendEnded(aOne->mFeatures, aOne->mTicket, mNow);
      return Fail(aOne);
    }
    Send(aOne, where);
  }

  suspect_attempt AttemptOf(const submission& aOne, endpoint_hash aWhere) const
  {
    return { aOne.mFeatures, aOne.mTicket, aWhere, mEndpoints.size() };
  }

  // A culprit's requests are innocent as long as it is sound.
  bool IsDeadly(const submission& aOne) const
  {
    return aOne.mCulprit &&
           mNow >= mStart + mCulprits[*aOne.mCulprit].mDeadlyFrom;
  }
  bool IsInnocent(const submission& aOne) const { return !IsDeadly(aOne); }

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

  void CountRejected(const submission& aOne, const crash_suspects& aSuspects)
  {
    if (IsInnocent(aOne)) {
      const auto feature = aSuspects.RejectedFeature(aOne.mFeatures, mNow);
      mResult.mRejected += 1;
      mResult.mRejectedByPart += feature && feature->IsPart() ? 1 : 0;
    }
  }

  void Hold(const submission_ptr& aOne, std::optional<std::size_t> aPlanned)
  {
    const bool isForPart = mInstances[aOne->mInstance]->mSuspects->EndedUnder(
                             aOne->mFeatures.mContent) == 0;
    if (!aOne->mHeldSince) {
      aOne->mHeldSince = mNow;
    }
    if (IsInnocent(*aOne) && isForPart &&
        mNow - *aOne->mHeldSince > kLongHold &&
        !std::exchange(aOne->mHeldLong, true)) {
      ++mResult.mHeldLongByPart;
    }
    if (mNow - *aOne->mHeldSince >= kMaxWait) {
      mInstances[aOne->mInstance]->mSuspects->OnSendEnded(
        aOne->mFeatures, aOne->mTicket, mNow);
      mResult.mHeld += IsInnocent(*aOne) ? 1 : 0;
      return;
    }
    After(kWaitInterval, [this, aOne, aPlanned] { Attempt(aOne, aPlanned); });
  }

  void Send(const submission_ptr& aOne, endpoint& aWhere)
  {
    ++aOne->mAttempts;
    if (aOne->mCulprit && mCulprits[*aOne->mCulprit].mKnownFrom &&
        mNow - *mCulprits[*aOne->mCulprit].mKnownFrom > kInTouchAfter) {
      ++mResult.mSentLate[*aOne->mCulprit];
    }
    const endpoint_hash name = aWhere.mName;
    aWhere.mOpen[aOne->mTicket] = { aOne };
    const duration begins = Latency() + Draw(5, 100);
    const auto outputFor =
      aOne->mCulprit ? mCulprits[*aOne->mCulprit].mOutputFor : std::nullopt;
    if (IsDeadly(*aOne) && outputFor) {
      const duration output = begins + Draw(5, 50);
      After(output,
            [this, aOne, name] { Progress(aOne, name, run_progress::kBegun); });
      if (*outputFor >= kGoingAfter) {
        After(output + kGoingAfter, [this, aOne, name] {
          Progress(aOne, name, run_progress::kGoing);
        });
      }
      After(output + *outputFor,
            [this, name, aOne] { EndUnderCulprit(name, *aOne); });
      return;
    }
    if (IsDeadly(*aOne)) {
      After(begins + Draw(50, 120),
            [this, name, aOne] { EndUnderCulprit(name, *aOne); });
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

  void EndUnderCulprit(endpoint_hash aName, const submission& aOne)
  {
    endpoint* const where = Find(aName);
    if (where == nullptr || !where->mOpen.contains(aOne.mTicket)) {
      return;
    }
    const std::size_t number = *aOne.mCulprit;
    culprit& cause = mCulprits[number];
    if (++mResult.mEndedByCulprit[number] == cause.mKnownFromEnd) {
      cause.mKnownFrom = mNow;
    }
    if (cause.mFeature.IsPart()) {
      mResult.mFirstEnd = mResult.mFirstEnd.value_or(mNow);
      mResult.mLastEnd = mNow;
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
      const run_progress progress = open.mProgress;
      const std::uint64_t process =
        mInstances[open.mSubmission->mInstance]->mProcess;
      // The connection breaks, and a probe is refused.
      After(
        Latency() + Latency(),
        [this, one = open.mSubmission, name = where.mName, progress, process] {
          OnLost(one, name, progress, process);
        });
    }
    After(Draw(1'300, 3'000), [this, aEndpoint] {
      mEndpoints[aEndpoint] = { mNextEndpoint++, true, {} };
    });
  }

  void OnLost(const submission_ptr& aOne,
              endpoint_hash aName,
              run_progress aProgress,
              std::uint64_t aProcess)
  {
    instance& one = *mInstances[aOne->mInstance];
    if (one.mProcess != aProcess) {
      return;
    }
    if (MayEndEndpoint(aProgress)) {
      one.mSuspects->OnEndpointEnded(
        AttemptOf(*aOne, aName), mNow, mNow, aProgress);
    }
    one.mSuspects->OnSendEnded(aOne->mFeatures, aOne->mTicket, mNow);
    Flush(aOne->mInstance);
    NoteKnown();
    // Sound streams that go on elsewhere are not modelled.
    if (aProgress != run_progress::kNoOutput && !aOne->mCulprit) {
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
      Submit({ .mFeatures = aOne->mFeatures, .mIsRepeat = true },
             RandomInstance());
    });
  }

  void OnOutput(const submission_ptr& aOne, endpoint_hash aName)
  {
    endpoint* const where = Find(aName);
    if (where == nullptr || !where->mOpen.contains(aOne->mTicket)) {
      return;
    }
    ++mResult.mAnswered;
    if (aOne->mSound && aOne->mAttempts == 1) {
      mSound[aOne->mSound->mSeries][aOne->mSound->mRequest].mBegun = true;
    }
    Progress(aOne, aName, run_progress::kBegun);
    const duration length = Draw(200, 2'000);
    if (kGoingAfter < length) {
      After(kGoingAfter, [this, aOne, aName] {
        Progress(aOne, aName, run_progress::kGoing);
      });
    }
    After(length, [this, aOne, aName] {
      Progress(aOne, aName, run_progress::kGoing);
      if (endpoint* const still = Find(aName)) {
        still->mOpen.erase(aOne->mTicket);
      }
    });
  }

  // The run of the submission gets that far, if its endpoint still runs.
  void Progress(const submission_ptr& aOne,
                endpoint_hash aName,
                run_progress aProgress)
  {
    endpoint* const where = Find(aName);
    if (where == nullptr || !where->mOpen.contains(aOne->mTicket)) {
      return;
    }
    where->mOpen[aOne->mTicket].mProgress = aProgress;
    mInstances[aOne->mInstance]->mSuspects->OnOutput(
      aOne->mFeatures, aOne->mTicket, mNow, aProgress);
    Flush(aOne->mInstance);
  }

  // Records when the last instance has come to reject a culprit.
  void NoteKnown()
  {
    for (std::size_t each = 0; each < mCulprits.size(); ++each) {
      if (!mCulprits[each].mKnownFrom || mKnown.contains(each) || mCutDomain) {
        continue;
      }
      for (std::size_t one = 0; one < mInstances.size(); ++one) {
        if (!RejectsCulprit(one, each)) {
          return;
        }
      }
      mKnown.insert({ each, mNow });
      mResult.mKnownAfter =
        std::max(mResult.mKnownAfter, mNow - *mCulprits[each].mKnownFrom);
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
  std::vector<culprit> mCulprits;
  std::vector<std::vector<sound_request>> mSound;
  bool mInnocentsShare = false;
  std::uint64_t mContents = 0;
  std::map<std::size_t, time_point> mKnown;
  crash_fleet_result mResult;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_CRASH_FLEET_H_
