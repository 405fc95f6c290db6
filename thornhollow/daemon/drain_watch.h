// Determines when a draining instance may exit, and logs the start and the end
// of the drain.
//
//   drain_watch drain(io, { &callers }, log);
//   drain.Begin({ .mBalancerDetectionTime = Seconds(2),
//                 .mGrace = Seconds(30) },
//               [&] { return router.InProgress(); },
//               [&] { router.EndRequests(); },
//               [&] { io.stop(); });
//
#ifndef THORNHOLLOW_DAEMON_DRAIN_WATCH_H_
#define THORNHOLLOW_DAEMON_DRAIN_WATCH_H_

#include <cstddef>
#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "thornhollow/base/time.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/net/caller_server.h"

namespace thornhollow {

struct drain_limits
{
  // Load balancers may still send requests for this long after the drain began,
  // so the listening port stays open.
  duration mBalancerDetectionTime{};
  // This long after the drain began, requests that are in progress are ended.
  duration mGrace{};
  // The instance exits this long after that at the latest.
  duration mFinalAnswerTime{};
};

class drain_watch
{
public:
  // All arguments must outlive the watch.
  drain_watch(boost::asio::io_context& aIo,
              std::vector<caller_server*> aServers,
              json_log& aLog);

  bool Begun() const { return mOnEnd != nullptr; }

  // Call once. `aInProgress` returns the number of requests that the instance
  // is working on. `aOnEnd` is called once: when the balancer detection time
  // has passed, no request is in progress, and none arrived on the connections
  // that were open when listening stopped; or when the grace period and the
  // time for final answers have passed. `aOnGraceOver` is called between the
  // two, and answers what is in progress.
  void Begin(const drain_limits& aLimits,
             std::function<std::size_t()> aInProgress,
             std::function<void()> aOnGraceOver,
             std::function<void()> aOnEnd);

private:
  void Check();
  bool CanEnd(duration aElapsed);
  // Lets what is in progress be answered, once.
  void EndGrace();
  void ScheduleCheck();
  void End();

  std::vector<caller_server*> mServers;
  json_log& mLog;
  boost::asio::steady_timer mTimer;
  drain_limits mLimits;
  std::function<std::size_t()> mInProgress;
  // Null once the grace is over.
  std::function<void()> mOnGraceOver;
  std::function<void()> mOnEnd;
  time_point mBeganAt{};
  bool mListening = true;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_DRAIN_WATCH_H_
