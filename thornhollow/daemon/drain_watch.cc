#include "thornhollow/daemon/drain_watch.h"

#include <cstdint>
#include <utility>

#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

// How often a stopping instance looks whether it is done: short beside the
// second or more that a drain takes, and 20 looks a second cost nothing.
constexpr duration kCheckInterval = Milliseconds(50);

} // namespace

drain_watch::drain_watch(boost::asio::io_context& aIo,
                         caller_server& aCallers,
                         json_log& aLog)
  : mCallers(aCallers)
  , mLog(aLog)
  , mTimer(aIo)
{
}

void
drain_watch::Begin(const drain_limits& aLimits,
                   std::function<std::size_t()> aInProgress,
                   std::function<void()> aOnEnd)
{
  mLimits = aLimits;
  mInProgress = std::move(aInProgress);
  mOnEnd = std::move(aOnEnd);
  mBeganAt = Now();
  mLog.Write(log_level::kInfo,
             "drain_begun",
             { { "in_progress", static_cast<std::int64_t>(mInProgress()) } });
  Check();
}

void
drain_watch::Check()
{
  const duration elapsed = Now() - mBeganAt;
  if (elapsed >= mLimits.mBalancerDetectionTime) {
    mCallers.BeginDrain();
  }
  if (elapsed >= mLimits.mGrace) {
    mCallers.StopListening();
    End();
  } else if (CanEnd(elapsed)) {
    End();
  } else {
    ScheduleCheck();
  }
}

// A request can come between the look and the end of listening. Ending at once
// would close its connection without an answer, so listening ends first, and
// the process only where the next look still finds nothing.
bool
drain_watch::CanEnd(duration aElapsed)
{
  if (aElapsed < mLimits.mBalancerDetectionTime || mInProgress() > 0 ||
      mCallers.Busy()) {
    return false;
  }
  if (std::exchange(mListening, false)) {
    mCallers.StopListening();
    return false;
  }
  return true;
}

void
drain_watch::ScheduleCheck()
{
  mTimer.expires_after(kCheckInterval);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Check();
    }
  });
}

void
drain_watch::End()
{
  mLog.Write(
    log_level::kInfo,
    "stopped",
    { { "left_in_progress", static_cast<std::int64_t>(mInProgress()) } });
  mOnEnd();
}

} // namespace thornhollow
