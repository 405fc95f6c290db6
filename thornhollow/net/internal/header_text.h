// Looks at the raw text of a header before it is parsed.
//
//   switch (ScanHeaderText(received)) { ... }
//
// Guards against request smuggling: parsers differ in how they read folded
// lines, bare line feeds and control characters, and what one takes for a field
// another takes for the next request. It shows as an endpoint running a request
// that no caller sent. Text that two parsers may read differently is refused
// before any of it is acted on.
#ifndef THORNHOLLOW_NET_INTERNAL_HEADER_TEXT_H_
#define THORNHOLLOW_NET_INTERNAL_HEADER_TEXT_H_

#include <cstdint>
#include <string_view>

namespace thornhollow::net_internal {

enum class header_text : std::uint8_t
{
  // More bytes are needed.
  kIncomplete,
  // The blank line is there.
  kWhole,
  // Parsers may disagree on it.
  kAmbiguous,
};

header_text
ScanHeaderText(std::string_view aText);

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_HEADER_TEXT_H_
