#include "thornhollow/policy/suspects/suspect_runs.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace thornhollow {

const suspect_runs::run*
suspect_runs::Own(request_feature aFeature) const
{
  const auto runs = mRuns.find(aFeature);
  if (runs == mRuns.end()) {
    return nullptr;
  }
  const auto own = runs->second.find(mInstance);
  return own == runs->second.end() || own->second.mEnded ? nullptr
                                                         : &own->second;
}

// Whether the run no longer keeps others with the same feature from running.
bool
suspect_runs::IsOver(request_feature aFeature,
                     const run& aRun,
                     time_point aNow) const
{
  return aRun.mEnded || aNow >= aRun.mUntil ||
         (aFeature.IsPart() && aRun.mStarted &&
          aNow - aRun.mStartedAt >= mSettings.mSoloTime);
}

bool
suspect_runs::RunsElsewhere(request_feature aFeature, time_point aNow) const
{
  const auto runs = mRuns.find(aFeature);
  if (runs == mRuns.end()) {
    return false;
  }
  const bool hasOwn = Own(aFeature) != nullptr;
  return std::ranges::any_of(runs->second, [&](const auto& aEntry) {
    const auto& [instance, each] = aEntry;
    const bool goesFirst = !hasOwn || each.mStarted || instance < mInstance;
    return instance != mInstance && goesFirst && !IsOver(aFeature, each, aNow);
  });
}

bool
suspect_runs::RunsHere(request_feature aFeature,
                       std::uint64_t aTicket,
                       time_point aNow) const
{
  const run* own = Own(aFeature);
  return own != nullptr && own->mTicket != aTicket &&
         !IsOver(aFeature, *own, aNow);
}

bool
suspect_runs::IsOccupied(endpoint_hash aEndpoint,
                         std::uint64_t aTicket,
                         time_point aNow) const
{
  for (const auto& [feature, runs] : mRuns) {
    for (const auto& [instance, each] : runs) {
      const bool isMine = instance == mInstance && each.mTicket == aTicket;
      if (each.mEndpoint == aEndpoint && !isMine &&
          !IsOver(feature, each, aNow)) {
        return true;
      }
    }
  }
  return false;
}

bool
suspect_runs::CanReserve(request_feature aFeature,
                         endpoint_hash aEndpoint,
                         std::size_t aPoolSize,
                         time_point aNow) const
{
  if (aPoolSize <= 1) {
    return true;
  }
  std::set<endpoint_hash> reserved;
  for (const auto& [feature, runs] : mRuns) {
    for (const auto& [instance, each] : runs) {
      const bool isOwn = feature == aFeature && instance == mInstance;
      if (each.mReserves && !each.mEnded && aNow < each.mUntil && !isOwn) {
        reserved.insert(each.mEndpoint);
      }
    }
  }
  const auto most = static_cast<std::size_t>(std::floor(
    mSettings.mMaxReservedFraction * static_cast<double>(aPoolSize)));
  return reserved.size() < std::max<std::size_t>(most, 1) &&
         !reserved.contains(aEndpoint);
}

bool
suspect_runs::HasPrecedence(request_feature aFeature,
                            endpoint_hash aEndpoint,
                            time_point aNow) const
{
  for (const auto& [feature, runs] : mRuns) {
    for (const auto& [instance, each] : runs) {
      if (feature != aFeature && instance < mInstance && each.mReserves &&
          !each.mEnded && aNow < each.mUntil && each.mEndpoint == aEndpoint) {
        return false;
      }
    }
  }
  return true;
}

void
suspect_runs::Announce(const announced_run& aRun, time_point aNow)
{
  mRuns[aRun.mFeature][mInstance] = { .mEndpoint = aRun.mEndpoint,
                                      .mNumber = mNextRun++,
                                      .mReserves = aRun.mReserves,
                                      .mUntil = aNow + mSettings.mRunValidity,
                                      .mStarted = aRun.mStarted,
                                      .mStartedAt = aNow,
                                      .mTrial = aRun.mTrial,
                                      .mTicket = aRun.mTicket,
                                      .mAnnouncedAt = aNow,
                                      .mRenewAt =
                                        aNow + mSettings.mRunInterval };
  CountReserved(aNow);
}

void
suspect_runs::Start(request_feature aFeature, time_point aNow)
{
  run& own = mRuns.at(aFeature).at(mInstance);
  own.mStarted = true;
  own.mStartedAt = aNow;
}

