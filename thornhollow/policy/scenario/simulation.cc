#include "thornhollow/policy/scenario/simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

#include "thornhollow/base/hash.h"

namespace thornhollow::scenario {
namespace {

// Requests in this initial period are not measured, while engines and queues
// fill up.
constexpr duration kWarmUp = Seconds(5);
constexpr duration kEngineLatency = Milliseconds(1);
constexpr duration kConnectTimeout = Seconds(1);
constexpr duration kReportInterval = Milliseconds(250);
// Instances exchange their pool pressure four times per second.
// `kPressureDelay` is the latency of a datagram.
constexpr duration kPressureInterval = Milliseconds(250);
constexpr duration kPressureDelay = Milliseconds(5);
// Time after which a caller retries if the error response contains no retry
// time.
constexpr duration kDefaultBackoff = Seconds(1);
constexpr int kMaxAttempts = 3;
constexpr double kPromptTokenCost = 1.0 / 32;
constexpr double kRecoveredAttainment = 0.9;
constexpr duration kRecoveryBin = Seconds(1);

// A caller's request, from its first submission to its last retry.
struct logical_request
{
  std::size_t mTraffic = 0;
  std::size_t mClass = 0;
  std::size_t mTeam = 0;
  std::uint64_t mPrefix = 0;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mOutputTokens = 1;
  time_point mFirstSubmitted{};
  int mRetries = 0;
  bool mIsMeasured = false;
  bool mAttained = false;
};

// One submission of a request to an instance.
struct submission
{
  std::size_t mRequest = 0;
  std::size_t mInstance = 0;
  work_item mItem;
  std::optional<std::size_t> mEngine;
  int mAttempts = 0;
  std::uint32_t mReceivedTokens = 0;
  std::optional<time_point> mFirstToken;
  double mCost = 0;
  double mLastPrefillCost = 0;
};

struct entry_instance
{
  entry_instance(const policy_choice& aPolicy, std::uint64_t aSeed)
    : mPolicy(Make(aPolicy, aSeed))
  {
  }

  using policy = std::variant<scheduler, baseline_scheduler>;

  static policy Make(const policy_choice& aPolicy, std::uint64_t aSeed)
  {
    if (const auto* settings = std::get_if<scheduler_settings>(&aPolicy)) {
      return policy(std::in_place_type<scheduler>, *settings, aSeed);
    }
    const balancing_algorithm algorithm =
      std::holds_alternative<round_robin>(aPolicy)
        ? balancing_algorithm(round_robin{})
        : balancing_algorithm(least_outstanding{});
    return policy(std::in_place_type<baseline_scheduler>, algorithm, aSeed);
  }

  policy mPolicy;
  domain_name mDomain;
  time_point mPausedUntil{};
  std::optional<time_point> mNextWake;
};

class simulation
{
public:
  simulation(const deployment& aDeployment,
             const scenario_spec& aScenario,
             const policy_choice& aPolicy,
             std::uint64_t aSeed);

  outcome Run();

private:
  void MakeEngines();
  void MakeInstances(const policy_choice& aPolicy, std::uint64_t aSeed);
  void ScheduleFaults();
  void BeginFault(const injected_fault& aFault);
  void EndFault(const injected_fault& aFault);
  void BreakPartitionedStreams();

  void ScheduleArrival(std::size_t aTraffic);
  double SurgeFactor(const class_name& aClass, std::size_t aTeam) const;
  double TeamShare(std::size_t aTeam) const;
  double ClassSurgeFactor(const class_name& aClass) const;
  void Arrive(std::size_t aTraffic);
  std::uint32_t DrawLength(double aMedian, double aSpread);
  std::uint64_t DrawPrefix(const class_traffic& aTraffic);
  std::size_t PickInstance(std::size_t aClass);
  void SubmitRequest(std::size_t aRequest);

  // Runs `aCall` on the policy of an instance, or, if the instance's process is
  // paused, when the process resumes.
  template<class call>
  void OnInstance(std::size_t aInstance, call aCall);
  void Apply(std::size_t aInstance, const decisions& aDecisions);
  void ScheduleWake(std::size_t aInstance);

