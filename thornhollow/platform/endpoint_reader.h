// Reads what an endpoint says of itself in its entry in the store.
//
//   BOOST_LEAF_AUTO(entry, ReadEndpoint("servers/i-7", bytes));
//
#ifndef THORNHOLLOW_PLATFORM_ENDPOINT_READER_H_
#define THORNHOLLOW_PLATFORM_ENDPOINT_READER_H_

#include <string_view>

#include "thornhollow/base/result.h"
#include "thornhollow/discovery/endpoint_roster.h"

namespace thornhollow::platform {

// The endpoint's name: what follows the prefix in the item's key.
endpoint_name
EndpointName(std::string_view aKey);

// An entry that lacks a field, has one of another type, or a state that isn't
// known names no endpoint: a failure. Other writers may put anything there.
result<listed_endpoint>
ReadEndpoint(std::string_view aKey, std::string_view aBytes);

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_ENDPOINT_READER_H_
