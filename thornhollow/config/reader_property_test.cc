// Random texts and declarations from fixed seeds, the same on every run.

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <variant>

#include <doctest/doctest.h>

#include "thornhollow/config/bundle.h"
#include "thornhollow/config/internal/sample_declarations.h"
#include "thornhollow/config/settings.h"

namespace thornhollow {
namespace {

constexpr std::uint64_t kSeeds = 4000;

struct reader_property_fixture
{
  std::mt19937_64 mRandom;

  std::size_t Below(std::size_t aBound) { return mRandom() % aBound; }

  // A valid text with a few of its bytes, lines or words changed.
  std::string Mutated(std::string aText)
  {
    static const std::array<std::string, 16> kWords{
      "- ", "[",    "{", "}",  "]",   ":",  "\n",     "&a ",
      "*a", "null", "~", "-1", "1e9", "\"", "!!str ", "\xc3\x28"
    };
    const std::size_t changes = 1 + Below(3);
    for (std::size_t change = 0; change < changes; ++change) {
      const std::size_t at = Below(aText.size() + 1);
      switch (Below(6)) {
        case 0:
          aText.insert(at, kWords.at(Below(kWords.size())));
          break;
        case 1:
          aText.erase(at, Below(30));
          break;
        case 2:
          aText.insert(at, aText.substr(Below(aText.size() + 1), Below(200)));
          break;
        case 3:
          if (at < aText.size()) {
            aText[at] = static_cast<char>(Below(256));
          }
          break;
        default:
          // The mildest: another figure, often still within its bounds.
          if (const auto digit = aText.find_first_of("123456789", at);
              digit != std::string::npos) {
            aText[digit] = static_cast<char>('1' + Below(9));
          }
      }
    }
    return aText;
  }
};

// Whatever stands in a file, reading it ends, gives the same verdict twice, and
// what is accepted survives the way through a bundle unchanged.
TEST_CASE_FIXTURE(reader_property_fixture, "declarations/any text/one verdict")
{
  const std::string valid =
    internal::SampleWithoutTeams() + internal::SampleTeams(3);
  std::size_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    mRandom.seed(seed);
    const std::vector<source_file> files{ { "a.yaml", Mutated(valid) } };
    const auto verdict = ReadDeclarations(files);
    REQUIRE(verdict == ReadDeclarations(files));
    if (const auto* declared = std::get_if<declarations>(&verdict)) {
      ++accepted;
      const bundle made = MakeBundle(*declared);
      const auto read = ReadBundle(made);
      REQUIRE(std::holds_alternative<declarations>(read));
      REQUIRE(MakeBundle(std::get<declarations>(read)) == made);
    } else {
      REQUIRE_FALSE(std::get<faults>(verdict).empty());
    }
  }
  // The mutations reach both sides.
  CHECK(accepted > kSeeds / 100);
  CHECK(accepted < kSeeds / 2);
}

TEST_CASE_FIXTURE(reader_property_fixture, "manifest/any text/one verdict")
{
  const bundle made =
    MakeBundle(std::get<declarations>(ReadDeclarations(std::vector<source_file>{
      { "a", internal::SampleWithoutTeams() + internal::SampleTeams(3) } })));
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    mRandom.seed(seed);
    bundle changed = made;
    if (Below(2) == 0) {
      changed.mManifest = Mutated(changed.mManifest);
    } else {
      auto& part = changed.mParts.at(Below(changed.mParts.size())).mText;
      part = Mutated(part);
    }
    const auto verdict = ReadBundle(changed);
    // Parts are named by digest: other bytes never pass for them.
    if (changed.mManifest == made.mManifest && changed != made) {
      REQUIRE(std::holds_alternative<faults>(verdict));
    }
  }
}

TEST_CASE_FIXTURE(reader_property_fixture, "settings/any text/one verdict")
{
  const std::string valid = "name: entry-1\n"
                            "domain: hall\n"
                            "caller_address: 127.0.0.1:18001\n"
                            "operator_address: 127.0.0.1:18101\n"
                            "peer_address: 127.0.0.1:18201\n"
                            "platform_address: 127.0.0.1:18501\n"
                            "peer_key_file: key.hex\n"
                            "limits: {max_body_bytes: 4096}\n";
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    mRandom.seed(seed);
    const source_file file{ "daemon.yaml", Mutated(valid) };
    const auto verdict = ReadSettings(file);
    REQUIRE(verdict == ReadSettings(file));
    if (const auto* found = std::get_if<faults>(&verdict)) {
      REQUIRE_FALSE(found->empty());
    }
  }
}

} // namespace
} // namespace thornhollow
