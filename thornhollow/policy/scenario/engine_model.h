// Simulates an engine in enough detail to compare scheduling policies:
// continuous batching with a step time that grows with the batch, slots, a
// priority queue, prefill that a cached prefix shortens, crashes and slowdowns.
//
//   engine_model engine(loop, engine_settings{}, std::move(callbacks));
//   engine.Add({ .mTicket = 1, .mPromptTokens = 500, .mOutputTokens = 40 });
//   loop.RunUntil(loop.Now() + Seconds(1));
//
// All engine steps between two changes of the batch are simulated as one event,
// so that one simulated second of an engine takes a few events instead of
// hundreds.
#ifndef THORNHOLLOW_POLICY_SCENARIO_ENGINE_MODEL_H_
#define THORNHOLLOW_POLICY_SCENARIO_ENGINE_MODEL_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <vector>

#include "thornhollow/policy/scenario/event_loop.h"
#include "thornhollow/policy/work.h"

namespace thornhollow::scenario {

struct engine_settings
{
  std::uint32_t mSlots = 8;
  // Step time of an empty batch. Real engines need about 4 ms or more per step.
  duration mBaseStep = Milliseconds(4);
  // Time added to an engine step for each running job: a full batch of eight
  // doubles the step time.
  duration mStepPerRunning = std::chrono::microseconds(500);
  // Time added to an engine step for each job in prefill: the job's chunk of
  // `mPrefillChunk` prompt tokens is computed in the same step as the tokens of
  // the other jobs.
  duration mStepPerPrefill = Milliseconds(2);
  std::uint32_t mPrefillChunk = 256;
  // Fraction of a prompt's prefill that a cached prefix saves.
  double mPrefixSavedFraction = 0.8;
  // Maximum number of prefixes in the engine's cache.
  std::size_t mCachedPrefixes = 8;
};

// One attempt of a request at an engine.
struct engine_job
{
  ticket mTicket = 0;
  int mTier = kLowestTier;
  std::uint64_t mPrefix = 0;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mOutputTokens = 1;
};

// Work done for a finished or stopped job: output tokens generated and prompt
// tokens prefilled.
struct engine_work
{
  double mOutputTokens = 0;
  double mPrefillTokens = 0;
};

class engine_model
{
public:
  struct callbacks
  {
    std::function<void(ticket)> mFirstToken;
    std::function<void(ticket, const engine_work&)> mCompleted;
    std::function<void(ticket, const engine_work&)> mLost;
  };

  engine_model(event_loop& aLoop,
               const engine_settings& aSettings,
               callbacks aCallbacks);

  void Add(const engine_job& aJob);
  // Stops a job and returns the work that the engine has done for the job.
  engine_work Cancel(ticket aTicket);

  // Ends all jobs with the callback `mLost`. No jobs may be added until
  // `Restart`.
  void Crash();
  void Restart() { mUp = true; }
  bool IsUp() const { return mUp; }

  // Makes each engine step take `aFactor` times as long as without a slowdown.
  void SetSlowdown(double aFactor);

  load_report Report() const;

private:
  struct running_job
  {
    engine_job mJob;
    double mPrefillSteps = 0;
    double mPrefillTokens = 0;
    double mOutputLeft = 0;
    bool mStarted = false;
  };
  struct queue_key
  {
    int mTier;
    std::uint64_t mSequence;
    // clang-tidy 14 mistakes the 0 in the generated code for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const queue_key&, const queue_key&) = default;
  };

  duration StepTime() const;
  void AdvanceJobs();
  void AdmitWaiting();
  void ScheduleWake();
  void OnWake();
  bool IsCached(std::uint64_t aPrefix);
  engine_work WorkDone(const running_job& aRunning) const;

  event_loop& mLoop;
  engine_settings mSettings;
  callbacks mCallbacks;
  std::vector<running_job> mRunning;
  std::map<queue_key, engine_job> mWaiting;
  std::list<std::uint64_t> mPrefixCache;
  std::uint64_t mSequence = 0;
  std::uint64_t mWakeGeneration = 0;
  time_point mLastAdvanced{};
  double mSlowdown = 1;
  bool mUp = true;
};

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_ENGINE_MODEL_H_
