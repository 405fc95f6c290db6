#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/net/sse_parser.h"

namespace thornhollow {
namespace {

struct sse_stream
{
  std::vector<sse_event> Drain()
  {
    std::vector<sse_event> events;
    while (auto next = mParser.Next()) {
      events.push_back(*next);
    }
    return events;
  }
  sse_parser mParser{ 64 };
};

TEST_CASE_FIXTURE(sse_stream, "sse_stream/split_at_each_byte/gives_same_events")
{
  const std::string text =
    "data: a\n\n: note\r\nevent: error\r\ndata: b\r\n\r\n";
  std::vector<sse_event> events;
  for (const char byte : text) {
    mParser.Feed(std::string_view(&byte, 1));
    for (const sse_event& each : Drain()) {
      events.push_back(each);
    }
  }
  CHECK(events == std::vector<sse_event>{ { "", "a" }, { "error", "b" } });
}

TEST_CASE_FIXTURE(sse_stream, "sse_stream/no_blank_line/gives_no_event")
{
  mParser.Feed("data: cut off\n");
  CHECK(Drain().empty());
}

TEST_CASE_FIXTURE(sse_stream, "sse_stream/line_without_end/overflows")
{
  mParser.Feed(std::string(65, 'x'));
  CHECK(Drain().empty());
  CHECK(mParser.Overflowed());
}

} // namespace
} // namespace thornhollow
