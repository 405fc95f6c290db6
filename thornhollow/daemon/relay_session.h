// The life of one relayed request: route and team, attempts at endpoints, the
// answer as it comes, and what the caller is told if there is none.
//
//   StartRelaySession(dispatcher, exchange);
//
// The rules of what follows a failed attempt are request/relay_retry.h's; the
// choice of the endpoint is policy/relay_pool.h's. Here are timers, events and
// the log lines that lead from a request's identifier to its cause.
#ifndef THORNHOLLOW_DAEMON_RELAY_SESSION_H_
#define THORNHOLLOW_DAEMON_RELAY_SESSION_H_

#include "thornhollow/daemon/relay_dispatcher.h"
#include "thornhollow/net/caller_server.h"

namespace thornhollow {

// Takes the request and answers it, now or later. `aDispatcher` outlives it.
void
StartRelaySession(relay_dispatcher& aDispatcher, caller_exchange_ptr aExchange);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_RELAY_SESSION_H_
