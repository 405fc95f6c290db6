#include <doctest/doctest.h>

#include "thornhollow/daemon/final_refusal.h"

namespace thornhollow {
namespace {

TEST_CASE("final_refusal/may_be_behind/what_rests_on_configuration_is_withheld")
{
  metrics counted;
  for (const error_kind each : { error_kind::kUnknownPath,
                                 error_kind::kUnauthenticated,
                                 error_kind::kClassNotAllowed,
                                 error_kind::kUnknownModel }) {
    CHECK(FinalIfCurrent(each, true, counted) == error_kind::kNotReady);
    CHECK(FinalIfCurrent(each, false, counted) == each);
  }
}

TEST_CASE("final_refusal/may_be_behind/what_the_request_shows_is_refused")
{
  metrics counted;
  for (const error_kind each :
       { error_kind::kMalformedRequest, error_kind::kKeyAlreadyUsed }) {
    CHECK(FinalIfCurrent(each, true, counted) == each);
  }
}

} // namespace
} // namespace thornhollow
