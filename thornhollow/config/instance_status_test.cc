#include <doctest/doctest.h>

#include "thornhollow/config/instance_status.h"

namespace thornhollow {
namespace {

struct instance_status_fixture
{
  instance_status mStatus{
    .mName = instance_name("entry-1"),
    .mDomain = domain_name("hall"),
    .mReady = true,
    .mDraining = false,
    .mVersionInForce = 41,
    .mRefused = refused_revision{ 42, { "a.yaml:3: \"x\"", "b.yaml: y" } }
  };
};

TEST_CASE_FIXTURE(instance_status_fixture, "status/written and read/the same")
{
  CHECK(ParseStatusJson(StatusJson(mStatus)) == mStatus);
  mStatus.mVersionInForce.reset();
  mStatus.mRefused.reset();
  CHECK(ParseStatusJson(StatusJson(mStatus)) == mStatus);
}

TEST_CASE_FIXTURE(instance_status_fixture, "status/not its JSON/nothing")
{
  for (const char* text :
       { "",
         "[]",
         "{}",
         R"({"name":"a"})",
         R"({"name":"a","domain":"d","version_in_force":-1})",
         R"({"name":"a","domain":"d","version_in_force":"1"})" }) {
    CAPTURE(text);
    CHECK_FALSE(ParseStatusJson(text).has_value());
  }
}

} // namespace
} // namespace thornhollow
