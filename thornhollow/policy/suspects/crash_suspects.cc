#include "thornhollow/policy/suspects/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace thornhollow {
namespace {

// Upper bounds of the encoded sizes, in bytes.
constexpr std::size_t kRunBytes = 40;
constexpr std::size_t kClearanceBytes = 18;
constexpr std::size_t kSightingBytes = 10;
constexpr std::size_t kCrashBytes = 27;

} // namespace

crash_suspects::crash_suspects(const crash_suspects_settings& aSettings,
                               std::uint64_t aInstance)
  : mSettings(aSettings)
  , mEvidence(aSettings)
  , mRuns(aSettings, aInstance)
{
}

send_decision
crash_suspects::BeforeSend(const suspect_attempt& aAttempt, time_point aNow)
{
  const send_decision decision = Decide(aAttempt, aNow);
  if (decision.mVerdict == send_verdict::kSend) {
    for (const request_feature each : aAttempt.mFeatures.All()) {
      mOpen[each].push_back({ aAttempt.mTicket, aAttempt.mEndpoint, aNow });
    }
  }
  return decision;
}

send_decision
crash_suspects::Decide(const suspect_attempt& aAttempt, time_point aNow)
{
  if (RejectedFeature(aAttempt.mFeatures, aNow)) {
    EndRuns(aAttempt.mFeatures, aAttempt.mTicket, aNow);
    return { RejectsNow(aAttempt.mFeatures, aNow) ? send_verdict::kReject
                                                  : send_verdict::kWait };
  }
  const std::vector<announced_run> runs = RestrictedRuns(aAttempt);
  if (runs.empty()) {
    EndRuns(aAttempt.mFeatures, aAttempt.mTicket, aNow);
    return { Settles(aAttempt.mFeatures, aNow) ? send_verdict::kWait
                                               : send_verdict::kSend };
  }
  const bool waits = std::ranges::any_of(runs, [&](const announced_run& aRun) {
    return mRuns.RunsHere(aRun.mFeature, aRun.mTicket, aNow) ||
           mRuns.RunsElsewhere(aRun.mFeature, aNow);
  });
  if (waits) {
    EndRuns(aAttempt.mFeatures, aAttempt.mTicket, aNow);
    return { send_verdict::kWait };
  }
  return DecideRun(aAttempt, runs, aNow);
}

std::optional<request_feature>
crash_suspects::RejectedFeature(const request_features& aFeatures,
                                time_point aNow) const
{
  for (const request_feature each : aFeatures.All()) {
    if (!mEvidence.IsRejected(each, aNow)) {
      continue;
    }
    const bool isCertain = std::ranges::all_of(
      mEvidence.Companions(each), [&](request_feature aCompanion) {
        return aFeatures.Contains(aCompanion);
      });
    if (isCertain) {
      return each;
    }
  }
  return std::nullopt;
}

bool
crash_suspects::RejectsNow(const request_features& aFeatures,
                           time_point aNow) const
{
  const auto cause = RejectedFeature(aFeatures, aNow);
  // The word of output that clears a part may come after those of ends before.
  return cause &&
         (!cause->IsPart() ||
          aNow - *mEvidence.RejectedSince(*cause) >= mSettings.mSettleTime);
}

std::vector<announced_run>
crash_suspects::RestrictedRuns(const suspect_attempt& aAttempt) const
{
  std::vector<announced_run> runs;
  const auto add = [&](request_feature aFeature, bool aTrial, bool aReserves) {
    runs.push_back({ .mFeature = aFeature,
                     .mTicket = aAttempt.mTicket,
                     .mEndpoint = aAttempt.mEndpoint,
                     .mTrial = aTrial,
                     .mReserves = aReserves });
  };
  const request_feature content = aAttempt.mFeatures.mContent;
  const std::size_t ended = mEvidence.EndedUnder(content);
  if (ended > 0) {
    const bool isTrial = ended > 1;
    add(content, isTrial, isTrial && aAttempt.mPoolSize > 1);
  }
  for (const request_feature each : RestrictedParts(aAttempt.mFeatures)) {
    add(each, true, false);
  }
  return runs;
}

