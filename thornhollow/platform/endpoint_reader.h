// Reads what an endpoint says of itself: its entry in the store, and an
// engine's account of its load.
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

// The endpoint's name: what follows the prefix in the item's key.
endpoint_name
EndpointName(std::string_view aKey);

// An entry that lacks a field, has one of another type, or a state that isn't
// known names no endpoint: a failure. Other writers may put anything there.
result<listed_endpoint>
ReadEndpoint(std::string_view aKey, std::string_view aBytes);

// An engine's load as of a few hundred milliseconds ago.
struct engine_load
{
  // Requests that wait in the engine, and those that it runs.
  std::uint32_t mWaiting = 0;
  std::uint32_t mRunning = 0;
  // Tokens of its memory that can't yield, of how many.
  std::uint64_t mMemoryUsed = 0;
  std::uint64_t mMemoryTotal = 0;
  // When the process started, by its own clock; 0: not stated.
  std::int64_t mStartedMs = 0;

  friend bool operator==(const engine_load&, const engine_load&) = default;
};

result<engine_load>
ReadEngineLoad(std::string_view aBytes);

} // namespace thornhollow::platform

#endif // THORNHOLLOW_PLATFORM_ENDPOINT_READER_H_
