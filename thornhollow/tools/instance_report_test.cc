#include <doctest/doctest.h>

#include "thornhollow/tools/instance_report.h"

namespace thornhollow {
namespace {

struct instance_report_fixture
{
  instance_report mWhole{ .mName = instance_name("entry-1"),
                          .mDomain = domain_name("hall"),
                          .mReady = true,
                          .mDraining = false,
                          .mRevision = 41,
                          .mRefusedRevision = 42,
                          .mRefusedFaults = { "a.yaml:3: x" },
                          .mInProgress = 7,
                          .mPeersAlive = 3,
                          .mHeld = {
                            { "endpoints", 820, 12, std::nullopt, false } } };
};

// The text is what the daemon's operators' page writes.
TEST_CASE_FIXTURE(instance_report_fixture, "status/whole/every field read")
{
  CHECK(ParseInstanceReport(
          R"({"name":"entry-1","domain":"hall","ready":true,)"
          R"("draining":false,"revision":41,"refused_revision":42,)"
          R"("refused_faults":["a.yaml:3: x"],"in_progress":7,)"
          R"("peers_alive":3,"later":"ignored","held":[)"
          R"({"what":"endpoints","at":820,"count":12,"age_ms":null,)"
          R"("failing":false},7]})"
          "\n") == mWhole);
}

TEST_CASE_FIXTURE(instance_report_fixture,
                  "status/nothing in force/no revision")
{
  const auto read = ParseInstanceReport(
    R"({"name":"entry-1","domain":"hall","ready":false,"draining":false,)"
    R"("revision":null,"refused_revision":null,"refused_faults":[]})");
  REQUIRE(read.has_value());
  CHECK_FALSE(read->mRevision.has_value());
  CHECK_FALSE(read->mRefusedRevision.has_value());
}

TEST_CASE_FIXTURE(instance_report_fixture, "status/not such JSON/nothing")
{
  for (const char* text : { "", "[]", "{}", R"({"name":"a"})", "{\"name\":" }) {
    CAPTURE(text);
    CHECK_FALSE(ParseInstanceReport(text).has_value());
  }
}

} // namespace
} // namespace thornhollow
