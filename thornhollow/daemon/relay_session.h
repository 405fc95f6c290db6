// Handles one relayed request: finds its route and team, makes attempts at
// endpoints, forwards the answer, and replies with an error if there is none.
//
//   StartRelaySession(dispatcher, exchange);
//
// request/relay_retry.h decides what follows a failed attempt, and
// policy/placement/relay_pool.h chooses the endpoint. This module has the
// timers, the event handling, and the log lines that trace a request identifier
// to the cause of a failure.
#ifndef THORNHOLLOW_DAEMON_RELAY_SESSION_H_
#define THORNHOLLOW_DAEMON_RELAY_SESSION_H_

#include "thornhollow/daemon/relay_dispatcher.h"
#include "thornhollow/net/caller_server.h"

namespace thornhollow {

// Takes over the request and answers it, possibly asynchronously. `aDispatcher`
// must outlive the session.
void
StartRelaySession(relay_dispatcher& aDispatcher, caller_exchange_ptr aExchange);

// The same for a request that another instance forwards because it does not
// reach the endpoints itself. Such a request is not forwarded again, and was
// counted by the retry budget of the other instance.
void
StartForwardedSession(relay_dispatcher& aDispatcher,
                      caller_exchange_ptr aExchange);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_RELAY_SESSION_H_
