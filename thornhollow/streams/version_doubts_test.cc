#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/streams/version_doubts.h"

namespace thornhollow {
namespace {

constexpr duration kDelay = Seconds(3);
const endpoint_name kEndpoint("i-1");

struct endpoint_with_a_sign
{
  version_doubts mDoubts{ kDelay };
  time_point mNow{ Seconds(100) };

  endpoint_with_a_sign() { CHECK(mDoubts.OnSign(kEndpoint, mNow)); }
};

TEST_CASE_FIXTURE(endpoint_with_a_sign,
                  "version_doubts/source_answers_for_long/doubt_ends")
{
  CHECK(mDoubts.TakeCleared(mNow + kDelay - Milliseconds(1)).empty());
  CHECK(mDoubts.IsDoubted(kEndpoint));
  CHECK(mDoubts.TakeCleared(mNow + kDelay) ==
        std::vector<endpoint_name>{ kEndpoint });
  CHECK_FALSE(mDoubts.IsDoubted(kEndpoint));
}

// While the source can't be written, the entry stays the old one.
TEST_CASE_FIXTURE(endpoint_with_a_sign,
                  "version_doubts/source_silent/doubt_lasts")
{
  CHECK(mDoubts.TakeCleared(mNow - Seconds(1)).empty());
  CHECK(mDoubts.IsDoubted(kEndpoint));
}

TEST_CASE_FIXTURE(endpoint_with_a_sign,
                  "version_doubts/another_sign/delay_begins_anew")
{
  CHECK_FALSE(mDoubts.OnSign(kEndpoint, mNow + Seconds(2)));
  CHECK(mDoubts.TakeCleared(mNow + kDelay).empty());
  CHECK(mDoubts.TakeCleared(mNow + Seconds(2) + kDelay).size() == 1);
}

TEST_CASE_FIXTURE(endpoint_with_a_sign,
                  "version_doubts/listed_as_a_new_process/doubt_ends")
{
  mDoubts.OnListed(kEndpoint);
  CHECK_FALSE(mDoubts.IsDoubted(kEndpoint));
}

} // namespace
} // namespace thornhollow
