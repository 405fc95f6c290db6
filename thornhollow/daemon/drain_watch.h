// Finds the moment at which a stopping instance may end, and logs both ends of
// its stop.
//
//   drain_watch drain(io, callers, log);
//   drain.Begin({ .mBalancerDetectionTime = Seconds(2),
//                 .mGrace = Seconds(30) },
//               [&] { return router.InProgress(); },
//               [&] { io.stop(); });
//
#ifndef THORNHOLLOW_DAEMON_DRAIN_WATCH_H_
#define THORNHOLLOW_DAEMON_DRAIN_WATCH_H_

#include <cstddef>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "thornhollow/base/time.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/net/caller_server.h"

namespace thornhollow {

struct drain_limits
{
  // For so long balancers may still send requests, so the port stays open.
  duration mBalancerDetectionTime{};
  // The instance ends after this long, whatever is still in progress.
  duration mGrace{};
};

class drain_watch
{
public:
  // All must outlive the watch.
  drain_watch(boost::asio::io_context& aIo,
              caller_server& aCallers,
              json_log& aLog);

  bool Begun() const { return mOnEnd != nullptr; }

  // Call once. `aInProgress` gives the number of requests that the instance
  // itself works on. `aEnd` is called once: when the balancer has had its time,
  // nothing is in progress, and nothing came on the connections that were open
  // when listening stopped; or when the grace has passed.
  void Begin(const drain_limits& aLimits,
             std::function<std::size_t()> aInProgress,
             std::function<void()> aOnEnd);

private:
  void Check();
  bool CanEnd(duration aElapsed);
  void ScheduleCheck();
  void End();

  caller_server& mCallers;
  json_log& mLog;
  boost::asio::steady_timer mTimer;
  drain_limits mLimits;
  std::function<std::size_t()> mInProgress;
  std::function<void()> mOnEnd;
  time_point mBeganAt{};
  bool mListening = true;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_DRAIN_WATCH_H_
