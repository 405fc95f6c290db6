#include "thornhollow/net/internal/header_text.h"

namespace thornhollow::net_internal {
namespace {

// Control characters have no place in a header, but for the tab and the two of
// the line's end, which are looked at apart.
bool
IsControl(char aLetter)
{
  return (aLetter >= 0 && aLetter < ' ' && aLetter != '\t') || aLetter == 127;
}

bool
HasControl(std::string_view aLine)
{
  for (const char each : aLine) {
    if (IsControl(each)) {
      return true;
    }
  }
  return false;
}

} // namespace

header_text
ScanHeaderText(std::string_view aText)
{
  bool firstLine = true;
  while (true) {
    const auto feed = aText.find('\n');
    if (feed == std::string_view::npos) {
      return header_text::kIncomplete;
    }
    if (feed == 0 || aText[feed - 1] != '\r') {
      return header_text::kAmbiguous;
    }
    const std::string_view line = aText.substr(0, feed - 1);
    if (line.empty()) {
      // A blank line before the request is not an empty header.
      return firstLine ? header_text::kAmbiguous : header_text::kWhole;
    }
    const bool folded = line.front() == ' ' || line.front() == '\t';
    if (folded || HasControl(line)) {
      return header_text::kAmbiguous;
    }
    firstLine = false;
    aText.remove_prefix(feed + 1);
  }
}

} // namespace thornhollow::net_internal
