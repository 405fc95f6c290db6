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
#ifndef THORNHOLLOW_REQUEST_EVENT_SPLITTER_H_
#define THORNHOLLOW_REQUEST_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
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

  // The same, and an unfinished event: the stream ended here, by its own word.
  std::string TakeAll();

  // Drops an unfinished event, before the stream is continued elsewhere.
  void DropUnfinished() { mPending.clear(); }

  // Of the last whole event that had one; empty before.
  const std::string& LastId() const { return mLastId; }
  // Whole events so far.
  std::uint64_t Events() const { return mEvents; }
  bool HasUnfinished() const { return !mPending.empty(); }
  // An event grew beyond the bound: the stream is unusable.
  bool Overflowed() const { return mPending.size() > mMaxEventBytes; }

private:
  void NoteEvent(std::string_view aEvent);

  std::size_t mMaxEventBytes;
  std::string mPending;
  std::string mWhole;
  std::string mLastId;
  std::uint64_t mEvents = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_REQUEST_EVENT_SPLITTER_H_
