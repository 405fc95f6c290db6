#include <random>
#include <string>
#include <vector>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include "thornhollow/platform/document_reader.h"
#include "thornhollow/platform/endpoint_reader.h"
#include "thornhollow/platform/store_client.h"

namespace thornhollow::platform {
namespace {

constexpr const char* kDocument = R"({"version":7,"new_field":1,"routes":[
 {"name":"r1","host":"a.example","path_prefix":"/p/","kind":"streaming",
  "timeout_ms":15000,"target_latency_ms":2000,"priority":2,
  "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
  "max_attempts":2,"anonymous_access":true,"stream_resumption":true,
  "gap_target_ms":800.5},
 {"name":"r2","host":"a.example","path_prefix":"/q/","kind":"non_idempotent",
  "timeout_ms":1200,"service":"s2"}],
 "services":[{"name":"s1","connection_limit":360,"engine":{"slots":64,
  "kv_cache_tokens":627148,"stride":5}},{"name":"s2"}],
 "limits":{"max_header_bytes":8192,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})";

constexpr const char* kEntryText =
  R"({"service":"s1","address":"10.1.2.3:80","zone":"z","version":"v1",
 "slots":64,"state":"ready","cold_remaining_ms":0,"sequence_number":4,
 "born":1700000000000,"models":[]})";

template<class value>
std::optional<value>
Read(result<value> aResult)
{
  return boost::leaf::try_handle_all(
    [&]() -> result<std::optional<value>> {
      BOOST_LEAF_AUTO(read, std::move(aResult));
      return std::optional<value>(std::move(read));
    },
    [] { return std::optional<value>(); });
}

// `aText` with one to four random insertions, deletions or replacements.
std::string
Corrupted(std::string aText, std::mt19937_64& aRandom)
{
  for (std::uint64_t remaining = 1 + aRandom() % 4; remaining > 0;
       --remaining) {
    const std::size_t position = aRandom() % aText.size();
    switch (aRandom() % 3) {
      case 0:
        aText[position] = static_cast<char>(aRandom());
        break;
      case 1:
        aText.erase(position, 1 + aRandom() % 5);
        break;
      default:
        aText.insert(position, 1, "{}[]\",:0-9e"[aRandom() % 11]);
    }
  }
  return aText;
}

