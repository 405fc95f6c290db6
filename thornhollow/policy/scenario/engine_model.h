// A model of a model engine, just detailed enough to tell scheduling policies
// apart: continuous batching whose step grows with the batch, slots, a waiting
// list by priority, prefill that a cached prefix shortens, crash and straggle.
//
// Work advances in whole runs of equal steps between two changes of the batch,
// so that a second of an engine costs a few events instead of hundreds.
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
  // The brief: a step takes about four milliseconds or more.
  duration mBaseStep = Milliseconds(4);
  // A full batch of eight doubles the step.
  duration mStepPerRunning = std::chrono::microseconds(500);
  // A prefill chunk shares the step with the tokens of the others.
  duration mStepPerPrefill = Milliseconds(2);
  std::uint32_t mPrefillChunk = 256;
  // Part of a prompt that its cached prefix saves.
  double mPrefixSavedFraction = 0.8;
  // Prefixes that fit the engine's cache memory.
  std::size_t mCachedPrefixes = 8;
};

// One attempt as the engine sees it.
struct engine_job
{
  ticket mTicket = 0;
  int mTier = kLowestTier;
  std::uint64_t mPrefix = 0;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mOutputTokens = 1;
};

// What an ended job cost: tokens put out, and prompt tokens computed.
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
  // Stops a job; what it cost so far.
  engine_work Cancel(ticket aTicket);

  // All jobs are lost, and no new ones may come, until `Restart`.
  void Crash();
  void Restart() { mUp = true; }
  bool IsUp() const { return mUp; }

  // Each step takes `aFactor` times as long.
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
  struct queue_position
  {
    int mTier;
    std::uint64_t mSequence;
    // clang-tidy 14 takes the 0 in the generated code for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const queue_position&,
                            const queue_position&) = default;
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
  std::map<queue_position, engine_job> mWaiting;
  std::list<std::uint64_t> mPrefixCache;
  std::uint64_t mSequence = 0;
  std::uint64_t mWakeGeneration = 0;
  time_point mLastAdvanced{};
  double mSlowdown = 1;
  bool mUp = true;
};

} // namespace thornhollow::scenario

#endif // THORNHOLLOW_POLICY_SCENARIO_ENGINE_MODEL_H_
