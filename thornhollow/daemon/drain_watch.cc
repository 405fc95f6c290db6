#include "thornhollow/daemon/drain_watch.h"

#include <cstdint>
#include <utility>

#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

// How often a stopping instance looks whether it is done: short beside the
// second or more that a drain takes, and 20 looks a second cost nothing.
constexpr duration kCheckEvery = Milliseconds(50);

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
                   std::function<void()> aEnd)
{
  mLimits = aLimits;
  mInProgress = std::move(aInProgress);
  mEnd = std::move(aEnd);
  mBegun = Now();
  mLog.Write(log_level::kInfo,
             "drain_begun",
             { { "in_progress", static_cast<std::int64_t>(mInProgress()) } });
  Check();
}

void
drain_watch::Check()
{
  const duration since = Now() - mBegun;
  if (since >= mLimits.mBalancerNotices) {
    mCallers.BeginDrain();
  }
  if (since >= mLimits.mGrace) {
    mCallers.StopListening();
    End();
  } else if (MayEnd(since)) {
    End();
  } else {
    CheckLater();
  }
}

// A request can come between the look and the end of listening. Ending at once
// would close its connection without an answer, so listening ends first, and
// the process only where the next look still finds nothing.
bool
drain_watch::MayEnd(duration aSince)
{
  if (aSince < mLimits.mBalancerNotices || mInProgress() > 0 ||
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
drain_watch::CheckLater()
{
  mTimer.expires_after(kCheckEvery);
  mTimer.async_wait([this](const boost::system::error_code& aWrong) {
    if (!aWrong) {
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
  mEnd();
}

} // namespace thornhollow
