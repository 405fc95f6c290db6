// How many connections a process takes at each of its listeners, and which of
// them give way when a listener is full.
//
//   const connection_limits limits = ConnectionLimits(
//     { .mMemoryMegabytes = 260, .mDescriptors = 4100,
//       .mMaxConnections = 2048, .mTakesForwarded = true });
//   if (MayGiveWay(quiet_state::kIdle, idleFor, idleTimeout)) { ... }
//
// The load this answers is a crowd of connections, each of them within the
// limits on one, whose sum takes the process over its memory, or leaves it no
// descriptors for endpoints, the source of its configuration and its peers.
#ifndef THORNHOLLOW_POLICY_ADMISSION_CONNECTION_LIMITS_H_
#define THORNHOLLOW_POLICY_ADMISSION_CONNECTION_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "thornhollow/base/time.h"

namespace thornhollow {

// What a process may use.
struct process_limits
{
  // In MB of 10^6 bytes.
  std::uint32_t mMemoryMegabytes = 0;
  std::size_t mDescriptors = 0;
  // Connections of callers, as its settings allow.
  std::size_t mMaxConnections = 0;
  // Whether other instances forward requests to it.
  bool mTakesForwarded = false;

  friend bool operator==(const process_limits&,
                         const process_limits&) = default;
};

struct connection_limits
{
  // Connections that are served at a time: of callers, of instances that
  // forward requests, at each listener for operators and balancers, of peers.
  std::size_t mCallers = 0;
  std::size_t mForwarded = 0;
  std::size_t mOperators = 0;
  std::size_t mPeers = 0;
  // Connections to peers that are kept open.
  std::size_t mIdlePeers = 0;
  // Connections to endpoints, in use and kept.
  std::size_t mToEndpoints = 0;
  // Bytes that lie in the sockets of callers, and of instances that forward:
  // received and not read, or sent and not taken.
  std::uint64_t mCallerSocketBytes = 0;
  std::uint64_t mForwardedSocketBytes = 0;

  friend bool operator==(const connection_limits&,
                         const connection_limits&) = default;
};

connection_limits
ConnectionLimits(const process_limits& aProcess);

// Connections beyond those that are served, which are being refused or closed.
std::size_t
MaxClosing(std::size_t aServed);

// Why a connection has no request in progress.
enum class quiet_state : std::uint8_t
{
  // Nothing has come on it yet.
  kSilent,
  // A part of a request's header has come.
  kInHeader,
  // Its last request is answered.
  kIdle,
};

// Whether a connection that has been so for `aSince` gives way to a new one at
// a full listener. A silent one does at once: whoever opened it to send
// something has done so within a round trip, and connects again. A header comes
// in one piece from callers that want an answer. Callers use an idle connection
// again within four fifths of `aIdleTimeout`.
bool
MayGiveWay(quiet_state aState, duration aSince, duration aIdleTimeout);

// Whether a body that has been read for `aSince`, while others wait for room,
// comes so slowly that its room is taken back.
bool
ComesTooSlowly(std::uint64_t aBytes, duration aSince);

// The connections to be closed, by their places in `aBytes`, so that what lies
// in their sockets together is at most `aRoom`: those with the most bytes.
std::vector<std::size_t>
OverRoom(const std::vector<std::uint64_t>& aBytes, std::uint64_t aRoom);

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_CONNECTION_LIMITS_H_
