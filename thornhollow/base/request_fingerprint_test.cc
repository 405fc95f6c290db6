#include <doctest/doctest.h>

#include "thornhollow/base/request_fingerprint.h"

namespace thornhollow {
namespace {

const request_content kContent{ .mMethod = "POST",
                                .mTarget = "/p/x?a=1",
                                .mTeam = "office",
                                .mBody = "body" };

TEST_CASE("request_fingerprint/same_content/is_equal")
{
  CHECK(FingerprintOf(kContent) == FingerprintOf(kContent));
  CHECK(Text(FingerprintOf(kContent)).size() == 16);
}

TEST_CASE("request_fingerprint/any_part_differs/is_another")
{
  const request_fingerprint own = FingerprintOf(kContent);
  request_content other = kContent;
  other.mMethod = "PUT";
  CHECK(FingerprintOf(other) != own);
  other = kContent;
  other.mTarget = "/p/x?a=2";
  CHECK(FingerprintOf(other) != own);
  other = kContent;
  other.mTeam = "";
  CHECK(FingerprintOf(other) != own);
  other = kContent;
  other.mBody = "";
  CHECK(FingerprintOf(other) != own);
}

TEST_CASE("request_fingerprint/text_moved_to_the_next_part/is_another")
{
  request_content moved = kContent;
  moved.mTeam = "offic";
  moved.mBody = "ebody";
  CHECK(FingerprintOf(moved) != FingerprintOf(kContent));
}

} // namespace
} // namespace thornhollow
