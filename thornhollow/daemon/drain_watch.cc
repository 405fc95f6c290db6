#include "thornhollow/daemon/drain_watch.h"

#include <utility>

#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

// How often a stopping instance looks whether it is done: short beside the
// second or more that a drain takes, and 20 looks a second cost nothing.
constexpr duration kCheckEvery = Milliseconds(50);

} // namespace

drain_watch::drain_watch(boost::asio::io_context& aIo, caller_server& aCallers)
  : mCallers(aCallers)
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
    mEnd();
  } else if (MayEnd(since)) {
    mEnd();
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

} // namespace thornhollow
