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
header_scanner::Scan(std::string_view aText)
{
  while (true) {
    const auto feed = aText.find('\n', mSearched);
    if (feed == std::string_view::npos) {
      mLooked += aText.size() - mSearched;
      mSearched = aText.size();
      return header_text::kIncomplete;
    }
    mLooked += feed + 1 - mSearched;
    mSearched = feed + 1;
    if (feed == mLine || aText[feed - 1] != '\r') {
      return header_text::kAmbiguous;
    }
    const std::string_view line = aText.substr(mLine, feed - 1 - mLine);
    ++mLines;
    if (line.empty()) {
      // A blank line before the request is not an empty header.
      return mLines == 1 ? header_text::kAmbiguous : header_text::kWhole;
    }
    const bool folded = line.front() == ' ' || line.front() == '\t';
    if (folded || HasControl(line)) {
      return header_text::kAmbiguous;
    }
    mLine = mSearched;
  }
}

header_text
ScanHeaderText(std::string_view aText)
{
  return header_scanner().Scan(aText);
}

} // namespace thornhollow::net_internal