bool
suspect_runs::EndOwn(request_feature aFeature, time_point aNow)
{
  if (Own(aFeature) == nullptr) {
    return false;
  }
  run& own = mRuns.at(aFeature).at(mInstance);
  own.mEnded = true;
  own.mUntil = aNow;
  CountReserved(aNow);
  return true;
}

bool
suspect_runs::Merge(const suspect_run& aReport, time_point aNow)
{
  if (aReport.mInstance == mInstance) {
    return false;
  }
  run& known = mRuns[aReport.mFeature][aReport.mInstance];
  const bool ends = aReport.mRemaining <= duration::zero();
  const bool isOld = aReport.mNumber < known.mNumber ||
                     (aReport.mNumber == known.mNumber && known.mEnded);
  const time_point until =
    aNow + std::min(aReport.mRemaining, mSettings.mRunValidity);
  const bool starts =
    aReport.mStarted && (!known.mStarted || aReport.mNumber > known.mNumber);
  // Forwarding each small difference in the remaining time would never end.
  const bool isNews =
    !isOld && (aReport.mNumber > known.mNumber || ends || starts ||
               until > known.mUntil + mSettings.mRunInterval / 2);
  if (!isNews) {
    return false;
  }
  known = { .mEndpoint = aReport.mEndpoint,
            .mNumber = aReport.mNumber,
            .mReserves = aReport.mReserves,
            .mEnded = ends,
            .mUntil = until,
            .mStarted = aReport.mStarted,
            .mStartedAt = starts ? aNow : known.mStartedAt };
  CountReserved(aNow);
  return true;
}

void
suspect_runs::OnEnded(request_feature aFeature, endpoint_hash aEndpoint)
{
  if (const auto runs = mRuns.find(aFeature); runs != mRuns.end()) {
    for (auto& [instance, each] : runs->second) {
      each.mEnded =
        each.mEnded || (instance != mInstance && each.mEndpoint == aEndpoint);
    }
  }
}

void
suspect_runs::OnCleared(request_feature aFeature)
{
  if (const auto runs = mRuns.find(aFeature); runs != mRuns.end()) {
    for (auto& [instance, each] : runs->second) {
      each.mEnded = each.mEnded || instance != mInstance;
    }
  }
}

std::vector<suspect_runs::run_key>
suspect_runs::Tick(time_point aNow)
{
  std::vector<run_key> renewed;
  for (auto& [feature, runs] : mRuns) {
    if (const auto own = runs.find(mInstance); own != runs.end() &&
                                               !own->second.mEnded &&
                                               aNow >= own->second.mRenewAt) {
      own->second.mUntil = aNow + mSettings.mRunValidity;
      own->second.mRenewAt = aNow + mSettings.mRunInterval;
      renewed.push_back(OwnKey(feature));
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
  return renewed;
}

bool
suspect_runs::IsReserved(endpoint_hash aEndpoint, time_point aNow) const
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

std::optional<suspect_run>
suspect_runs::Report(const run_key& aKey, time_point aNow) const
{
  const auto runs = mRuns.find(aKey.mFeature);
  if (runs == mRuns.end() || !runs->second.contains(aKey.mInstance)) {
    return std::nullopt;
  }
  const run& found = runs->second.at(aKey.mInstance);
  const duration remaining =
    found.mEnded ? duration::zero()
                 : std::max(found.mUntil - aNow, duration::zero());
  return suspect_run{ aKey.mFeature, found.mEndpoint, aKey.mInstance,
                      found.mNumber, remaining,       found.mReserves,
                      found.mStarted };
}

std::vector<suspect_runs::run_key>
suspect_runs::All() const
{
  std::vector<run_key> all;
  for (const auto& [feature, runs] : mRuns) {
    for (const auto& [instance, each] : runs) {
      all.push_back({ feature, instance });
    }
  }
  return all;
}

void
suspect_runs::CountReserved(time_point aNow)
{
  const std::size_t before = std::exchange(mReserved, 0);
  for (const auto& [feature, runs] : mRuns) {
    for (const auto& [instance, each] : runs) {
      const bool reserves =
        each.mReserves && !each.mEnded && aNow < each.mUntil;
      mReserved += reserves ? 1 : 0;
    }
  }
  // The same number may stand for other endpoints.
  mReservationChanges += before > 0 || mReserved > 0 ? 1 : 0;
}

} // namespace thornhollow