std::vector<request_feature>
crash_suspects::RestrictedParts(const request_features& aFeatures) const
{
  const bool isSuspect = mEvidence.EndedUnder(aFeatures.mContent) > 0;
  std::vector<request_feature> unproven;
  std::vector<request_feature> sound;
  for (const request_feature each : aFeatures.mParts) {
    if (mEvidence.EndedUnder(each) == 0) {
      continue;
    }
    const bool wasSound = mEvidence.WasSound(each);
    // A request that has lost an endpoint itself runs alone with all that may
    // be the cause.
    if (mEvidence.NeedsSoloRun(each) || (isSuspect && !wasSound)) {
      (wasSound ? sound : unproven).push_back(each);
    }
  }
  // Otherwise runs that end endpoints for an unproven part would keep those
  // from running that could clear a popular one.
  return unproven.empty() ? sound : unproven;
}

bool
crash_suspects::Settles(const request_features& aFeatures,
                        time_point aNow) const
{
  return std::ranges::any_of(aFeatures.mParts, [&](request_feature aPart) {
    const auto last = mEvidence.LastEnd(aPart);
    return last && aNow - *last < mSettings.mSettleTime;
  });
}

send_decision
crash_suspects::DecideRun(const suspect_attempt& aAttempt,
                          const std::vector<announced_run>& aRuns,
                          time_point aNow)
{
  const bool isAnnounced = std::ranges::all_of(
    aRuns, [this](const announced_run& aRun) { return IsAnnounced(aRun); });
  const bool canReserve =
    std::ranges::all_of(aRuns, [&](const announced_run& aRun) {
      return CanReserve(aRun, aAttempt.mPoolSize, aNow);
    });
  const bool isOccupied =
    !isAnnounced &&
    mRuns.IsOccupied(aAttempt.mEndpoint, aAttempt.mTicket, aNow);
  if (!isAnnounced || !canReserve) {
    EndRuns(aAttempt.mFeatures, aAttempt.mTicket, aNow);
    if (!canReserve || isOccupied) {
      return { send_verdict::kWait };
    }
    for (const announced_run& each : aRuns) {
      Announce(each, aNow);
    }
    return { send_verdict::kWait, true };
  }
  if (aNow < StartsAt(aRuns)) {
    return { send_verdict::kWait, true };
  }
  for (const announced_run& each : aRuns) {
    mRuns.Start(each.mFeature, aNow);
    AddNews(mRuns.OwnKey(each.mFeature));
  }
  return { send_verdict::kSend };
}

bool
crash_suspects::IsAnnounced(const announced_run& aRun) const
{
  const suspect_runs::run* own = mRuns.Own(aRun.mFeature);
  return own != nullptr && own->mTicket == aRun.mTicket &&
         own->mEndpoint == aRun.mEndpoint && own->mTrial == aRun.mTrial;
}

bool
crash_suspects::CanReserve(const announced_run& aRun,
                           std::size_t aPoolSize,
                           time_point aNow) const
{
  if (!aRun.mReserves) {
    return true;
  }
  // Once it is announced, a trial of another instance may still go first.
  return IsAnnounced(aRun)
           ? mRuns.HasPrecedence(aRun.mFeature, aRun.mEndpoint, aNow)
           : mRuns.CanReserve(aRun.mFeature, aRun.mEndpoint, aPoolSize, aNow);
}

time_point
crash_suspects::StartsAt(const std::vector<announced_run>& aRuns) const
{
  time_point starts = time_point::min();
  for (const announced_run& each : aRuns) {
    const bool isContentTrial = each.mTrial && !each.mFeature.IsPart();
    const duration notice =
      isContentTrial ? mSettings.mTrialNotice : mSettings.mRunNotice;
    starts = std::max(starts, mRuns.Own(each.mFeature)->mAnnouncedAt + notice);
  }
  return starts;
}

bool
crash_suspects::IsOwnRun(request_feature aFeature, std::uint64_t aTicket) const
{
  const suspect_runs::run* own = mRuns.Own(aFeature);
  return own != nullptr && own->mTicket == aTicket;
}

void
crash_suspects::EndRuns(const request_features& aFeatures,
                        std::uint64_t aTicket,
                        time_point aNow)
{
  for (const request_feature each : aFeatures.All()) {
    if (IsOwnRun(each, aTicket) && mRuns.EndOwn(each, aNow)) {
      AddNews(mRuns.OwnKey(each));
    }
  }
}

void
crash_suspects::Announce(const announced_run& aRun, time_point aNow)
{
  mRuns.Announce(aRun, aNow);
  AddNews(mRuns.OwnKey(aRun.mFeature));
}

