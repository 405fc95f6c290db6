#include "thornhollow/policy/scenario/engine_model.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace thornhollow::scenario {
namespace {

// Fractions of a step below this are rounding.
constexpr double kStepEpsilon = 1e-6;

} // namespace

engine_model::engine_model(event_loop& aLoop,
                           const engine_settings& aSettings,
                           callbacks aCallbacks)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mCallbacks(std::move(aCallbacks))
  , mProgressed(aLoop.Now())
{
}

void
engine_model::Add(const engine_job& aJob)
{
  Progress();
  mWaiting.emplace(order{ aJob.mTier, mSequence++ }, aJob);
  Admit();
  Plan();
}

engine_work
engine_model::Cancel(ticket aTicket)
{
  Progress();
  engine_work cost;
  if (const auto found = std::ranges::find(
        mRunning,
        aTicket,
        [](const running& aEach) { return aEach.mJob.mTicket; });
      found != mRunning.end()) {
    cost = Cost(*found);
    mRunning.erase(found);
  }
  std::erase_if(mWaiting, [aTicket](const auto& aEach) {
    return aEach.second.mTicket == aTicket;
  });
  Admit();
  Plan();
  return cost;
}

void
engine_model::Crash()
{
  Progress();
  mUp = false;
  std::vector<running> lost = std::exchange(mRunning, {});
  for (const auto& [rank, job] : std::exchange(mWaiting, {})) {
    lost.push_back({ job, 0, 0, static_cast<double>(job.mOutputTokens) });
  }
  mCached.clear();
  Plan();
  for (const running& each : lost) {
    mCallbacks.mLost(each.mJob.mTicket, Cost(each));
  }
}

void
engine_model::SetSlowness(double aFactor)
{
  Progress();
  mSlowness = aFactor;
  Plan();
}

load_report
engine_model::Report() const
{
  load_report report;
  report.mRunning = static_cast<std::uint32_t>(mRunning.size());
  report.mWaiting = static_cast<std::uint32_t>(mWaiting.size());
  report.mSlots = mSettings.mSlots;
  report.mCacheUsed = static_cast<double>(mRunning.size()) / mSettings.mSlots;
  report.mStep = Step();
  report.mMeasuredAt = mLoop.Now();
  return report;
}

duration
engine_model::Step() const
{
  const auto prefilling = std::ranges::count_if(
    mRunning, [](const running& aEach) { return aEach.mPrefillSteps > 0; });
  const duration step =
    mSettings.mStep +
    mSettings.mStepForEachRunning * static_cast<int>(mRunning.size()) +
    mSettings.mStepForEachPrefill * static_cast<int>(prefilling);
  return FromSeconds(ToSeconds(step) * mSlowness);
}

// Advances every running job by the steps since the last change.
void
engine_model::Progress()
{
  const double steps = ToSeconds(mLoop.Now() - mProgressed) / ToSeconds(Step());
  mProgressed = mLoop.Now();
  for (running& each : mRunning) {
    const double prefill = std::min(steps, each.mPrefillSteps);
    each.mPrefillSteps -= prefill;
    if (each.mPrefillSteps < kStepEpsilon) {
      each.mPrefillSteps = 0;
    }
    each.mOutputLeft -= steps - prefill;
  }
}

void
engine_model::Admit()
{
  while (mRunning.size() < mSettings.mSlots && !mWaiting.empty()) {
    const engine_job job = mWaiting.begin()->second;
    mWaiting.erase(mWaiting.begin());
    const double saved = IsCached(job.mPrefix) ? mSettings.mPrefixShare : 0;
    const double prompt = job.mPromptTokens * (1 - saved);
    // The step that ends the prefill puts out the first token.
    const double steps =
      std::max(1.0, std::ceil(prompt / mSettings.mPrefillChunk));
    mRunning.push_back(
      { job, steps, prompt, static_cast<double>(job.mOutputTokens) - 1 });
  }
}

// Wakes at the next change of the batch: a prefill or an answer that ends.
void
engine_model::Plan()
{
  const std::uint64_t planned = ++mPlanned;
  double steps = std::numeric_limits<double>::infinity();
  for (const running& each : mRunning) {
    steps = std::min(steps,
                     each.mPrefillSteps > 0 ? each.mPrefillSteps
                                            : std::max(0.0, each.mOutputLeft));
  }
  if (mRunning.empty()) {
    return;
  }
  // One nanosecond more than the quotient, so that rounding can't plan a wake
  // before the change.
  mLoop.After(FromSeconds(ToSeconds(Step()) * steps) + duration(1),
              [this, planned] {
                if (planned == mPlanned) {
                  OnDue();
                }
              });
}

void
engine_model::OnDue()
{
  Progress();
  std::vector<ticket> started;
  std::vector<running> ended;
  for (running& each : mRunning) {
    if (!each.mStarted && each.mPrefillSteps == 0) {
      each.mStarted = true;
      started.push_back(each.mJob.mTicket);
    }
  }
  std::erase_if(mRunning, [&ended](const running& aEach) {
    const bool isDone = aEach.mStarted && aEach.mOutputLeft < kStepEpsilon;
    if (isDone) {
      ended.push_back(aEach);
    }
    return isDone;
  });
  Admit();
  Plan();
  for (const ticket each : started) {
    mCallbacks.mFirstToken(each);
  }
  for (const running& each : ended) {
    mCallbacks.mCompleted(each.mJob.mTicket, Cost(each));
  }
}

bool
engine_model::IsCached(std::uint64_t aPrefix)
{
  if (aPrefix == 0) {
    return false;
  }
  const auto found = std::ranges::find(mCached, aPrefix);
  const bool isCached = found != mCached.end();
  if (isCached) {
    mCached.erase(found);
  }
  mCached.push_front(aPrefix);
  if (mCached.size() > mSettings.mCachedPrefixes) {
    mCached.pop_back();
  }
  return isCached;
}

engine_work
engine_model::Cost(const running& aRunning) const
{
  const double output =
    aRunning.mStarted
      ? aRunning.mJob.mOutputTokens - std::max(0.0, aRunning.mOutputLeft)
      : 0;
  return { output, aRunning.mPrefillTokens };
}

} // namespace thornhollow::scenario
