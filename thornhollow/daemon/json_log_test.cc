#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <doctest/doctest.h>

#include "thornhollow/daemon/json_log.h"

namespace thornhollow {
namespace {

struct captured_log
{
  std::vector<std::string> mLines;
  json_log mLog{ log_level::kInfo, [this](std::string_view aLine) {
                  mLines.emplace_back(aLine);
                } };
};

TEST_CASE_FIXTURE(captured_log, "json_log/field_with_quotes/is_one_json_line")
{
  mLog.Write(log_level::kInfo, "refused", { { "kind", "a\"b\nc" } });
  REQUIRE(mLines.size() == 1);
  CHECK(mLines[0].find('\n') == mLines[0].size() - 1);
  const auto read = boost::json::parse(mLines[0]);
  CHECK(read.at("kind").as_string() == "a\"b\nc");
  CHECK(read.at("event").as_string() == "refused");
}

TEST_CASE_FIXTURE(captured_log, "json_log/below_least_level/writes_nothing")
{
  mLog.Write(log_level::kDebug, "detail");
  CHECK(mLines.empty());
}

TEST_CASE_FIXTURE(captured_log, "json_log/same_event_repeated/is_bounded")
{
  // Guards against logging thousands of identical refusals per second under
  // overload, which would fill the log collector's storage and slow an instance
  // that is already short of CPU time.
  for (int line = 0; line < 1000; ++line) {
    mLog.Write(log_level::kInfo, "refused", { { "kind", "queue_full" } });
  }
  CHECK(mLines.size() < 100);
}

} // namespace
} // namespace thornhollow
