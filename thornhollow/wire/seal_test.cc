#include <string>

#include <doctest/doctest.h>

#include "thornhollow/wire/seal.h"

namespace thornhollow {
namespace {

struct sealed_link
{
  std::string mKey = "a key of sixteen bytes or more";
  instance_name mLeft{ "left" };
  instance_name mRight{ "right" };
  sealer mSeal{ mKey, mLeft, 10 };
  opener mOpen{ mKey, mRight };

  bool Opens(const std::string& aBytes)
  {
    return static_cast<bool>(mOpen.Open(aBytes));
  }
};

TEST_CASE_FIXTURE(sealed_link, "seal/own_key/opens_with_its_sender")
{
  const auto opened = mOpen.Open(mSeal.Seal(mRight, "payload")).value();
  CHECK(opened == opened_message{ mLeft, 10, "payload" });
}

TEST_CASE_FIXTURE(sealed_link, "seal/largest_overhead/is_within_its_bound")
{
  sealer late(mKey, mLeft, ~std::uint64_t{ 0 } >> 1);
  CHECK(late.Seal(mRight, std::string(900, 'x')).size() <=
        900 + mLeft.Text().size() + kMaxSealBytes);
}

TEST_CASE_FIXTURE(sealed_link, "seal/any_changed_byte/is_refused")
{
  const std::string whole = mSeal.Seal(mRight, "payload");
  for (std::size_t at = 0; at < whole.size(); ++at) {
    std::string changed = whole;
    changed[at] = static_cast<char>(changed[at] ^ 1);
    CHECK_FALSE(Opens(changed));
    CHECK_FALSE(Opens(whole.substr(0, at)));
  }
  CHECK(Opens(whole));
}

TEST_CASE_FIXTURE(sealed_link, "seal/other_key_or_recipient/is_refused")
{
  sealer other("another key, as long as it", mLeft, 11);
  CHECK_FALSE(Opens(other.Seal(mRight, "payload")));
  CHECK_FALSE(Opens(mSeal.Seal(instance_name("third"), "payload")));
}

TEST_CASE_FIXTURE(sealed_link, "seal/message_sent_again/is_refused")
{
  // A switch repeats a datagram, or someone records one and sends it later.
  // Handled twice, an old claim or an old member state would come back.
  const std::string first = mSeal.Seal(mRight, "first");
  const std::string second = mSeal.Seal(mRight, "second");
  CHECK(Opens(second));
  CHECK(Opens(first));
  CHECK_FALSE(Opens(first));
  CHECK_FALSE(Opens(second));
}

TEST_CASE_FIXTURE(sealed_link, "seal/older_than_the_window/is_refused")
{
  const std::string first = mSeal.Seal(mRight, "first");
  for (int count = 0; count < 1024; ++count) {
    CHECK(Opens(mSeal.Seal(mRight, "later")));
  }
  CHECK_FALSE(Opens(first));
}

TEST_CASE_FIXTURE(sealed_link, "seal/sender_restarted/old_process_is_refused")
{
  const std::string old = mSeal.Seal(mRight, "old");
  sealer restarted(mKey, mLeft, 11);
  CHECK(Opens(restarted.Seal(mRight, "new")));
  CHECK_FALSE(Opens(old));
  CHECK(Opens(restarted.Seal(mRight, "newer")));
}

} // namespace
} // namespace thornhollow
