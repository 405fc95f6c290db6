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

// Engines and queues fill up before figures count.
constexpr duration kWarmUp = Seconds(5);
constexpr duration kToEngine = Milliseconds(1);
constexpr duration kConnectTimeout = Seconds(1);
constexpr duration kReportEvery = Milliseconds(250);
// Four rounds of gossip a second, each with a datagram's way.
constexpr duration kPressureEvery = Milliseconds(250);
constexpr duration kPressureDelay = Milliseconds(5);
// What a caller waits after a failure that names no time.
constexpr duration kOwnBackoff = Seconds(1);
constexpr int kMaxAttempts = 3;
constexpr double kPromptTokenCost = 1.0 / 32;
constexpr double kRecovered = 0.9;
constexpr duration kRecoveryBin = Seconds(1);

// What a caller wants, over all its submissions.
struct intent
{
  std::size_t mTraffic = 0;
  std::size_t mClass = 0;
  std::size_t mTeam = 0;
  std::uint64_t mPrefix = 0;
  std::uint32_t mPrompt = 0;
  std::uint32_t mOutput = 1;
  time_point mAsked{};
  int mComeBacks = 0;
  bool mCounts = false;
  bool mAttained = false;
};

// One request at one instance.
struct submission
{
  std::size_t mIntent = 0;
  std::size_t mInstance = 0;
  work_item mItem;
  std::optional<std::size_t> mEngine;
  int mAttempts = 0;
  std::uint32_t mReceived = 0;
  std::optional<time_point> mFirstToken;
  double mCost = 0;
  double mLastPrefill = 0;
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
    if (const auto* own = std::get_if<scheduler_settings>(&aPolicy)) {
      return policy(std::in_place_type<scheduler>, *own, aSeed);
    }
    const endpoint_order order = std::holds_alternative<round_robin>(aPolicy)
                                   ? endpoint_order(round_robin{})
                                   : endpoint_order(least_outstanding{});
    return policy(std::in_place_type<baseline_scheduler>, order, aSeed);
  }

  policy mPolicy;
  domain_name mDomain;
  time_point mPausedUntil{};
  std::optional<time_point> mWakes;
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
  void PlanTroubles();
  void Begin(const trouble& aTrouble);
  void End(const trouble& aTrouble);
  void CutConnections();

  void PlanArrival(std::size_t aTraffic);
  double Factor(const class_name& aClass, std::size_t aTeam) const;
  double TeamShare(std::size_t aTeam) const;
  double TotalFactor(const class_name& aClass) const;
  void Arrive(std::size_t aTraffic);
  std::uint32_t Length(double aMedian, double aSpread);
  std::uint64_t Prefix(const class_traffic& aTraffic);
  std::size_t PickInstance(std::size_t aClass);
  void SubmitIntent(std::size_t aIntent);

  // Runs `aCall` on an instance's policy, unless its process stands still; then
  // once it goes on.
  template<class call>
  void OnInstance(std::size_t aInstance, call aCall);
  void Apply(std::size_t aInstance, const decisions& aDecisions);
  void PlanWake(std::size_t aInstance);

  void StartAttempt(std::size_t aInstance, const start& aStart);
  void OnFirstToken(ticket aTicket);
  void OnCompleted(ticket aTicket, const engine_work& aWork);
  void OnLost(ticket aTicket, const engine_work& aWork, bool aMayHaveRun);
  void OnDeadline(ticket aTicket);
  void Account(submission& aSubmission, const engine_work& aWork);
  void Fail(ticket aTicket, error_kind aKind, duration aRetryAfter);
  void ComeBack(std::size_t aIntent, error_kind aKind, duration aAfter);
  bool Reachable(const domain_name& aLeft, const domain_name& aRight) const;

  void PlanReports();
  void PlanTicks();
  void PlanPressure();
  void TellPressure(std::size_t aInstance);
  bool IsOver() const;
  outcome Judge() const;
  double Recovery() const;

  const deployment& mDeployment;
  const scenario_spec& mScenario;
  event_loop mLoop;
  time_point mStart = mLoop.Now();
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<engine_model>> mEngines;
  std::unordered_map<endpoint_name, std::size_t> mEngineIndex;
  std::deque<entry_instance> mInstances;
  domain_name mCutOff;
  std::vector<intent> mIntents;
  std::unordered_map<ticket, submission> mOpen;
  ticket mNextTicket = 1;
  outcome mOutcome;
  double mComputed = 0;
  double mUseful = 0;
  double mGoodTokens = 0;
  double mGoodRequests = 0;
  std::map<std::int64_t, std::uint32_t> mComeBackBins;
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
      mLoop.After(kToEngine, [this, aTicket] { OnFirstToken(aTicket); });
    };
    calls.mCompleted = [this](ticket aTicket, const engine_work& aWork) {
      mLoop.After(kToEngine,
                  [this, aTicket, aWork] { OnCompleted(aTicket, aWork); });
    };
    calls.mLost = [this](ticket aTicket, const engine_work& aWork) {
      mLoop.After(kToEngine,
                  [this, aTicket, aWork] { OnLost(aTicket, aWork, true); });
    };
    mEngines.push_back(std::make_unique<engine_model>(
      mLoop, mDeployment.mEngine, std::move(calls)));
  }
}

