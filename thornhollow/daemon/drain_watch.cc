#include "thornhollow/daemon/drain_watch.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

// How often a draining instance checks whether it may exit: short compared with
// the second or more that a drain takes, and 20 checks a second cost nothing.
constexpr duration kCheckInterval = Milliseconds(50);

} // namespace

drain_watch::drain_watch(boost::asio::io_context& aIo,
                         std::vector<caller_server*> aServers,
                         json_log& aLog)
  : mServers(std::move(aServers))
  , mLog(aLog)
  , mTimer(aIo)
{
}

void
drain_watch::Begin(const drain_limits& aLimits,
                   std::function<std::size_t()> aInProgress,
                   std::function<void()> aOnGraceOver,
                   std::function<void()> aOnEnd)
{
  mLimits = aLimits;
  mInProgress = std::move(aInProgress);
  mOnGraceOver = std::move(aOnGraceOver);
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
    std::ranges::for_each(mServers, &caller_server::BeginDrain);
  }
  if (elapsed >= mLimits.mGrace) {
    EndGrace();
  }
  if (elapsed >= mLimits.mGrace + mLimits.mFinalAnswerTime || CanEnd(elapsed)) {
    End();
  } else {
    ScheduleCheck();
  }
}

void
drain_watch::EndGrace()
{
  const auto onGraceOver = std::exchange(mOnGraceOver, nullptr);
  if (!onGraceOver) {
    return;
  }
  mListening = false;
  std::ranges::for_each(mServers, &caller_server::StopListening);
  mLog.Write(log_level::kInfo,
             "grace_over",
             { { "in_progress", static_cast<std::int64_t>(mInProgress()) } });
  onGraceOver();
}

// Whether the instance may exit before the grace period ends. A request can
// arrive between the check and the end of listening. Exiting at once would
// close that request's connection without an answer, so listening stops first,
// and the process exits only if the next check still finds no request.
bool
drain_watch::CanEnd(duration aElapsed)
{
  if (aElapsed < mLimits.mBalancerDetectionTime || mInProgress() > 0 ||
      std::ranges::any_of(mServers, &caller_server::Busy)) {
    return false;
  }
  if (std::exchange(mListening, false)) {
    std::ranges::for_each(mServers, &caller_server::StopListening);
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
