#include "thornhollow/net/internal/caller_crowd.h"

#include <cstddef>
#include <cstdint>
#include <vector>

#include "thornhollow/net/clock.h"
#include "thornhollow/policy/admission/connection_limits.h"

namespace thornhollow::net_internal {
namespace {

using boost::system::error_code;

// How many connections are asked to give way before a new one is refused.
constexpr int kMaxAskedToGiveWay = 8;
// How often sockets are looked at while there are so many that they could hold
// too much.
constexpr duration kSocketCheckInterval = Milliseconds(250);

// Has a connection of the list give way, the one that came into it first.
bool
TakeFrom(session_list& aList,
         quiet_state aState,
         duration aIdleTimeout,
         time_point aNow)
{
  int asked = 0;
  for (auto at = aList.begin(); at != aList.end() && asked < kMaxAskedToGiveWay;
       ++asked) {
    caller_session& one = *at++;
    if (!MayGiveWay(aState, aNow - one.mListedAt, aIdleTimeout)) {
      return false;
    }
    if (one.GiveWay()) {
      return true;
    }
  }
  return false;
}

// Takes the place of a body that comes too slowly.
bool
TakeFromBodies(caller_server_state& aState)
{
  if (aState.mInBody.empty() || !aState.mInBody.front().GiveRoomBack()) {
    return false;
  }
  aState.Tell(server_event::kBodyGaveWay);
  return true;
}

// The system keeps up to twice the size that a socket is set to.
std::uint64_t
MaxSocketBytes(const server_limits& aLimits)
{
  return std::uint64_t{ 2 } *
         static_cast<std::uint64_t>(aLimits.mSocketReceiveBytes +
                                    aLimits.mSocketSendBytes);
}

bool
MayHoldTooMuch(const caller_server_state& aState)
{
  const std::uint64_t room = aState.mLimits.mMaxSocketBytes;
  return room > 0 &&
         aState.mSessions.size() * MaxSocketBytes(aState.mLimits) > room;
}

// Closes the connections with the most bytes in their sockets, where these are
// too many together.
void
CloseFullSockets(caller_server_state& aState)
{
  std::vector<caller_session*> sessions;
  std::vector<std::uint64_t> bytes;
  for (caller_session* each : aState.mSessions) {
    if (const std::uint64_t held = each->SocketBytes(); held > 0) {
      sessions.push_back(each);
      bytes.push_back(held);
    }
  }
  for (const std::size_t each :
       OverRoom(bytes, aState.mLimits.mMaxSocketBytes)) {
    aState.Tell(server_event::kSocketFull);
    sessions[each]->CloseForSocketBytes();
  }
}

void
LookAgain(const std::shared_ptr<caller_server_state>& aState)
{
  aState->mWatchesSockets = MayHoldTooMuch(*aState);
  if (!aState->mWatchesSockets) {
    return;
  }
  aState->mSocketTimer.expires_after(kSocketCheckInterval);
  aState->mSocketTimer.async_wait([aState](const error_code& aWrong) {
    if (!aWrong) {
      CloseFullSockets(*aState);
      LookAgain(aState);
    }
  });
}

} // namespace

bool
MakeRoom(caller_server_state& aState)
{
  const time_point now = Now();
  const duration idle = aState.mLimits.mIdleTimeout;
  const bool found =
    TakeFrom(aState.mSilent, quiet_state::kSilent, idle, now) ||
    TakeFrom(aState.mInHeader, quiet_state::kInHeader, idle, now) ||
    TakeFrom(aState.mIdle, quiet_state::kIdle, idle, now);
  if (found) {
    aState.Tell(server_event::kGaveWay);
  }
  return found || TakeFromBodies(aState);
}

bool
EndOldestLinger(caller_server_state& aState)
{
  if (aState.mLingering.empty()) {
    return false;
  }
  aState.mLingering.front().EndLinger();
  return true;
}

void
ReclaimRoom(caller_server_state& aState)
{
  for (auto at = aState.mInBody.begin(); at != aState.mInBody.end();) {
    caller_session& one = *at++;
    if (one.GiveRoomBack()) {
      aState.Tell(server_event::kBodyGaveWay);
    }
  }
}

void
WatchSockets(const std::shared_ptr<caller_server_state>& aState)
{
  if (!aState->mWatchesSockets) {
    LookAgain(aState);
  }
}

} // namespace thornhollow::net_internal
