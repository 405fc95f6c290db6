#include <doctest/doctest.h>

#include "thornhollow/daemon/operators_page.h"

namespace thornhollow {
namespace {

struct operators_request
{
  whole_reply Answer(const char* aMethod, const char* aPath) const
  {
    return OperatorsPage({ aMethod, aPath, {}, "" }, mStatus, mMetrics);
  }

  instance_status mStatus;
  metrics mMetrics;
};

TEST_CASE_FIXTURE(operators_request, "operators_page/not_ready/says_503")
{
  CHECK(Answer("GET", "/ready").mHttpStatus == 503);
  mStatus.mReady = true;
  CHECK(Answer("GET", "/ready").mHttpStatus == 200);
}

TEST_CASE_FIXTURE(operators_request, "operators_page/nothing_in_force/is_null")
{
  CHECK(Answer("GET", "/status").mBody.find("\"revision\":null") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(operators_request, "operators_page/other_requests/refused")
{
  CHECK(Answer("GET", "/elsewhere").mHttpStatus == 404);
  CHECK(Answer("POST", "/metrics").mHttpStatus == 405);
  CHECK(Answer("HEAD", "/metrics").mHttpStatus == 200);
}

} // namespace
} // namespace thornhollow
