#include "thornhollow/policy/scenario/event_loop.h"

#include <algorithm>
#include <utility>

namespace thornhollow::scenario {

bool
event_loop::later::operator()(const event& aLeft, const event& aRight) const
{
  return aLeft.mWhen != aRight.mWhen ? aLeft.mWhen > aRight.mWhen
                                     : aLeft.mOrder > aRight.mOrder;
}

void
event_loop::At(time_point aWhen, std::function<void()> aAction)
{
  mEvents.push({ std::max(aWhen, mNow), mOrder++, std::move(aAction) });
}

void
event_loop::After(duration aDelay, std::function<void()> aAction)
{
  At(mNow + aDelay, std::move(aAction));
}

void
event_loop::RunUntil(time_point aEnd)
{
  while (!mEvents.empty() && mEvents.top().mWhen <= aEnd) {
    const event next = mEvents.top();
    mEvents.pop();
    mNow = next.mWhen;
    next.mAction();
  }
  mNow = aEnd;
}

} // namespace thornhollow::scenario
