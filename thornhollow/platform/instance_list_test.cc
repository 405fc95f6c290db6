#include <doctest/doctest.h>

#include "thornhollow/platform/instance_list.h"

namespace thornhollow {
namespace {

TEST_CASE("instance_list/routers_and_endpoints/are_read")
{
  const auto list = ReadInstanceList(
    R"({"instances":[{"name":"w1","role":"router","domain":"d","address":)"
    R"("127.0.0.1:1","peer_address":"127.0.0.1:2","state":"live"},)"
    R"({"name":"e1","role":"endpoint","domain":"d","address":"127.0.0.1:3",)"
    R"("state":"leaving"},{"name":"x","role":"other"}]})");
  REQUIRE(list);
  REQUIRE(list->size() == 2);
  CHECK((*list)[0].mPeerAddress == "127.0.0.1:2");
  CHECK((*list)[1].mLeaving);
}

TEST_CASE("instance_list/text_of_another_shape/is_no_list")
{
  for (const char* text : { "", "[]", "{}", R"({"instances":[1]})" }) {
    CHECK_FALSE(ReadInstanceList(text));
  }
}

} // namespace
} // namespace thornhollow
