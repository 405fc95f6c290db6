// Converts messages about where streams began to the generated types and back.
#ifndef THORNHOLLOW_WIRE_INTERNAL_ORIGIN_CODEC_H_
#define THORNHOLLOW_WIRE_INTERNAL_ORIGIN_CODEC_H_

#include <optional>

#include <thornhollow_types.h>

#include "thornhollow/streams/origin_messages.h"

namespace thornhollow::wire_internal {

wire::origin_message
ToWire(const origin_message& aMessage);

// Nothing for a message of no kind that is known here. Bytes that are no whole
// origin are left out.
std::optional<origin_message>
FromWire(const wire::origin_message& aMessage);

} // namespace thornhollow::wire_internal

#endif // THORNHOLLOW_WIRE_INTERNAL_ORIGIN_CODEC_H_
