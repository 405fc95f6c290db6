// Cost of scheduling decisions by number of teams and of waiting requests.
// Results and commands: docs/design/endpoint_choice.md.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <variant>

#include <benchmark/benchmark.h>

#include "thornhollow/policy/queues/scheduler.h"

namespace thornhollow {
namespace {

constexpr int kEndpoints = 77;
constexpr std::size_t kMaxWaiting = 20000;

// A scheduler with all slots in use and a given number of waiting requests.
class loaded_scheduler
{
public:
  loaded_scheduler(std::int64_t aTeams, std::int64_t aWaiting)
    : mTeams(aTeams)
    , mScheduler(Settings(), 1)
  {
    declarations declared;
    declared.mModels = { { model_name("m") } };
    declared.mLevels = {
      { level_name("l"), 2, Seconds(1), Milliseconds(49), Seconds(100000) }
    };
    declared.mClasses = { { class_name("c"), level_name("l"), 0, true, {} } };
    declared.mTeams.reserve(static_cast<std::size_t>(aTeams));
    for (std::int64_t i = 0; i < aTeams; ++i) {
      team next;
      next.mName = team_name("team-" + std::to_string(i));
      next.mClasses = { class_name("c") };
      declared.mTeams.push_back(next);
    }
    for (int i = 0; i < kEndpoints; ++i) {
      declared.mEndpoints.push_back(
        { endpoint_name("engine-" + std::to_string(i)),
          domain_name("d0"),
          "127.0.0.1:1",
          { pool_name("m") },
          8 });
    }
    Apply(mScheduler.Configure(declared, domain_name("d0"), mNow));
    while (mScheduler.Waiting() < static_cast<std::size_t>(aWaiting)) {
      Submit();
    }
  }

  void Submit()
  {
    work_item item;
    item.mTicket = ++mLast;
    item.mTeam = team_name(
      "team-" + std::to_string(static_cast<std::int64_t>(mLast) % mTeams));
    item.mClass = class_name("c");
    item.mPool = pool_name("m");
    item.mTier = 2;
    item.mPromptTokens = 500;
    item.mArrival = mNow;
    item.mDeadline = mNow + Seconds(100000);
    item.mIdempotent = true;
    Apply(mScheduler.Submit(item, mNow));
  }

  // Ends the oldest running request, whose slot goes to a waiting request.
  void EndOne()
  {
    const ticket ended = mRunning.front();
    mRunning.pop_front();
    mNow += Milliseconds(1);
    mScheduler.OnFirstToken(ended, mNow);
    Apply(mScheduler.OnAttemptEnded(ended, attempt_end::kCompleted, 100, mNow));
    Apply(mScheduler.Forget(ended, mNow));
  }

  std::size_t Waiting() const { return mScheduler.Waiting(); }

private:
  static scheduler_settings Settings()
  {
    scheduler_settings settings;
    settings.mQueue.mPool.mMaxWaiting = kMaxWaiting;
    // The checks that refuse requests are disabled, because refusals would
    // change the number of waiting requests.
    settings.mQueue.mPool.mDeadlineCheck = false;
    settings.mQueue.mPool.mStandingQueue.mEnabled = false;
    return settings;
  }

  void Apply(const decisions& aDecisions)
  {
    for (const decision& each : aDecisions) {
      if (const auto* started = std::get_if<start>(&each)) {
        mRunning.push_back(started->mTicket);
      }
    }
  }

  std::int64_t mTeams;
  time_point mNow{ Seconds(100) };
  ticket mLast = 0;
  std::deque<ticket> mRunning;
  scheduler mScheduler;
};

// Submits one request and ends a running one, which keeps the number of waiting
// requests constant.
void
SubmitAndEnd(benchmark::State& aState)
{
  loaded_scheduler loaded(aState.range(0), aState.range(1));
  for (auto _ : aState) {
    loaded.Submit();
    loaded.EndOne();
  }
  aState.counters["waiting"] = static_cast<double>(loaded.Waiting());
}

BENCHMARK(SubmitAndEnd)
  ->ArgNames({ "teams", "waiting" })
  ->Args({ 10, 10 })
  ->Args({ 10, 1000 })
  ->Args({ 10, 10000 })
  ->Args({ 11000, 10 })
  ->Args({ 11000, 1000 })
  ->Args({ 11000, 10000 });

} // namespace
} // namespace thornhollow
