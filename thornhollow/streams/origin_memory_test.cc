#include <cstdint>

#include <doctest/doctest.h>

#include "thornhollow/streams/origin_memory.h"

namespace thornhollow {
namespace {

constexpr duration kRetention = Seconds(25);
constexpr endpoint_version_hash kOld = 1;
constexpr endpoint_version_hash kNew = 2;

struct memory_of_one_stream
{
  origin_memory mMemory{ kRetention };
  time_point mNow{ Seconds(100) };
  stream_key mStream{ 7 };

  memory_of_one_stream() { mMemory.Put({ mStream, kOld }, mNow); }
};

TEST_CASE_FIXTURE(memory_of_one_stream, "origin_memory/put/is_found")
{
  CHECK(mMemory.Find(mStream) == kOld);
  CHECK_FALSE(mMemory.Find({ 8 }));
}

// Two instances differ: a stream must not go on at either version.
TEST_CASE_FIXTURE(memory_of_one_stream,
                  "origin_memory/two_versions_told/version_unknown_for_good")
{
  mMemory.Put({ mStream, kNew }, mNow);
  CHECK(mMemory.Find(mStream) == kUnknownVersion);
  mMemory.Put({ mStream, kOld }, mNow);
  CHECK(mMemory.Find(mStream) == kUnknownVersion);
}

TEST_CASE_FIXTURE(memory_of_one_stream,
                  "origin_memory/put_again/retention_begins_anew")
{
  mNow += kRetention - Milliseconds(1);
  mMemory.Tick(mNow);
  mMemory.Put({ mStream, kOld }, mNow);
  mNow += kRetention - Milliseconds(1);
  mMemory.Tick(mNow);
  CHECK(mMemory.Find(mStream) == kOld);
  mMemory.Tick(mNow + Milliseconds(1));
  CHECK_FALSE(mMemory.Find(mStream));
  CHECK(mMemory.size() == 0);
}

TEST_CASE_FIXTURE(memory_of_one_stream,
                  "origin_memory/more_than_its_bound/drops_the_oldest")
{
  for (std::uint64_t each = 100; each < 100 + origin_memory::kMaxEntries;
       ++each) {
    mMemory.Put({ { each }, kNew }, mNow);
  }
  CHECK(mMemory.size() == origin_memory::kMaxEntries);
  CHECK_FALSE(mMemory.Find(mStream));
  CHECK(mMemory.Find({ 100 }) == kNew);
}

TEST_CASE("stream_key/teams_and_submissions/have_keys_of_their_own")
{
  const team_name office("office");
  const request_id first("r1");
  CHECK(StreamKeyOf(office, first) == StreamKeyOf(office, first));
  CHECK(StreamKeyOf(office, first) != StreamKeyOf(team_name("other"), first));
  CHECK(StreamKeyOf(office, first) != StreamKeyOf(office, request_id("r2")));
  CHECK(StreamKeyOf(office, first) != StreamKeyOf(team_name(), first));
  CHECK(StreamKeyOf(office, request_id()) == kUnnamedStream);
}

} // namespace
} // namespace thornhollow
