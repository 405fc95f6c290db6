#include "thornhollow/testing/engine_core.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "thornhollow/testing/token_text.h"

namespace thornhollow::testing {
namespace {

// Share of the last step in the smoothed token rate.
constexpr double kRateWeight = 0.1;

std::uint32_t
CountWords(const std::string& aText)
{
  return static_cast<std::uint32_t>(std::ranges::count(aText, ' ')) + 1;
}

std::size_t
CommonPrefix(const std::string& aLeft, const std::string& aRight)
{
  const auto [left, right] = std::ranges::mismatch(aLeft, aRight);
  return static_cast<std::size_t>(std::distance(aLeft.begin(), left));
}

} // namespace

engine_core::engine_core(engine_settings aSettings)
  : mSettings(aSettings)
{
}

run_number
engine_core::Submit(const engine_request& aRequest, time_point aNow)
{
  const std::uint32_t drawn =
    mSettings.mMeanTokens == 0
      ? std::numeric_limits<std::uint32_t>::max()
      : DrawnLength(aRequest.mId, mSettings.mMeanTokens);
  job taken;
  taken.mRun = ++mLastRun;
  taken.mRequest = aRequest;
  taken.mEndIndex = std::min(drawn, aRequest.mMaxTokens);
  taken.mFinish =
    drawn <= aRequest.mMaxTokens ? finish::kStop : finish::kLength;
  taken.mNextIndex = std::min(aRequest.mResumeFrom, taken.mEndIndex);
  const auto place =
    std::ranges::find_if(mWaiting, [&aRequest](const job& aWaiting) {
      return aWaiting.mRequest.mPriority > aRequest.mPriority;
    });
  mWaiting.insert(place, std::move(taken));
  ++mRecords[aRequest.mId].mAccepted;
  Report(aNow, 0);
  return mLastRun;
}

bool
engine_core::CancelRun(run_number aRun)
{
  for (auto* jobs : { &mWaiting, &mBatch }) {
    const auto found = std::ranges::find(*jobs, aRun, &job::mRun);
    if (found != jobs->end()) {
      ++mRecords[found->mRequest.mId].mCancelled;
      jobs->erase(found);
      return true;
    }
  }
  return false;
}

bool
engine_core::CancelRequest(const std::string& aId)
{
  std::vector<run_number> runs;
  for (const auto* jobs : { &mWaiting, &mBatch }) {
    for (const job& each : *jobs) {
      if (each.mRequest.mId == aId) {
        runs.push_back(each.mRun);
      }
    }
  }
  for (const run_number run : runs) {
    CancelRun(run);
  }
  return !runs.empty();
}

std::vector<emitted_token>
engine_core::Step(time_point aNow)
{
  FillSlots();
  std::vector<emitted_token> tokens;
  for (auto at = mBatch.begin(); at != mBatch.end();) {
    if (at->mPrefillSteps > 0) {
      --at->mPrefillSteps;
      ++at;
      continue;
    }
    tokens.push_back(Emit(*at));
    at =
      tokens.back().mFinish == finish::kNone ? std::next(at) : mBatch.erase(at);
  }
  Report(aNow, tokens.size());
  return tokens;
}

load_report
engine_core::Load(time_point aNow) const
{
  const time_point readable = aNow - mSettings.mReportLag;
  load_report report{ .mSlots = mSettings.mSlots };
  report.mAge = mSettings.mReportLag;
  for (const auto& [at, recorded] : mReports) {
    if (at > readable) {
      break;
    }
    report = recorded;
    report.mAge = aNow - at;
  }
  return report;
}

void
engine_core::FillSlots()
{
  while (mBatch.size() < mSettings.mSlots && !mWaiting.empty()) {
    job& next = mWaiting.front();
    next.mPrefillSteps = PrefillSteps(next.mRequest);
    auto& record = mRecords[next.mRequest.mId];
    ++record.mRuns;
    record.mResumed += next.mRequest.mResumeFrom > 0 ? 1 : 0;
    mBatch.splice(mBatch.end(), mWaiting, mWaiting.begin());
  }
}

std::uint32_t
engine_core::PrefillSteps(const engine_request& aRequest)
{
  const std::uint32_t total = CountWords(aRequest.mPrompt);
  std::uint32_t cached = 0;
  for (const cached_prefix& prefix : mCache) {
    const auto length = CommonPrefix(prefix.mPrompt, aRequest.mPrompt);
    if (length > 0) {
      cached = std::max(cached, CountWords(aRequest.mPrompt.substr(0, length)));
    }
  }
  Remember(aRequest.mPrompt, total);
  const std::uint32_t left = total - std::min(cached, total);
  return (left + mSettings.mPrefillPerStep - 1) / mSettings.mPrefillPerStep;
}

void
engine_core::Remember(const std::string& aPrompt, std::uint32_t aTokens)
{
  const auto known =
    std::ranges::find(mCache, aPrompt, &cached_prefix::mPrompt);
  if (known != mCache.end()) {
    mCache.splice(mCache.begin(), mCache, known);
    return;
  }
  mCache.push_front({ aPrompt, aTokens });
  mCachedTokens += aTokens;
  while (mCachedTokens > mSettings.mCacheTokens) {
    mCachedTokens -= mCache.back().mTokens;
    mCache.pop_back();
  }
}

emitted_token
engine_core::Emit(job& aJob)
{
  const std::uint32_t index = aJob.mNextIndex++;
  auto& record = mRecords[aJob.mRequest.mId];
  if (index >= aJob.mEndIndex) {
    ++record.mFinished;
    return { aJob.mRun, index, {}, aJob.mFinish };
  }
  ++record.mTokens;
  record.mFirstIndex = std::min(index, record.mFirstIndex.value_or(index));
  record.mLastIndex = std::max(index, record.mLastIndex.value_or(index));
  const bool last = aJob.mNextIndex >= aJob.mEndIndex;
  record.mFinished += last ? 1 : 0;
  return { aJob.mRun,
           index,
           TokenText(aJob.mRequest.mId, index),
           last ? aJob.mFinish : finish::kNone };
}

void
engine_core::Report(time_point aNow, std::size_t aTokens)
{
  if (aTokens > 0 && mLastStep && aNow > *mLastStep) {
    const double rate =
      static_cast<double>(aTokens) / ToSeconds(aNow - *mLastStep);
    mTokensPerSecond += kRateWeight * (rate - mTokensPerSecond);
  }
  if (aTokens > 0 || !Busy()) {
    mLastStep = aNow;
  }
  const double held = static_cast<double>(mBatch.size());
  mReports.push_back({ aNow,
                       { static_cast<std::uint32_t>(mBatch.size()),
                         static_cast<std::uint32_t>(mWaiting.size()),
                         mSettings.mSlots,
                         held / mSettings.mSlots,
                         mTokensPerSecond,
                         duration{} } });
  // Only the newest report that is old enough to be read, and those after it,
  // are ever looked at again.
  while (mReports.size() > 1 &&
         mReports[1].mAt <= aNow - mSettings.mReportLag) {
    mReports.pop_front();
  }
}

} // namespace thornhollow::testing
