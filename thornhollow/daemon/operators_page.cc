#include "thornhollow/daemon/operators_page.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>

#include "thornhollow/daemon/process_limits.h"

namespace thornhollow {
namespace {

constexpr std::string_view kMetricsContentType = "text/plain; version=0.0.4";

boost::json::value
OrNull(const std::optional<std::uint64_t>& aNumber)
{
  return aNumber ? boost::json::value(*aNumber) : boost::json::value();
}

boost::json::object
HeldJson(const held_items& aItems)
{
  boost::json::object held;
  held["what"] = aItems.mWhat;
  held["at"] = aItems.mAt;
  held["count"] = aItems.mCount;
  held["age_ms"] = aItems.mAge
                     ? boost::json::value(ToMilliseconds(*aItems.mAge))
                     : boost::json::value();
  held["failing"] = aItems.mFailing;
  return held;
}

} // namespace

server_limits
OperatorServerLimits(std::size_t aConnections)
{
  server_limits limits;
  limits.mMaxBodyBytes = 1024;
  Bound(limits, aConnections, limits.mMaxSocketBytes);
  return limits;
}

std::string
StatusJson(const instance_status& aStatus)
{
  boost::json::object status;
  status["name"] = aStatus.mName.Text();
  status["domain"] = aStatus.mDomain.Text();
  status["ready"] = aStatus.mReady;
  status["draining"] = aStatus.mDraining;
  status["revision"] = OrNull(aStatus.mRevision);
  status["refused_revision"] = OrNull(aStatus.mRefusedRevision);
  status["refused_faults"] = boost::json::value_from(aStatus.mRefusedFaults);
  status["in_progress"] = aStatus.mInProgress;
  status["peers_alive"] = aStatus.mPeersAlive;
  boost::json::array held;
  for (const held_items& each : aStatus.mHeld) {
    held.push_back(HeldJson(each));
  }
  status["held"] = std::move(held);
  return boost::json::serialize(status) + "\n";
}

whole_reply
OperatorsPage(const caller_request& aRequest,
              const instance_status& aStatus,
              const metrics& aMetrics)
{
  whole_reply reply;
  if (aRequest.mMethod != "GET" && aRequest.mMethod != "HEAD") {
    reply.mHttpStatus = 405;
    reply.mContentType = "text/plain";
    reply.mBody = "the pages are only read\n";
  } else if (aRequest.mPath == "/metrics") {
    reply.mContentType = kMetricsContentType;
    reply.mBody = aMetrics.Page();
  } else if (aRequest.mPath == "/status") {
    reply.mContentType = "application/json";
    reply.mBody = StatusJson(aStatus);
  } else if (aRequest.mPath == "/ready") {
    reply.mHttpStatus = aStatus.mReady ? 200 : 503;
    reply.mContentType = "text/plain";
    reply.mBody = aStatus.mReady ? "ready\n" : "not ready\n";
  } else {
    reply.mHttpStatus = 404;
    reply.mContentType = "text/plain";
    reply.mBody = "pages: /metrics /status /ready\n";
  }
  return reply;
}

} // namespace thornhollow
