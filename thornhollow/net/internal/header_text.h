// Looks at the raw text of a header before it is parsed.
//
//   header_scanner scanner;
//   switch (scanner.Scan(received)) { ... }  // again with more bytes
//
// Guards against request smuggling: parsers differ in how they read folded
// lines, bare line feeds and control characters, and what one takes for a field
// another takes for the next request. It shows as an endpoint running a request
// that no caller sent. Text that two parsers may read differently is refused
// before any of it is acted on.
#ifndef THORNHOLLOW_NET_INTERNAL_HEADER_TEXT_H_
#define THORNHOLLOW_NET_INTERNAL_HEADER_TEXT_H_

#include <cstddef>
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

// Scans a header as it comes, each byte once however it is cut.
class header_scanner
{
public:
  // `aText` is all that has come so far: what was given before, and more.
  header_text Scan(std::string_view aText);

  // Whole lines so far, the request line and the blank one included.
  std::size_t Lines() const { return mLines; }
  // Bytes that were looked at, in all calls together.
  std::uint64_t Looked() const { return mLooked; }

private:
  // Where the line begins that has no end yet, and up to where an end of it was
  // looked for.
  std::size_t mLine = 0;
  std::size_t mSearched = 0;
  std::size_t mLines = 0;
  std::uint64_t mLooked = 0;
};

// Scans a text in one go.
header_text
ScanHeaderText(std::string_view aText);

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_HEADER_TEXT_H_
