#include "thornhollow/policy/relay_pool.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <utility>

#include "thornhollow/base/hash.h"

namespace thornhollow {
namespace {

// Plain services answer part of their requests with errors of their own as a
// matter of course (14 in 100 where the users' inventory is asked), so more
// failures are needed before one is left than for engines, which answer
// without a failure for as long as they are sound.
endpoint_health_settings
HealthSettings(bool aEngines)
{
  endpoint_health_settings settings;
  settings.mFailuresInRow = aEngines ? 3 : 5;
  settings.mFailureShare = aEngines ? 0.3 : 0.45;
  settings.mLeastAttempts = aEngines ? 5 : 10;
  settings.mLastProbeAfter = Seconds(4);
  return settings;
}

// Engines whose place in a session's order counts: with the default steps the
// penalty is whole from the third on.
constexpr std::size_t kNearRanks = 4;

// Prompt tokens that reading `aOwn` tokens after `aCached` known ones is worth,
// as compared to reading without context: a step of its own for each chunk, and
// attention to all tokens before. The two figures are those of two makes of
// engine and an eighth or so for usual prompts; without them the days with
// trouble of a site with other engines were worth 0.759 instead of 0.770, as
// engines were told apart by the length of their prompts.
double
ReadCost(double aOwn, double aCached)
{
  constexpr double kSteps = 0.125;
  constexpr double kTokensForAPair = 18.3e-6;
  const double pairs = aOwn * (aCached + aOwn / 2);
  return aOwn * (1 + kSteps) + pairs * kTokensForAPair;
}

// Nothing is refused before engines have this part of what they can read to do:
// a queue that is there all the same is a clump, and gone before who is sent
// away for it comes back.
constexpr double kFullFrom = 0.85;

// Engines of one pool don't differ by more, whatever was seen of a few prompts.
constexpr double kMostApart = 2.5;

} // namespace

relay_pool::relay_pool(const relay_pool_settings& aSettings,
                       bool aEngines,
                       domain_name aOwnDomain,
                       std::uint64_t aSeed)
  : mSettings(aSettings)
  , mEngines(aEngines)
  , mOwnDomain(std::move(aOwnDomain))
  , mReach(domain_reachability_settings{}, mOwnDomain)
  , mRandom(aSeed)
  , mAffinity(aSettings.mAffinity)
  , mBorder(aSettings.mBorder)
  , mSides(aSettings.mSides)
  , mAdmission(aSettings.mAdmission)
  , mReadRate(aSettings.mReadPerSecond)
  , mReadPerSecond(aSettings.mReadPerSecond)
{
}

void
relay_pool::Put(const relay_endpoint& aEndpoint)
{
  const auto found = mRecords.find(aEndpoint.mName);
  if (found != mRecords.end() &&
      found->second.mEndpoint.mLifetime == aEndpoint.mLifetime) {
    found->second.mEndpoint = aEndpoint;
    return;
  }
  Remove(aEndpoint.mName);
  mRecords.emplace(aEndpoint.mName,
                   record{ aEndpoint,
                           mNextNumber++,
                           Hash64(aEndpoint.mName.Text()),
                           endpoint_health(HealthSettings(mEngines)) });
}

void
relay_pool::Remove(const endpoint_name& aName)
{
  if (const auto found = mRecords.find(aName); found != mRecords.end()) {
    mAffinity.Forget(found->second.mNumber);
    mRecords.erase(found);
  }
}

engine_side
relay_pool::SideOf(const relay_work& aWork) const
{
  return mBorder.IsBulk(KindOf(aWork)) ? engine_side::kBulk
                                       : engine_side::kInteractive;
}

std::variant<std::optional<relay_pick>, admission_refusal>
relay_pool::Admit(const relay_work& aWork, duration aTimeLeft, time_point aNow)
{
  const auto pick = Choose(aWork, {}, aNow);
  if (!mEngines || !pick) {
    return pick;
  }
  // What is refused counts as asked for.
  mMeter.OnRequest(KindOf(aWork), pick->mToRead, aNow);
  mPopular.OnAsked(aWork.mFirstPart, aNow);
  const double room =
    static_cast<double>(mBorder.BulkEngines()) * mReadPerSecond;
  const duration forSlot = SlotWait();
  const bool full =
    mBulkDemand >= room * kFullFrom || forSlot > duration::zero();
  if (!pick->mBulk || !full) {
    return pick;
  }
  // While slots are short who comes back isn't put first: the target has passed
  // for most of them, and others' would pass as well.
  const auto refused = mAdmission.Judge(
    { .mTeam = aWork.mTeam,
      .mTier = aWork.mTier,
      .mTokens = aWork.mPromptTokens - aWork.mSharedTokens,
      .mTarget = aWork.mTarget,
      .mTimeLeft = aTimeLeft,
      .mExpected = pick->mExpected + forSlot,
      .mReturns = aWork.mReturns && forSlot <= duration::zero(),
      .mOverload = mBulkDemand / room },
    mRandom,
    aNow);
  if (refused) {
    return *refused;
  }
  return pick;
}

std::optional<relay_pick>
relay_pool::Choose(const relay_work& aWork,
                   const std::vector<endpoint_name>& aTried,
                   time_point aNow)
{
  for (auto& [name, each] : mRecords) {
    each.mHealth.Update(aNow);
  }
  std::vector<record*> candidates = Candidates(aWork, aTried, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  relay_pick pick;
  record* chosen = mEngines ? ChooseEngine(aWork, candidates, aNow, pick)
                            : ChoosePlain(candidates);
  pick.mEndpoint = chosen->mEndpoint.mName;
  pick.mAddress = chosen->mEndpoint.mAddress;
  pick.mDomain = chosen->mEndpoint.mDomain;
  pick.mLifetime = chosen->mEndpoint.mLifetime;
  pick.mBulk = SideOf(aWork) == engine_side::kBulk;
  return pick;
}

bool
relay_pool::TakesNewWork(const record& aRecord, time_point aNow) const
{
  constexpr std::uint32_t kUnlimited = 1U << 20U;
  return !aRecord.mEndpoint.mDraining &&
         aRecord.mInFlight <
           aRecord.mHealth.Allowance(kUnlimited, aRecord.mInFlight, aNow);
}

std::vector<relay_pool::record*>
relay_pool::Candidates(const relay_work& aWork,
                       const std::vector<endpoint_name>& aTried,
                       time_point aNow)
{
  std::vector<record*> sound;
  std::vector<record*> doubtful;
  for (auto& [name, each] : mRecords) {
    if (each.mEndpoint.mDraining || std::ranges::count(aTried, name) > 0) {
      continue;
    }
    (TakesNewWork(each, aNow) ? sound : doubtful).push_back(&each);
  }
  // With no sound one left a doubtful one is worth the try: refusing is
  // certain to fail.
  if (sound.empty()) {
    return doubtful;
  }
  sound = WithinReach(std::move(sound), aNow);
  return mEngines ? OfSide(aWork, sound, aNow) : sound;
}

// Those whose failure domains aren't in doubt; all where that leaves none.
std::vector<relay_pool::record*>
relay_pool::WithinReach(std::vector<record*> aSound, time_point aNow) const
{
  if (!mReach.AnySuspected(aNow)) {
    return aSound;
  }
  std::vector<record*> within;
  within.reserve(aSound.size());
  std::ranges::copy_if(aSound, std::back_inserter(within), [&](record* aOne) {
    return !mReach.IsSuspected(aOne->mEndpoint.mDomain, aNow);
  });
  return within.empty() ? std::move(aSound) : within;
}

void
relay_pool::AssignSides(const demand_by_kind& aDemand, time_point aNow)
{
  std::vector<side_candidate> sound;
  for (auto& [name, each] : mRecords) {
    each.mHealth.Update(aNow);
    if (TakesNewWork(each, aNow)) {
      sound.push_back({ each.mNumber, each.mSlow, each.mRank });
    }
  }
  if (!mBorder.IsPartitioned() || sound.size() < 2) {
    sound.clear();
  }
  const double part = static_cast<double>(mBorder.BulkEngines()) /
                      static_cast<double>(std::max<std::size_t>(size(), 1));
  const auto bulk = static_cast<std::size_t>(
    std::lround(part * static_cast<double>(sound.size())));
  mBulkSound = sound.empty() ? size() : bulk;
  const std::size_t most = sound.empty() ? 0 : sound.size() - 1;
  mAdmission.SetCapacity(
    static_cast<double>(mBulkSound) * ReadPerSecond() /
    static_cast<double>(std::max<std::size_t>(mInstances, 1)));
  mSides.Observe(
    std::move(sound),
    std::clamp<std::size_t>(bulk, std::min<std::size_t>(most, 1), most),
    aDemand.empty(),
    aNow);
}

// The engines of the work's side of the border; all where that leaves none.
// Bulk work passes over those that still clear, as long as the others have
// room for it.
std::vector<relay_pool::record*>
relay_pool::OfSide(const relay_work& aWork,
                   const std::vector<record*>& aSound,
                   time_point aNow) const
{
  if (!mBorder.IsPartitioned()) {
    return aSound;
  }
  const engine_side side = SideOf(aWork);
  std::vector<record*> all;
  std::vector<record*> clear;
  for (record* each : aSound) {
    if (mSides.SideOf(each->mNumber) == side) {
      all.push_back(each);
      if (!mSides.IsDraining(each->mNumber, aNow)) {
        clear.push_back(each);
      }
    }
  }
  const double room =
    static_cast<double>(clear.size()) * ReadPerSecond() * mSettings.mClearBelow;
  if (side == engine_side::kBulk && mBulkDemand < room) {
    return clear;
  }
  return all.empty() ? aSound : all;
}

relay_pool::record*
relay_pool::ChoosePlain(const std::vector<record*>& aCandidates)
{
  const auto cost = [this](const record* aRecord) {
    const bool own = aRecord->mEndpoint.mDomain == mOwnDomain;
    return 2 * aRecord->mInFlight + (own ? 0 : 1);
  };
  std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
  std::vector<record*> best;
  for (record* each : aCandidates) {
    const std::uint32_t its = cost(each);
    if (its < least) {
      best.clear();
      least = its;
    }
    if (its == least) {
      best.push_back(each);
    }
  }
  return best[mRandom() % best.size()];
}

relay_pool::record*
relay_pool::ChooseEngine(const relay_work& aWork,
                         const std::vector<record*>& aCandidates,
                         time_point aNow,
                         relay_pick& aPick)
{
  const auto holders = mAffinity.Holders(aWork.mSharedPrefix, aNow);
  const auto first = FirstInOrder(aWork, aCandidates, kNearRanks);
  const double own =
    ReadCost(aWork.mPromptTokens - aWork.mSharedTokens, aWork.mSharedTokens);
  const double session =
    aWork.mSharedTokens -
    (mPopular.HeldByAll(aWork.mFirstPart, aCandidates.size(), mInstances, aNow)
       ? aWork.mFirstPartTokens
       : 0);
  record* best = nullptr;
  double bestCost = 0;
  for (record* each : aCandidates) {
    const bool holds = std::ranges::count(holders, each->mNumber) > 0;
    const auto rank =
      static_cast<std::size_t>(std::ranges::find(first, each) - first.begin());
    const bool hasParts = holds || rank == 0;
    const double missing = session * Absent(holds, rank);
    const double penalty =
      rank == first.size()
        ? mSettings.mMissPenalty
        : std::min(mSettings.mMissPenalty,
                   mSettings.mMissStep * static_cast<double>(rank));
    const double waiting =
      static_cast<double>(each->mToRead + each->mOthersToRead);
    const double pace = SecondsPerToken(*each, aNow);
    const double cost =
      (waiting + own + missing * penalty) * pace + CrowdSeconds(*each, aWork);
    if (best == nullptr || cost < bestCost) {
      best = each;
      bestCost = cost;
      aPick.mToRead = static_cast<std::uint32_t>(own + missing);
      aPick.mHolds = hasParts;
      aPick.mSentBefore = holds;
      aPick.mKnownPrefix = holders.front() != prefix_affinity::kNobody;
      aPick.mBacklog = each->mToRead + each->mOthersToRead;
      aPick.mExpected =
        mSettings.mFirstEvent + FromSeconds((waiting + own + missing) * pace);
    }
  }
  if (mSettings.mCopyFromTokens > 0 &&
      aWork.mSharedTokens >= mSettings.mCopyFromTokens) {
    if (const record* from = Holder(aWork, holders, *best, aNow)) {
      aPick.mCopyFrom = from->mEndpoint.mAddress;
    }
  }
  return best;
}

// How likely an engine is to lack a session's shared parts.
double
relay_pool::Absent(bool aSentThere, std::size_t aRank) const
{
  if (aSentThere) {
    return 0;
  }
  return aRank == 0 ? 1 - mSentByAny.Probability(mInstances) : 1;
}

// What its open requests cost one more: each makes the events of all others
// later, and once the slots are taken the request waits until one has ended.
// Guards against a burst of short prompts that all go to the engine that holds
// most of their sessions: its slots are taken, others' stay free, and the last
// ones wait.
double
relay_pool::CrowdSeconds(const record& aRecord, const relay_work& aWork) const
{
  if (mSlots == 0) {
    return 0;
  }
  const double taken =
    static_cast<double>(aRecord.mInFlight + aRecord.mOthersInFlight) /
    static_cast<double>(mSlots);
  return ToSeconds(aWork.mTarget) * mSettings.mCrowdPart * taken * taken;
}

// Until bulk work finds a free slot, by what is open over all instances: of
// single engines too little is known.
duration
relay_pool::SlotWait() const
{
  const auto slots = static_cast<double>(mBulkSound * mSlots);
  return FromSeconds(ToSeconds(mBulkHold.WaitFor(mBulkOpen, slots)) *
                     mSettings.mUnevenQueues);
}

// Another engine that is believed to hold the shared parts; nothing where
// `aChosen` is believed to.
const relay_pool::record*
relay_pool::Holder(const relay_work& aWork,
                   const prefix_affinity::holders& aHolders,
                   const record& aChosen,
                   time_point aNow) const
{
  if (std::ranges::count(aHolders, aChosen.mNumber) > 0) {
    return nullptr;
  }
  for (const std::uint32_t each : aHolders) {
    if (const record* found = ByNumber(each); found && MayGive(*found)) {
      return found;
    }
  }
  const record* earlier = EarlierHome(aWork, aNow);
  return earlier == &aChosen ? nullptr : earlier;
}

// Where all instances sent the session before engines changed sides lately.
const relay_pool::record*
relay_pool::EarlierHome(const relay_work& aWork, time_point aNow) const
{
  const engine_side side = SideOf(aWork);
  const record* home = nullptr;
  std::uint64_t highest = 0;
  for (const auto& [name, each] : mRecords) {
    const std::uint64_t weight = CombineHash(aWork.mSharedPrefix, each.mRank);
    if (MayGive(each) && mSides.PreviousSide(each.mNumber, aNow) == side &&
        (home == nullptr || weight > highest)) {
      home = &each;
      highest = weight;
    }
  }
  return home;
}

// An engine that fails may not answer the one that asks it for a copy, and the
// request would wait for as long as that one tries.
bool
relay_pool::MayGive(const record& aRecord)
{
  return aRecord.mHealth.Kind() != health_kind::kFailing;
}

const relay_pool::record*
relay_pool::ByNumber(std::uint32_t aNumber) const
{
  const auto found = std::ranges::find_if(
    mRecords, [=](const auto& aOne) { return aOne.second.mNumber == aNumber; });
  return found == mRecords.end() ? nullptr : &found->second;
}

// The first `aMost` candidates in the session's order, which is the same on
// every instance.
std::vector<const relay_pool::record*>
relay_pool::FirstInOrder(const relay_work& aWork,
                         const std::vector<record*>& aCandidates,
                         std::size_t aMost)
{
  std::vector<std::pair<std::uint64_t, const record*>> order;
  order.reserve(aCandidates.size());
  for (const record* each : aCandidates) {
    order.emplace_back(CombineHash(aWork.mSharedPrefix, each->mRank), each);
  }
  const std::size_t kept = std::min(aMost, order.size());
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(kept);
  std::ranges::partial_sort(order, end, std::greater());
  std::vector<const record*> first;
  first.reserve(kept);
  for (auto at = order.begin(); at != end; ++at) {
    first.push_back(at->second);
  }
  return first;
}

void
relay_pool::OnSent(const relay_pick& aPick,
                   const relay_work& aWork,
                   time_point aNow)
{
  mMeter.OnSent(KindOf(aWork), aNow);
  if (aPick.mBulk) {
    mAdmission.OnSent({ aWork.mTier, aPick.mToRead });
  }
  record* found = Find(aPick);
  if (found == nullptr) {
    return;
  }
  ++found->mInFlight;
  found->mToRead += aPick.mToRead;
  found->mHealth.OnSent(aNow);
  if (aWork.mSharedPrefix != 0) {
    mSentByAny.OnSent(aPick.mKnownPrefix);
    mAffinity.Remember(aWork.mSharedPrefix, found->mNumber, aNow);
  }
}

void
relay_pool::OnFirstByte(const relay_pick& aPick,
                        const relay_work& aWork,
                        duration aWait,
                        time_point aNow)
{
  if (aPick.mBulk) {
    mAdmission.OnStarted({ aWork.mTier, aPick.mToRead }, aWait, aNow);
    mBulkHold.OnBegun(aWait);
  }
  mReach.OnResponse(aPick.mDomain, aNow);
  if (record* found = Find(aPick)) {
    found->mToRead -= std::min<std::uint64_t>(found->mToRead, aPick.mToRead);
    found->mHealth.OnFirstToken(aWait, aNow);
    // Where parts were to be read that another instance had sent there before,
    // the time would be too short for what was counted.
    if (mEngines && aPick.mHolds) {
      const double read = ReadCost(aWork.mPromptTokens - aWork.mSharedTokens,
                                   aWork.mSharedTokens);
      found->mPace.OnRead(read, aWait, aNow);
      if (aPick.mSentBefore) {
        mReadRate.OnRead(read + static_cast<double>(aPick.mBacklog), aWait);
      }
    }
  }
}

void
relay_pool::OnEnded(const relay_pick& aPick,
                    const relay_work& aWork,
                    attempt_end aHow,
                    bool aBegun,
                    duration aLength,
                    time_point aNow)
{
  if (aPick.mBulk && !aBegun) {
    mAdmission.OnLost({ aWork.mTier, aPick.mToRead });
  }
  if (aHow == attempt_end::kDeclined) {
    mReach.OnResponse(aPick.mDomain, aNow);
  }
  mMeter.OnEnded(KindOf(aWork));
  if (aPick.mBulk && aHow == attempt_end::kCompleted) {
    mBulkHold.OnEnded(aLength);
  }
  record* found = Find(aPick);
  if (found == nullptr) {
    return;
  }
  found->mInFlight -= std::min(found->mInFlight, 1U);
  if (!aBegun) {
    found->mToRead -= std::min<std::uint64_t>(found->mToRead, aPick.mToRead);
  }
  // Half of the pool may be left for failures; beyond that the cause is
  // elsewhere.
  const auto failing = static_cast<std::size_t>(
    std::ranges::count_if(mRecords, [](const auto& aOne) {
      return aOne.second.mHealth.Kind() == health_kind::kFailing;
    }));
  const bool mayLeave = 2 * (failing + 1) <= mRecords.size();
  found->mHealth.OnEnded(aHow, aLength, mayLeave, aNow);
}

bool
relay_pool::OnUnreached(const relay_pick& aPick, time_point aNow)
{
  return mReach.OnUnreachable(aPick.mDomain, aNow);
}

void
relay_pool::OnPeerHeard(const domain_name& aDomain, time_point aNow)
{
  mReach.OnPeerMessage(aDomain, aNow);
}

void
relay_pool::SetOthers(const relay_load& aLoad, time_point aNow)
{
  if (const auto found = mRecords.find(aLoad.mName); found != mRecords.end()) {
    found->second.mOthersToRead = aLoad.mToRead;
    found->second.mOthersInFlight = aLoad.mInFlight;
    if (aLoad.mPace > 0) {
      found->second.mPace.OnTold(aLoad.mPace, aNow);
    }
  }
}

void
relay_pool::JudgePaces(time_point aNow)
{
  double fastest = 0;
  for (const auto& [name, each] : mRecords) {
    const double pace = each.mPace.NanosecondsPerToken(aNow);
    if (pace > 0 && (fastest == 0 || pace < fastest)) {
      fastest = pace;
    }
  }
  for (auto& [name, each] : mRecords) {
    const double pace = each.mPace.NanosecondsPerToken(aNow);
    if (pace > 0 && !each.mPaceKnown) {
      each.mPaceKnown = aNow;
    }
    const double bound =
      each.mSlow ? mSettings.mSlowUntil : mSettings.mSlowFrom;
    each.mSlow = each.mPaceKnown &&
                 aNow - *each.mPaceKnown >= mSettings.mJudgeAfter &&
                 pace > fastest * bound;
  }
}

double
relay_pool::SecondsPerToken(const record& aRecord, time_point aNow) const
{
  const double its = aRecord.mPace.NanosecondsPerToken(aNow);
  const bool judged =
    aRecord.mPaceKnown && aNow - *aRecord.mPaceKnown >= mSettings.mJudgeAfter;
  const double relative =
    judged && its > 0 && mMeanPace > 0
      ? std::clamp(its / mMeanPace, 1 / kMostApart, kMostApart)
      : 1;
  return relative / mReadPerSecond;
}

void
relay_pool::MeasurePaces(time_point aNow)
{
  double sum = 0;
  std::size_t known = 0;
  for (const auto& [name, each] : mRecords) {
    if (const double pace = each.mPace.NanosecondsPerToken(aNow); pace > 0) {
      sum += pace;
      ++known;
    }
  }
  mMeanPace = known == 0 ? 0 : sum / static_cast<double>(known);
}

std::size_t
relay_pool::SlowEngines() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mRecords, [](const auto& aOne) { return aOne.second.mSlow; }));
}

