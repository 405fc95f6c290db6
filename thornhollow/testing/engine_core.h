// A model engine as the router sees it, without sockets: continuous batching
// with slots, a waiting queue by priority, a prefix cache of limited memory,
// and load reports that lag. Time is an argument.
//
//   engine_core engine(engine_settings{ .mSlots = 2 });
//   engine.Submit({ .mId = "r1", .mMaxTokens = 8 }, now);
//   for (const emitted_token& token : engine.Step(now)) { ... }
#ifndef THORNHOLLOW_TESTING_ENGINE_CORE_H_
#define THORNHOLLOW_TESTING_ENGINE_CORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/time.h"

namespace thornhollow::testing {

struct engine_settings
{
  // Requests in one batch.
  std::uint32_t mSlots = 8;
  // Time of one step: each request in the batch gains at most one token.
  duration mStep = Milliseconds(4);
  // Prompt tokens (words) that one step of prefill works off.
  std::uint32_t mPrefillPerStep = 512;
  // Prompt tokens that the prefix cache holds.
  std::uint32_t mCacheTokens = 65536;
  // Mean length of an answer that nothing limits.
  std::uint32_t mMeanTokens = 64;
  // Age of the load report that a reader gets.
  duration mReportLag = Milliseconds(200);

  friend bool operator==(const engine_settings&,
                         const engine_settings&) = default;
};

struct engine_request
{
  std::string mId;
  int mPriority = 4;
  // Tokens that the caller has already.
  std::uint32_t mResumeFrom = 0;
  std::uint32_t mMaxTokens = 256;
  std::string mPrompt;

  friend bool operator==(const engine_request&,
                         const engine_request&) = default;
};

// One submission; the same request may be submitted more than once.
using run_number = std::uint64_t;

enum class finish : std::uint8_t
{
  kNone,
  kStop,
  kLength,
};

struct emitted_token
{
  run_number mRun = 0;
  std::uint32_t mIndex = 0;
  // Empty where the stream was resumed at the answer's end.
  std::string mText;
  // Other than kNone on the last token of the answer.
  finish mFinish = finish::kNone;

  friend bool operator==(const emitted_token&, const emitted_token&) = default;
};

// What happened to one request identifier on this engine.
struct run_record
{
  // Submissions taken in, those of them that entered the batch (ran), and
  // those of the latter that began at an offset.
  std::uint32_t mAccepted = 0;
  std::uint32_t mRuns = 0;
  std::uint32_t mResumed = 0;
  std::uint32_t mCancelled = 0;
  std::uint32_t mFinished = 0;
  // Tokens computed over all runs, and the range of their indices.
  std::uint64_t mTokens = 0;
  std::optional<std::uint32_t> mFirstIndex;
  std::optional<std::uint32_t> mLastIndex;

  friend bool operator==(const run_record&, const run_record&) = default;
};

struct load_report
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  double mKvUsed = 0;
  double mTokensPerSecond = 0;
  duration mAge{};

  friend bool operator==(const load_report&, const load_report&) = default;
};

class engine_core
{
public:
  explicit engine_core(engine_settings aSettings);

  // Takes a request into the waiting queue.
  run_number Submit(const engine_request& aRequest, time_point aNow);
  // Ends one submission, or all of one request. False where there is none.
  bool CancelRun(run_number aRun);
  bool CancelRequest(const std::string& aId);

  // One step of the batch: fills free slots by priority (smaller first, then
  // by arrival) and works each slot's request by one step. Returns at most one
  // token for each request in the batch.
  std::vector<emitted_token> Step(time_point aNow);

  // Whether a step would do anything.
  bool Busy() const { return !mWaiting.empty() || !mBatch.empty(); }

  // The report as it stood `mReportLag` ago.
  load_report Load(time_point aNow) const;

  const std::map<std::string, run_record>& Records() const { return mRecords; }
  const engine_settings& Settings() const { return mSettings; }

private:
  struct job
  {
    run_number mRun = 0;
    engine_request mRequest;
    std::uint32_t mNextIndex = 0;
    std::uint32_t mEndIndex = 0;
    finish mFinish = finish::kNone;
    std::uint32_t mPrefillSteps = 0;
  };
  struct cached_prefix
  {
    std::string mPrompt;
    std::uint32_t mTokens = 0;
  };
  struct timed_report
  {
    time_point mAt;
    load_report mReport;
  };

  void FillSlots();
  std::uint32_t PrefillSteps(const engine_request& aRequest);
  void Remember(const std::string& aPrompt, std::uint32_t aTokens);
  emitted_token Emit(job& aJob);
  void Report(time_point aNow, std::size_t aTokens);

  engine_settings mSettings;
  run_number mLastRun = 0;
  // Ordered by priority, then by arrival.
  std::list<job> mWaiting;
  std::list<job> mBatch;
  // Most recently used first.
  std::list<cached_prefix> mCache;
  std::uint32_t mCachedTokens = 0;
  std::map<std::string, run_record> mRecords;
  std::deque<timed_report> mReports;
  double mTokensPerSecond = 0;
  std::optional<time_point> mLastStep;
};

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_ENGINE_CORE_H_
