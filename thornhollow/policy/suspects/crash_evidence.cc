#include "thornhollow/policy/suspects/crash_evidence.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "thornhollow/base/hash.h"

namespace thornhollow {

std::optional<crash_evidence::crash_number>
crash_evidence::Add(const sighting& aSighting)
{
  const request_feature feature = aSighting.mFeature;
  if (IsCleared(feature, aSighting.mAt, ProofAgainst(aSighting.mProgress))) {
    return std::nullopt;
  }
  const crash_number number = FindOrAddCrash(aSighting);
  crash& ended = mCrashes.at(number);
  const auto [entry, added] = ended.mSuspects.try_emplace(feature);
  suspect& seen = entry->second;
  feature_ends& ends = mByFeature[feature];
  mDigest -= DigestOf(ends);
  ends.mDigest -= DigestOf(feature, ended, seen);
  if (added) {
    ends.mEnds.push_back({ number, &ended, &seen });
    ++mSightingCount;
    if (ends.size() >= MinEnded(feature)) {
      mJudged.insert(feature);
    }
  }
  const bool isNews = seen.Add(aSighting.mProgress, aSighting.mTrial);
  ends.mDigest += DigestOf(feature, ended, seen);
  mDigest += DigestOf(ends);
  if (!isNews) {
    return std::nullopt;
  }
  ++mRevision;
  return number;
}

crash_evidence::crash_number
crash_evidence::FindOrAddCrash(const sighting& aSighting)
{
  std::vector<crash_number>& ends = mByEndpoint[aSighting.mEndpoint];
  const auto same = std::ranges::find_if(ends, [&](crash_number aNumber) {
    return IsSameEnd(mCrashes.at(aNumber), aSighting);
  });
  if (same != ends.end()) {
    crash& known = mCrashes.at(*same);
    // A report that was long on its way makes a run seem to begin later.
    known.mSentAt =
      std::max(known.mSentAt, std::min(aSighting.mSentAt, { known.mAt }));
    return *same;
  }
  const crash_number number = mNextCrash++;
  mCrashes.emplace(number,
                   crash{ .mEndpoint = aSighting.mEndpoint,
                          .mAt = aSighting.mAt,
                          .mSentAt = aSighting.mSentAt });
  ends.push_back(number);
  mByTime.emplace(aSighting.mAt, number);
  return number;
}

// An endpoint that starts again within a second may end a second time within
// the window. Taken for one, such ends would not count, and the request would
// go on ending endpoints. A run that was sent after one end was noticed tells
// them apart.
bool
crash_evidence::IsSameEnd(const crash& aCrash, const sighting& aSighting) const
{
  const bool isSentAfterKnown =
    aSighting.mSentAt &&
    *aSighting.mSentAt > aCrash.mAt + mSettings.mReportTime;
  const bool isKnownSentAfter =
    aCrash.mSentAt && *aCrash.mSentAt > aSighting.mAt + mSettings.mReportTime;
  const duration apart = std::chrono::abs(aCrash.mAt - aSighting.mAt);
  return apart < mSettings.mSameEndWindow && !isSentAfterKnown &&
         !isKnownSentAfter;
}

bool
crash_evidence::Clear(request_feature aFeature,
                      time_point aAt,
                      run_progress aProof)
{
  const bool erases = EraseUntil(aFeature, aAt, aProof);
  if (mByFeature.contains(aFeature)) {
    ++mRevision;
  }
  const auto known = mClearances.find(aFeature);
  if (known == mClearances.end()) {
    if (!erases && mClearances.size() >= mSettings.mMaxSightings) {
      return false;
    }
    mClearances[aFeature].Add(aProof, aAt);
    return true;
  }
  // The time of a clearance that comes back by way of others is later by the
  // time on the way. If that were news, it would circulate for ever. It is
  // recorded all the same: the report of an end that it follows may be late.
  const bool isNews =
    erases || aAt >= known->second.Last(aProof) + mSettings.mSameEndWindow;
  known->second.Add(aProof, aAt);
  return isNews;
}

void
crash_evidence::RecordSuccess(request_feature aPart,
                              time_point aAt,
                              run_progress aProof)
{
  if (mSuccesses.size() >= mSettings.mMaxSuccesses &&
      !mSuccesses.contains(aPart)) {
    std::erase_if(mSuccesses, [&](const auto& aEntry) {
      return aAt - aEntry.second.Latest() >= mSettings.mSoundMemory;
    });
    if (mSuccesses.size() >= mSettings.mMaxSuccesses) {
      return;
    }
  }
  mSuccesses[aPart].Add(aProof, aAt);
  if (mJudged.contains(aPart)) {
    ++mRevision;
  } else if (const auto ends = mByFeature.find(aPart);
             ends != mByFeature.end()) {
    ends->second.mSoloRevision = 0;
  }
}

std::optional<time_point>
crash_evidence::UntoldSuccess(request_feature aPart,
                              time_point aEndedAt,
                              run_progress aNeeded) const
{
  const auto success = mSuccesses.find(aPart);
  if (success == mSuccesses.end()) {
    return std::nullopt;
  }
  const time_point at = success->second.Last(aNeeded);
  const time_point least =
    at >= aEndedAt ? aEndedAt : aEndedAt - mSettings.mSoundMemory;
  const auto told = mClearances.find(aPart);
  const bool isTold =
    told != mClearances.end() && told->second.Last(aNeeded) >= least;
  return at < least || isTold ? std::nullopt : std::optional(at);
}

bool
crash_evidence::IsCleared(request_feature aFeature,
                          time_point aSince,
                          run_progress aNeeded) const
{
  const auto isSince = [&](const auto& aTimes) {
    const auto known = aTimes.find(aFeature);
    return known != aTimes.end() && known->second.Last(aNeeded) >= aSince;
  };
  return isSince(mClearances) || isSince(mSuccesses);
}

std::size_t
crash_evidence::MinEnded(request_feature aFeature) const
{
  return aFeature.IsPart() ? mSettings.mMaxEndedByPart : mSettings.mMaxEnded;
}

bool
crash_evidence::IsRejected(request_feature aFeature, time_point aNow) const
{
  const auto found = mRejections.find(aFeature);
  return found != mRejections.end() && aNow < found->second.mUntil;
}

std::optional<time_point>
crash_evidence::RejectedUntil(request_feature aFeature) const
{
  const auto found = mRejections.find(aFeature);
  return found == mRejections.end() ? std::nullopt
                                    : std::optional(found->second.mUntil);
}

std::optional<time_point>
crash_evidence::RejectedSince(request_feature aFeature) const
{
  const auto found = mRejections.find(aFeature);
  return found == mRejections.end() ? std::nullopt
                                    : std::optional(found->second.mSince);
}

std::vector<request_feature>
crash_evidence::Companions(request_feature aFeature) const
{
  const auto found = mRejections.find(aFeature);
  return found == mRejections.end() ? std::vector<request_feature>()
                                    : found->second.mCompanions;
}

bool
crash_evidence::NeedsSoloRun(request_feature aPart) const
{
  const auto found = mByFeature.find(aPart);
  if (found == mByFeature.end() ||
      found->second.size() < mSettings.mSoloFromEnds) {
    return false;
  }
  if (mRejections.contains(aPart)) {
    return true;
  }
  const feature_ends& ends = found->second;
  // In a storm of ends something changes with each report, and every request
  // asks: a judgement holds until the next one is due.
  const bool isKnown =
    ends.mSoloRevision == mRevision || (IsStorm() && ends.mSoloAt == mJudgedAt);
  if (!isKnown) {
    ends.mNeedsSoloRun =
      std::ranges::any_of(kSuspicious, [&](run_progress aProgress) {
        return NeedsSoloRun(aPart, aProgress);
      });
    ends.mSoloRevision = mRevision;
    ends.mSoloAt = mJudgedAt;
  }
  return ends.mNeedsSoloRun;
}

bool
crash_evidence::NeedsSoloRun(request_feature aPart,
                             run_progress aProgress) const
{
  std::vector<crash_number> ends = Ends(aPart, aProgress);
  std::erase_if(ends, [&](crash_number aNumber) {
    return IsExplained(mCrashes.at(aNumber), aPart);
  });
  if (SeparateEnds(ends) < mSettings.mSoloFromEnds || HaveOneContent(ends)) {
    return false;
  }
  const auto at = [this](crash_number aNumber) {
    return mCrashes.at(aNumber).mAt;
  };
  const auto [first, last] = std::ranges::minmax(ends, std::ranges::less(), at);
  return at(last) - at(first) >= mSettings.mSoundEndsApart ||
         !WasSound(aPart, aProgress);
}

bool
crash_evidence::WasSound(request_feature aPart) const
{
  return mByFeature.contains(aPart) &&
         std::ranges::all_of(kSuspicious, [&](run_progress aProgress) {
           return !FirstEnd(aPart, aProgress) || WasSound(aPart, aProgress);
         });
}

bool
crash_evidence::WasSound(request_feature aPart, run_progress aProgress) const
{
  const time_point firstEnd =
    FirstEnd(aPart, aProgress).value_or(time_point::max());
  const run_progress needed = ProofAgainst(aProgress);
  const auto isRecent = [&](const auto& aTimes) {
    const auto known = aTimes.find(aPart);
    return known != aTimes.end() &&
           known->second.Last(needed) >= firstEnd - mSettings.mSoundMemory;
  };
  return isRecent(mSuccesses) || isRecent(mClearances);
}

std::optional<time_point>
crash_evidence::FirstEnd(request_feature aFeature, run_progress aProgress) const
{
  std::optional<time_point> first;
  if (const auto found = mByFeature.find(aFeature); found != mByFeature.end()) {
    mSteps += found->second.size();
    for (const feature_end& each : found->second.mEnds) {
      if (each.mSuspect->IsSeen(aProgress)) {
        first = std::min(first.value_or(each.mCrash->mAt), each.mCrash->mAt);
      }
    }
  }
  return first;
}

std::vector<crash_evidence::crash_number>
crash_evidence::Ends(request_feature aFeature, run_progress aProgress) const
{
  std::vector<crash_number> ends;
  if (const auto found = mByFeature.find(aFeature); found != mByFeature.end()) {
    mSteps += found->second.size();
    ends.reserve(found->second.size());
    for (const feature_end& each : found->second.mEnds) {
      if (each.mSuspect->IsSeen(aProgress)) {
        ends.push_back(each.mNumber);
      }
    }
  }
  return ends;
}

std::size_t
crash_evidence::EndedUnder(request_feature aFeature) const
{
  const auto found = mByFeature.find(aFeature);
  return found == mByFeature.end() ? 0 : found->second.size();
}

run_progress
crash_evidence::NeededProof(request_feature aFeature) const
{
  const auto found = mByFeature.find(aFeature);
  const bool hasBegun =
    found != mByFeature.end() &&
    std::ranges::any_of(found->second.mEnds, [](const feature_end& aEnd) {
      return aEnd.mSuspect->IsSeen(run_progress::kBegun);
    });
  return hasBegun ? run_progress::kGoing : run_progress::kBegun;
}

std::optional<time_point>
crash_evidence::LastEnd(request_feature aFeature) const
{
  const auto found = mByFeature.find(aFeature);
  if (found == mByFeature.end()) {
    return std::nullopt;
  }
  time_point last = time_point::min();
  for (const feature_end& each : found->second.mEnds) {
    last = std::max(last, each.mCrash->mAt);
  }
  return last;
}

std::vector<crash_evidence::sighting>
crash_evidence::Find(crash_number aNumber, request_feature aFeature) const
{
  std::vector<sighting> found;
  const auto ended = mCrashes.find(aNumber);
  if (ended == mCrashes.end()) {
    return found;
  }
  const auto seen = ended->second.mSuspects.find(aFeature);
  if (seen == ended->second.mSuspects.end()) {
    return found;
  }
  for (const run_progress each : kSuspicious) {
    if (seen->second.IsSeen(each)) {
      found.push_back({ ended->second.mEndpoint,
                        ended->second.mAt,
                        aFeature,
                        seen->second.IsTrial(each),
                        each,
                        ended->second.mSentAt });
    }
  }
  return found;
}

std::vector<crash_evidence::clearance>
crash_evidence::Clearances(request_feature aFeature) const
{
  std::vector<clearance> found;
  const auto known = mClearances.find(aFeature);
  if (known == mClearances.end()) {
    return found;
  }
  for (const run_progress each :
       { run_progress::kBegun, run_progress::kGoing }) {
    if (const time_point at = known->second.Last(each);
        at != time_point::min()) {
      found.push_back({ each, at });
    }
  }
  return found;
}

std::vector<std::pair<crash_evidence::crash_number, request_feature>>
crash_evidence::SightingsFrom(std::size_t aMinEnded) const
{
  std::vector<std::pair<crash_number, request_feature>> found;
  for (const auto& [feature, ends] : mByFeature) {
    if (ends.size() < aMinEnded) {
      continue;
    }
    for (const feature_end& each : ends.mEnds) {
      found.emplace_back(each.mNumber, feature);
    }
  }
  return found;
}

std::vector<request_feature>
crash_evidence::ClearedFeatures() const
{
  std::vector<request_feature> features;
  for (const auto& [feature, at] : mClearances) {
    features.push_back(feature);
  }
  return features;
}

std::uint64_t
crash_evidence::DigestOf(request_feature aFeature,
                         const crash& aCrash,
                         const suspect& aSuspect)
{
  std::uint64_t digest = 0;
  for (const run_progress each : kSuspicious) {
    const std::uint64_t how =
      2U * static_cast<std::uint64_t>(each) + (aSuspect.IsTrial(each) ? 1 : 0);
    if (aSuspect.IsSeen(each)) {
      // Not exclusive or: two ends of one endpoint would look like none.
      digest +=
        CombineHash(CombineHash(aFeature.mValue, aCrash.mEndpoint), how);
    }
  }
  return digest;
}

std::uint64_t
crash_evidence::DigestOf(const feature_ends& aEnds)
{
  return aEnds.size() >= kDigestFrom ? aEnds.mDigest : 0;
}

std::vector<crash_rejection>
crash_evidence::TakeRejections()
{
  return std::exchange(mNewRejections, {});
}

void
crash_evidence::Forget(time_point aNow)
{
  const auto lapsed = std::erase_if(mRejections, [aNow](const auto& aEntry) {
    return aNow >= aEntry.second.mUntil;
  });
  if (lapsed > 0) {
    ++mRevision;
  }
  std::erase_if(mClearances, [&](const auto& aEntry) {
    return aNow - aEntry.second.Latest() >= mSettings.mRetention;
  });
  while (!mCrashes.empty() &&
         aNow - mCrashes.begin()->second.mAt >= mSettings.mRetention) {
    EraseCrash(mCrashes.begin()->first);
  }
}

// Forgets an eighth of all at a time.
void
crash_evidence::DropExcess()
{
  if (mSightingCount <= mSettings.mMaxSightings) {
    return;
  }
  std::vector<request_feature> features;
  for (const auto& [feature, ends] : mByFeature) {
    features.push_back(feature);
  }
  std::ranges::sort(
    features, std::ranges::less(), [this](request_feature aFeature) {
      const auto& ends = mByFeature.at(aFeature).mEnds;
      return std::tuple(ends.size(), ends.back().mNumber, aFeature);
    });
  const std::size_t target =
    mSettings.mMaxSightings - mSettings.mMaxSightings / 8;
  for (const request_feature each : features) {
    if (mSightingCount <= target) {
      return;
    }
    EraseUntil(each, time_point::max(), std::nullopt);
  }
}

bool
crash_evidence::EraseUntil(request_feature aFeature,
                           time_point aUntil,
                           std::optional<run_progress> aProof)
{
  const auto found = mByFeature.find(aFeature);
  if (found == mByFeature.end()) {
    return false;
  }
  feature_ends& ends = found->second;
  mDigest -= DigestOf(ends);
  bool changes = false;
  std::vector<crash_number> erased;
  for (const feature_end& each : ends.mEnds) {
    suspect& seen = *each.mSuspect;
    ends.mDigest -= DigestOf(aFeature, *each.mCrash, seen);
    for (const run_progress progress : kSuspicious) {
      const bool isProven = !aProof || *aProof == ProofAgainst(progress);
      if (each.mCrash->mAt <= aUntil && isProven) {
        changes = seen.Clear(progress) || changes;
      }
    }
    ends.mDigest += DigestOf(aFeature, *each.mCrash, seen);
    if (!seen.IsSeen()) {
      erased.push_back(each.mNumber);
    }
  }
  std::erase_if(ends.mEnds, [](const feature_end& aEnd) {
    return !aEnd.mSuspect->IsSeen();
  });
  mDigest += DigestOf(ends);
  if (ends.size() < MinEnded(aFeature)) {
    ForgetJudgement(aFeature);
  }
  if (ends.size() == 0) {
    mByFeature.erase(found);
  }
  for (const crash_number each : erased) {
    EraseFromCrash(each, aFeature);
  }
  if (changes) {
    ++mRevision;
  }
  return changes;
}

void
crash_evidence::EraseFromCrash(crash_number aNumber, request_feature aFeature)
{
  crash& ended = mCrashes.at(aNumber);
  mSightingCount -= ended.mSuspects.erase(aFeature);
  if (ended.mSuspects.empty()) {
    EraseCrash(aNumber);
  }
}

void
crash_evidence::EraseCrash(crash_number aNumber)
{
  const auto found = mCrashes.find(aNumber);
  for (const auto& [feature, seen] : found->second.mSuspects) {
    const auto under = mByFeature.find(feature);
    feature_ends& ends = under->second;
    mDigest -= DigestOf(ends);
    ends.mDigest -= DigestOf(feature, found->second, seen);
    std::erase_if(ends.mEnds, [aNumber](const feature_end& aEnd) {
      return aEnd.mNumber == aNumber;
    });
    mDigest += DigestOf(ends);
    if (ends.size() < MinEnded(feature)) {
      ForgetJudgement(feature);
    }
    if (ends.size() == 0) {
      mByFeature.erase(under);
    }
    --mSightingCount;
  }
  const auto ends = mByEndpoint.find(found->second.mEndpoint);
  std::erase(ends->second, aNumber);
  if (ends->second.empty()) {
    mByEndpoint.erase(ends);
  }
  const auto [first, last] = mByTime.equal_range(found->second.mAt);
  mByTime.erase(std::find_if(first, last, [aNumber](const auto& aEntry) {
    return aEntry.second == aNumber;
  }));
  mCrashes.erase(found);
  ++mRevision;
}

void
crash_evidence::ForgetJudgement(request_feature aFeature)
{
  mJudged.erase(aFeature);
  ForgetRejection(aFeature);
}

void
crash_evidence::ForgetRejection(request_feature aFeature)
{
  if (mRejections.erase(aFeature) > 0) {
    ++mRevision;
  }
}

} // namespace thornhollow
