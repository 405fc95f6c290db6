#include "thornhollow/request/event_splitter.h"

#include <utility>

namespace thornhollow {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kLineEnds = "\r\n";
constexpr char kComment = ':';

} // namespace

void
event_splitter::Feed(std::string_view aBytes)
{
  mPending += aBytes;
  std::size_t taken = 0;
  while (mScanned < mPending.size()) {
    if (std::exchange(mAfterReturn, false) && mPending[mScanned] == '\n') {
      // Also of an event that has been taken already.
      taken = taken == mScanned ? taken + 1 : taken;
      mLineBegin = ++mScanned;
      continue;
    }
    const std::size_t end = mPending.find_first_of(kLineEnds, mScanned);
    if (end == std::string::npos) {
      mScanned = mPending.size();
      break;
    }
    const bool isBlank = end == mLineBegin;
    TakeLine(std::string_view(mPending).substr(mLineBegin, end - mLineBegin));
    mAfterReturn = mPending[end] == '\r';
    mLineBegin = mScanned = end + 1;
    taken = isBlank ? mScanned : taken;
  }
  mWhole.append(mPending, 0, taken);
  mPending.erase(0, taken);
  mLineBegin -= taken;
  mScanned -= taken;
}

std::string
event_splitter::TakeWhole()
{
  return std::exchange(mWhole, {});
}

std::string
event_splitter::TakeAll()
{
  std::string all = TakeWhole() + mPending;
  DropUnfinished();
  return all;
}

void
event_splitter::DropUnfinished()
{
  mPending.clear();
  mLineBegin = 0;
  mScanned = 0;
  mAfterReturn = false;
  mHasField = false;
  mId.reset();
}

bool
event_splitter::HasUnfinished() const
{
  const std::string_view line = std::string_view(mPending).substr(mLineBegin);
  return mHasField || (!line.empty() && !line.starts_with(kComment));
}

// Takes a line without its end; a blank one ends the event.
void
event_splitter::TakeLine(std::string_view aLine)
{
  if (aLine.empty()) {
    mEvents += mHasField ? 1 : 0;
    mHasField = false;
    if (mId) {
      mLastId = *std::exchange(mId, std::nullopt);
    }
    return;
  }
  mHasField = mHasField || !aLine.starts_with(kComment);
  if (aLine.starts_with(kIdField)) {
    aLine.remove_prefix(kIdField.size());
    if (aLine.starts_with(' ')) {
      aLine.remove_prefix(1);
    }
    mId = aLine;
  }
}

} // namespace thornhollow
