// One whole configuration for opaque routing: routes, pools, teams and what a
// caller's connection may take. A document is accepted or refused as a whole
// and is never changed afterwards.
//
//   const routing_document document{ .mVersion = 7, .mRoutes = { ... } };
//   const routing_table_ptr table = MakeRoutingTable(document);
//
#ifndef THORNHOLLOW_ROUTING_ROUTING_DOCUMENT_H_
#define THORNHOLLOW_ROUTING_ROUTING_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

// What a second run of the same request means.
enum class request_kind : std::uint8_t
{
  // May run any number of times.
  kIdempotent,
  // Runs at most once; a second run is a second order.
  kAtMostOnce,
  // An event stream that runs at most once.
  kStream,
  // An event stream that another endpoint may continue after its last event.
  kResumableStream,
};

// True where a request that may have run can be sent again.
constexpr bool
MayRepeat(request_kind aKind)
{
  return aKind == request_kind::kIdempotent ||
         aKind == request_kind::kResumableStream;
}

constexpr bool
IsStream(request_kind aKind)
{
  return aKind == request_kind::kStream ||
         aKind == request_kind::kResumableStream;
}

// Ranks of requests; 0 is served first.
using tier_number = std::uint32_t;

// One of the pools that share a route's requests.
struct pool_weight
{
  pool_name mPool;
  // Relative to the other pools of the route; a weight of 0 gets nothing.
  std::uint32_t mWeight = 1;

  friend bool operator==(const pool_weight&, const pool_weight&) = default;
};

struct route
{
  std::string mName;
  // Lower case, without a port.
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPathPrefix;
  request_kind mKind = request_kind::kAtMostOnce;
  std::vector<pool_weight> mPools;
  // Endpoints that one submission may be sent to.
  std::uint32_t mMaxAttempts = 1;
  // The longest that a caller is kept waiting for the end of its answer.
  duration mTimeout = Seconds(30);
  // To the whole answer, or to a stream's first event.
  duration mTarget = Seconds(1);
  // Longest pause between two events of a stream; zero where none is stated.
  duration mEventGapTarget{};
  tier_number mTier = 0;
  // Callers need no token.
  bool mAnonymous = false;

  friend bool operator==(const route&, const route&) = default;
};

// What is declared of a pool of model engines.
struct engine_pool_spec
{
  // Requests that an engine of the pool runs at a time.
  std::uint32_t mSlots = 0;
  // Tokens that fit in an engine's memory.
  std::uint64_t mMemoryTokens = 0;
  // Tokens that one event of a stream may hold.
  std::uint32_t mTokensPerEvent = 1;

  friend bool operator==(const engine_pool_spec&,
                         const engine_pool_spec&) = default;
};

struct routed_pool
{
  pool_name mName;
  // Connections that an endpoint accepts, over all instances; 0: not stated.
  std::uint32_t mConnectionLimit = 0;
  // Absent for a pool of plain services.
  std::optional<engine_pool_spec> mEngine;

  friend bool operator==(const routed_pool&, const routed_pool&) = default;
};

struct routed_team
{
  team_name mName;
  // Any of them names the team.
  std::vector<std::string> mTokens;
  // Goes before the route's tier where it is there.
  std::optional<tier_number> mTier;

  friend bool operator==(const routed_team&, const routed_team&) = default;
};

// Bounds on what a caller's connection may take.
struct caller_connection_limits
{
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 4 } << 20U;
  duration mHeaderTimeout = Seconds(10);
  duration mIdleTimeout = Seconds(60);

  friend bool operator==(const caller_connection_limits&,
                         const caller_connection_limits&) = default;
};

struct routing_document
{
  // Rises with each change; steps are uneven.
  std::uint64_t mVersion = 0;
  std::vector<route> mRoutes;
  std::vector<routed_pool> mPools;
  // False: callers need no token, and no team is known.
  bool mTokensRequired = false;
  std::vector<routed_team> mTeams;
  caller_connection_limits mCallers;

  friend bool operator==(const routing_document&,
                         const routing_document&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_ROUTING_ROUTING_DOCUMENT_H_
