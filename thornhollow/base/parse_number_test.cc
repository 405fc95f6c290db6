#include <cstdint>

#include <doctest/doctest.h>

#include "thornhollow/base/parse_number.h"

namespace thornhollow {
namespace {

TEST_CASE("parse_number/whole_text/is_read")
{
  CHECK(ParseNumber<std::uint32_t>("1500") == 1500);
  CHECK(ParseNumber<std::int64_t>("-3") == -3);
  CHECK(ParseNumber<double>("0.25") == 0.25);
}

TEST_CASE("parse_number/anything_beside_the_number/nothing")
{
  for (const char* each : { "", " 1", "1 ", "+1", "1x", "-1", "4294967296" }) {
    CHECK_FALSE(ParseNumber<std::uint32_t>(each));
  }
}

} // namespace
} // namespace thornhollow
