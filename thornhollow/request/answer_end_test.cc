#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/request/answer_end.h"

namespace thornhollow {
namespace {

constexpr std::array<const char*, 3> kLineEnds = { "\n", "\r\n", "\r" };
constexpr std::array kFramings = { answer_framing::kLength,
                                   answer_framing::kChunks,
                                   answer_framing::kConnection };

// A stream of one kind of line end, and after which bytes of it an event is
// whole.
struct generated_stream
{
  std::string mText;
  std::vector<bool> mIsBetweenEvents;
};

generated_stream
Generate(std::mt19937_64& aRandom)
{
  const std::string end = kLineEnds.at(aRandom() % kLineEnds.size());
  generated_stream made;
  const std::uint64_t events = 1 + aRandom() % 4;
  for (std::uint64_t event = 1; event <= events; ++event) {
    if (aRandom() % 4 == 0) {
      made.mText.append(": comment").append(end);
      // Comments are of no event.
      made.mIsBetweenEvents.resize(made.mText.size(), true);
    }
    made.mText.append("id: ").append(std::to_string(event)).append(end);
    made.mText.append("data: ").append(aRandom() % 6, 'x').append(end);
    made.mText.append(end);
    made.mIsBetweenEvents.resize(made.mText.size(), false);
    made.mIsBetweenEvents.back() = true;
    if (end == "\r\n") {
      // The carriage return alone ends the blank line as well.
      made.mIsBetweenEvents[made.mText.size() - 2] = true;
    }
  }
  return made;
}

void
FeedInParts(event_splitter& aEvents,
            const std::string& aText,
            std::mt19937_64& aRandom)
{
  for (std::size_t at = 0; at < aText.size();) {
    const std::size_t length = 1 + aRandom() % 9;
    aEvents.Feed(std::string_view(aText).substr(at, length));
    at += length;
  }
}

// A stream broken off at some byte is taken for whole, or a whole one for
// broken off.
TEST_CASE("answer_end/stream_cut_at_any_byte/whole_only_as_framed_by_endpoint")
{
  int cut = 0;
  for (std::uint64_t seed = 1; cut < 30'000; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const generated_stream made = Generate(random);
    for (std::size_t length = 1; length <= made.mText.size(); ++length, ++cut) {
      CAPTURE(length);
      event_splitter events(1024);
      FeedInParts(events, made.mText.substr(0, length), random);
      for (const answer_framing framing : kFramings) {
        const answer_end end = JudgeStreamEnd(framing, events, true);
        if (made.mIsBetweenEvents[length - 1]) {
          CHECK(end == JudgeEnd(framing));
        } else {
          CHECK(end == answer_end::kInsideEvent);
        }
      }
    }
  }
}

TEST_CASE("answer_end/no_event/broken_off_unless_endpoint_framed_it")
{
  const event_splitter none(1024);
  CHECK(JudgeStreamEnd(answer_framing::kConnection, none, false) ==
        answer_end::kBeforeFirstEvent);
  CHECK(JudgeStreamEnd(answer_framing::kChunks, none, false) ==
        answer_end::kWhole);
}

// A part without a last chunk at its caller is logged as one that lacks it, or
// as ended in order.
TEST_CASE("answer_end/end_at_caller/by_framing_and_breaking_off")
{
  CHECK(Name(StreamEnd(true, false)) == "last_chunk");
  CHECK(Name(StreamEnd(true, true)) == "no_last_chunk");
  CHECK(Name(StreamEnd(false, false)) == "in_order");
  CHECK(Name(StreamEnd(false, true)) == "reset");
  CHECK(Name(caller_end::kNone) == "none");
  CHECK(Name(caller_end::kLength) == "length");
}

TEST_CASE("answer_end/end_of_connection/is_never_whole")
{
  CHECK(JudgeEnd(answer_framing::kConnection) == answer_end::kOpenEnded);
  CHECK(JudgeEnd(answer_framing::kLength) == answer_end::kWhole);
  CHECK(JudgeEnd(answer_framing::kChunks) == answer_end::kWhole);
}

} // namespace
} // namespace thornhollow
