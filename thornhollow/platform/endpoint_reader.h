// Parses an endpoint's entry in the store.
//
//   BOOST_LEAF_AUTO(entry, ReadEndpoint("servers/i-7", bytes));
//
#ifndef THORNHOLLOW_PLATFORM_ENDPOINT_READER_H_
#define THORNHOLLOW_PLATFORM_ENDPOINT_READER_H_

#include <cstdint>
#include <string_view>

#include "thornhollow/base/result.h"
#include "thornhollow/discovery/endpoint_roster.h"

namespace thornhollow::platform {

// The endpoint's name: the part of the item's key after the prefix.
endpoint_name
EndpointName(std::string_view aKey);

// Parses an endpoint's entry. Fails if a field is missing or has another type,
// or if the state is unknown: other programs may write entries under the same
// prefix.
result<listed_endpoint>
ReadEndpoint(std::string_view aKey, std::string_view aBytes);

// Parses what an endpoint reports of itself. Returns the start time of its
// process in milliseconds; 0 if not stated.
result<std::int64_t>
ReadStartTime(std::string_view aBytes);

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_ENDPOINT_READER_H_