void
crash_suspects::AnnounceOpen(request_feature aFeature, time_point aNow)
{
  const auto open = mOpen.find(aFeature);
  if (open == mOpen.end() || mRuns.Own(aFeature) != nullptr) {
    return;
  }
  const bool isRestricted = aFeature.IsPart()
                              ? mEvidence.NeedsSoloRun(aFeature)
                              : mEvidence.EndedUnder(aFeature) > 0;
  const auto first =
    std::ranges::find_if(open->second, [&](const open_attempt& aAttempt) {
      return aAttempt.mProgress < mEvidence.NeededProof(aFeature);
    });
  if (isRestricted && first != open->second.end()) {
    Announce({ .mFeature = aFeature,
               .mTicket = first->mTicket,
               .mEndpoint = first->mEndpoint,
               .mStarted = true },
             aNow);
  }
}

void
crash_suspects::RecordProgress(const request_features& aFeatures,
                               std::uint64_t aTicket,
                               run_progress aProgress)
{
  for (const request_feature each : aFeatures.All()) {
    const auto open = mOpen.find(each);
    if (open == mOpen.end()) {
      continue;
    }
    for (open_attempt& one : open->second) {
      one.mProgress = one.mTicket == aTicket ? aProgress : one.mProgress;
    }
  }
}

std::optional<time_point>
crash_suspects::SentAt(const suspect_attempt& aAttempt) const
{
  const auto open = mOpen.find(aAttempt.mFeatures.mContent);
  if (open == mOpen.end()) {
    return std::nullopt;
  }
  const auto own =
    std::ranges::find_if(open->second, [&](const open_attempt& aEntry) {
      return aEntry.mTicket == aAttempt.mTicket;
    });
  return own == open->second.end() ? std::nullopt : std::optional(own->mSentAt);
}

void
crash_suspects::Close(const request_features& aFeatures, std::uint64_t aTicket)
{
  for (const request_feature each : aFeatures.All()) {
    const auto open = mOpen.find(each);
    if (open == mOpen.end()) {
      continue;
    }
    std::erase_if(open->second, [aTicket](const open_attempt& aEntry) {
      return aEntry.mTicket == aTicket;
    });
    if (open->second.empty()) {
      mOpen.erase(open);
    }
  }
}

void
crash_suspects::OnOutput(const request_features& aFeatures,
                         std::uint64_t aTicket,
                         time_point aNow,
                         run_progress aProgress)
{
  RecordProgress(aFeatures, aTicket, aProgress);
  bool clears = false;
  for (const request_feature each : aFeatures.All()) {
    const bool isSuspected = mEvidence.EndedUnder(each) > 0;
    const bool hasPassed = aProgress >= mEvidence.NeededProof(each);
    // A clearance tells other instances that the run has passed.
    if (hasPassed && IsOwnRun(each, aTicket) && mRuns.EndOwn(each, aNow) &&
        !isSuspected) {
      AddNews(mRuns.OwnKey(each));
    }
    if (isSuspected) {
      Clear(each, aNow, aProgress);
      clears = true;
    }
    if (each.IsPart()) {
      mEvidence.RecordSuccess(each, aNow, aProgress);
    }
  }
  if (clears) {
    mEvidence.JudgeAll(aNow);
  }
}

void
crash_suspects::OnEndpointEnded(const suspect_attempt& aAttempt,
                                time_point aEndedAt,
                                time_point aNow,
                                run_progress aProgress)
{
  const std::optional<time_point> sentAt = SentAt(aAttempt);
  Close(aAttempt.mFeatures, aAttempt.mTicket);
  for (const request_feature each : aAttempt.mFeatures.All()) {
    bool isTrial = false;
    if (IsOwnRun(each, aAttempt.mTicket)) {
      const suspect_runs::run& own = *mRuns.Own(each);
      isTrial =
        own.mTrial && own.mStarted && own.mEndpoint == aAttempt.mEndpoint;
      // The sighting tells other instances that the run has ended.
      mRuns.EndOwn(each, aNow);
    }
    AddSighting(
      { aAttempt.mEndpoint, aEndedAt, each, isTrial, aProgress, sentAt }, aNow);
  }
  mEvidence.DropExcess();
  mEvidence.JudgeAll(aNow);
}

void
crash_suspects::OnSendEnded(const request_features& aFeatures,
                            std::uint64_t aTicket,
                            time_point aNow)
{
  Close(aFeatures, aTicket);
  for (const request_feature each : aFeatures.All()) {
    if (IsOwnRun(each, aTicket) && mRuns.EndOwn(each, aNow)) {
      AddNews(mRuns.OwnKey(each));
      AnnounceOpen(each, aNow);
    }
  }
}

