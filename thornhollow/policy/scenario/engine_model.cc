#include "thornhollow/policy/scenario/engine_model.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace thornhollow::scenario {
namespace {

// Fractions of an engine step below this value are treated as rounding errors.
constexpr double kStepEpsilon = 1e-6;

} // namespace

engine_model::engine_model(event_loop& aLoop,
                           const engine_settings& aSettings,
                           callbacks aCallbacks)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mCallbacks(std::move(aCallbacks))
  , mLastAdvanced(aLoop.Now())
{
}

void
engine_model::Add(const engine_job& aJob)
{
  AdvanceJobs();
  mWaiting.emplace(queue_key{ aJob.mTier, mSequence++ }, aJob);
  AdmitWaiting();
  ScheduleWake();
}

engine_work
engine_model::Cancel(ticket aTicket)
{
  AdvanceJobs();
  engine_work cost;
  if (const auto found = std::ranges::find(
        mRunning,
        aTicket,
        [](const running_job& aEach) { return aEach.mJob.mTicket; });
      found != mRunning.end()) {
    cost = WorkDone(*found);
    mRunning.erase(found);
  }
  std::erase_if(mWaiting, [aTicket](const auto& aEach) {
    return aEach.second.mTicket == aTicket;
  });
  AdmitWaiting();
  ScheduleWake();
  return cost;
}

void
engine_model::Crash()
{
  AdvanceJobs();
  mUp = false;
  std::vector<running_job> lost = std::exchange(mRunning, {});
  for (const auto& [rank, job] : std::exchange(mWaiting, {})) {
    lost.push_back({ job, 0, 0, static_cast<double>(job.mOutputTokens) });
  }
  mPrefixCache.clear();
  ScheduleWake();
  for (const running_job& each : lost) {
    mCallbacks.mLost(each.mJob.mTicket, WorkDone(each));
  }
}

void
engine_model::SetSlowdown(double aFactor)
{
  AdvanceJobs();
  mSlowdown = aFactor;
  ScheduleWake();
}

load_report
engine_model::Report() const
{
  load_report report;
  report.mRunning = static_cast<std::uint32_t>(mRunning.size());
  report.mWaiting = static_cast<std::uint32_t>(mWaiting.size());
  report.mSlots = mSettings.mSlots;
  report.mCacheUsed = static_cast<double>(mRunning.size()) / mSettings.mSlots;
  report.mStep = StepTime();
  report.mMeasuredAt = mLoop.Now();
  return report;
}

duration
engine_model::StepTime() const
{
  const auto prefilling = std::ranges::count_if(
    mRunning, [](const running_job& aEach) { return aEach.mPrefillSteps > 0; });
  const duration step =
    mSettings.mBaseStep +
    mSettings.mStepPerRunning * static_cast<int>(mRunning.size()) +
    mSettings.mStepPerPrefill * static_cast<int>(prefilling);
  return FromSeconds(ToSeconds(step) * mSlowdown);
}

// Advances every running job by the steps that passed since the previous call.
void
engine_model::AdvanceJobs()
{
  const double steps =
    ToSeconds(mLoop.Now() - mLastAdvanced) / ToSeconds(StepTime());
  mLastAdvanced = mLoop.Now();
  for (running_job& each : mRunning) {
    const double prefill = std::min(steps, each.mPrefillSteps);
    each.mPrefillSteps -= prefill;
    if (each.mPrefillSteps < kStepEpsilon) {
      each.mPrefillSteps = 0;
    }
    each.mOutputLeft -= steps - prefill;
  }
}

void
engine_model::AdmitWaiting()
{
  while (mRunning.size() < mSettings.mSlots && !mWaiting.empty()) {
    const engine_job job = mWaiting.begin()->second;
    mWaiting.erase(mWaiting.begin());
    const double saved =
      IsCached(job.mPrefix) ? mSettings.mPrefixSavedFraction : 0;
    const double prompt = job.mPromptTokens * (1 - saved);
    // The step that ends the prefill also generates the first token.
    const double steps =
      std::max(1.0, std::ceil(prompt / mSettings.mPrefillChunk));
    mRunning.push_back(
      { job, steps, prompt, static_cast<double>(job.mOutputTokens) - 1 });
  }
}

// Schedules a wake-up for the next change of the batch, which is when a prefill
// or a response ends.
void
engine_model::ScheduleWake()
{
  const std::uint64_t planned = ++mWakeGeneration;
  double steps = std::numeric_limits<double>::infinity();
  for (const running_job& each : mRunning) {
    steps = std::min(steps,
                     each.mPrefillSteps > 0 ? each.mPrefillSteps
                                            : std::max(0.0, each.mOutputLeft));
  }
  if (mRunning.empty()) {
    return;
  }
  // One nanosecond is added so that rounding cannot schedule the wake-up before
  // the change.
  mLoop.After(FromSeconds(ToSeconds(StepTime()) * steps) + duration(1),
              [this, planned] {
                if (planned == mWakeGeneration) {
                  OnWake();
                }
              });
}

void
engine_model::OnWake()
{
  AdvanceJobs();
  std::vector<ticket> started;
  std::vector<running_job> ended;
  for (running_job& each : mRunning) {
    if (!each.mStarted && each.mPrefillSteps == 0) {
      each.mStarted = true;
      started.push_back(each.mJob.mTicket);
    }
  }
  std::erase_if(mRunning, [&ended](const running_job& aEach) {
    const bool isDone = aEach.mStarted && aEach.mOutputLeft < kStepEpsilon;
    if (isDone) {
      ended.push_back(aEach);
    }
    return isDone;
  });
  AdmitWaiting();
  ScheduleWake();
  for (const ticket each : started) {
    mCallbacks.mFirstToken(each);
  }
  for (const running_job& each : ended) {
    mCallbacks.mCompleted(each.mJob.mTicket, WorkDone(each));
  }
}

bool
engine_model::IsCached(std::uint64_t aPrefix)
{
  if (aPrefix == 0) {
    return false;
  }
  const auto found = std::ranges::find(mPrefixCache, aPrefix);
  const bool isCached = found != mPrefixCache.end();
  if (isCached) {
    mPrefixCache.erase(found);
  }
  mPrefixCache.push_front(aPrefix);
  if (mPrefixCache.size() > mSettings.mCachedPrefixes) {
    mPrefixCache.pop_back();
  }
  return isCached;
}

engine_work
engine_model::WorkDone(const running_job& aRunning) const
{
  const double output =
    aRunning.mStarted
      ? aRunning.mJob.mOutputTokens - std::max(0.0, aRunning.mOutputLeft)
      : 0;
  return { output, aRunning.mPrefillTokens };
}

} // namespace thornhollow::scenario