void
simulation::MakeInstances(const policy_choice& aPolicy, std::uint64_t aSeed)
{
  for (const domain_name& domain : mDeployment.mInstances) {
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
  PlanTroubles();
  for (std::size_t traffic = 0; traffic < mDeployment.mTraffic.size();
       ++traffic) {
    PlanArrival(traffic);
  }
  PlanReports();
  PlanTicks();
  PlanPressure();
  duration longest{};
  for (const service_level& each : mDeployment.mDeclared.mLevels) {
    longest = std::max(longest, each.mDeadline);
  }
  mLoop.RunUntil(mStart + kWarmUp + mScenario.mLength + 2 * longest);
  return Judge();
}

void
simulation::PlanTroubles()
{
  for (const trouble& each : mScenario.mTroubles) {
    mLoop.At(mStart + kWarmUp + each.mFrom, [this, each] { Begin(each); });
    mLoop.At(mStart + kWarmUp + each.mUntil, [this, each] { End(each); });
  }
}

void
simulation::Begin(const trouble& aTrouble)
{
  switch (aTrouble.mKind) {
    case trouble_kind::kSlow:
      mEngines[aTrouble.mIndex]->SetSlowness(aTrouble.mFactor);
      break;
    case trouble_kind::kCrash:
      mEngines[aTrouble.mIndex]->Crash();
      break;
    case trouble_kind::kCutOff:
      mCutOff = aTrouble.mDomain;
      CutConnections();
      break;
    case trouble_kind::kPause:
      mInstances[aTrouble.mIndex].mPausedUntil =
        mStart + kWarmUp + aTrouble.mUntil;
      break;
  }
}

void
simulation::End(const trouble& aTrouble)
{
  switch (aTrouble.mKind) {
    case trouble_kind::kSlow:
      mEngines[aTrouble.mIndex]->SetSlowness(1);
      break;
    case trouble_kind::kCrash:
      mEngines[aTrouble.mIndex]->Restart();
      break;
    case trouble_kind::kCutOff:
      mCutOff = domain_name();
      break;
    case trouble_kind::kPause:
      break;
  }
}

// Streams over the cut fall silent; both ends notice after the time limit.
void
simulation::CutConnections()
{
  for (const auto& [id, each] : mOpen) {
    if (!each.mEngine ||
        Reachable(mInstances[each.mInstance].mDomain,
                  mDeployment.mDeclared.mEndpoints[*each.mEngine].mDomain)) {
      continue;
    }
    mLoop.After(kConnectTimeout, [this, id = id, engine = *each.mEngine] {
      const auto found = mOpen.find(id);
      if (found != mOpen.end() && found->second.mEngine == engine) {
        OnLost(id, mEngines[engine]->Cancel(id), true);
      }
    });
  }
}

bool
simulation::Reachable(const domain_name& aLeft, const domain_name& aRight) const
{
  return mCutOff.empty() || (aLeft == mCutOff) == (aRight == mCutOff);
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
simulation::Factor(const class_name& aClass, std::size_t aTeam) const
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
simulation::TotalFactor(const class_name& aClass) const
{
  double total = 0;
  for (std::size_t team = 0; team < mDeployment.mDeclared.mTeams.size();
       ++team) {
    total += TeamShare(team) * Factor(aClass, team);
  }
  return total;
}

// A Poisson process: its rate at the time drawn decides whether the arrival is
// one, so that a surge needs no event of its own.
void
simulation::PlanArrival(std::size_t aTraffic)
{
  const class_traffic& traffic = mDeployment.mTraffic[aTraffic];
  double most = 1;
  for (const surge& each : mScenario.mSurges) {
    most *= std::max(1.0, each.mFactor);
  }
  const double rate = RequestRate(mDeployment, traffic) * mScenario.mLoad;
  const double wait =
    std::exponential_distribution<double>(rate * most)(mRandom);
  mLoop.After(FromSeconds(wait), [this, aTraffic, most] {
    if (mLoop.Now() >= mStart + kWarmUp + mScenario.mLength) {
      return;
    }
    const double keep =
      TotalFactor(mDeployment.mTraffic[aTraffic].mClass) / most;
    if (std::bernoulli_distribution(std::min(1.0, keep))(mRandom)) {
      Arrive(aTraffic);
    }
    PlanArrival(aTraffic);
  });
}

std::uint32_t
simulation::Length(double aMedian, double aSpread)
{
  const double drawn =
    std::lognormal_distribution<double>(std::log(aMedian), aSpread)(mRandom);
  return static_cast<std::uint32_t>(std::max(1.0, drawn));
}

std::uint64_t
simulation::Prefix(const class_traffic& aTraffic)
{
  std::uint32_t which = 0;
  if (!std::bernoulli_distribution(mScenario.mHotPrefixShare)(mRandom)) {
    // The n-th prefix is used 1/n as often as the first.
    std::vector<double> weights;
    for (std::uint32_t rank = 1; rank <= aTraffic.mPrefixes; ++rank) {
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
  intent next;
  next.mTraffic = aTraffic;
  while (mOutcome.mClasses[next.mClass].mClass != traffic.mClass) {
    ++next.mClass;
  }
  std::vector<double> teams;
  for (std::size_t team = 0; team < mDeployment.mDeclared.mTeams.size();
       ++team) {
    teams.push_back(TeamShare(team) * Factor(traffic.mClass, team));
  }
  next.mTeam = std::discrete_distribution<std::size_t>(teams.begin(),
                                                       teams.end())(mRandom);
  next.mPrefix = Prefix(traffic);
  next.mPrompt = Length(traffic.mMedianPrompt, traffic.mSpread);
  next.mOutput = std::min(Length(traffic.mMedianOutput, traffic.mSpread),
                          traffic.mMaxOutput);
  next.mAsked = mLoop.Now();
  next.mCounts = mLoop.Now() >= mStart + kWarmUp;
  mOutcome.mClasses[next.mClass].mAsked += next.mCounts ? 1 : 0;
  mIntents.push_back(next);
  SubmitIntent(mIntents.size() - 1);
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
simulation::SubmitIntent(std::size_t aIntent)
{
  const intent& wanted = mIntents[aIntent];
  const class_traffic& traffic = mDeployment.mTraffic[wanted.mTraffic];
  const request_class& named = mDeployment.mDeclared.mClasses[wanted.mClass];
  const service_level& level = *FindLevel(mDeployment.mDeclared, named.mLevel);
  submission next;
  next.mIntent = aIntent;
  next.mInstance = PickInstance(wanted.mClass);
  work_item& item = next.mItem;
  item.mTicket = mNextTicket++;
  item.mTeam = mDeployment.mDeclared.mTeams[wanted.mTeam].mName;
  item.mClass = named.mName;
  item.mPool = traffic.mPool;
  item.mTier = level.mTier;
  item.mPrefix = wanted.mPrefix;
  item.mPromptTokens = wanted.mPrompt;
  item.mMaxOutputTokens = traffic.mMaxOutput;
  item.mArrival = mLoop.Now();
  item.mDeadline = mLoop.Now() + level.mDeadline;
  item.mIdempotent = named.mIdempotent;
  mLoop.At(item.mDeadline, [this, id = item.mTicket] { OnDeadline(id); });
  mOpen.emplace(item.mTicket, next);
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
  PlanWake(aInstance);
}

void
simulation::Apply(std::size_t aInstance, const decisions& aDecisions)
{
  for (const decision& each : aDecisions) {
    if (const auto* started = std::get_if<start>(&each)) {
      StartAttempt(aInstance, *started);
    } else {
      const refuse& refused = std::get<refuse>(each);
      Fail(refused.mTicket, refused.mKind, refused.mRetryAfter);
    }
  }
}

void
simulation::PlanWake(std::size_t aInstance)
{
  entry_instance& instance = mInstances[aInstance];
  const auto due = std::visit(
    [](const auto& aPolicy) { return aPolicy.NextDue(); }, instance.mPolicy);
  if (!due || (instance.mWakes && *instance.mWakes <= *due)) {
    return;
  }
  instance.mWakes = std::max(*due, mLoop.Now());
  mLoop.At(*due, [this, aInstance, planned = *instance.mWakes] {
    if (mInstances[aInstance].mWakes != planned) {
      return;
    }
    mInstances[aInstance].mWakes.reset();
    OnInstance(aInstance, [](auto& aPolicy, time_point aNow) {
      return aPolicy.Advance(aNow);
    });
  });
}

void
simulation::StartAttempt(std::size_t aInstance, const start& aStart)
{
  const auto found = mOpen.find(aStart.mTicket);
  if (found == mOpen.end()) {
    return;
  }
  submission& sent = found->second;
  const std::size_t engine = mEngineIndex.at(aStart.mEndpoint);
  sent.mEngine = engine;
  ++sent.mAttempts;
  const domain_name& own = mInstances[aInstance].mDomain;
  const domain_name& there = mDeployment.mDeclared.mEndpoints[engine].mDomain;
  const bool reaches = Reachable(own, there);
  const duration way =
    own == there ? kToEngine : kToEngine + mDeployment.mBetweenDomains;
  mLoop.After(reaches ? way : kConnectTimeout,
              [this,
               id = aStart.mTicket,
               owed = aStart.mUsesMinimumShare,
               engine,
               reaches] {
                const auto open = mOpen.find(id);
                if (open == mOpen.end() || open->second.mEngine != engine) {
                  return;
                }
                if (!reaches || !mEngines[engine]->Up()) {
                  OnLost(id, {}, false);
                  return;
                }
                const submission& now = open->second;
                const intent& wanted = mIntents[now.mIntent];
                mEngines[engine]->Add(
                  { id,
                    owed ? kHighestTier : now.mItem.mTier,
                    wanted.mPrefix,
                    wanted.mPrompt,
                    std::max(1U, wanted.mOutput - now.mReceived) });
              });
}

void
simulation::OnFirstToken(ticket aTicket)
{
  const auto found = mOpen.find(aTicket);
  if (found == mOpen.end()) {
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
  aSubmission.mLastPrefill = aWork.mPrefillTokens * kPromptTokenCost;
  const double cost = aWork.mOutputTokens + aSubmission.mLastPrefill;
  aSubmission.mCost += cost;
  mComputed += cost;
}

void
simulation::OnCompleted(ticket aTicket, const engine_work& aWork)
{
  const auto found = mOpen.find(aTicket);
  if (found == mOpen.end()) {
    return;
  }
  submission done = found->second;
  mOpen.erase(found);
  Account(done, aWork);
  intent& wanted = mIntents[done.mIntent];
  mUseful += wanted.mOutput + done.mLastPrefill;
  const service_level& level =
    *FindLevel(mDeployment.mDeclared,
               mDeployment.mDeclared.mClasses[wanted.mClass].mLevel);
  const double first = ToSeconds(*done.mFirstToken - wanted.mAsked);
  const double gap =
    wanted.mOutput > 1
      ? ToSeconds(mLoop.Now() - *done.mFirstToken) / (wanted.mOutput - 1)
      : 0;
  wanted.mAttained = first <= ToSeconds(level.mFirstTokenTarget) &&
                     gap <= ToSeconds(level.mBetweenTokensTarget);
  if (wanted.mCounts) {
    class_outcome& row = mOutcome.mClasses[wanted.mClass];
    ++row.mCompleted;
    row.mAttained += wanted.mAttained ? 1 : 0;
    row.mFirstTokenSeconds.push_back(first);
  }
  const duration since = mLoop.Now() - mStart;
  if (since >= kWarmUp && since < kWarmUp + mScenario.mLength) {
    mGoodTokens += wanted.mOutput;
    mOutcome.mClasses[wanted.mClass].mTokensPerSecond +=
      wanted.mOutput / ToSeconds(mScenario.mLength);
    mGoodRequests += 1;
  }
  OnInstance(
    done.mInstance,
    [aTicket, tokens = wanted.mOutput](auto& aPolicy, time_point aNow) {
      decisions out =
        aPolicy.OnAttemptEnded(aTicket, attempt_end::kCompleted, tokens, aNow);
      std::ranges::copy(aPolicy.Forget(aTicket, aNow), std::back_inserter(out));
      return out;
    });
}

void
simulation::OnLost(ticket aTicket, const engine_work& aWork, bool aMayHaveRun)
{
  const auto found = mOpen.find(aTicket);
  if (found == mOpen.end()) {
    return;
  }
  submission& lost = found->second;
  lost.mEngine.reset();
  Account(lost, aWork);
  // The stream goes on elsewhere at the token after the last one received.
  lost.mReceived += static_cast<std::uint32_t>(aWork.mOutputTokens);
  const bool again =
    lost.mAttempts < kMaxAttempts && (!aMayHaveRun || lost.mItem.mIdempotent);
  const std::size_t instance = lost.mInstance;
  const auto tokens = static_cast<std::uint32_t>(aWork.mOutputTokens);
  OnInstance(
    instance, [aTicket, tokens, again](auto& aPolicy, time_point aNow) {
      decisions out =
        aPolicy.OnAttemptEnded(aTicket, attempt_end::kFailed, tokens, aNow);
      std::ranges::copy(again ? aPolicy.Resubmit(aTicket, aNow)
                              : aPolicy.Forget(aTicket, aNow),
                        std::back_inserter(out));
      return out;
    });
  if (!again) {
    Fail(aTicket,
         aMayHaveRun ? error_kind::kEndpointConnectionLost
                     : error_kind::kConnectFailed,
         kOwnBackoff);
  }
}

// The owner of the policy gives the request up, as a daemon does: the engine is
// told, the caller gets its answer.
void
simulation::OnDeadline(ticket aTicket)
{
  const auto found = mOpen.find(aTicket);
  if (found == mOpen.end()) {
    return;
  }
  submission& late = found->second;
  const error_kind kind = late.mEngine ? error_kind::kDeadlineExpiredRunning
                                       : error_kind::kDeadlineExpiredWaiting;
  if (late.mEngine) {
    Account(late, mEngines[*late.mEngine]->Cancel(aTicket));
  }
  // The policy may refuse this very request now, which ends its submission.
  OnInstance(late.mInstance, [aTicket](auto& aPolicy, time_point aNow) {
    decisions out =
      aPolicy.OnAttemptEnded(aTicket, attempt_end::kCancelled, 0, aNow);
    std::ranges::copy(aPolicy.Forget(aTicket, aNow), std::back_inserter(out));
    return out;
  });
  Fail(aTicket, kind, kOwnBackoff);
}

void
simulation::Fail(ticket aTicket, error_kind aKind, duration aRetryAfter)
{
  const auto found = mOpen.find(aTicket);
  if (found == mOpen.end()) {
    return;
  }
  const std::size_t wanted = found->second.mIntent;
  mOpen.erase(found);
  if (mIntents[wanted].mCounts) {
    ++mOutcome.mErrors[static_cast<std::size_t>(aKind)];
  }
  ComeBack(wanted, aKind, aRetryAfter);
}

void
simulation::ComeBack(std::size_t aIntent, error_kind aKind, duration aAfter)
{
  intent& wanted = mIntents[aIntent];
  if (AnswerFor(aKind).mComeBack == come_back::kNever ||
      wanted.mComeBacks >= mScenario.mMaxComeBacks ||
      !std::bernoulli_distribution(mScenario.mComeBack)(mRandom)) {
    return;
  }
  ++wanted.mComeBacks;
  // The header carries whole seconds, rounded up; half of the callers read the
  // milliseconds in the answer's body.
  const bool readsHeader = std::bernoulli_distribution(0.5)(mRandom);
  const duration after =
    readsHeader ? std::chrono::ceil<std::chrono::seconds>(aAfter) : aAfter;
  mLoop.After(after, [this, aIntent] {
    ++mComeBackBins[ToMilliseconds(mLoop.Now() - mStart) / 100];
    SubmitIntent(aIntent);
  });
}

void
simulation::PlanReports()
{
  if (mScenario.mReportLag < duration::zero()) {
    return;
  }
  mLoop.After(kReportEvery, [this] {
    if (IsOver()) {
      return;
    }
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      if (!mEngines[engine]->Up()) {
        continue;
      }
      const load_report report = mEngines[engine]->Report();
      const endpoint& declared = mDeployment.mDeclared.mEndpoints[engine];
      mLoop.After(mScenario.mReportLag, [this, report, &declared] {
        for (std::size_t index = 0; index < mInstances.size(); ++index) {
          if (!Reachable(mInstances[index].mDomain, declared.mDomain)) {
            continue;
          }
          // By value: a paused instance takes it later.
          OnInstance(
            index,
            [report, name = declared.mName](auto& aPolicy, time_point aNow) {
              return aPolicy.OnLoadReport(name, report, aNow);
            });
        }
      });
    }
    PlanReports();
  });
}

bool
simulation::IsOver() const
{
  return mLoop.Now() > mStart + kWarmUp + mScenario.mLength && mOpen.empty();
}

void
simulation::PlanTicks()
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
    PlanTicks();
  });
}

void
simulation::PlanPressure()
{
  mLoop.After(kPressureEvery, [this] {
    if (IsOver()) {
      return;
    }
    for (std::size_t index = 0; index < mInstances.size(); ++index) {
      if (mInstances[index].mPausedUntil <= mLoop.Now()) {
        TellPressure(index);
      }
    }
    PlanPressure();
  });
}

void
simulation::TellPressure(std::size_t aInstance)
{
  const auto* own = std::get_if<scheduler>(&mInstances[aInstance].mPolicy);
  if (own == nullptr) {
    return;
  }
  const instance_name name("instance-" + std::to_string(aInstance));
  for (const pool_pressure& each : own->Pressure(mLoop.Now())) {
    for (std::size_t other = 0; other < mInstances.size(); ++other) {
      if (other == aInstance || !Reachable(mInstances[other].mDomain,
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
simulation::Recovery() const
{
  const auto bins =
    static_cast<std::size_t>(mScenario.mLength / kRecoveryBin) + 1;
  std::vector<double> asked(bins);
  std::vector<double> attained(bins);
  for (const intent& each : mIntents) {
    if (!each.mCounts) {
      continue;
    }
    const auto bin =
      static_cast<std::size_t>((each.mAsked - mStart - kWarmUp) / kRecoveryBin);
    asked[bin] += 1;
    attained[bin] += each.mAttained ? 1 : 0;
  }
  const auto calm =
    static_cast<std::size_t>(mScenario.mCalmFrom / kRecoveryBin);
  std::size_t last = calm;
  for (std::size_t bin = calm; bin < bins; ++bin) {
    if (asked[bin] > 0 && attained[bin] < kRecovered * asked[bin]) {
      last = bin + 1;
    }
  }
  return ToSeconds(kRecoveryBin) * static_cast<double>(last - calm);
}

outcome
simulation::Judge() const
{
  outcome judged = mOutcome;
  const double length = ToSeconds(mScenario.mLength);
  judged.mTokensPerSecond = mGoodTokens / length;
  judged.mRequestsPerSecond = mGoodRequests / length;
  judged.mWasted = mComputed > 0 ? 1 - mUseful / mComputed : 0;
  double asked = 0;
  double attained = 0;
  for (const intent& each : mIntents) {
    if (each.mCounts && each.mTeam != 0) {
      asked += 1;
      attained += each.mAttained ? 1 : 0;
    }
  }
  judged.mOtherTeamsAttainment = asked > 0 ? attained / asked : 1;
  if (mScenario.mCalmFrom > duration::zero()) {
    judged.mRecoverySeconds = Recovery();
  }
  double backs = 0;
  double most = 0;
  for (const auto& [bin, count] : mComeBackBins) {
    backs += count;
    most = std::max(most, static_cast<double>(count));
  }
  judged.mComeBackPeak = backs > 0 ? most / backs : 0;
  return judged;
}

} // namespace

double
class_outcome::Attainment() const
{
  return mAsked == 0 ? 1 : static_cast<double>(mAttained) / mAsked;
}

double
class_outcome::Completion() const
{
  return mAsked == 0 ? 1 : static_cast<double>(mCompleted) / mAsked;
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
