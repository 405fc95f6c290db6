#include <algorithm>
#include <utility>

#include "thornhollow/policy/suspects/crash_evidence.h"

namespace thornhollow {
namespace {

// Evidence of a trial that has another possible explanation, and the evidence
// that a rejection needs.
constexpr double kInconclusive = 0.5;
constexpr double kConclusive = 1;

// Trials stop counting with time, so that judgements are made anew after this.
constexpr duration kJudgementValidity = Seconds(1);
// The next judgement of many ends is so far away for each end that the last one
// visited, and at most `kMaxJudgementInterval`.
constexpr std::uint64_t kFewSteps = 1'000;
constexpr duration kIntervalPerStep = std::chrono::microseconds(20);
constexpr duration kMaxJudgementInterval = Milliseconds(250);

} // namespace

bool
crash_evidence::IsExplained(const crash& aCrash, request_feature aFeature) const
{
  if (mRejections.empty()) {
    return false;
  }
  return std::ranges::any_of(aCrash.mSuspects, [&](const auto& aEntry) {
    return aEntry.first != aFeature && mRejections.contains(aEntry.first);
  });
}

bool
crash_evidence::MayBeCoincidence(const crash& aCrash,
                                 request_feature aFeature) const
{
  const duration window = mSettings.mCoincidenceWindow;
  const auto first = mByTime.upper_bound(aCrash.mAt - window);
  const auto last = mByTime.lower_bound(aCrash.mAt + window);
  std::size_t others = 0;
  for (auto each = first; each != last; ++each) {
    ++mSteps;
    const crash& other = mCrashes.at(each->second);
    const bool isUnrelated = other.mEndpoint != aCrash.mEndpoint &&
                             !HasLikelyCause(other) &&
                             !other.mSuspects.contains(aFeature);
    others += isUnrelated ? 1 : 0;
    if (others >= mSettings.mCoincidentEnds) {
      return true;
    }
  }
  return false;
}

// Whether a rejected feature or a trial was open at the endpoint.
bool
crash_evidence::HasLikelyCause(const crash& aCrash) const
{
  if (aCrash.mCauseRevision != mRevision) {
    aCrash.mHasLikelyCause =
      std::ranges::any_of(aCrash.mSuspects, [&](const auto& aEntry) {
        return aEntry.second.IsTrial() || mRejections.contains(aEntry.first);
      });
    aCrash.mCauseRevision = mRevision;
  }
  return aCrash.mHasLikelyCause;
}

// Other contents count as suspects if they had not got further than this one.
double
crash_evidence::Evidence(const crash& aCrash,
                         request_feature aContent,
                         run_progress aProgress,
                         time_point aNow) const
{
  if (!aCrash.mSuspects.at(aContent).IsTrial(aProgress) ||
      aNow - aCrash.mAt >= mSettings.mRejectionTime) {
    return 0;
  }
  const auto contents =
    std::ranges::count_if(aCrash.mSuspects, [&](const auto& aEntry) {
      const suspect& seen = aEntry.second;
      const bool isSuspect =
        seen.IsSeen(run_progress::kNoOutput) || seen.IsSeen(aProgress);
      return !aEntry.first.IsPart() && isSuspect;
    });
  return contents == 1 ? kConclusive : kInconclusive;
}

void
crash_evidence::JudgeAll(time_point aNow)
{
  // In a storm of ends reports come from every instance all the time. If each
  // led to a judgement, the instance would have time for nothing else.
  const duration age = aNow - mJudgedAt;
  const bool isKnown = mRevision == mJudgedRevision && age < kJudgementValidity;
  const bool isJustDone =
    IsStorm() && age < std::min<duration>(kIntervalPerStep * mJudgedSteps,
                                          kMaxJudgementInterval);
  if (isKnown || isJustDone) {
    return;
  }
  const std::uint64_t before = mSteps;
  // Another judgement follows if this one changes what is rejected.
  mJudgedRevision = mRevision;
  mJudgedAt = aNow;
  JudgeParts(aNow);
  for (const request_feature each : mJudged) {
    if (!each.IsPart()) {
      JudgeContent(each, aNow);
    }
  }
  mJudgedSteps = mSteps - before;
}

bool
crash_evidence::IsStorm() const
{
  return mJudgedSteps > kFewSteps;
}

void
crash_evidence::JudgeContent(request_feature aContent, time_point aNow)
{
  std::optional<time_point> lastTrial;
  for (const run_progress each : kSuspicious) {
    lastTrial = std::max(lastTrial, Convicts(aContent, each, aNow));
  }
  if (!lastTrial) {
    ForgetRejection(aContent);
    return;
  }
  Reject(aContent, *lastTrial + mSettings.mRejectionTime, { aContent }, aNow);
}

std::optional<time_point>
crash_evidence::Convicts(request_feature aContent,
                         run_progress aProgress,
                         time_point aNow) const
{
  double evidence = 0;
  bool isConclusive = false;
  std::size_t separate = 0;
  std::size_t unexplained = 0;
  time_point lastTrial{};
  const std::vector<crash_number> ends = Ends(aContent, aProgress);
  if (std::ranges::none_of(ends, [&](crash_number aNumber) {
        return mCrashes.at(aNumber).mSuspects.at(aContent).IsTrial(aProgress);
      })) {
    return std::nullopt;
  }
  for (const crash_number each : ends) {
    const crash& ended = mCrashes.at(each);
    if (MayBeCoincidence(ended, aContent)) {
      continue;
    }
    ++separate;
    if (IsExplained(ended, aContent)) {
      continue;
    }
    ++unexplained;
    if (const double own = Evidence(ended, aContent, aProgress, aNow);
        own > 0) {
      evidence += own;
      isConclusive = isConclusive || own >= kConclusive;
      lastTrial = std::max(lastTrial, ended.mAt);
    }
  }
  const bool enough = isConclusive ? separate >= mSettings.mMinSeparateEnds
                                   : unexplained >= mSettings.mMaxEnded;
  return evidence >= kConclusive && enough ? std::optional(lastTrial)
                                           : std::nullopt;
}

void
crash_evidence::JudgeParts(time_point aNow)
{
  const std::vector<part_case> cases = PartCases();
  std::set<crash_number> explained;
  std::set<request_feature> rejected;
  for (const part_case& each : cases) {
    if (rejected.contains(each.mPart)) {
      continue;
    }
    part_case rest = each;
    std::erase_if(rest.mEnds, [&](crash_number aNumber) {
      return explained.contains(aNumber);
    });
    const auto lastSoloEnd = Convicts(rest, aNow);
    if (!lastSoloEnd) {
      continue;
    }
    std::vector<request_feature> companions;
    for (const part_case& other : cases) {
      if (other.mProgress == each.mProgress && other.mEnds == each.mEnds) {
        companions.push_back(other.mPart);
      }
    }
    for (const request_feature one : companions) {
      rejected.insert(one);
      Reject(one, *lastSoloEnd + mSettings.mRejectionTime, companions, aNow);
    }
    explained.insert(each.mEnds.begin(), each.mEnds.end());
  }
  for (const request_feature each : mJudged) {
    if (each.IsPart() && !rejected.contains(each)) {
      ForgetRejection(each);
    }
  }
}

// Parts under which enough endpoints have ended, the most likely causes first.
std::vector<crash_evidence::part_case>
crash_evidence::PartCases() const
{
  std::vector<part_case> cases;
  for (const request_feature each : mJudged) {
    if (!each.IsPart()) {
      continue;
    }
    for (const run_progress progress : kSuspicious) {
      part_case one{ each, progress, Ends(each, progress), false };
      if (one.mEnds.size() >= mSettings.mMaxEndedByPart) {
        std::ranges::sort(one.mEnds);
        one.mWasSound = WasSound(each, progress);
        cases.push_back(std::move(one));
      }
    }
  }
  std::ranges::stable_sort(
    cases, std::ranges::greater(), [](const part_case& aCase) {
      return std::pair(!aCase.mWasSound, aCase.mEnds.size());
    });
  return cases;
}

std::optional<time_point>
crash_evidence::Convicts(const part_case& aCase, time_point aNow) const
{
  std::optional<time_point> lastSoloEnd;
  for (const crash_number each : aCase.mEnds) {
    const crash& ended = mCrashes.at(each);
    if (ended.mSuspects.at(aCase.mPart).IsTrial(aCase.mProgress) &&
        aNow - ended.mAt < mSettings.mRejectionTime) {
      lastSoloEnd = std::max(lastSoloEnd.value_or(ended.mAt), ended.mAt);
    }
  }
  const bool convicts =
    lastSoloEnd && SeparateEnds(aCase.mEnds) >= mSettings.mMaxEndedByPart &&
    !HaveOneContent(aCase.mEnds);
  return convicts ? lastSoloEnd : std::nullopt;
}

std::size_t
crash_evidence::SeparateEnds(const std::vector<crash_number>& aEnds) const
{
  std::vector<time_point> times;
  times.reserve(aEnds.size());
  for (const crash_number each : aEnds) {
    times.push_back(mCrashes.at(each).mAt);
  }
  std::ranges::sort(times);
  std::size_t count = 0;
  for (auto from = times.begin(); from != times.end();) {
    const auto to = std::find_if(from, times.end(), [&](time_point aTime) {
      return aTime - *from >= mSettings.mCoincidenceWindow;
    });
    const auto together = static_cast<std::size_t>(to - from);
    count += together > mSettings.mCoincidentEnds ? 1 : together;
    from = to;
  }
  return count;
}

bool
crash_evidence::HaveOneContent(const std::vector<crash_number>& aEnds) const
{
  if (aEnds.empty()) {
    return false;
  }
  const crash& first = mCrashes.at(aEnds.front());
  return std::ranges::any_of(first.mSuspects, [&](const auto& aEntry) {
    const request_feature feature = aEntry.first;
    return !feature.IsPart() &&
           std::ranges::all_of(aEnds, [&](crash_number aNumber) {
             ++mSteps;
             return mCrashes.at(aNumber).mSuspects.contains(feature);
           });
  });
}

void
crash_evidence::Reject(request_feature aFeature,
                       time_point aUntil,
                       std::vector<request_feature> aCompanions,
                       time_point aNow)
{
  if (!IsRejected(aFeature, aNow)) {
    crash_rejection one{ aFeature, {} };
    for (const feature_end& each : mByFeature.at(aFeature).mEnds) {
      one.mEndpoints.push_back(each.mCrash->mEndpoint);
    }
    mNewRejections.push_back(std::move(one));
  }
  const auto [entry, added] =
    mRejections.try_emplace(aFeature, rejection{ .mSince = aNow });
  if (added) {
    ++mRevision;
  }
  entry->second.mUntil = aUntil;
  entry->second.mCompanions = std::move(aCompanions);
}

} // namespace thornhollow
