#include "thornhollow/request/event_splitter.h"

#include <algorithm>
#include <utility>

namespace thornhollow {
namespace {

constexpr std::string_view kIdField = "id:";

// Past the blank line that ends the first event, or npos.
std::size_t
EndOfEvent(std::string_view aText)
{
  for (std::size_t line = aText.find('\n'); line != std::string_view::npos;
       line = aText.find('\n', line + 1)) {
    std::size_t next = line + 1;
    if (next < aText.size() && aText[next] == '\r') {
      ++next;
    }
    if (next < aText.size() && aText[next] == '\n') {
      return next + 1;
    }
  }
  return std::string_view::npos;
}

std::string_view
TakeLine(std::string_view& aRest)
{
  const std::size_t end = std::min(aRest.find('\n'), aRest.size());
  std::string_view line = aRest.substr(0, end);
  aRest.remove_prefix(std::min(end + 1, aRest.size()));
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

} // namespace

void
event_splitter::Feed(std::string_view aBytes)
{
  mPending += aBytes;
  std::size_t taken = 0;
  const std::string_view all = mPending;
  for (std::size_t end = EndOfEvent(all); end != std::string_view::npos;
       end = EndOfEvent(all.substr(taken))) {
    NoteEvent(all.substr(taken, end));
    mWhole += all.substr(taken, end);
    taken += end;
  }
  mPending.erase(0, taken);
}

std::string
event_splitter::TakeWhole()
{
  return std::exchange(mWhole, {});
}

std::string
event_splitter::TakeAll()
{
  return TakeWhole() + std::exchange(mPending, {});
}

void
event_splitter::NoteEvent(std::string_view aEvent)
{
  ++mEvents;
  while (!aEvent.empty()) {
    const std::string_view line = TakeLine(aEvent);
    if (line.starts_with(kIdField)) {
      std::string_view id = line.substr(kIdField.size());
      if (id.starts_with(' ')) {
        id.remove_prefix(1);
      }
      mLastId = id;
    }
  }
}

} // namespace thornhollow
