// What a listener does for new callers when it is full: connections and bodies
// that give way, and sockets that hold too much.
//
//   if (state.mServing < state.mLimits.mMaxConnections || MakeRoom(state)) {
//     ...  // serve the new connection
//   }
//
// Which of them, and when, is decided by policy/admission/connection_limits.h.
#ifndef THORNHOLLOW_NET_INTERNAL_CALLER_CROWD_H_
#define THORNHOLLOW_NET_INTERNAL_CALLER_CROWD_H_

#include <memory>

#include "thornhollow/net/internal/caller_session.h"

namespace thornhollow::net_internal {

// Makes room for a new connection: the one that has said least for longest is
// closed. False where all are in use.
bool
MakeRoom(caller_server_state& aState);

// Closes the connection whose last answer was sent the longest time ago and
// that waits for its caller to close. False where there is none.
bool
EndOldestLinger(caller_server_state& aState);

// Takes room back from bodies that come too slowly, while others wait for it.
void
ReclaimRoom(caller_server_state& aState);

// Looks at what lies in the sockets, again and again for as long as so many are
// open that they could hold too much, and closes those with the most. Does
// nothing while it looks already.
void
WatchSockets(const std::shared_ptr<caller_server_state>& aState);

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_CALLER_CROWD_H_