TEST_CASE("document_reader/whole_document/is_read_into_its_fields")
{
  const auto read = Read(ReadDocument(kDocument));
  REQUIRE(read.has_value());
  CHECK(read->mVersion == 7);
  REQUIRE(read->mRoutes.size() == 2);
  const route& first = read->mRoutes[0];
  CHECK(first.mKind == request_kind::kResumableStream);
  CHECK(first.mPools == std::vector<pool_weight>{ { pool_name("s1"), 90 },
                                                  { pool_name("s2"), 10 } });
  CHECK(first.mTarget == Seconds(2));
  CHECK(first.mEventGapTarget == std::chrono::microseconds(800'500));
  CHECK(first.mAnonymous);
  const route& second = read->mRoutes[1];
  CHECK(second.mKind == request_kind::kAtMostOnce);
  CHECK(second.mMaxAttempts == 1);
  CHECK(second.mTarget == Milliseconds(1200));
  CHECK(read->mPools[0].mEngine->mTokensPerEvent == 5);
  CHECK_FALSE(read->mPools[1].mEngine.has_value());
  CHECK(read->mTokensRequired);
  CHECK(read->mTeams[0].mTokens.size() == 2);
  CHECK(read->mTeams[0].mTier == 1);
  CHECK(read->mCallers.mMaxHeaderBytes == 8192);
  CHECK(read->mCallers.mIdleTimeout == Seconds(15));
}

TEST_CASE("document_reader/unknown_kind/is_taken_for_the_strictest")
{
  std::string text = kDocument;
  text.replace(text.find("non_idempotent"), 14, "some_new_kinds");
  const auto read = Read(ReadDocument(text));
  REQUIRE(read.has_value());
  CHECK(read->mRoutes[1].mKind == request_kind::kAtMostOnce);
}

TEST_CASE("document_reader/needed_field_missing/refuses_the_whole")
{
  for (const char* field : { "\"version\"",
                             "\"routes\"",
                             "\"path_prefix\"",
                             "\"timeout_ms\"",
                             "\"api_keys\"" }) {
    std::string text = kDocument;
    text.insert(text.find(field) + 1, "x_");
    CHECK_FALSE(Read(ReadDocument(text)).has_value());
  }
}

// What a pool declares of its endpoints' warm-up; other pools declare none.
TEST_CASE("document_reader/warm_up/is_read_as_length_and_rate")
{
  const auto warmUp = [](const std::string& aFields) {
    const auto read = Read(ReadDocument(
      R"({"version":1,"routes":[],"services":[{"name":"s")" + aFields + "}]}"));
    return read ? std::optional(read->mPools.at(0).mWarmUp) : std::nullopt;
  };
  CHECK(warmUp(R"(,"cold_start_s":3.0,"cold_per_s":7.6)") ==
        warm_up_spec{ Seconds(3), 7.6 });
  CHECK(warmUp("") == warm_up_spec{});
  for (const char* each : { R"(,"cold_per_s":-1)",
                            R"(,"cold_per_s":1e300)",
                            R"(,"cold_per_s":"many")",
                            R"(,"cold_start_s":-3)" }) {
    CAPTURE(each);
    CHECK_FALSE(warmUp(each));
  }
}

// Guards against a key that is taken for a domain, or that names none.
TEST_CASE("document_reader/key_of_a_domain/names_it")
{
  const auto domain = [](const char* aKey) {
    return Read(ReadOutOfService(aKey));
  };
  CHECK(domain("op/evacuate/hall") == std::optional(domain_name("hall")));
  REQUIRE(domain("op/config").has_value());
  CHECK_FALSE(domain("op/config")->has_value());
  CHECK_FALSE(domain("op/evacuate/").has_value());
}

TEST_CASE("endpoint_reader/whole_entry/is_read_into_its_fields")
{
  const auto read = Read(ReadEndpoint("servers/i-7", kEntryText));
  REQUIRE(read.has_value());
  CHECK(read->mName == endpoint_name("i-7"));
  CHECK(read->mPool == pool_name("s1"));
  CHECK(read->mAddress == "10.1.2.3:80");
  CHECK(read->mStartedMs == 1700000000000);
  CHECK(read->mVersion == software_version("v1"));
  CHECK_FALSE(read->mDraining);
}

TEST_CASE("endpoint_reader/report/states_the_start_time_or_none")
{
  CHECK(Read(ReadStartTime(R"({"stage":"combined","born":1700000000000})")) ==
        1700000000000);
  CHECK(Read(ReadStartTime(R"({"stage":"combined"})")) == 0);
  CHECK_FALSE(Read(ReadStartTime(R"({"born":"yesterday"})")).has_value());
  CHECK_FALSE(Read(ReadStartTime("not a report")).has_value());
}

TEST_CASE("endpoint_reader/entry_of_another_writer/names_no_endpoint")
{
  // Guards against sending requests to an address where no endpoint of the pool
  // listens, because another program wrote its own entry under the same prefix.
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
         { "\"ready\"", "\"warming\"" },
         { "\"ready\"", "1" },
         { "\"10.1.2.3:80\"", "\"somewhere\"" },
         { "\"10.1.2.3:80\"", "null" },
         { "64", "\"64\"" },
         { "64", "-1" },
         { "1700000000000", "1.5" },
         { "\"zone\"", "\"area\"" },
         { "\"version\"", "\"release\"" },
         { "\"v1\"", "1" },
         { "\"sequence_number\"", "\"seq\"" } }) {
    std::string text = kEntryText;
    text.replace(text.find(from), from.size(), to);
    CHECK_FALSE(Read(ReadEndpoint("servers/i-7", text)).has_value());
  }
  CHECK_FALSE(Read(ReadEndpoint("servers/i-7", "\xff\x00")).has_value());
  CHECK_FALSE(Read(ReadEndpoint("servers/", kEntryText)).has_value());
}

TEST_CASE("store_client/page_and_changes/are_decoded")
{
  const auto page = Read(ReadStorePage(
    R"({"entries":[{"key":"a","value":"eHl6","revision":4},
      {"key":"b","value":"eA==","revision":5}],"has_more":true,"at":9})"));
  REQUIRE(page.has_value());
  CHECK(page->mListing.mRevision == 9);
  CHECK(page->mListing.mItems ==
        std::vector<source_item>{ { "a", "xyz", 4 }, { "b", "x", 5 } });
  CHECK(page->mNextPageAfter == "b");
  const auto changes = Read(ReadStoreChanges(
    R"({"events":[{"key":"a","value":"","revision":10},
      {"key":"b","revision":11,"is_deleted":true}],"at":11})"));
  REQUIRE(changes.has_value());
  CHECK(changes->mChanges ==
        std::vector<item_change>{ { "a", "", 10 }, { "b", std::nullopt, 11 } });
}

TEST_CASE("store_client/value_that_is_no_base64/is_an_empty_value")
{
  // A value that is not valid base64 must not make the other entries
  // unreadable.
  const auto page = Read(ReadStorePage(
    R"({"entries":[{"key":"a","value":"!!!","revision":4}],"at":9})"));
  REQUIRE(page.has_value());
  CHECK(page->mListing.mItems[0].mValue.empty());
}

// Guards against a value whose parsing or destruction recurses once for each
// nested level and exhausts the stack.
TEST_CASE("readers/deep_nesting/is_refused")
{
  constexpr std::size_t kLevels = 100'000;
  std::string arrays(kLevels, '[');
  std::string objects;
  std::string mixed;
  for (std::size_t level = 0; level < kLevels; ++level) {
    objects += R"({"a":)";
    mixed += R"([{"a":)";
  }
  const std::string closed = arrays + std::string(kLevels, ']');
  for (const std::string& nested : { arrays, objects, mixed, closed }) {
    for (const std::string& text :
         { nested, R"({"version":1,"entries":)" + nested + "}" }) {
      CHECK_FALSE(Read(ReadDocument(text)).has_value());
      CHECK_FALSE(Read(ReadEndpoint("servers/i", text)).has_value());
      CHECK_FALSE(Read(ReadStartTime(text)).has_value());
      CHECK_FALSE(Read(ReadStorePage(text)).has_value());
      CHECK_FALSE(Read(ReadStoreChanges(text)).has_value());
    }
  }
}

