#include <random>

#include <doctest/doctest.h>

#include "thornhollow/request/event_splitter.h"

namespace thornhollow {
namespace {

struct splitter
{
  event_splitter mEvents{ 1024 };
};

TEST_CASE_FIXTURE(splitter, "event_splitter/torn_event/is_held_back")
{
  // A caller sees half an event and then the whole of it: the endpoint broke
  // off in its middle, and another one continued the stream.
  mEvents.Feed("id: 1\ndata: a\n\nid: 2\nda");
  CHECK(mEvents.TakeWhole() == "id: 1\ndata: a\n\n");
  CHECK(mEvents.LastId() == "1");
  CHECK(mEvents.HasUnfinished());
  mEvents.DropUnfinished();
  mEvents.Feed("id: 2\ndata: b\n\n");
  CHECK(mEvents.TakeWhole() == "id: 2\ndata: b\n\n");
  CHECK(mEvents.LastId() == "2");
}

TEST_CASE_FIXTURE(splitter, "event_splitter/carriage_returns/end_events_too")
{
  mEvents.Feed("id:7\r\ndata: a\r\n\r\nrest");
  CHECK(mEvents.TakeWhole() == "id:7\r\ndata: a\r\n\r\n");
  CHECK(mEvents.LastId() == "7");
  CHECK(mEvents.TakeAll() == "rest");
}

TEST_CASE_FIXTURE(splitter,
                  "event_splitter/lone_carriage_returns/end_events_too")
{
  mEvents.Feed("id: 1\rdata: a\r\rid: 2\rda");
  CHECK(mEvents.TakeWhole() == "id: 1\rdata: a\r\r");
  CHECK(mEvents.LastId() == "1");
  CHECK(mEvents.HasUnfinished());
}

TEST_CASE_FIXTURE(splitter,
                  "event_splitter/line_end_in_two_reads/ends_one_line_only")
{
  mEvents.Feed("data: a\r");
  mEvents.Feed("\ndata: b\r");
  CHECK(mEvents.TakeWhole().empty());
  CHECK(mEvents.HasUnfinished());
  mEvents.Feed("\n\r");
  CHECK(mEvents.TakeWhole() == "data: a\r\ndata: b\r\n\r");
  CHECK_FALSE(mEvents.HasUnfinished());
  mEvents.Feed("\n");
  CHECK_FALSE(mEvents.HasUnfinished());
  CHECK(mEvents.TakeAll() == "\n");
  CHECK(mEvents.Events() == 1);
}

TEST_CASE_FIXTURE(splitter, "event_splitter/comments/belong_to_no_event")
{
  mEvents.Feed(": waiting\n\ndata: a\n\n: wai");
  CHECK_FALSE(mEvents.HasUnfinished());
  CHECK(mEvents.Events() == 1);
  CHECK(mEvents.TakeAll() == ": waiting\n\ndata: a\n\n: wai");
}

TEST_CASE_FIXTURE(splitter, "event_splitter/identifier_of_torn_event/not_told")
{
  mEvents.Feed("id: 1\n\nid: 2\ndata: b\n");
  CHECK(mEvents.LastId() == "1");
}

TEST_CASE_FIXTURE(splitter, "event_splitter/endless_event/overflows")
{
  mEvents.Feed(std::string(2000, 'x'));
  CHECK(mEvents.Overflowed());
}

TEST_CASE("event_splitter/any_cut_of_the_bytes/gives_the_same_stream")
{
  std::string stream;
  for (int event = 1; event <= 50; ++event) {
    stream += "id: " + std::to_string(event) + "\r\ndata: " +
              std::string(static_cast<std::size_t>(event % 7), 'x') +
              (event % 3 == 0 ? "\r\n\r\n" : "\n\n");
  }
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    event_splitter events(1024);
    std::string out;
    for (std::size_t at = 0; at < stream.size();) {
      const std::size_t length = 1 + random() % 30;
      events.Feed(std::string_view(stream).substr(at, length));
      out += events.TakeWhole();
      at += length;
    }
    CHECK(out == stream);
    CHECK(events.Events() == 50);
    CHECK(events.LastId() == "50");
  }
}

} // namespace
} // namespace thornhollow
