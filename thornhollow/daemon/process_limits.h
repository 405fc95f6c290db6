// How many connections an instance takes, from its settings and from what the
// system allows the process.
//
//   const connection_limits limits = ConnectionLimitsOf(settings);
//   LogLimits(limits, log);
#ifndef THORNHOLLOW_DAEMON_PROCESS_LIMITS_H_
#define THORNHOLLOW_DAEMON_PROCESS_LIMITS_H_

#include "thornhollow/config/relay_settings.h"
#include "thornhollow/config/settings.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/net/peer_transport.h"
#include "thornhollow/policy/admission/connection_limits.h"
#include "thornhollow/policy/admission/memory_account.h"

namespace thornhollow {

connection_limits
ConnectionLimitsOf(const relay_settings& aSettings);
connection_limits
ConnectionLimitsOf(const daemon_settings& aSettings);

// Bounds the connections of a listener, and what lies in their sockets.
void
Bound(server_limits& aLimits,
      std::size_t aConnections,
      std::uint64_t aSocketBytes);
void
Bound(peer_transport_settings& aSettings, const connection_limits& aLimits);

// Logs the limits at the start.
void
LogLimits(const connection_limits& aLimits, json_log& aLog);

// Counts and logs what listeners do to connections.
void
Report(caller_server& aServer, json_log& aLog, metrics& aMetrics);
// Counts what happens for want of memory, and logs when bodies begin to wait.
// Sessions of callers may keep the account longer than the log and the metrics:
// whoever calls this ends it by `OnEvent(nullptr)`.
void
Report(memory_account& aAccount, json_log& aLog, metrics& aMetrics);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_PROCESS_LIMITS_H_
