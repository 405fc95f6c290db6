#include <array>
#include <string_view>

#include <doctest/doctest.h>

#include "thornhollow/base/hash.h"

namespace thornhollow {
namespace {

struct rendezvous
{
  std::array<std::string_view, 4> mNames{ "a", "b", "c", "d" };
};

TEST_CASE_FIXTURE(rendezvous, "rendezvous/one_name_removed/others_keep_order")
{
  for (std::uint64_t key = 0; key < 64; ++key) {
    const auto all = RankByRendezvous(key, mNames);
    const std::array<std::string_view, 3> fewer{ "a", "b", "c" };
    const auto left = RankByRendezvous(key, fewer);
    std::vector<std::size_t> expected;
    for (const std::size_t index : all) {
      if (index != 3) {
        expected.push_back(index);
      }
    }
    CHECK(left == expected);
  }
}

TEST_CASE("hash64/known_text/is_stable_over_builds")
{
  CHECK(Hash64("thornhollow") == Hash64("thornhollow"));
  CHECK(Hash64("") == 0x2d06800538d394c2ULL);
}

} // namespace
} // namespace thornhollow
