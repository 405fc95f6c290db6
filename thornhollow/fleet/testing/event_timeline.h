// For tests: events in virtual time, in the order of their times and, at the
// same time, of their scheduling.
//
//   event_timeline timeline(start);
//   timeline.At(start + Seconds(1), [&] { ... });
//   timeline.RunAll();
#ifndef THORNHOLLOW_FLEET_TESTING_EVENT_TIMELINE_H_
#define THORNHOLLOW_FLEET_TESTING_EVENT_TIMELINE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include "thornhollow/base/time.h"

namespace thornhollow {

class event_timeline
{
public:
  explicit event_timeline(time_point aStart)
    : mNow(aStart)
  {
  }

  time_point Now() const { return mNow; }

  void At(time_point aWhen, std::function<void()> aRun)
  {
    mEvents.push({ aWhen, mNextNumber++, std::move(aRun) });
  }

  // Runs all events, also those that are scheduled meanwhile.
  void RunAll()
  {
    while (!mEvents.empty()) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mWhen;
      next.mRun();
    }
  }

private:
  struct event
  {
    time_point mWhen;
    std::uint64_t mNumber;
    std::function<void()> mRun;

    bool operator<(const event& aOther) const
    {
      return std::pair(mWhen, mNumber) >
             std::pair(aOther.mWhen, aOther.mNumber);
    }
  };

  std::priority_queue<event> mEvents;
  std::uint64_t mNextNumber = 0;
  time_point mNow;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_EVENT_TIMELINE_H_
