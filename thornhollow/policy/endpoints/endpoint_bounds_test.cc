#include <set>

#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/endpoint_bounds.h"

namespace thornhollow {
namespace {

constexpr time_point kNow{ Seconds(100) };
constexpr endpoint_process_hash kProcess = 7;
constexpr endpoint_bounds kTen{ .mRefusals = 10 };
constexpr endpoint_bounds kNone{};

TEST_CASE("endpoint_bounds/first_word_names_one/is_news")
{
  endpoint_bounds_memory memory;
  CHECK(memory.Find(kProcess) == nullptr);
  CHECK(memory.OnWord({ kProcess, kTen, kNow }));
  CHECK(*memory.Find(kProcess) == kTen);
  CHECK_FALSE(memory.OnWord({ kProcess, kTen, kNow + Seconds(1) }));
}

TEST_CASE("endpoint_bounds/first_word_names_none/is_known_and_no_news")
{
  endpoint_bounds_memory memory;
  CHECK_FALSE(memory.OnWord({ kProcess, kNone, kNow }));
  CHECK(*memory.Find(kProcess) == kNone);
  CHECK(memory.OnWord({ kProcess, kTen, kNow + Seconds(1) }));
}

// A late message of a peer must not bring back a bound that has ended.
TEST_CASE("endpoint_bounds/word_older_than_the_known_one/counts_for_nothing")
{
  endpoint_bounds_memory memory;
  memory.OnWord({ kProcess, kTen, kNow });
  CHECK(memory.OnWord({ kProcess, kNone, kNow + Seconds(2) }));
  CHECK_FALSE(memory.OnWord({ kProcess, kTen, kNow + Seconds(1) }));
  CHECK(*memory.Find(kProcess) == kNone);
}

TEST_CASE("endpoint_bounds/process_has_ended/is_unknown")
{
  endpoint_bounds_memory memory;
  memory.OnWord({ kProcess, kTen, kNow });
  memory.Forget(kProcess);
  CHECK(memory.Find(kProcess) == nullptr);
}

TEST_CASE("endpoint_bounds/words_for_peers/bounds_and_ends_of_late")
{
  endpoint_bounds_memory memory;
  memory.OnWord({ 1, kTen, kNow });
  memory.OnWord({ 2, kTen, kNow });
  memory.OnWord({ 2, kNone, kNow + Seconds(1) });
  CHECK(memory.Words(10, kNow + Seconds(2)).size() == 2);
  CHECK(memory.Words(10, kNow + Seconds(60)).size() == 1);
}

TEST_CASE("endpoint_bounds/more_words_than_a_message_holds/all_in_turn")
{
  endpoint_bounds_memory memory;
  for (endpoint_process_hash each = 1; each <= 5; ++each) {
    memory.OnWord({ each, kTen, kNow });
  }
  std::set<endpoint_process_hash> told;
  for (int message = 0; message < 3; ++message) {
    const auto words = memory.Words(2, kNow);
    CHECK(words.size() == 2);
    for (const bounds_word& each : words) {
      told.insert(each.mProcess);
    }
  }
  CHECK(told.size() == 5);
}

} // namespace
} // namespace thornhollow
