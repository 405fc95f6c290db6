#include <doctest/doctest.h>

#include "thornhollow/daemon/load_poller.h"

namespace thornhollow {
namespace {

constexpr time_point kArrival{ Seconds(100) };

TEST_CASE("load_report/as_published/dates_from_its_stated_age")
{
  const auto report = ReadLoadReport(
    R"({"running":3,"waiting":2,"slots":16,"kv_used":0.5,"step_ms":4,)"
    R"("leaving":false,"age_ms":700,"tokens_per_second":100.5,)"
    R"("warm_up_left_ms":2400})",
    kArrival);
  REQUIRE(report);
  CHECK(report->mRunning == 3);
  CHECK(report->mWaiting == 2);
  CHECK(report->mStep == Milliseconds(4));
  CHECK(report->mMeasuredAt == kArrival - Milliseconds(700));
  CHECK(report->mWarmUpLeft == Milliseconds(2'400));
}

TEST_CASE("load_report/other_text/is_none")
{
  for (const char* text : { "", "[]", "{}", "not found" }) {
    CHECK_FALSE(ReadLoadReport(text, kArrival));
  }
}

TEST_CASE("load_report/absurd_figures/are_clamped")
{
  // An endpoint that publishes a negative count or a negative age must not
  // appear to have unlimited capacity.
  const auto report =
    ReadLoadReport(R"({"running":-5,"waiting":1e30,"age_ms":-1e9,"step_ms":-1,)"
                   R"("warm_up_left_ms":1e30})",
                   kArrival);
  REQUIRE(report);
  CHECK(report->mRunning == 0);
  CHECK(report->mWaiting == 1'000'000);
  CHECK(report->mMeasuredAt == kArrival);
  CHECK(report->mStep == duration{});
  CHECK(report->mWarmUpLeft == Seconds(3'600));
}

// Guards against an age beyond 64 bits that is taken for none, which would let
// a report of unknown age appear fresh.
TEST_CASE("load_report/age_beyond_64_bits/is_the_longest")
{
  for (const char* age : { "1e19", "1e300", "18446744073709551615" }) {
    CAPTURE(age);
    const auto report = ReadLoadReport(
      std::string(R"({"running":1,"age_ms":)") + age + "}", kArrival);
    REQUIRE(report);
    CHECK(report->mMeasuredAt == kArrival - Seconds(3'600));
  }
}

TEST_CASE("load_report/deep_nesting/is_none")
{
  const std::string nested(100'000, '[');
  CHECK_FALSE(ReadLoadReport(nested, kArrival));
  CHECK_FALSE(ReadLoadReport(R"({"running":)" + nested, kArrival));
}

} // namespace
} // namespace thornhollow
