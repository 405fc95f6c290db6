#include "thornhollow/daemon/process_limits.h"

#include <algorithm>
#include <limits>
#include <string>

#include <sys/resource.h>

namespace thornhollow {
namespace {

// What is assumed where the system doesn't tell.
constexpr std::size_t kUsualDescriptors = 1'024;

std::size_t
Descriptors(std::uint32_t aSetting)
{
  rlimit system{};
  const std::size_t allowed =
    ::getrlimit(RLIMIT_NOFILE, &system) == 0
      ? static_cast<std::size_t>(std::min<rlim_t>(
          system.rlim_cur, std::numeric_limits<std::uint32_t>::max()))
      : kUsualDescriptors;
  return aSetting == 0 ? allowed : std::min<std::size_t>(allowed, aSetting);
}

std::int64_t
Whole(std::size_t aCount)
{
  return static_cast<std::int64_t>(aCount);
}

} // namespace

connection_limits
ConnectionLimitsOf(const relay_settings& aSettings)
{
  return ConnectionLimits(
    { .mMemoryMegabytes = aSettings.mMemoryMegabytes,
      .mDescriptors = Descriptors(aSettings.mFileDescriptors),
      .mMaxConnections = aSettings.mMaxConnections,
      .mTakesForwarded = !aSettings.mForwardAddress.empty() });
}

connection_limits
ConnectionLimitsOf(const daemon_settings& aSettings)
{
  return ConnectionLimits(
    { .mMemoryMegabytes = aSettings.mMemoryMegabytes,
      .mDescriptors = Descriptors(aSettings.mFileDescriptors),
      .mMaxConnections = aSettings.mLimits.mMaxConnections,
      .mTakesForwarded = false });
}

void
Bound(server_limits& aLimits,
      std::size_t aConnections,
      std::uint64_t aSocketBytes)
{
  aLimits.mMaxConnections = aConnections;
  aLimits.mMaxClosing = MaxClosing(aConnections);
  aLimits.mMaxSocketBytes = aSocketBytes;
}

void
Bound(peer_transport_settings& aSettings, const connection_limits& aLimits)
{
  aSettings.mMaxConnections = aLimits.mPeers;
  aSettings.mMaxIdle = aLimits.mIdlePeers;
}

void
LogLimits(const connection_limits& aLimits, json_log& aLog)
{
  aLog.Write(log_level::kInfo,
             "connection_limits",
             { { "callers", Whole(aLimits.mCallers) },
               { "forwarded", Whole(aLimits.mForwarded) },
               { "operators", Whole(aLimits.mOperators) },
               { "peers", Whole(aLimits.mPeers) },
               { "endpoints", Whole(aLimits.mToEndpoints) },
               { "socket_bytes", Whole(aLimits.mCallerSocketBytes) } });
}

void
Report(caller_server& aServer, json_log& aLog, metrics& aMetrics)
{
  aServer.OnEvent(
    [&aMetrics](server_event aEvent) { aMetrics.OnEvent(Name(aEvent)); });
  aServer.OnFault([&aLog, &aMetrics](std::string_view aDetail) {
    aMetrics.OnEvent("connection_fault");
    aLog.Write(log_level::kError,
               "connection_fault",
               { { "detail", std::string(aDetail) } });
  });
}

// A single line for all bodies that wait at a time; answers that are cut have
// lines of their own.
void
Report(memory_account& aAccount, json_log& aLog, metrics& aMetrics)
{
  aAccount.OnEvent([&](memory_event aEvent) {
    aMetrics.OnEvent(Name(aEvent));
    if (aEvent == memory_event::kBodiesBeginToWait) {
      const memory_use use = aAccount.Use();
      aLog.Write(log_level::kWarning,
                 std::string(Name(aEvent)),
                 { { "body_bytes", Whole(use.mBodies) },
                   { "answer_bytes", Whole(use.mAnswers) } });
    }
  });
}

} // namespace thornhollow
