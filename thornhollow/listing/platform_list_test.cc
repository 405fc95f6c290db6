#include <doctest/doctest.h>

#include "thornhollow/listing/platform_list.h"

namespace thornhollow {
namespace {

TEST_CASE("platform_list/routers_and_endpoints/are_read")
{
  const auto list = ReadPlatformList(
    R"({"instances":[{"name":"w1","role":"router","domain":"d","address":)"
    R"("127.0.0.1:1","peer_address":"127.0.0.1:2","state":"live"},)"
    R"({"name":"e1","role":"endpoint","domain":"d","address":"127.0.0.1:3",)"
    R"("state":"leaving"},{"name":"x","role":"other"}]})",
    7);
  REQUIRE(list);
  CHECK(list->mRouters.mVersion == 7);
  REQUIRE(list->mRouters.mInstances.size() == 1);
  CHECK(list->mRouters.mInstances[0].mAddress == "127.0.0.1:2");
  CHECK(list->mEndpoints ==
        std::vector<platform_endpoint>{ { endpoint_name("e1"), true } });
}

TEST_CASE("platform_list/text_of_another_shape/is_no_list")
{
  for (const char* text : { "", "[]", "{}", R"({"instances":[1]})" }) {
    CHECK_FALSE(ReadPlatformList(text, 1));
  }
}

TEST_CASE("platform_list/deep_nesting/is_no_list")
{
  const std::string nested(100'000, '[');
  CHECK_FALSE(ReadPlatformList(nested, 1));
  CHECK_FALSE(ReadPlatformList(R"({"instances":)" + nested, 1));
}

} // namespace
} // namespace thornhollow
