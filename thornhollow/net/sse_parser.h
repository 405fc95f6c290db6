// Splits a stream of server-sent events into events, as bytes arrive.
//
//   sse_parser parser(64 * 1024);
//   parser.Feed(bytes);
//   while (std::optional<sse_event> next = parser.Next()) { ... }
//
#ifndef THORNHOLLOW_NET_SSE_PARSER_H_
#define THORNHOLLOW_NET_SSE_PARSER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace thornhollow {

struct sse_event
{
  // The event's name; empty for an ordinary one.
  std::string mName;
  std::string mData;

  friend bool operator==(const sse_event&, const sse_event&) = default;
};

class sse_parser
{
public:
  // An event may hold at most `aMaxEventBytes`.
  explicit sse_parser(std::size_t aMaxEventBytes);

  void Feed(std::string_view aBytes);

  // The next whole event, or nothing until more bytes come. Comments and fields
  // other than `event` and `data` are skipped.
  std::optional<sse_event> Next();

  // True once an event grew beyond the bound; nothing more is to be read then.
  bool Overflowed() const { return mOverflowed; }

private:
  std::optional<std::string_view> NextLine();

  std::size_t mMaxEventBytes;
  std::string mPending;
  std::size_t mRead = 0;
  sse_event mEvent;
  bool mHasData = false;
  bool mOverflowed = false;
};

} // namespace thornhollow

#endif // THORNHOLLOW_NET_SSE_PARSER_H_
