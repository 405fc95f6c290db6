#include "thornhollow/net/sse_parser.h"

#include <utility>

namespace thornhollow {
namespace {

std::string_view
FieldValue(std::string_view aLine, std::size_t aNameLength)
{
  std::string_view value = aLine.substr(aNameLength + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

} // namespace

sse_parser::sse_parser(std::size_t aMaxEventBytes)
  : mMaxEventBytes(aMaxEventBytes)
{
}

void
sse_parser::Feed(std::string_view aBytes)
{
  mPending.erase(0, std::exchange(mRead, 0));
  mPending.append(aBytes);
}

std::optional<sse_event>
sse_parser::Next()
{
  while (const auto line = NextLine()) {
    if (line->empty()) {
      if (mHasData) {
        mHasData = false;
        return std::exchange(mEvent, {});
      }
      mEvent = {};
    } else if (line->starts_with("data:")) {
      if (mHasData) {
        mEvent.mData += '\n';
      }
      mEvent.mData += FieldValue(*line, 4);
      mHasData = true;
    } else if (line->starts_with("event:")) {
      mEvent.mName = FieldValue(*line, 5);
    }
  }
  // A peer that never ends a line would otherwise grow this buffer for ever.
  mOverflowed = mOverflowed || mPending.size() - mRead > mMaxEventBytes ||
                mEvent.mData.size() > mMaxEventBytes;
  return std::nullopt;
}

std::optional<std::string_view>
sse_parser::NextLine()
{
  const std::size_t end = mPending.find('\n', mRead);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::string_view line = std::string_view(mPending).substr(mRead, end - mRead);
  mRead = end + 1;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

} // namespace thornhollow
