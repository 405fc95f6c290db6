// For tests: an engine in virtual time that runs a limited number of requests
// and prefills prompts in chunks between the tokens of its streams.
//
//   slot_engine engine(engine_shape{});
//   engine.TrySubmit({ .mId = 7, .mPriority = 2, .mPrefillTokens = 6'000 });
//   for (const engine_event& each : engine.Step(Milliseconds(5), now)) { ... }
#ifndef THORNHOLLOW_FLEET_TESTING_SLOT_ENGINE_H_
#define THORNHOLLOW_FLEET_TESTING_SLOT_ENGINE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct engine_shape
{
  // Maximum number of requests that run concurrently; further requests wait in
  // order of priority.
  std::size_t mSlots = 12;
  // Maximum number of waiting requests; while so many wait, new requests are
  // refused.
  std::size_t mMaxWaiting = 25;
  double mPrefillTokensPerSecond = 66'200;
  // Size in tokens of the chunk of a prompt that is prefilled between two
  // tokens of the streams.
  double mChunkTokens = 2'048;
  // Time between two tokens of a stream, in seconds, and its increase per
  // running request.
  double mStepSeconds = 0.0045;
  double mStepSecondsPerRequest = 0.00003;
  // Number of tokens per streamed event.
  double mTokensPerEvent = 7;

  friend bool operator==(const engine_shape&, const engine_shape&) = default;
};

struct engine_request
{
  std::uint64_t mId = 0;
  // Priority of the request; requests with lower values are admitted first.
  std::uint32_t mPriority = 0;
  double mPrefillTokens = 0;
  double mAnswerTokens = 0;
  // `mGenerated` and the members after it are maintained by the engine.
  double mGenerated = 0;
  double mReported = 0;
  time_point mLastEvent{};
  duration mMaxPause{};
};

enum class engine_event_kind : std::uint8_t
{
  kFirstEvent,
  kEnd,
};

struct engine_event
{
  engine_event_kind mKind{};
  std::uint64_t mId = 0;
  // Longest pause between two events of the request; set only if the event is
  // `kEnd`.
  duration mMaxPause{};

  friend bool operator==(const engine_event&, const engine_event&) = default;
};

class slot_engine
{
public:
  explicit slot_engine(const engine_shape& aShape)
    : mShape(aShape)
  {
  }

  // Submits a request. Returns false if the queue is full; the request does not
  // run in this case.
  bool TrySubmit(const engine_request& aRequest)
  {
    if (mWaiting.size() >= mShape.mMaxWaiting) {
      return false;
    }
    const auto after = std::ranges::upper_bound(
      mWaiting, aRequest.mPriority, {}, &engine_request::mPriority);
    mWaiting.insert(after, aRequest);
    return true;
  }

  // Removes a request that its caller abandoned.
  void Cancel(std::uint64_t aId)
  {
    const auto matches = [aId](const engine_request& aRequest) {
      return aRequest.mId == aId;
    };
    std::erase_if(mWaiting, matches);
    std::erase_if(mRunning, matches);
  }

  std::vector<engine_event> Step(duration aDuration, time_point aNow)
  {
    while (mRunning.size() < mShape.mSlots && !mWaiting.empty()) {
      mRunning.push_back(mWaiting.front());
      mWaiting.erase(mWaiting.begin());
    }
    std::vector<engine_event> events;
    const double seconds = ToSeconds(aDuration);
    const bool prefilling = Prefill(seconds * mShape.mPrefillTokensPerSecond);
    const double step =
      prefilling ? mShape.mChunkTokens / mShape.mPrefillTokensPerSecond
                 : mShape.mStepSeconds + mShape.mStepSecondsPerRequest *
                                           static_cast<double>(mRunning.size());
    for (engine_request& each : mRunning) {
      if (each.mPrefillTokens <= 0) {
        Stream(each, seconds / step, aNow, events);
      }
    }
    std::erase_if(mRunning, [](const engine_request& aRequest) {
      return aRequest.mGenerated >= aRequest.mAnswerTokens;
    });
    return events;
  }

private:
  // Prefills up to `aTokens` tokens of the first unfinished prompt only.
  // Returns whether there was an unfinished prompt.
  bool Prefill(double aTokens)
  {
    const auto first =
      std::ranges::find_if(mRunning, [](const engine_request& aRequest) {
        return aRequest.mPrefillTokens > 0;
      });
    if (first == mRunning.end()) {
      return false;
    }
    first->mPrefillTokens -= aTokens;
    return true;
  }

  void Stream(engine_request& aRequest,
              double aTokens,
              time_point aNow,
              std::vector<engine_event>& aEvents) const
  {
    const bool started = aRequest.mGenerated > 0;
    aRequest.mGenerated += aTokens;
    const bool ends = aRequest.mGenerated >= aRequest.mAnswerTokens;
    if (!started) {
      aEvents.push_back({ engine_event_kind::kFirstEvent, aRequest.mId, {} });
      aRequest.mLastEvent = aNow;
      aRequest.mReported = aRequest.mGenerated;
    } else if (ends || aRequest.mGenerated - aRequest.mReported >=
                         mShape.mTokensPerEvent) {
      aRequest.mMaxPause =
        std::max<duration>(aRequest.mMaxPause, aNow - aRequest.mLastEvent);
      aRequest.mLastEvent = aNow;
      aRequest.mReported = aRequest.mGenerated;
    }
    if (ends) {
      aEvents.push_back(
        { engine_event_kind::kEnd, aRequest.mId, aRequest.mMaxPause });
    }
  }

  engine_shape mShape;
  // Waiting requests, ordered by priority, then by arrival, the next to run
  // first.
  std::vector<engine_request> mWaiting;
  std::vector<engine_request> mRunning;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_SLOT_ENGINE_H_
