#include <doctest/doctest.h>

#include "thornhollow/daemon/relay_profile.h"

namespace thornhollow {
namespace {

struct prompt_of_three_parts
{
  prompt_of_three_parts()
  {
    mRequest.mPromptTokens = 1'000;
    mRequest.mParts = { { "system", 300 }, { "session", 200 }, { "own", 500 } };
    mRoute.mKind = request_kind::kResumableStream;
  }

  relay_request mRequest;
  route mRoute;
};

TEST_CASE_FIXTURE(prompt_of_three_parts,
                  "relay_profile/parts/all_but_the_last_are_shared")
{
  const request_profile profile = ProfileOf(mRequest, mRoute, 2);
  CHECK(profile.mTier == 2);
  CHECK(profile.mPromptTokens == 1'000);
  CHECK(profile.mSharedTokens == 500);
  CHECK(profile.mFirstBlockTokens == 300);
  CHECK(profile.mSharedPrefix != 0);
}

TEST_CASE_FIXTURE(prompt_of_three_parts,
                  "relay_profile/parts_beyond_the_prompt/are_bounded_by_it")
{
  mRequest.mPromptTokens = 250;
  const request_profile profile = ProfileOf(mRequest, mRoute, 2);
  CHECK(profile.mSharedTokens == 250);
  CHECK(profile.mFirstBlockTokens == 250);
}

TEST_CASE_FIXTURE(prompt_of_three_parts,
                  "relay_profile/metrics_class/names_tier_and_kind")
{
  CHECK(MetricsClass(mRoute, 3).Text() == "tier3_stream");
  mRoute.mKind = request_kind::kIdempotent;
  CHECK(MetricsClass(mRoute, 0).Text() == "tier0_whole");
}

} // namespace
} // namespace thornhollow
