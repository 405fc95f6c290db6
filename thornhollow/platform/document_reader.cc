#include "thornhollow/platform/document_reader.h"

#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "thornhollow/platform/json_fields.h"
#include "thornhollow/platform/wire_names.h"

namespace thornhollow::platform {
namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

// Reads each object of a list with `aRead`.
template<class item, class reader>
result<std::vector<item>>
ReadList(const array& aList, const reader& aRead)
{
  std::vector<item> read;
  read.reserve(aList.size());
  for (const value& each : aList) {
    if (!each.is_object()) {
      return Fail(error_kind::kMalformedRequest, "expected a list of objects");
    }
    BOOST_LEAF_AUTO(one, aRead(each.get_object()));
    read.push_back(std::move(one));
  }
  return read;
}

// An unknown kind is treated as at-most-once, which allows the fewest retries.
request_kind
ReadKind(std::string_view aKind, bool aResumable)
{
  if (aKind == "idempotent") {
    return request_kind::kIdempotent;
  }
  if (aKind == "streaming") {
    return aResumable ? request_kind::kResumableStream : request_kind::kStream;
  }
  return request_kind::kAtMostOnce;
}

result<pool_weight>
ReadPoolWeight(const object& aPoolWeight)
{
  BOOST_LEAF_AUTO(pool, TextField(aPoolWeight, "service"));
  BOOST_LEAF_AUTO(weight, CountField(aPoolWeight, "weight"));
  return pool_weight{ pool_name(pool), ClampToUint32(weight) };
}

// A route has one pool, or splits its requests among several by weight.
result<std::vector<pool_weight>>
ReadPools(const object& aRoute)
{
  if (HasField(aRoute, "traffic_split")) {
    BOOST_LEAF_AUTO(weights, ListField(aRoute, "traffic_split"));
    if (!weights->empty()) {
      return ReadList<pool_weight>(*weights, ReadPoolWeight);
    }
  }
  BOOST_LEAF_AUTO(pool, TextField(aRoute, "service"));
  return std::vector<pool_weight>{ { pool_name(pool), 1 } };
}

result<route>
ReadRoute(const object& aRoute)
{
  route read;
  BOOST_LEAF_ASSIGN(read.mName, TextField(aRoute, "name"));
  BOOST_LEAF_ASSIGN(read.mHost, TextField(aRoute, "host"));
  BOOST_LEAF_ASSIGN(read.mPathPrefix, TextField(aRoute, "path_prefix"));
  BOOST_LEAF_AUTO(kind, TextField(aRoute, "kind"));
  BOOST_LEAF_AUTO(resumable, OptionalFlag(aRoute, "stream_resumption", false));
  read.mKind = ReadKind(kind, resumable);
  BOOST_LEAF_ASSIGN(read.mPools, ReadPools(aRoute));
  BOOST_LEAF_AUTO(attempts, OptionalCount(aRoute, "max_attempts", 1));
  read.mMaxAttempts = ClampToUint32(attempts);
  BOOST_LEAF_ASSIGN(read.mTimeout, MillisecondsField(aRoute, "timeout_ms"));
  BOOST_LEAF_ASSIGN(
    read.mTarget,
    OptionalMilliseconds(aRoute, "target_latency_ms", read.mTimeout));
  // The target for the longest gap between two events of a stream, not for the
  // time to the first event.
  BOOST_LEAF_ASSIGN(
    read.mEventGapTarget,
    OptionalMilliseconds(aRoute, "gap_target_ms", duration::zero()));
  BOOST_LEAF_AUTO(tier, OptionalCount(aRoute, "priority", 0));
  read.mTier = ClampToUint32(tier);
  BOOST_LEAF_ASSIGN(read.mAnonymous,
                    OptionalFlag(aRoute, "anonymous_access", false));
  return read;
}

result<engine_pool_spec>
ReadEngine(const object& aEngine)
{
  engine_pool_spec read;
  BOOST_LEAF_AUTO(slots, OptionalCount(aEngine, "slots", 0));
  read.mSlots = ClampToUint32(slots);
  BOOST_LEAF_ASSIGN(read.mMemoryTokens,
                    OptionalCount(aEngine, "kv_cache_tokens", 0));
  // "stride" is the maximum number of tokens in one event of a stream.
  BOOST_LEAF_AUTO(stride, OptionalCount(aEngine, "stride", 1));
  read.mTokensPerEvent = ClampToUint32(stride);
  return read;
}

// "cold_start_s" and "cold_per_s": length of the warm-up in seconds, and the
// requests a second that an endpoint takes meanwhile.
result<warm_up_spec>
ReadWarmUp(const object& aPool)
{
  warm_up_spec read;
  BOOST_LEAF_AUTO(seconds, OptionalNumber(aPool, "cold_start_s", 0));
  read.mLength = FromSeconds(seconds);
  BOOST_LEAF_ASSIGN(read.mRequestsPerSecond,
                    OptionalNumber(aPool, "cold_per_s", 0));
  return read;
}

result<routed_pool>
ReadPool(const object& aPool)
{
  routed_pool read;
  BOOST_LEAF_AUTO(name, TextField(aPool, "name"));
  read.mName = pool_name(name);
  BOOST_LEAF_AUTO(limit, OptionalCount(aPool, "connection_limit", 0));
  read.mConnectionLimit = ClampToUint32(limit);
  BOOST_LEAF_ASSIGN(read.mWarmUp, ReadWarmUp(aPool));
  if (const value* engine = aPool.if_contains("engine");
      engine != nullptr && engine->is_object()) {
    BOOST_LEAF_ASSIGN(read.mEngine, ReadEngine(engine->get_object()));
  }
  return read;
}

result<routed_team>
ReadTeam(const object& aTeam)
{
  routed_team read;
  BOOST_LEAF_AUTO(name, TextField(aTeam, "name"));
  read.mName = team_name(name);
  BOOST_LEAF_AUTO(keys, ListField(aTeam, "api_keys"));
  for (const value& each : *keys) {
    if (!each.is_string()) {
      return Fail(error_kind::kMalformedRequest, "api_keys: expected strings");
    }
    read.mTokens.emplace_back(each.get_string());
  }
  if (HasField(aTeam, "priority")) {
    BOOST_LEAF_AUTO(tier, CountField(aTeam, "priority"));
    read.mTier = ClampToUint32(tier);
  }
  return read;
}

result<caller_connection_limits>
ReadLimits(const object& aDocument)
{
  caller_connection_limits read;
  const value* limits = aDocument.if_contains("limits");
  if (limits == nullptr || !limits->is_object()) {
    return read;
  }
  const object& fields = limits->get_object();
  BOOST_LEAF_AUTO(
    header, OptionalCount(fields, "max_header_bytes", read.mMaxHeaderBytes));
  read.mMaxHeaderBytes = ClampToUint32(header);
  BOOST_LEAF_ASSIGN(
    read.mMaxBodyBytes,
    OptionalCount(fields, "max_body_bytes", read.mMaxBodyBytes));
  BOOST_LEAF_ASSIGN(
    read.mHeaderTimeout,
    OptionalMilliseconds(fields, "header_timeout_ms", read.mHeaderTimeout));
  BOOST_LEAF_ASSIGN(
    read.mIdleTimeout,
    OptionalMilliseconds(fields, "idle_timeout_ms", read.mIdleTimeout));
  return read;
}

} // namespace

