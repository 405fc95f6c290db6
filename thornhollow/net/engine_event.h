// Reads one event of an engine's stream.
//
//   const auto read = ReadEngineEvent(R"({"id":"r1","index":0,"token":"a"})");
//
#ifndef THORNHOLLOW_NET_ENGINE_EVENT_H_
#define THORNHOLLOW_NET_ENGINE_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "thornhollow/base/ids.h"

namespace thornhollow {

// One event; either a token or the reason for which the stream ends.
struct engine_event
{
  request_id mId;
  std::uint64_t mIndex = 0;
  std::optional<std::string> mToken;
  std::string mFinishReason;

  friend bool operator==(const engine_event&, const engine_event&) = default;
};

// Nothing when the text is no event of the protocol.
std::optional<engine_event>
ReadEngineEvent(std::string_view aJson);

} // namespace thornhollow

#endif // THORNHOLLOW_NET_ENGINE_EVENT_H_
