// For tests: an engine that runs a few requests at a time and reads prompts in
// chunks between the tokens of its streams, in virtual time.
//
//   slot_engine engine(engine_shape{});
//   engine.Put({ .mId = 7, .mRank = 2, .mToRead = 6'000, .mTokens = 385 });
//   for (const engine_event& each : engine.Step(Milliseconds(5), now)) { ... }
//
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
  // Requests that it runs at a time; the others wait, the urgent ones first.
  std::size_t mSlots = 12;
  // Refused beyond so many that wait.
  std::size_t mQueue = 25;
  double mReadPerSecond = 66'200;
  // A chunk of a prompt is read between two tokens of all streams.
  double mChunkTokens = 2'048;
  // Between two tokens of a stream, and more for each request beside it.
  double mStepSeconds = 0.0045;
  double mStepSecondsForEach = 0.00003;
  // Tokens of one event.
  double mTokensOfEvent = 7;

  friend bool operator==(const engine_shape&, const engine_shape&) = default;
};

struct engine_request
{
  std::uint64_t mId = 0;
  // 0 is admitted first.
  std::uint32_t mRank = 0;
  double mToRead = 0;
  double mTokens = 0;
  // What follows is the engine's own.
  double mMade = 0;
  double mTold = 0;
  time_point mLastEvent{};
  duration mLongestPause{};
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
  // Of a stream that ended.
  duration mLongestPause{};

  friend bool operator==(const engine_event&, const engine_event&) = default;
};

class slot_engine
{
public:
  explicit slot_engine(const engine_shape& aShape)
    : mShape(aShape)
  {
  }

  // False: it is full, and the request doesn't run.
  bool Put(const engine_request& aRequest)
  {
    if (mWaiting.size() >= mShape.mQueue) {
      return false;
    }
    const auto after = std::ranges::upper_bound(
      mWaiting, aRequest.mRank, {}, &engine_request::mRank);
    mWaiting.insert(after, aRequest);
    return true;
  }

  // The caller left.
  void Cancel(std::uint64_t aId)
  {
    const auto its = [aId](const engine_request& aOne) {
      return aOne.mId == aId;
    };
    std::erase_if(mWaiting, its);
    std::erase_if(mRunning, its);
  }

  std::vector<engine_event> Step(duration aLength, time_point aNow)
  {
    while (mRunning.size() < mShape.mSlots && !mWaiting.empty()) {
      mRunning.push_back(mWaiting.front());
      mWaiting.erase(mWaiting.begin());
    }
    std::vector<engine_event> events;
    const double seconds = ToSeconds(aLength);
    const bool reads = Read(seconds * mShape.mReadPerSecond);
    const double step =
      reads ? mShape.mChunkTokens / mShape.mReadPerSecond
            : mShape.mStepSeconds + mShape.mStepSecondsForEach *
                                      static_cast<double>(mRunning.size());
    for (engine_request& each : mRunning) {
      if (each.mToRead <= 0) {
        Stream(each, seconds / step, aNow, events);
      }
    }
    std::erase_if(mRunning, [](const engine_request& aOne) {
      return aOne.mMade >= aOne.mTokens;
    });
    return events;
  }

private:
  // Whether there was something to read. One prompt after the other.
  bool Read(double aTokens)
  {
    const auto first = std::ranges::find_if(
      mRunning, [](const engine_request& aOne) { return aOne.mToRead > 0; });
    if (first == mRunning.end()) {
      return false;
    }
    first->mToRead -= aTokens;
    return true;
  }

  void Stream(engine_request& aOne,
              double aTokens,
              time_point aNow,
              std::vector<engine_event>& aEvents) const
  {
    const bool begun = aOne.mMade > 0;
    aOne.mMade += aTokens;
    const bool ends = aOne.mMade >= aOne.mTokens;
    if (!begun) {
      aEvents.push_back({ engine_event_kind::kFirstEvent, aOne.mId, {} });
      aOne.mLastEvent = aNow;
      aOne.mTold = aOne.mMade;
    } else if (ends || aOne.mMade - aOne.mTold >= mShape.mTokensOfEvent) {
      aOne.mLongestPause =
        std::max<duration>(aOne.mLongestPause, aNow - aOne.mLastEvent);
      aOne.mLastEvent = aNow;
      aOne.mTold = aOne.mMade;
    }
    if (ends) {
      aEvents.push_back(
        { engine_event_kind::kEnd, aOne.mId, aOne.mLongestPause });
    }
  }

  engine_shape mShape;
  // By rank, then by arrival.
  std::vector<engine_request> mWaiting;
  std::vector<engine_request> mRunning;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_SLOT_ENGINE_H_
