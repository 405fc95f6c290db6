// Short identification of endpoints in messages between instances.
//
//   message.mEndpoint = EndpointHash(endpoint_name("i-1"));
//
#ifndef THORNHOLLOW_BASE_ENDPOINT_HASH_H_
#define THORNHOLLOW_BASE_ENDPOINT_HASH_H_

#include <cstdint>

#include "thornhollow/base/hash.h"
#include "thornhollow/base/ids.h"

namespace thornhollow {

// The low 32 bits of the hash of an endpoint's name. Among a thousand endpoints
// the probability of a collision is about one in ten thousand.
using endpoint_hash = std::uint32_t;

inline endpoint_hash
EndpointHash(const endpoint_name& aEndpoint)
{
  return static_cast<endpoint_hash>(Hash64(aEndpoint.Text()));
}

// Identifies one process of an endpoint. `aStartedMs`: when it was started, as
// the source lists it; 0 if it is not listed.
using endpoint_process_hash = std::uint64_t;

inline endpoint_process_hash
EndpointProcessHash(const endpoint_name& aEndpoint, std::int64_t aStartedMs)
{
  return CombineHash(Hash64(aEndpoint.Text()),
                     static_cast<std::uint64_t>(aStartedMs));
}

// Identifies a version of the software of one pool's endpoints. Versions are
// equal or not; they have no order.
using endpoint_version_hash = std::uint64_t;

// No endpoint has this version.
inline constexpr endpoint_version_hash kUnknownVersion = 0;

inline endpoint_version_hash
EndpointVersionHash(const pool_name& aPool, const software_version& aVersion)
{
  const std::uint64_t hash =
    CombineHash(Hash64(aPool.Text()), Hash64(aVersion.Text()));
  return hash == kUnknownVersion ? hash + 1 : hash;
}

} // namespace thornhollow

#endif // THORNHOLLOW_BASE_ENDPOINT_HASH_H_