void
crash_suspects::Clear(request_feature aFeature,
                      time_point aAt,
                      run_progress aProof)
{
  const bool isSuspected = mEvidence.EndedUnder(aFeature) > 0 &&
                           aProof >= mEvidence.NeededProof(aFeature);
  if (!mEvidence.Clear(aFeature, aAt, aProof)) {
    return;
  }
  if (isSuspected) {
    mRuns.OnCleared(aFeature);
  }
  AddNews(clearance_key{ aFeature });
}

void
crash_suspects::AddSighting(const crash_evidence::sighting& aSighting,
                            time_point aNow)
{
  const request_feature feature = aSighting.mFeature;
  const run_progress needed = ProofAgainst(aSighting.mProgress);
  if (const auto success =
        mEvidence.UntoldSuccess(feature, aSighting.mAt, needed)) {
    Clear(feature, *success, needed);
  }
  if (const auto number = mEvidence.Add(aSighting)) {
    AddNews(sighting_key{ *number, feature });
  }
  mRuns.OnEnded(feature, aSighting.mEndpoint);
  AnnounceOpen(feature, aNow);
}

void
crash_suspects::Tick(time_point aNow)
{
  mEvidence.Forget(aNow);
  mEvidence.JudgeAll(aNow);
  for (const run_key& each : mRuns.Tick(aNow)) {
    AddNews(each);
  }
}

void
crash_suspects::Merge(const crash_report& aReport, time_point aNow)
{
  for (const suspect_clearance& each : aReport.mClearances) {
    Clear(each.mFeature, aNow - each.mAge, each.mProof);
  }
  for (const suspect_run& each : aReport.mRuns) {
    if (mRuns.Merge(each, aNow)) {
      AddNews(run_key{ each.mFeature, each.mInstance });
    }
  }
  for (const crash_sighting& each : aReport.mSightings) {
    const time_point endedAt = aNow - each.mAge;
    AddSighting(
      { each.mEndpoint,
        endedAt,
        each.mFeature,
        each.mTrial,
        each.mProgress,
        each.mRanFor ? std::optional(endedAt - *each.mRanFor) : std::nullopt },
      aNow);
  }
  mEvidence.DropExcess();
  mEvidence.JudgeAll(aNow);
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
  for (const request_feature each : mEvidence.ClearedFeatures()) {
    all.emplace_back(clearance_key{ each });
  }
  for (const run_key& each : mRuns.All()) {
    all.emplace_back(each);
  }
  for (const auto& [number, feature] :
       mEvidence.SightingsFrom(crash_evidence::kDigestFrom)) {
    all.emplace_back(sighting_key{ number, feature });
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
    return key != nullptr && IsRejected(key->mFeature, aNow);
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
  return mEvidence.Digest();
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
  const std::size_t ends =
    mEvidence.EndedUnder(std::get<sighting_key>(aKey).mFeature);
  return 2 + kFewestEnds - std::min(ends, kFewestEnds);
}

std::size_t
crash_suspects::AddTo(crash_report& aReport,
                      const item_key& aKey,
                      time_point aNow) const
{
  if (const auto* key = std::get_if<run_key>(&aKey)) {
    const auto run = mRuns.Report(*key, aNow);
    if (!run) {
      return 0;
    }
    aReport.mRuns.push_back(*run);
    return kRunBytes;
  }
  if (const auto* key = std::get_if<clearance_key>(&aKey)) {
    const auto clearances = mEvidence.Clearances(key->mFeature);
    for (const crash_evidence::clearance& each : clearances) {
      aReport.mClearances.push_back(
        { key->mFeature, aNow - each.mAt, each.mProof });
    }
    return kClearanceBytes * clearances.size();
  }
  const auto& key = std::get<sighting_key>(aKey);
  std::size_t bytes = 0;
  for (const crash_evidence::sighting& each :
       mEvidence.Find(key.mCrash, key.mFeature)) {
    const bool known = std::ranges::any_of(
      aReport.mSightings, [&](const crash_sighting& aSighting) {
        return aSighting.mEndpoint == each.mEndpoint &&
               aSighting.mProgress == each.mProgress;
      });
    aReport.mSightings.push_back({ each.mEndpoint,
                                   aNow - each.mAt,
                                   each.mFeature,
                                   each.mTrial,
                                   each.mProgress,
                                   each.mSentAt
                                     ? std::optional(each.mAt - *each.mSentAt)
                                     : std::nullopt });
    bytes += kSightingBytes + (known ? 0 : kCrashBytes);
  }
  return bytes;
}

} // namespace thornhollow