void
relay_pool::SetView(const pool_view& aView, time_point aNow)
{
  if (!mEngines) {
    return;
  }
  mReadPerSecond = aView.mPrefillRateCount > 0
                     ? aView.mPrefillRateSum / aView.mPrefillRateCount
                     : mReadRate.PerSecond();
  JudgePaces(aNow);
  MeasurePaces(aNow);
  mBorder.Observe(aView.mDemand,
                  { mRecords.size(), mReadPerSecond, mSlots, SlowEngines() },
                  aNow);
  AssignSides(aView.mDemand, aNow);
  mBulkDemand = 0;
  mBulkOpen = 0;
  for (const kind_demand& each : aView.mDemand) {
    mBulkDemand += mBorder.IsBulk(each.mKind) ? each.mTokens : 0;
    mBulkOpen += mBorder.IsBulk(each.mKind) ? each.mOpen : 0;
  }
}

void
relay_pool::OnClockGap(time_point aNow)
{
  mReach.ClearSuspicions();
  for (auto& [name, each] : mRecords) {
    each.mHealth.OnClockGap(aNow);
    each.mOthersToRead = 0;
    each.mOthersInFlight = 0;
  }
}

pool_view
relay_pool::OwnView(time_point aNow) const
{
  pool_view view{ mMeter.Demand(aNow) };
  if (mReadRate.Known()) {
    view.mPrefillRateSum = mReadRate.PerSecond();
    view.mPrefillRateCount = 1;
  }
  return view;
}

std::vector<relay_load>
relay_pool::Loads(time_point aNow) const
{
  std::vector<relay_load> loads;
  loads.reserve(mRecords.size());
  for (const auto& [name, each] : mRecords) {
    loads.push_back({ name,
                      each.mInFlight,
                      each.mToRead,
                      each.mPace.NanosecondsPerToken(aNow),
                      each.mSlow });
  }
  return loads;
}

relay_pool::record*
relay_pool::Find(const relay_pick& aPick)
{
  const auto found = mRecords.find(aPick.mEndpoint);
  return found == mRecords.end() ||
             found->second.mEndpoint.mLifetime != aPick.mLifetime
           ? nullptr
           : &found->second;
}

} // namespace thornhollow