result<routing_document>
ReadDocument(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(fields, ParseObject(aBytes));
  routing_document read;
  BOOST_LEAF_ASSIGN(read.mVersion, CountField(fields, "version"));
  BOOST_LEAF_AUTO(routes, ListField(fields, "routes"));
  BOOST_LEAF_ASSIGN(read.mRoutes, ReadList<route>(*routes, ReadRoute));
  BOOST_LEAF_AUTO(pools, ListField(fields, "services"));
  BOOST_LEAF_ASSIGN(read.mPools, ReadList<routed_pool>(*pools, ReadPool));
  read.mTokensRequired = HasField(fields, "tenants");
  if (read.mTokensRequired) {
    BOOST_LEAF_AUTO(teams, ListField(fields, "tenants"));
    BOOST_LEAF_ASSIGN(read.mTeams, ReadList<routed_team>(*teams, ReadTeam));
  }
  BOOST_LEAF_ASSIGN(read.mCallers, ReadLimits(fields));
  return read;
}

result<std::optional<domain_name>>
ReadOutOfService(std::string_view aKey)
{
  if (!aKey.starts_with(kOutOfServicePrefix)) {
    return std::optional<domain_name>();
  }
  aKey.remove_prefix(kOutOfServicePrefix.size());
  if (aKey.empty()) {
    return Fail(error_kind::kMalformedRequest, "key has no failure domain");
  }
  return std::optional(domain_name(std::string(aKey)));
}

} // namespace thornhollow::platform
