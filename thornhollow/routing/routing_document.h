// A complete configuration for opaque routing: routes, pools, teams and the
// limits of callers' connections. A document is accepted or rejected as a whole
// and is immutable afterwards.
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
#include "thornhollow/base/warm_up_spec.h"

namespace thornhollow {

// Whether executing a request twice is safe.
enum class request_kind : std::uint8_t
{
  // The request may be executed any number of times.
  kIdempotent,
  // The request must be executed at most once; a second execution could, for
  // example, place a second order.
  kAtMostOnce,
  // The response is an event stream, and the request must be executed at most
  // once.
  kStream,
  // The response is an event stream that another endpoint can resume after its
  // last event.
  kResumableStream,
};

// Whether a request that may have been executed can be sent again.
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

// Scheduling tier of a request; 0 is served first.
using tier_number = std::uint32_t;

// One of the pools among which a route's requests are distributed.
struct pool_weight
{
  pool_name mPool;
  // Share of the route's requests, relative to the weights of the other pools
  // of the route; a pool of weight 0 receives no requests.
  std::uint32_t mWeight = 1;

  friend bool operator==(const pool_weight&, const pool_weight&) = default;
};

struct route
{
  std::string mName;
  // Host name of the requests that the route serves, in lower case, without a
  // port.
  std::string mHost;
  // Prefix of the paths that the route serves; begins and ends with a slash.
  std::string mPathPrefix;
  request_kind mKind = request_kind::kAtMostOnce;
  std::vector<pool_weight> mPools;
  // Maximum number of endpoints to which one submission is sent.
  std::uint32_t mMaxAttempts = 1;
  // Maximum time until the caller has received the whole response.
  duration mTimeout = Seconds(30);
  // Latency target for the whole response, or for a stream's first event.
  duration mTarget = Seconds(1);
  // Target for the longest gap between two events of a stream; zero if not
  // stated.
  duration mEventGapTarget{};
  tier_number mTier = 0;
  // Whether callers of the route need no token.
  bool mAnonymous = false;

  friend bool operator==(const route&, const route&) = default;
};

// Declared properties of a pool of model engines.
struct engine_pool_spec
{
  // Maximum number of requests that an engine of the pool runs concurrently.
  std::uint32_t mSlots = 0;
  // Capacity of an engine's KV cache, in tokens.
  std::uint64_t mMemoryTokens = 0;
  // Maximum number of tokens in one event of a stream.
  std::uint32_t mTokensPerEvent = 1;

  friend bool operator==(const engine_pool_spec&,
                         const engine_pool_spec&) = default;
};

struct routed_pool
{
  pool_name mName;
  // Maximum number of connections that an endpoint of the pool accepts, from
  // all instances together; 0 if not stated.
  std::uint32_t mConnectionLimit = 0;
  // Properties of the pool's engines; absent for a pool of plain services.
  std::optional<engine_pool_spec> mEngine;
  warm_up_spec mWarmUp = {};

  friend bool operator==(const routed_pool&, const routed_pool&) = default;
};

struct routed_team
{
  team_name mName;
  // Bearer tokens of the team; each token alone identifies the team.
  std::vector<std::string> mTokens;
  // The team's scheduling tier, which overrides the route's tier if present.
  std::optional<tier_number> mTier;

  friend bool operator==(const routed_team&, const routed_team&) = default;
};

// Limits of a caller's connection.
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
  // Version of the document; increases with each change, not necessarily by
  // one.
  std::uint64_t mVersion = 0;
  std::vector<route> mRoutes;
  std::vector<routed_pool> mPools;
  // Whether callers need a token. If false, no team is known.
  bool mTokensRequired = false;
  std::vector<routed_team> mTeams;
  caller_connection_limits mCallers;

  friend bool operator==(const routing_document&,
                         const routing_document&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_ROUTING_ROUTING_DOCUMENT_H_