// Guards against a number that wraps round or is cut when it is stored in a
// narrower type.
TEST_CASE("endpoint_reader/number_out_of_range/refuses_the_entry")
{
  for (const char* each : { "-1",
                            "1e400",
                            "-1e400",
                            "1e19",
                            "18446744073709551616",
                            "18446744073709551615",
                            "9223372036854775808",
                            "31556889864403200000" }) {
    CAPTURE(each);
    std::string text = kEntryText;
    text.replace(text.find("1700000000000"), 13, each);
    CHECK_FALSE(Read(ReadEndpoint("servers/i-7", text)).has_value());
    CHECK_FALSE(Read(ReadStartTime(text)).has_value());
  }
  for (const char* each : { "-1", "1e400", "18446744073709551616" }) {
    CAPTURE(each);
    for (const char* field : { "\"slots\":64",
                               "\"cold_remaining_ms\":0",
                               "\"sequence_number\":4" }) {
      std::string text = kEntryText;
      const std::size_t value =
        text.find(field) + std::string(field).rfind(':');
      text.replace(value + 1, text.find(',', value) - value - 1, each);
      CHECK_FALSE(Read(ReadEndpoint("servers/i-7", text)).has_value());
    }
  }
}

TEST_CASE("endpoint_reader/port_out_of_range/refuses_the_entry")
{
  for (const char* each :
       { ":0", ":65536", ":7e4", ":80x", ":", "", ":-1", ":+80", ": 80" }) {
    CAPTURE(each);
    std::string text = kEntryText;
    text.replace(text.find(":80\""), 3, each);
    CHECK_FALSE(Read(ReadEndpoint("servers/i-7", text)).has_value());
  }
}

// Guards against an endpoint's name that adds fields to the requests that are
// sent to it.
TEST_CASE("endpoint_reader/name_of_other_characters/is_refused")
{
  for (const char* each : { "servers/a\r\nX: y",
                            "servers/a\nb",
                            "servers/a b",
                            "servers/\xc3\xa9",
                            "servers/\xff",
                            "servers/a\x7f" }) {
    CAPTURE(each);
    CHECK_FALSE(Read(ReadEndpoint(each, kEntryText)).has_value());
  }
}

// Guards against one field that fills the log and the messages to peers.
TEST_CASE("endpoint_reader/huge_field/refuses_the_entry")
{
  const std::string huge(100'000, 'x');
  for (const std::string field :
       { "\"s1\"", "\"10.1.2.3:80\"", "\"z\"", "\"v1\"" }) {
    CAPTURE(field);
    std::string text = kEntryText;
    text.replace(text.find(field), field.size(), '"' + huge + '"');
    CHECK_FALSE(Read(ReadEndpoint("servers/i-7", text)).has_value());
  }
  CHECK_FALSE(Read(ReadEndpoint("servers/" + huge, kEntryText)).has_value());
}

// Guards against a store page that is refused as a whole, so that the list is
// no longer followed, because one key on it isn't UTF-8.
TEST_CASE("store_client/key_that_is_no_utf_8/leaves_the_others_readable")
{
  for (const std::string key : { "servers/\xff",
                                 "servers/\xc3",
                                 R"(servers/\udcff)",
                                 R"(servers/\ud800x)" }) {
    CAPTURE(key);
    const std::string items =
      R"([{"key":")" + key + R"(","value":"eHl6","revision":4},)" +
      R"({"key":"servers/b","value":"eA==","revision":5}])";
    const auto page =
      Read(ReadStorePage(R"({"at":9,"entries":)" + items + "}"));
    REQUIRE(page.has_value());
    REQUIRE(page->mListing.mItems.size() == 2);
    CHECK(page->mListing.mItems[1].mKey == "servers/b");
    CHECK_FALSE(Read(ReadEndpoint(page->mListing.mItems[0].mKey, kEntryText))
                  .has_value());
    const auto changes =
      Read(ReadStoreChanges(R"({"at":9,"events":)" + items + "}"));
    REQUIRE(changes.has_value());
    CHECK(changes->mChanges.size() == 2);
  }
}

TEST_CASE("readers/random_bytes/end_in_a_value_or_a_refusal")
{
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937_64 random(seed);
    Read(ReadDocument(Corrupted(kDocument, random)));
    if (const auto entry =
          Read(ReadEndpoint("servers/i", Corrupted(kEntryText, random)))) {
      CHECK_FALSE(entry->mAddress.empty());
    }
    Read(ReadStartTime(Corrupted(kEntryText, random)));
    Read(ReadStorePage(
      Corrupted(R"({"entries":[],"has_more":false,"at":9})", random)));
  }
}

} // namespace
} // namespace thornhollow::platform