  void StartAttempt(std::size_t aInstance, const start& aStart);
  void OnFirstToken(ticket aTicket);
  void OnCompleted(ticket aTicket, const engine_work& aWork);
  void OnLost(ticket aTicket, const engine_work& aWork, bool aMayHaveStarted);
  void OnDeadline(ticket aTicket);
  void Account(submission& aSubmission, const engine_work& aWork);
  void EndWithError(ticket aTicket, error_kind aKind, duration aRetryAfter);
  void MaybeRetry(std::size_t aRequest, error_kind aKind, duration aAfter);
  bool IsReachable(const domain_name& aLeft, const domain_name& aRight) const;

  void ScheduleReports();
  void ScheduleTicks();
  void SchedulePressure();
  void SendPressure(std::size_t aInstance);
  bool IsOver() const;
  outcome ComputeOutcome() const;
  double ComputeRecovery() const;

  const deployment& mDeployment;
  const scenario_spec& mScenario;
  event_loop mLoop;
  time_point mStart = mLoop.Now();
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<engine_model>> mEngines;
  std::unordered_map<endpoint_name, std::size_t> mEngineIndex;
  std::deque<entry_instance> mInstances;
  domain_name mPartitionedDomain;
  std::vector<logical_request> mRequests;
  std::unordered_map<ticket, submission> mOpenSubmissions;
  ticket mNextTicket = 1;
  outcome mOutcome;
  double mComputedTokens = 0;
  double mUsefulTokens = 0;
  double mGoodputTokens = 0;
  double mGoodputRequests = 0;
  std::map<std::int64_t, std::uint32_t> mRetryBins;
};

simulation::simulation(const deployment& aDeployment,
                       const scenario_spec& aScenario,
                       const policy_choice& aPolicy,
                       std::uint64_t aSeed)
  : mDeployment(aDeployment)
  , mScenario(aScenario)
  , mRandom(aSeed)
{
  for (const request_class& each : aDeployment.mDeclared.mClasses) {
    class_outcome row;
    row.mClass = each.mName;
    row.mTier = FindLevel(aDeployment.mDeclared, each.mLevel)->mTier;
    mOutcome.mClasses.push_back(std::move(row));
  }
  MakeEngines();
  MakeInstances(aPolicy, aSeed);
}

void
simulation::MakeEngines()
{
  for (const endpoint& each : mDeployment.mDeclared.mEndpoints) {
    mEngineIndex.emplace(each.mName, mEngines.size());
    engine_model::callbacks calls;
    calls.mFirstToken = [this](ticket aTicket) {
      mLoop.After(kEngineLatency, [this, aTicket] { OnFirstToken(aTicket); });
    };
    calls.mCompleted = [this](ticket aTicket, const engine_work& aWork) {
      mLoop.After(kEngineLatency,
                  [this, aTicket, aWork] { OnCompleted(aTicket, aWork); });
    };
    calls.mLost = [this](ticket aTicket, const engine_work& aWork) {
      mLoop.After(kEngineLatency,
                  [this, aTicket, aWork] { OnLost(aTicket, aWork, true); });
    };
    mEngines.push_back(std::make_unique<engine_model>(
      mLoop, mDeployment.mEngine, std::move(calls)));
  }
}

void
simulation::MakeInstances(const policy_choice& aPolicy, std::uint64_t aSeed)
{
  for (const domain_name& domain : mDeployment.mInstanceDomains) {
    const std::uint64_t seed = aSeed * 1000 + mInstances.size();
    mInstances.emplace_back(aPolicy, seed).mDomain = domain;
  }
  for (std::size_t index = 0; index < mInstances.size(); ++index) {
    OnInstance(index, [this, index](auto& aPolicy, time_point aNow) {
      return aPolicy.Configure(
        mDeployment.mDeclared, mInstances[index].mDomain, aNow);
    });
  }
}

outcome
simulation::Run()
{
  ScheduleFaults();
  for (std::size_t traffic = 0; traffic < mDeployment.mTraffic.size();
       ++traffic) {
    ScheduleArrival(traffic);
  }
  ScheduleReports();
  ScheduleTicks();
  SchedulePressure();
  duration longest{};
  for (const service_level& each : mDeployment.mDeclared.mLevels) {
    longest = std::max(longest, each.mDeadline);
  }
  mLoop.RunUntil(mStart + kWarmUp + mScenario.mLength + 2 * longest);
  return ComputeOutcome();
}

void
simulation::ScheduleFaults()
{
  for (const injected_fault& each : mScenario.mFaults) {
    mLoop.At(mStart + kWarmUp + each.mFrom, [this, each] { BeginFault(each); });
    mLoop.At(mStart + kWarmUp + each.mUntil, [this, each] { EndFault(each); });
  }
}

void
simulation::BeginFault(const injected_fault& aFault)
{
  switch (aFault.mKind) {
    case injected_fault_kind::kSlow:
      mEngines[aFault.mIndex]->SetSlowdown(aFault.mFactor);
      break;
    case injected_fault_kind::kCrash:
      mEngines[aFault.mIndex]->Crash();
      break;
    case injected_fault_kind::kPartition:
      mPartitionedDomain = aFault.mDomain;
      BreakPartitionedStreams();
      break;
    case injected_fault_kind::kPause:
      mInstances[aFault.mIndex].mPausedUntil = mStart + kWarmUp + aFault.mUntil;
      break;
  }
}

void
simulation::EndFault(const injected_fault& aFault)
{
  switch (aFault.mKind) {
    case injected_fault_kind::kSlow:
      mEngines[aFault.mIndex]->SetSlowdown(1);
      break;
    case injected_fault_kind::kCrash:
      mEngines[aFault.mIndex]->Restart();
      break;
    case injected_fault_kind::kPartition:
      mPartitionedDomain = domain_name();
      break;
    case injected_fault_kind::kPause:
      break;
  }
}

// Ends the streams between the partitioned domain and the other domains after
// the connect timeout, when both ends have detected that nothing is received.
void
simulation::BreakPartitionedStreams()
{
  for (const auto& [id, each] : mOpenSubmissions) {
    if (!each.mEngine ||
        IsReachable(mInstances[each.mInstance].mDomain,
                    mDeployment.mDeclared.mEndpoints[*each.mEngine].mDomain)) {
      continue;
    }
    mLoop.After(kConnectTimeout, [this, id = id, engine = *each.mEngine] {
      const auto found = mOpenSubmissions.find(id);
      if (found != mOpenSubmissions.end() && found->second.mEngine == engine) {
        OnLost(id, mEngines[engine]->Cancel(id), true);
      }
    });
  }
}

bool
simulation::IsReachable(const domain_name& aLeft,
                        const domain_name& aRight) const
{
  return mPartitionedDomain.empty() ||
         (aLeft == mPartitionedDomain) == (aRight == mPartitionedDomain);
}

double
simulation::TeamShare(std::size_t aTeam) const
{
  const auto others =
    static_cast<double>(mDeployment.mDeclared.mTeams.size() - 1);
  return aTeam == 0 ? mScenario.mFirstTeamShare
                    : (1 - mScenario.mFirstTeamShare) / others;
}

double
simulation::SurgeFactor(const class_name& aClass, std::size_t aTeam) const
{
  const duration since = mLoop.Now() - mStart - kWarmUp;
  const team_name& team = mDeployment.mDeclared.mTeams[aTeam].mName;
  double factor = 1;
  for (const surge& each : mScenario.mSurges) {
    const bool isOn = since >= each.mFrom && since < each.mUntil;
    const bool matches = (each.mClass.empty() || each.mClass == aClass) &&
                         (each.mTeam.empty() || each.mTeam == team);
    factor *= isOn && matches ? each.mFactor : 1;
  }
  return factor;
}

double
simulation::ClassSurgeFactor(const class_name& aClass) const
{
  double total = 0;
  for (std::size_t team = 0; team < mDeployment.mDeclared.mTeams.size();
       ++team) {
    total += TeamShare(team) * SurgeFactor(aClass, team);
  }
  return total;
}

// Arrivals are generated as a Poisson process of the maximum rate. Each
// generated arrival is accepted with a probability of the rate at its time
// divided by the maximum rate, so that surges need no events of their own.
void
simulation::ScheduleArrival(std::size_t aTraffic)
{
  const class_traffic& traffic = mDeployment.mTraffic[aTraffic];
  double max = 1;
  for (const surge& each : mScenario.mSurges) {
    max *= std::max(1.0, each.mFactor);
  }
  const double rate = RequestRate(mDeployment, traffic) * mScenario.mLoad;
  const double wait =
    std::exponential_distribution<double>(rate * max)(mRandom);
  mLoop.After(FromSeconds(wait), [this, aTraffic, max] {
    if (mLoop.Now() >= mStart + kWarmUp + mScenario.mLength) {
      return;
    }
    const double acceptance =
      ClassSurgeFactor(mDeployment.mTraffic[aTraffic].mClass) / max;
    if (std::bernoulli_distribution(std::min(1.0, acceptance))(mRandom)) {
      Arrive(aTraffic);
    }
    ScheduleArrival(aTraffic);
  });
}

std::uint32_t
simulation::DrawLength(double aMedian, double aSpread)
{
  const double drawn =
    std::lognormal_distribution<double>(std::log(aMedian), aSpread)(mRandom);
  return static_cast<std::uint32_t>(std::max(1.0, drawn));
}

std::uint64_t
simulation::DrawPrefix(const class_traffic& aTraffic)
{
  std::uint32_t which = 0;
  if (!std::bernoulli_distribution(mScenario.mHotPrefixShare)(mRandom)) {
    // The n-th prefix is used 1/n as often as the first prefix.
    std::vector<double> weights;
    for (std::uint32_t rank = 1; rank <= aTraffic.mPrefixCount; ++rank) {
      weights.push_back(1.0 / rank);
    }
    which = std::discrete_distribution<std::uint32_t>(weights.begin(),
                                                      weights.end())(mRandom);
  }
  return CombineHash(Hash64(aTraffic.mClass.Text()), which);
}

void
simulation::Arrive(std::size_t aTraffic)
{
  const class_traffic& traffic = mDeployment.mTraffic[aTraffic];
  logical_request next;
  next.mTraffic = aTraffic;
  while (mOutcome.mClasses[next.mClass].mClass != traffic.mClass) {
    ++next.mClass;
  }
  std::vector<double> teams;
  for (std::size_t team = 0; team < mDeployment.mDeclared.mTeams.size();
       ++team) {
    teams.push_back(TeamShare(team) * SurgeFactor(traffic.mClass, team));
  }
  next.mTeam = std::discrete_distribution<std::size_t>(teams.begin(),
                                                       teams.end())(mRandom);
  next.mPrefix = DrawPrefix(traffic);
  next.mPromptTokens =
    DrawLength(traffic.mMedianPrompt, traffic.mLengthLogStdDev);
  next.mOutputTokens =
    std::min(DrawLength(traffic.mMedianOutput, traffic.mLengthLogStdDev),
             traffic.mMaxOutput);
  next.mFirstSubmitted = mLoop.Now();
  next.mIsMeasured = mLoop.Now() >= mStart + kWarmUp;
  mOutcome.mClasses[next.mClass].mRequests += next.mIsMeasured ? 1 : 0;
  mRequests.push_back(next);
  SubmitRequest(mRequests.size() - 1);
}

std::size_t
simulation::PickInstance(std::size_t aClass)
{
  const auto last = mInstances.size() - 1;
  if (mScenario.mHighTierInstance < 0) {
    return std::uniform_int_distribution<std::size_t>(0, last)(mRandom);
  }
  const auto special = static_cast<std::size_t>(mScenario.mHighTierInstance);
  if (mOutcome.mClasses[aClass].mTier == kHighestTier) {
    return special;
  }
  const auto other =
    std::uniform_int_distribution<std::size_t>(0, last - 1)(mRandom);
  return other < special ? other : other + 1;
}

void
simulation::SubmitRequest(std::size_t aRequest)
{
  const logical_request& request = mRequests[aRequest];
  const class_traffic& traffic = mDeployment.mTraffic[request.mTraffic];
  const request_class& named = mDeployment.mDeclared.mClasses[request.mClass];
  const service_level& level = *FindLevel(mDeployment.mDeclared, named.mLevel);
  submission next;
  next.mRequest = aRequest;
  next.mInstance = PickInstance(request.mClass);
  work_item& item = next.mItem;
  item.mTicket = mNextTicket++;
  item.mTeam = mDeployment.mDeclared.mTeams[request.mTeam].mName;
  item.mClass = named.mName;
  item.mPool = traffic.mPool;
  item.mTier = level.mTier;
  item.mPrefix = request.mPrefix;
  item.mPromptTokens = request.mPromptTokens;
  item.mMaxOutputTokens = traffic.mMaxOutput;
  item.mArrival = mLoop.Now();
  item.mDeadline = mLoop.Now() + level.mDeadline;
  item.mIdempotent = named.mIdempotent;
  mLoop.At(item.mDeadline, [this, id = item.mTicket] { OnDeadline(id); });
  mOpenSubmissions.emplace(item.mTicket, next);
  OnInstance(next.mInstance, [item](auto& aPolicy, time_point aNow) {
    return aPolicy.Submit(item, aNow);
  });
}

template<class call>
void
simulation::OnInstance(std::size_t aInstance, call aCall)
{
  entry_instance& instance = mInstances[aInstance];
  if (instance.mPausedUntil > mLoop.Now()) {
    mLoop.At(instance.mPausedUntil,
             [this, aInstance, aCall] { OnInstance(aInstance, aCall); });
    return;
  }
  const decisions next = std::visit(
    [this, &aCall](auto& aPolicy) { return aCall(aPolicy, mLoop.Now()); },
    instance.mPolicy);
  Apply(aInstance, next);
  ScheduleWake(aInstance);
}

void
simulation::Apply(std::size_t aInstance, const decisions& aDecisions)
{
  for (const decision& each : aDecisions) {
    if (const auto* started = std::get_if<start>(&each)) {
      StartAttempt(aInstance, *started);
    } else {
      const refuse& refused = std::get<refuse>(each);
      EndWithError(refused.mTicket, refused.mKind, refused.mRetryAfter);
    }
  }
}

void
simulation::ScheduleWake(std::size_t aInstance)
{
  entry_instance& instance = mInstances[aInstance];
  const auto due = std::visit(
    [](const auto& aPolicy) { return aPolicy.NextDue(); }, instance.mPolicy);
  if (!due || (instance.mNextWake && *instance.mNextWake <= *due)) {
    return;
  }
  instance.mNextWake = std::max(*due, mLoop.Now());
  mLoop.At(*due, [this, aInstance, planned = *instance.mNextWake] {
    if (mInstances[aInstance].mNextWake != planned) {
      return;
    }
    mInstances[aInstance].mNextWake.reset();
    OnInstance(aInstance, [](auto& aPolicy, time_point aNow) {
      return aPolicy.Advance(aNow);
    });
  });
}

void
simulation::StartAttempt(std::size_t aInstance, const start& aStart)
{
  const auto found = mOpenSubmissions.find(aStart.mTicket);
  if (found == mOpenSubmissions.end()) {
    return;
  }
  submission& sent = found->second;
  const std::size_t engine = mEngineIndex.at(aStart.mEndpoint);
  sent.mEngine = engine;
  ++sent.mAttempts;
  const domain_name& local = mInstances[aInstance].mDomain;
  const domain_name& remote = mDeployment.mDeclared.mEndpoints[engine].mDomain;
  const bool isReachable = IsReachable(local, remote);
  const duration latency = local == remote
                             ? kEngineLatency
                             : kEngineLatency + mDeployment.mInterDomainLatency;
  mLoop.After(
    isReachable ? latency : kConnectTimeout,
    [this,
     id = aStart.mTicket,
     owed = aStart.mUsesMinimumShare,
     engine,
     isReachable] {
      const auto open = mOpenSubmissions.find(id);
      if (open == mOpenSubmissions.end() || open->second.mEngine != engine) {
        return;
      }
      if (!isReachable || !mEngines[engine]->IsUp()) {
        OnLost(id, {}, false);
        return;
      }
      const submission& now = open->second;
      const logical_request& request = mRequests[now.mRequest];
      mEngines[engine]->Add(
        { id,
          owed ? kHighestTier : now.mItem.mTier,
          request.mPrefix,
          request.mPromptTokens,
          std::max(1U, request.mOutputTokens - now.mReceivedTokens) });
    });
}

void
simulation::OnFirstToken(ticket aTicket)
{
  const auto found = mOpenSubmissions.find(aTicket);
  if (found == mOpenSubmissions.end()) {
    return;
  }
  if (!found->second.mFirstToken) {
    found->second.mFirstToken = mLoop.Now();
  }
  OnInstance(found->second.mInstance,
             [aTicket](auto& aPolicy, time_point aNow) {
               aPolicy.OnFirstToken(aTicket, aNow);
               return decisions{};
             });
}

void
simulation::Account(submission& aSubmission, const engine_work& aWork)
{
  aSubmission.mLastPrefillCost = aWork.mPrefillTokens * kPromptTokenCost;
  const double cost = aWork.mOutputTokens + aSubmission.mLastPrefillCost;
  aSubmission.mCost += cost;
  mComputedTokens += cost;
}

void
simulation::OnCompleted(ticket aTicket, const engine_work& aWork)
{
  const auto found = mOpenSubmissions.find(aTicket);
  if (found == mOpenSubmissions.end()) {
    return;
  }
  submission done = found->second;
  mOpenSubmissions.erase(found);
  Account(done, aWork);
  logical_request& request = mRequests[done.mRequest];
  mUsefulTokens += request.mOutputTokens + done.mLastPrefillCost;
  const service_level& level =
    *FindLevel(mDeployment.mDeclared,
               mDeployment.mDeclared.mClasses[request.mClass].mLevel);
  const double first = ToSeconds(*done.mFirstToken - request.mFirstSubmitted);
  const double gap =
    request.mOutputTokens > 1
      ? ToSeconds(mLoop.Now() - *done.mFirstToken) / (request.mOutputTokens - 1)
      : 0;
  request.mAttained = first <= ToSeconds(level.mFirstTokenTarget) &&
                      gap <= ToSeconds(level.mBetweenTokensTarget);
  if (request.mIsMeasured) {
    class_outcome& row = mOutcome.mClasses[request.mClass];
    ++row.mCompleted;
    row.mAttained += request.mAttained ? 1 : 0;
    row.mFirstTokenSeconds.push_back(first);
  }
  const duration since = mLoop.Now() - mStart;
  if (since >= kWarmUp && since < kWarmUp + mScenario.mLength) {
    mGoodputTokens += request.mOutputTokens;
    mOutcome.mClasses[request.mClass].mTokensPerSecond +=
      request.mOutputTokens / ToSeconds(mScenario.mLength);
    mGoodputRequests += 1;
  }
  OnInstance(
    done.mInstance,
    [aTicket, tokens = request.mOutputTokens](auto& aPolicy, time_point aNow) {
      decisions out =
        aPolicy.OnAttemptEnded(aTicket, attempt_end::kCompleted, tokens, aNow);
      std::ranges::copy(aPolicy.Forget(aTicket, aNow), std::back_inserter(out));
      return out;
    });
}

void
simulation::OnLost(ticket aTicket,
                   const engine_work& aWork,
                   bool aMayHaveStarted)
{
  const auto found = mOpenSubmissions.find(aTicket);
  if (found == mOpenSubmissions.end()) {
    return;
  }
  submission& lost = found->second;
  lost.mEngine.reset();
  Account(lost, aWork);
  // The stream is resumed at another engine after the last token received.
  lost.mReceivedTokens += static_cast<std::uint32_t>(aWork.mOutputTokens);
  const bool canRetry = lost.mAttempts < kMaxAttempts &&
                        (!aMayHaveStarted || lost.mItem.mIdempotent);
  const std::size_t instance = lost.mInstance;
  const auto tokens = static_cast<std::uint32_t>(aWork.mOutputTokens);
  OnInstance(
    instance, [aTicket, tokens, canRetry](auto& aPolicy, time_point aNow) {
      decisions out =
        aPolicy.OnAttemptEnded(aTicket, attempt_end::kFailed, tokens, aNow);
      std::ranges::copy(canRetry ? aPolicy.Resubmit(aTicket, aNow)
                                 : aPolicy.Forget(aTicket, aNow),
                        std::back_inserter(out));
      return out;
    });
  if (!canRetry) {
    EndWithError(aTicket,
                 aMayHaveStarted ? error_kind::kEndpointConnectionLost
                                 : error_kind::kConnectFailed,
                 kDefaultBackoff);
  }
}

// Cancels the request as the daemon does: the engine stops the attempt, and the
// caller receives an error.
void
simulation::OnDeadline(ticket aTicket)
{
  const auto found = mOpenSubmissions.find(aTicket);
  if (found == mOpenSubmissions.end()) {
    return;
  }
  submission& late = found->second;
  const error_kind kind = late.mEngine ? error_kind::kDeadlineExpiredRunning
                                       : error_kind::kDeadlineExpiredWaiting;
  if (late.mEngine) {
    Account(late, mEngines[*late.mEngine]->Cancel(aTicket));
  }
  // The policy may refuse the request in this call, which ends its submission,
  // so `late` must not be used afterwards.
  OnInstance(late.mInstance, [aTicket](auto& aPolicy, time_point aNow) {
    decisions out =
      aPolicy.OnAttemptEnded(aTicket, attempt_end::kCancelled, 0, aNow);
    std::ranges::copy(aPolicy.Forget(aTicket, aNow), std::back_inserter(out));
    return out;
  });
  EndWithError(aTicket, kind, kDefaultBackoff);
}

void
simulation::EndWithError(ticket aTicket, error_kind aKind, duration aRetryAfter)
{
  const auto found = mOpenSubmissions.find(aTicket);
  if (found == mOpenSubmissions.end()) {
    return;
  }
  const std::size_t request = found->second.mRequest;
  mOpenSubmissions.erase(found);
  if (mRequests[request].mIsMeasured) {
    ++mOutcome.mErrors[static_cast<std::size_t>(aKind)];
  }
  MaybeRetry(request, aKind, aRetryAfter);
}

void
simulation::MaybeRetry(std::size_t aRequest, error_kind aKind, duration aAfter)
{
  logical_request& request = mRequests[aRequest];
  if (AnswerFor(aKind).mComeBack == come_back::kNever ||
      request.mRetries >= mScenario.mMaxRetries ||
      !std::bernoulli_distribution(mScenario.mRetryProbability)(mRandom)) {
    return;
  }
  ++request.mRetries;
  // The Retry-After header contains whole seconds, rounded up. Half of the
  // callers read the milliseconds in the response body instead.
  const bool readsHeader = std::bernoulli_distribution(0.5)(mRandom);
  const duration after =
    readsHeader ? std::chrono::ceil<std::chrono::seconds>(aAfter) : aAfter;
  mLoop.After(after, [this, aRequest] {
    ++mRetryBins[ToMilliseconds(mLoop.Now() - mStart) / 100];
    SubmitRequest(aRequest);
  });
}

void
simulation::ScheduleReports()
{
  if (mScenario.mReportLag < duration::zero()) {
    return;
  }
  mLoop.After(kReportInterval, [this] {
    if (IsOver()) {
      return;
    }
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      if (!mEngines[engine]->IsUp()) {
        continue;
      }
      const load_report report = mEngines[engine]->Report();
      const endpoint& declared = mDeployment.mDeclared.mEndpoints[engine];
      mLoop.After(mScenario.mReportLag, [this, report, &declared] {
        for (std::size_t index = 0; index < mInstances.size(); ++index) {
          if (!IsReachable(mInstances[index].mDomain, declared.mDomain)) {
            continue;
          }
          // The report and the name are captured by value, because a paused
          // instance receives the report only after resuming.
          OnInstance(
            index,
            [report, name = declared.mName](auto& aPolicy, time_point aNow) {
              return aPolicy.OnLoadReport(name, report, aNow);
            });
        }
      });
    }
    ScheduleReports();
  });
}

bool
simulation::IsOver() const
{
  return mLoop.Now() > mStart + kWarmUp + mScenario.mLength &&
         mOpenSubmissions.empty();
}

void
simulation::ScheduleTicks()
{
  mLoop.After(clock_gap::kTickInterval, [this] {
    if (IsOver()) {
      return;
    }
    for (std::size_t index = 0; index < mInstances.size(); ++index) {
      OnInstance(index, [](auto& aPolicy, time_point aNow) {
        return aPolicy.Tick(aNow);
      });
    }
    ScheduleTicks();
  });
}

void
simulation::SchedulePressure()
{
  mLoop.After(kPressureInterval, [this] {
    if (IsOver()) {
      return;
    }
    for (std::size_t index = 0; index < mInstances.size(); ++index) {
      if (mInstances[index].mPausedUntil <= mLoop.Now()) {
        SendPressure(index);
      }
    }
    SchedulePressure();
  });
}

void
simulation::SendPressure(std::size_t aInstance)
{
  const auto* sender = std::get_if<scheduler>(&mInstances[aInstance].mPolicy);
  if (sender == nullptr) {
    return;
  }
  const instance_name name("instance-" + std::to_string(aInstance));
  for (const pool_pressure& each : sender->Pressure(mLoop.Now())) {
    for (std::size_t other = 0; other < mInstances.size(); ++other) {
      if (other == aInstance || !IsReachable(mInstances[other].mDomain,
                                             mInstances[aInstance].mDomain)) {
        continue;
      }
      mLoop.After(kPressureDelay, [this, other, name, each] {
        OnInstance(other, [name, each](auto& aPolicy, time_point aNow) {
          return aPolicy.OnPeerPressure(name, each, aNow);
        });
      });
    }
  }
}

double
simulation::ComputeRecovery() const
{
  const auto bins =
    static_cast<std::size_t>(mScenario.mLength / kRecoveryBin) + 1;
  std::vector<double> asked(bins);
  std::vector<double> attained(bins);
  for (const logical_request& each : mRequests) {
    if (!each.mIsMeasured) {
      continue;
    }
    const auto bin = static_cast<std::size_t>(
      (each.mFirstSubmitted - mStart - kWarmUp) / kRecoveryBin);
    asked[bin] += 1;
    attained[bin] += each.mAttained ? 1 : 0;
  }
  const auto calm =
    static_cast<std::size_t>(mScenario.mRecoveryFrom / kRecoveryBin);
  std::size_t last = calm;
  for (std::size_t bin = calm; bin < bins; ++bin) {
    if (asked[bin] > 0 && attained[bin] < kRecoveredAttainment * asked[bin]) {
      last = bin + 1;
    }
  }
  return ToSeconds(kRecoveryBin) * static_cast<double>(last - calm);
}

outcome
simulation::ComputeOutcome() const
{
  outcome result = mOutcome;
  const double length = ToSeconds(mScenario.mLength);
  result.mTokensPerSecond = mGoodputTokens / length;
  result.mRequestsPerSecond = mGoodputRequests / length;
  result.mWastedFraction =
    mComputedTokens > 0 ? 1 - mUsefulTokens / mComputedTokens : 0;
  double asked = 0;
  double attained = 0;
  for (const logical_request& each : mRequests) {
    if (each.mIsMeasured && each.mTeam != 0) {
      asked += 1;
      attained += each.mAttained ? 1 : 0;
    }
  }
  result.mOtherTeamsAttainment = asked > 0 ? attained / asked : 1;
  if (mScenario.mRecoveryFrom > duration::zero()) {
    result.mRecoverySeconds = ComputeRecovery();
  }
  double retries = 0;
  double max = 0;
  for (const auto& [bin, count] : mRetryBins) {
    retries += count;
    max = std::max(max, static_cast<double>(count));
  }
  result.mRetryPeak = retries > 0 ? max / retries : 0;
  return result;
}

} // namespace

double
class_outcome::Attainment() const
{
  return mRequests == 0 ? 1 : static_cast<double>(mAttained) / mRequests;
}

double
class_outcome::Completion() const
{
  return mRequests == 0 ? 1 : static_cast<double>(mCompleted) / mRequests;
}

double
class_outcome::FirstTokenQuantile(double aQuantile) const
{
  if (mFirstTokenSeconds.empty()) {
    return 0;
  }
  std::vector<double> sorted = mFirstTokenSeconds;
  const auto place =
    sorted.begin() + static_cast<std::ptrdiff_t>(
                       aQuantile * static_cast<double>(sorted.size() - 1));
  std::ranges::nth_element(sorted, place);
  return *place;
}

outcome
Run(const deployment& aDeployment,
    const scenario_spec& aScenario,
    const policy_choice& aPolicy,
    std::uint64_t aSeed)
{
  return simulation(aDeployment, aScenario, aPolicy, aSeed).Run();
}

} // namespace thornhollow::scenario
