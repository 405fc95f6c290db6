// Cuts the bytes of an event stream into whole events without changing them,
// and keeps the identifier of the last whole one.
//
//   event_splitter events(64 * 1024);
//   events.Feed(bytes);
//   forward += events.TakeWhole();
//   resumeAfter = events.LastId();
//
// Only whole events are handed on: an endpoint may break off in the middle of
// one, and a stream that is continued elsewhere would otherwise have a torn
// event in it.
//
// A line ends with a line feed, a carriage return, or both in this order. An
// event is one or more lines of fields and ends with a blank line; a line that
// begins with a colon is a comment.
#ifndef THORNHOLLOW_REQUEST_EVENT_SPLITTER_H_
#define THORNHOLLOW_REQUEST_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace thornhollow {

class event_splitter
{
public:
  // An unfinished event may hold at most `aMaxEventBytes`.
  explicit event_splitter(std::size_t aMaxEventBytes)
    : mMaxEventBytes(aMaxEventBytes)
  {
  }

  void Feed(std::string_view aBytes);

  // The bytes of all events that became whole since the last call.
  std::string TakeWhole();

  // The same, and all that remains: comments and line ends after the last
  // event, or an unfinished event.
  std::string TakeAll();

  // Drops an unfinished event, before the stream is continued elsewhere.
  void DropUnfinished();

  // Of the last whole event that had one; empty before.
  const std::string& LastId() const { return mLastId; }
  // Whole events so far.
  std::uint64_t Events() const { return mEvents; }
  // Whether the bytes so far end inside an event. Comments belong to none.
  bool HasUnfinished() const;
  // An event grew beyond the bound: the stream is unusable.
  bool Overflowed() const { return mPending.size() > mMaxEventBytes; }

private:
  void TakeLine(std::string_view aLine);

  std::size_t mMaxEventBytes;
  // What follows the last whole event.
  std::string mPending;
  // Of `mPending`: where the present line begins, and up to where it was
  // searched for the line's end.
  std::size_t mLineBegin = 0;
  std::size_t mScanned = 0;
  // Whether the last line ended with a carriage return: a line feed that comes
  // next belongs to that line's end.
  bool mAfterReturn = false;
  // Whether the present event has a line that is no comment.
  bool mHasField = false;
  std::optional<std::string> mId;
  std::string mWhole;
  std::string mLastId;
  std::uint64_t mEvents = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_REQUEST_EVENT_SPLITTER_H_
