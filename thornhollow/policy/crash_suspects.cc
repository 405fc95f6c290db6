#include "thornhollow/policy/crash_suspects.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "thornhollow/base/hash.h"

namespace thornhollow {
namespace {

// Upper bounds of the encoded sizes, in bytes.
constexpr std::size_t kRunBytes = 40;
constexpr std::size_t kClearanceBytes = 18;
constexpr std::size_t kSightingBytes = 10;
constexpr std::size_t kCrashBytes = 20;

// Evidence of a trial that has another possible explanation, and the evidence
// that a rejection needs.
constexpr double kInconclusive = 0.5;
constexpr double kConclusive = 1;

// Ends of this many endpoints make a request's sightings part of the digest.
constexpr std::size_t kDigestFrom = 2;

} // namespace

crash_suspects::crash_suspects(const crash_suspects_settings& aSettings,
                               std::uint64_t aInstance)
  : mSettings(aSettings)
  , mInstance(aInstance)
{
}

send_decision
crash_suspects::BeforeSend(const suspect_attempt& aAttempt, time_point aNow)
{
  const send_decision decision = Decide(aAttempt, aNow);
  if (decision.mVerdict == send_verdict::kSend) {
    mOpen[aAttempt.mRequest].push_back(aAttempt);
  }
  return decision;
}

send_decision
crash_suspects::Decide(const suspect_attempt& aAttempt, time_point aNow)
{
  const request_feature request = aAttempt.mRequest;
  run* own = OwnRun(request);
  const bool isMine = own != nullptr && own->mTicket == aAttempt.mTicket;
  if (IsRejected(request, aNow)) {
    if (isMine) {
      EndOwnRun(request, aNow, true);
    }
    return { send_verdict::kReject };
  }
  const std::size_t ended = EndedUnder(request);
  if (ended == 0) {
    if (isMine) {
      EndOwnRun(request, aNow, true);
    }
    return { send_verdict::kSend };
  }
  if (own != nullptr && !isMine) {
    return { send_verdict::kWait };
  }
  if (RunsElsewhere(request, own, aNow)) {
    EndOwnRun(request, aNow, true);
    return { send_verdict::kWait };
  }
  return DecideRun(aAttempt, own, ended > 1, aNow);
}

send_decision
crash_suspects::DecideRun(const suspect_attempt& aAttempt,
                          run* aOwn,
                          bool aTrial,
                          time_point aNow)
{
  if (aOwn == nullptr || aOwn->mEndpoint != aAttempt.mEndpoint ||
      aOwn->mTrial != aTrial) {
    EndOwnRun(aAttempt.mRequest, aNow, true);
    if (aTrial && !CanReserve(aAttempt, aNow)) {
      return { send_verdict::kWait };
    }
    Announce(aAttempt, aTrial, false, aNow);
    return { send_verdict::kWait, true };
  }
  if (aTrial && !HasPrecedence(aAttempt, aNow)) {
    EndOwnRun(aAttempt.mRequest, aNow, true);
    return { send_verdict::kWait };
  }
  const duration notice =
    aTrial ? mSettings.mTrialNotice : mSettings.mRunNotice;
  if (aNow - aOwn->mAnnouncedAt < notice) {
    return { send_verdict::kWait, true };
  }
  aOwn->mStarted = true;
  AddNews(run_key{ aAttempt.mRequest, mInstance });
  return { send_verdict::kSend };
}

bool
crash_suspects::IsRejected(request_feature aRequest, time_point aNow) const
{
  const auto found = mRejectedUntil.find(aRequest);
  return found != mRejectedUntil.end() && aNow < found->second;
}

std::optional<time_point>
crash_suspects::RejectedUntil(request_feature aRequest) const
{
  const auto found = mRejectedUntil.find(aRequest);
  return found == mRejectedUntil.end() ? std::nullopt
                                       : std::optional(found->second);
}

std::size_t
crash_suspects::EndedUnder(request_feature aRequest) const
{
  const auto found = mByRequest.find(aRequest);
  return found == mByRequest.end() ? 0 : found->second.size();
}

void
crash_suspects::OnOutput(request_feature aRequest,
                         std::uint64_t aTicket,
                         time_point aNow)
{
  Close(aRequest, aTicket);
  const bool suspected = mByRequest.contains(aRequest);
  if (const run* own = OwnRun(aRequest);
      own != nullptr && own->mTicket == aTicket) {
    // The clearance tells other instances that the run has passed.
    EndOwnRun(aRequest, aNow, !suspected);
  }
  if (suspected) {
    Clear(aRequest, aNow);
    JudgeAll(aNow);
  }
}

void
crash_suspects::OnEndpointEnded(const suspect_attempt& aAttempt,
                                time_point aEndedAt,
                                time_point aNow)
{
  Close(aAttempt.mRequest, aAttempt.mTicket);
  const run* own = OwnRun(aAttempt.mRequest);
  const bool isMine = own != nullptr && own->mTicket == aAttempt.mTicket &&
                      own->mEndpoint == aAttempt.mEndpoint && own->mStarted;
  const bool trial = isMine && own->mTrial;
  if (isMine) {
    // The sighting tells other instances that the run has ended.
    EndOwnRun(aAttempt.mRequest, aNow, false);
  }
  AddSighting(aAttempt.mEndpoint, aEndedAt, aAttempt.mRequest, trial, aNow);
  DropExcess();
  JudgeAll(aNow);
}

void
crash_suspects::OnSendEnded(request_feature aRequest,
                            std::uint64_t aTicket,
                            time_point aNow)
{
  Close(aRequest, aTicket);
  if (const run* own = OwnRun(aRequest);
      own != nullptr && own->mTicket == aTicket) {
    EndOwnRun(aRequest, aNow, true);
    AnnounceOpen(aRequest, aNow);
  }
}

void
crash_suspects::Close(request_feature aRequest, std::uint64_t aTicket)
{
  const auto open = mOpen.find(aRequest);
  if (open == mOpen.end()) {
    return;
  }
  std::erase_if(open->second, [aTicket](const suspect_attempt& aEntry) {
    return aEntry.mTicket == aTicket;
  });
  if (open->second.empty()) {
    mOpen.erase(open);
  }
}

void
crash_suspects::AnnounceOpen(request_feature aRequest, time_point aNow)
{
  const auto open = mOpen.find(aRequest);
  if (open != mOpen.end() && OwnRun(aRequest) == nullptr &&
      EndedUnder(aRequest) > 0) {
    Announce(open->second.front(), false, true, aNow);
  }
}

bool
crash_suspects::IsReserved(endpoint_hash aEndpoint, time_point aNow) const
{
  if (mReserved == 0) {
    return false;
  }
  return std::ranges::any_of(mRuns, [&](const auto& aRuns) {
    return std::ranges::any_of(aRuns.second, [&](const auto& aEntry) {
      const run& each = aEntry.second;
      return each.mReserves && each.mEndpoint == aEndpoint && !each.mEnded &&
             aNow < each.mUntil;
    });
  });
}

void
crash_suspects::Tick(time_point aNow)
{
  std::erase_if(mRejectedUntil,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second; });
  std::erase_if(mClearances, [&](const auto& aEntry) {
    return aNow - aEntry.second >= mSettings.mRetention;
  });
  while (!mCrashes.empty() &&
         aNow - mCrashes.begin()->second.mAt >= mSettings.mRetention) {
    EraseCrash(mCrashes.begin()->first);
  }
  for (auto& [request, runs] : mRuns) {
    if (const auto own = runs.find(mInstance); own != runs.end() &&
                                               !own->second.mEnded &&
                                               aNow >= own->second.mRenewAt) {
      own->second.mUntil = aNow + mSettings.mRunValidity;
      own->second.mRenewAt = aNow + mSettings.mRunInterval;
      AddNews(run_key{ request, mInstance });
    }
    // An ended run is kept for a while, so that a late report of it does not
    // pass for a new run.
    std::erase_if(runs, [&](const auto& aEntry) {
      return aNow >= aEntry.second.mUntil + mSettings.mRunValidity;
    });
  }
  std::erase_if(mRuns,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  CountReserved(aNow);
}

void
crash_suspects::Merge(const crash_report& aReport, time_point aNow)
{
  for (const suspect_clearance& each : aReport.mClearances) {
    Clear(each.mRequest, aNow - each.mAge);
  }
  for (const suspect_run& each : aReport.mRuns) {
    MergeRun(each, aNow);
  }
  for (const crash_sighting& each : aReport.mSightings) {
    AddSighting(
      each.mEndpoint, aNow - each.mAge, each.mRequest, each.mTrial, aNow);
  }
  DropExcess();
  JudgeAll(aNow);
}

bool
crash_suspects::HasNews(time_point aNow) const
{
  return std::ranges::any_of(
    mNews, [aNow](const news& aEntry) { return aNow >= aEntry.mNextAt; });
}

crash_report
crash_suspects::NextReport(std::size_t aMaxBytes, time_point aNow)
{
  std::vector<news*> due;
  for (news& each : mNews) {
    if (aNow >= each.mNextAt) {
      due.push_back(&each);
    }
  }
  std::ranges::stable_sort(due, std::ranges::less(), [this](const news* aNews) {
    return Priority(aNews->mKey);
  });
  crash_report report;
  std::size_t bytes = 0;
  for (news* const each : due) {
    if (bytes + kRunBytes > aMaxBytes) {
      break;
    }
    bytes += AddTo(report, each->mKey, aNow);
    --each->mRounds;
    each->mNextAt = aNow + mSettings.mRoundInterval;
  }
  std::erase_if(mNews, [](const news& aEntry) { return aEntry.mRounds == 0; });
  return report;
}

crash_report
crash_suspects::FullReport(std::size_t aMaxBytes,
                           std::size_t aTurn,
                           time_point aNow) const
{
  std::vector<item_key> all;
  for (const auto& [request, at] : mClearances) {
    all.emplace_back(clearance_key{ request });
  }
  for (const auto& [request, runs] : mRuns) {
    for (const auto& [instance, each] : runs) {
      all.emplace_back(run_key{ request, instance });
    }
  }
  for (const auto& [request, numbers] : mByRequest) {
    if (numbers.size() >= kDigestFrom) {
      for (const crash_number each : numbers) {
        all.emplace_back(sighting_key{ each, request });
      }
    }
  }
  if (!all.empty()) {
    // If there is more than fits, each call tells another part.
    std::rotate(all.begin(),
                all.begin() + static_cast<std::ptrdiff_t>(aTurn % all.size()),
                all.end());
  }
  // Whoever has missed these may send a request that is rejected elsewhere.
  std::stable_partition(all.begin(), all.end(), [&](const item_key& aKey) {
    const auto* key = std::get_if<sighting_key>(&aKey);
    return key != nullptr && IsRejected(key->mRequest, aNow);
  });
  crash_report report;
  std::size_t bytes = 0;
  for (const item_key& each : all) {
    if (bytes + kRunBytes > aMaxBytes) {
      break;
    }
    bytes += AddTo(report, each, aNow);
  }
  return report;
}

std::uint64_t
crash_suspects::Digest() const
{
  std::uint64_t digest = 0;
  for (const auto& [request, numbers] : mByRequest) {
    if (numbers.size() < kDigestFrom) {
      continue;
    }
    for (const crash_number each : numbers) {
      const crash& ended = mCrashes.at(each);
      digest ^= CombineHash(CombineHash(request.mValue, ended.mEndpoint),
                            ended.mSuspects.at(request) ? 1 : 0);
    }
  }
  return digest;
}

std::vector<crash_rejection>
crash_suspects::TakeRejections()
{
  return std::exchange(mNewRejections, {});
}

void
crash_suspects::AddNews(const item_key& aKey)
{
  std::erase_if(mNews, [&](const news& aEntry) { return aEntry.mKey == aKey; });
  mNews.push_back({ aKey, mSettings.mRounds, time_point{} });
}

std::size_t
crash_suspects::Priority(const item_key& aKey) const
{
  constexpr std::size_t kFewestEnds = 100;
  if (std::holds_alternative<run_key>(aKey)) {
    return 0;
  }
  if (std::holds_alternative<clearance_key>(aKey)) {
    return 1;
  }
  const auto found = mByRequest.find(std::get<sighting_key>(aKey).mRequest);
  const std::size_t ends = found == mByRequest.end() ? 0 : found->second.size();
  return 2 + kFewestEnds - std::min(ends, kFewestEnds);
}

std::size_t
crash_suspects::AddTo(crash_report& aReport,
                      const item_key& aKey,
                      time_point aNow) const
{
  if (const auto* key = std::get_if<run_key>(&aKey)) {
    const auto runs = mRuns.find(key->mRequest);
    if (runs == mRuns.end() || !runs->second.contains(key->mInstance)) {
      return 0;
    }
    const run& found = runs->second.at(key->mInstance);
    const duration remaining =
      found.mEnded ? duration::zero()
                   : std::max(found.mUntil - aNow, duration::zero());
    aReport.mRuns.push_back({ key->mRequest,
                              found.mEndpoint,
                              key->mInstance,
                              found.mNumber,
                              remaining,
                              found.mReserves,
                              found.mStarted });
    return kRunBytes;
  }
  if (const auto* key = std::get_if<clearance_key>(&aKey)) {
    const auto found = mClearances.find(key->mRequest);
    if (found == mClearances.end()) {
      return 0;
    }
    aReport.mClearances.push_back({ key->mRequest, aNow - found->second });
    return kClearanceBytes;
  }
  const auto& key = std::get<sighting_key>(aKey);
  const auto ended = mCrashes.find(key.mCrash);
  if (ended == mCrashes.end() ||
      !ended->second.mSuspects.contains(key.mRequest)) {
    return 0;
  }
  const bool known = std::ranges::any_of(
    aReport.mSightings, [&](const crash_sighting& aSighting) {
      return aSighting.mEndpoint == ended->second.mEndpoint;
    });
  aReport.mSightings.push_back({ ended->second.mEndpoint,
                                 aNow - ended->second.mAt,
                                 key.mRequest,
                                 ended->second.mSuspects.at(key.mRequest) });
  return kSightingBytes + (known ? 0 : kCrashBytes);
}

crash_suspects::crash_number
crash_suspects::FindOrAddCrash(endpoint_hash aEndpoint, time_point aAt)
{
  if (const auto last = mLastCrash.find(aEndpoint); last != mLastCrash.end()) {
    const duration apart = mCrashes.at(last->second).mAt - aAt;
    if (std::chrono::abs(apart) < mSettings.mSameEndWindow) {
      return last->second;
    }
  }
  const crash_number number = mNextCrash++;
  mCrashes.emplace(number, crash{ aEndpoint, aAt, {} });
  mLastCrash[aEndpoint] = number;
  return number;
}

void
crash_suspects::AddSighting(endpoint_hash aEndpoint,
                            time_point aAt,
                            request_feature aRequest,
                            bool aTrial,
                            time_point aNow)
{
  if (IsCleared(aRequest, aAt)) {
    return;
  }
  const crash_number number = FindOrAddCrash(aEndpoint, aAt);
  const auto [entry, added] =
    mCrashes.at(number).mSuspects.try_emplace(aRequest, aTrial);
  if (added) {
    auto& numbers = mByRequest[aRequest];
    numbers.push_back(number);
    ++mSightingCount;
    if (numbers.size() >= mSettings.mMaxEnded) {
      mJudged.insert(aRequest);
    }
  }
  if (added || (aTrial && !entry->second)) {
    AddNews(sighting_key{ number, aRequest });
  }
  entry->second = entry->second || aTrial;
  if (const auto runs = mRuns.find(aRequest); runs != mRuns.end()) {
    for (auto& [instance, each] : runs->second) {
      each.mEnded =
        each.mEnded || (instance != mInstance && each.mEndpoint == aEndpoint);
    }
  }
  AnnounceOpen(aRequest, aNow);
}

void
crash_suspects::EraseFromCrash(crash_number aNumber, request_feature aRequest)
{
  crash& ended = mCrashes.at(aNumber);
  mSightingCount -= ended.mSuspects.erase(aRequest);
  if (ended.mSuspects.empty()) {
    EraseCrash(aNumber);
  }
}

void
crash_suspects::EraseRequest(request_feature aRequest)
{
  EraseUntil(aRequest, time_point::max());
}

bool
crash_suspects::EraseUntil(request_feature aRequest, time_point aUntil)
{
  const auto found = mByRequest.find(aRequest);
  if (found == mByRequest.end()) {
    return false;
  }
  std::vector<crash_number> erased;
  std::ranges::copy_if(
    found->second, std::back_inserter(erased), [&](crash_number aNumber) {
      return mCrashes.at(aNumber).mAt <= aUntil;
    });
  std::erase_if(found->second, [&](crash_number aNumber) {
    return mCrashes.at(aNumber).mAt <= aUntil;
  });
  if (found->second.size() < mSettings.mMaxEnded) {
    mJudged.erase(aRequest);
    mRejectedUntil.erase(aRequest);
  }
  if (found->second.empty()) {
    mByRequest.erase(found);
  }
  for (const crash_number each : erased) {
    EraseFromCrash(each, aRequest);
  }
  return !erased.empty();
}

void
crash_suspects::EraseCrash(crash_number aNumber)
{
  const auto found = mCrashes.find(aNumber);
  for (const auto& [request, trial] : found->second.mSuspects) {
    const auto numbers = mByRequest.find(request);
    std::erase(numbers->second, aNumber);
    if (numbers->second.size() < mSettings.mMaxEnded) {
      mJudged.erase(request);
      mRejectedUntil.erase(request);
    }
    if (numbers->second.empty()) {
      mByRequest.erase(numbers);
    }
    --mSightingCount;
  }
  if (const auto last = mLastCrash.find(found->second.mEndpoint);
      last != mLastCrash.end() && last->second == aNumber) {
    mLastCrash.erase(last);
  }
  mCrashes.erase(found);
}

bool
crash_suspects::IsCleared(request_feature aRequest, time_point aSince) const
{
  const auto found = mClearances.find(aRequest);
  return found != mClearances.end() && found->second >= aSince;
}

void
crash_suspects::Clear(request_feature aRequest, time_point aAt)
{
  if (EraseUntil(aRequest, aAt)) {
    if (const auto runs = mRuns.find(aRequest); runs != mRuns.end()) {
      for (auto& [instance, each] : runs->second) {
        each.mEnded = each.mEnded || instance != mInstance;
      }
    }
  } else {
    // The time of a clearance that comes back by way of others is later by the
    // time on the way. If that were news, it would circulate for ever.
    const auto known = mClearances.find(aRequest);
    const bool isKnown = known != mClearances.end() &&
                         aAt < known->second + mSettings.mSameEndWindow;
    if (isKnown || mClearances.size() >= mSettings.mMaxSightings) {
      return;
    }
  }
  mClearances[aRequest] = std::max(mClearances[aRequest], aAt);
  AddNews(clearance_key{ aRequest });
}

bool
crash_suspects::IsExplained(const crash& aCrash, request_feature aRequest) const
{
  if (mRejectedUntil.empty()) {
    return false;
  }
  return std::ranges::any_of(aCrash.mSuspects, [&](const auto& aEntry) {
    return aEntry.first != aRequest && mRejectedUntil.contains(aEntry.first);
  });
}

bool
crash_suspects::MayBeCoincidence(const crash& aCrash,
                                 request_feature aRequest) const
{
  const auto others = std::ranges::count_if(mCrashes, [&](const auto& aEntry) {
    const crash& other = aEntry.second;
    return other.mEndpoint != aCrash.mEndpoint &&
           std::chrono::abs(other.mAt - aCrash.mAt) <
             mSettings.mCoincidenceWindow &&
           !other.mSuspects.contains(aRequest) && !HasLikelyCause(other);
  });
  return static_cast<std::size_t>(others) >= mSettings.mCoincidentEnds;
}

// Whether a rejected request or a trial was open at the endpoint.
bool
crash_suspects::HasLikelyCause(const crash& aCrash) const
{
  return std::ranges::any_of(aCrash.mSuspects, [&](const auto& aEntry) {
    return aEntry.second || mRejectedUntil.contains(aEntry.first);
  });
}

double
crash_suspects::Evidence(const crash& aCrash,
                         request_feature aRequest,
                         time_point aNow) const
{
  if (!aCrash.mSuspects.at(aRequest) ||
      aNow - aCrash.mAt >= mSettings.mRejectionTime) {
    return 0;
  }
  return aCrash.mSuspects.size() == 1 ? kConclusive : kInconclusive;
}

void
crash_suspects::JudgeAll(time_point aNow)
{
  for (const request_feature each : mJudged) {
    Judge(each, aNow);
  }
}

void
crash_suspects::Judge(request_feature aRequest, time_point aNow)
{
  double evidence = 0;
  bool isConclusive = false;
  std::size_t separate = 0;
  std::size_t unexplained = 0;
  time_point lastTrial{};
  crash_rejection rejection{ aRequest, {} };
  for (const crash_number each : mByRequest.at(aRequest)) {
    const crash& ended = mCrashes.at(each);
    rejection.mEndpoints.push_back(ended.mEndpoint);
    if (MayBeCoincidence(ended, aRequest)) {
      continue;
    }
    ++separate;
    if (IsExplained(ended, aRequest)) {
      continue;
    }
    ++unexplained;
    if (const double own = Evidence(ended, aRequest, aNow); own > 0) {
      evidence += own;
      isConclusive = isConclusive || own >= kConclusive;
      lastTrial = std::max(lastTrial, ended.mAt);
    }
  }
  const bool enough = isConclusive ? separate >= mSettings.mMinSeparateEnds
                                   : unexplained >= mSettings.mMaxEnded;
  if (evidence < kConclusive || !enough) {
    mRejectedUntil.erase(aRequest);
    return;
  }
  if (!IsRejected(aRequest, aNow)) {
    mNewRejections.push_back(std::move(rejection));
  }
  mRejectedUntil[aRequest] = lastTrial + mSettings.mRejectionTime;
}

crash_suspects::run*
crash_suspects::OwnRun(request_feature aRequest)
{
  const auto runs = mRuns.find(aRequest);
  if (runs == mRuns.end()) {
    return nullptr;
  }
  const auto own = runs->second.find(mInstance);
  return own == runs->second.end() || own->second.mEnded ? nullptr
                                                         : &own->second;
}

bool
crash_suspects::RunsElsewhere(request_feature aRequest,
                              const run* aOwn,
                              time_point aNow) const
{
  const auto runs = mRuns.find(aRequest);
  if (runs == mRuns.end()) {
    return false;
  }
  return std::ranges::any_of(runs->second, [&](const auto& aEntry) {
    const auto& [instance, each] = aEntry;
    const bool goesFirst =
      aOwn == nullptr || each.mStarted || instance < mInstance;
    return instance != mInstance && !each.mEnded && aNow < each.mUntil &&
           goesFirst;
  });
}

bool
crash_suspects::CanReserve(const suspect_attempt& aAttempt,
                           time_point aNow) const
{
  if (aAttempt.mPoolSize <= 1) {
    return true;
  }
  std::set<endpoint_hash> reserved;
  for (const auto& [request, runs] : mRuns) {
    for (const auto& [instance, each] : runs) {
      const bool isOwn = request == aAttempt.mRequest && instance == mInstance;
      if (each.mReserves && !each.mEnded && aNow < each.mUntil && !isOwn) {
        reserved.insert(each.mEndpoint);
      }
    }
  }
  const auto most = static_cast<std::size_t>(std::floor(
    mSettings.mMaxReservedFraction * static_cast<double>(aAttempt.mPoolSize)));
  return reserved.size() < std::max<std::size_t>(most, 1) &&
         !reserved.contains(aAttempt.mEndpoint);
}

// Whether no trial of another request, announced at the same time, goes first
// at the endpoint.
bool
crash_suspects::HasPrecedence(const suspect_attempt& aAttempt,
                              time_point aNow) const
{
  for (const auto& [request, runs] : mRuns) {
    for (const auto& [instance, each] : runs) {
      if (request != aAttempt.mRequest && instance < mInstance &&
          each.mReserves && !each.mEnded && aNow < each.mUntil &&
          each.mEndpoint == aAttempt.mEndpoint) {
        return false;
      }
    }
  }
  return true;
}

void
crash_suspects::Announce(const suspect_attempt& aAttempt,
                         bool aTrial,
                         bool aStarted,
                         time_point aNow)
{
  run& own = mRuns[aAttempt.mRequest][mInstance];
  own = { .mEndpoint = aAttempt.mEndpoint,
          .mNumber = mNextRun++,
          .mReserves = aTrial && aAttempt.mPoolSize > 1,
          .mTrial = aTrial,
          .mUntil = aNow + mSettings.mRunValidity,
          .mTicket = aAttempt.mTicket,
          .mStarted = aStarted,
          .mAnnouncedAt = aNow,
          .mRenewAt = aNow + mSettings.mRunInterval };
  AddNews(run_key{ aAttempt.mRequest, mInstance });
  CountReserved(aNow);
}

void
crash_suspects::EndOwnRun(request_feature aRequest, time_point aNow, bool aTell)
{
  run* own = OwnRun(aRequest);
  if (own == nullptr) {
    return;
  }
  own->mEnded = true;
  own->mUntil = aNow;
  if (aTell) {
    AddNews(run_key{ aRequest, mInstance });
  }
  CountReserved(aNow);
}

void
crash_suspects::MergeRun(const suspect_run& aRun, time_point aNow)
{
  if (aRun.mInstance == mInstance) {
    return;
  }
  run& known = mRuns[aRun.mRequest][aRun.mInstance];
  const bool ends = aRun.mRemaining <= duration::zero();
  const bool isOld = aRun.mNumber < known.mNumber ||
                     (aRun.mNumber == known.mNumber && known.mEnded);
  const time_point until =
    aNow + std::min(aRun.mRemaining, mSettings.mRunValidity);
  // Forwarding each small difference in the remaining time would never end.
  const bool isNews =
    !isOld && (aRun.mNumber > known.mNumber || ends ||
               (aRun.mStarted && !known.mStarted) ||
               until > known.mUntil + mSettings.mRunInterval / 2);
  if (!isNews) {
    return;
  }
  known = { .mEndpoint = aRun.mEndpoint,
            .mNumber = aRun.mNumber,
            .mReserves = aRun.mReserves,
            .mEnded = ends,
            .mUntil = until,
            .mStarted = aRun.mStarted };
  AddNews(run_key{ aRun.mRequest, aRun.mInstance });
  CountReserved(aNow);
}

void
crash_suspects::CountReserved(time_point aNow)
{
  const std::size_t before = std::exchange(mReserved, 0);
  for (const auto& [request, runs] : mRuns) {
    for (const auto& [instance, each] : runs) {
      const bool reserves =
        each.mReserves && !each.mEnded && aNow < each.mUntil;
      mReserved += reserves ? 1 : 0;
    }
  }
  // The same number may stand for other endpoints.
  mReservationChanges += before > 0 || mReserved > 0 ? 1 : 0;
}

// Forgets the suspects of the fewest ends, an eighth of all at a time.
void
crash_suspects::DropExcess()
{
  if (mSightingCount <= mSettings.mMaxSightings) {
    return;
  }
  std::vector<request_feature> requests;
  for (const auto& [request, numbers] : mByRequest) {
    requests.push_back(request);
  }
  std::ranges::sort(
    requests, std::ranges::less(), [this](request_feature aRequest) {
      const auto& numbers = mByRequest.at(aRequest);
      return std::tuple(numbers.size(), numbers.back(), aRequest);
    });
  const std::size_t target =
    mSettings.mMaxSightings - mSettings.mMaxSightings / 8;
  for (const request_feature each : requests) {
    if (mSightingCount <= target) {
      return;
    }
    EraseRequest(each);
  }
}

} // namespace thornhollow
