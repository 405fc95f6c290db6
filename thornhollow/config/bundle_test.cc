#include <algorithm>
#include <set>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "thornhollow/config/bundle.h"
#include "thornhollow/config/internal/sample_declarations.h"
#include "thornhollow/config/sha256.h"

namespace thornhollow {
namespace {

struct bundle_fixture
{
  static declarations Sample(std::size_t aTeams)
  {
    auto verdict = ReadDeclarations(
      std::vector<source_file>{ { "a", internal::SampleWithoutTeams() },
                                { "b", internal::SampleTeams(aTeams) } });
    REQUIRE(std::holds_alternative<declarations>(verdict));
    return std::get<declarations>(std::move(verdict));
  }

  // Bytes of the parts of `aNew` that `aOld` lacks.
  static std::size_t Moved(const bundle& aOld,
                           const bundle& aNew,
                           std::size_t& aCount)
  {
    std::set<std::string> held;
    for (const bundle_part& part : aOld.mParts) {
      held.insert(part.mDigest);
    }
    std::size_t bytes = 0;
    aCount = 0;
    for (const bundle_part& part : aNew.mParts) {
      if (!held.contains(part.mDigest)) {
        bytes += part.mText.size();
        ++aCount;
      }
    }
    return bytes;
  }

  static const faults& Faults(const read_verdict& aVerdict)
  {
    REQUIRE(std::holds_alternative<faults>(aVerdict));
    return std::get<faults>(aVerdict);
  }
};

TEST_CASE_FIXTURE(bundle_fixture, "bundle/read back/the same declarations")
{
  const declarations sample = Sample(500);
  const bundle made = MakeBundle(sample);
  const auto verdict = ReadBundle(made);
  REQUIRE(std::holds_alternative<declarations>(verdict));
  const auto& read = std::get<declarations>(verdict);
  CHECK(read.mTeams.size() == sample.mTeams.size());
  CHECK(MakeBundle(read) == made);
  for (const team& each : sample.mTeams) {
    const team* found = FindTeam(read, each.mName);
    REQUIRE(found != nullptr);
    CHECK(*found == each);
  }
}

TEST_CASE_FIXTURE(bundle_fixture, "bundle/items in another order/same bytes")
{
  declarations sample = Sample(500);
  const bundle made = MakeBundle(sample);
  std::ranges::reverse(sample.mTeams);
  std::ranges::reverse(sample.mEndpoints);
  std::ranges::reverse(sample.mLevels);
  CHECK(MakeBundle(sample) == made);
}

TEST_CASE_FIXTURE(bundle_fixture, "bundle/one team changed/one part moves")
{
  declarations sample = Sample(11'000);
  const bundle before = MakeBundle(sample);
  sample.mTeams[4711].mWeight = 7;
  const bundle after = MakeBundle(sample);
  std::size_t count = 0;
  CHECK(Moved(before, after, count) <= kSplitBytes + 1024);
  CHECK(count == 1);
  CHECK(after.mManifest.size() < 24'000);
}

// Team by team a site grows. With a number of parts taken from the number of
// teams, the one team that crosses a bound would move every part to every
// daemon at once; here a part splits alone.
TEST_CASE_FIXTURE(bundle_fixture, "bundle/grows team by team/few parts move")
{
  declarations sample = Sample(1500);
  std::vector<team> later(sample.mTeams.begin() + 1000, sample.mTeams.end());
  sample.mTeams.resize(1000);
  bundle before = MakeBundle(sample);
  std::size_t most = 0;
  std::size_t splits = 0;
  for (const team& each : later) {
    sample.mTeams.push_back(each);
    bundle after = MakeBundle(sample);
    std::size_t count = 0;
    Moved(before, after, count);
    most = std::max(most, count);
    splits += after.mParts.size() > before.mParts.size() ? 1 : 0;
    before = std::move(after);
  }
  CHECK(splits > 0);
  CHECK(most == 2);
}

TEST_CASE_FIXTURE(bundle_fixture, "name/a word of YAML/read back as a name")
{
  declarations sample = Sample(3);
  sample.mTeams[0].mName = team_name("null");
  sample.mTeams[1].mName = team_name("true");
  sample.mTeams[2].mName = team_name("1.0");
  const auto verdict = ReadBundle(MakeBundle(sample));
  REQUIRE(std::holds_alternative<declarations>(verdict));
  CHECK(FindTeam(std::get<declarations>(verdict), team_name("null")));
  CHECK(FindTeam(std::get<declarations>(verdict), team_name("1.0")));
}

TEST_CASE_FIXTURE(bundle_fixture, "part/other bytes or missing/refused whole")
{
  bundle made = MakeBundle(Sample(10));
  made.mParts.back().mText += ' ';
  CHECK(Faults(ReadBundle(made)).front().mFound == "other bytes");
  made.mParts.pop_back();
  CHECK(Faults(ReadBundle(made)).front().mFound == "no such part");
  const auto read = ReadManifest(made.mManifest);
  REQUIRE(std::holds_alternative<manifest>(read));
  const auto missing =
    MissingParts(std::get<manifest>(read),
                 [&](std::string_view aDigest) -> const std::string* {
                   const auto at = std::ranges::find(
                     made.mParts, aDigest, &bundle_part::mDigest);
                   return at == made.mParts.end() ? nullptr : &at->mText;
                 });
  CHECK(missing.size() == 1);
}

TEST_CASE_FIXTURE(bundle_fixture, "manifest/not as written/refused")
{
  const std::string digest = Sha256Hex("a");
  for (const std::string& text :
       { std::string(),
         "format: 2\nparts: [" + digest + "]",
         std::string("format: 1\nparts: []"),
         std::string("format: 1\nparts: [abc]"),
         fmt::format("format: 1\nparts: [{0}, {0}]", digest),
         "format: 1\nextra: 1\nparts: [" + digest + "]",
         std::string(1 << 20, '#') }) {
    CAPTURE(text.substr(0, 40));
    const auto read = ReadManifest(text);
    REQUIRE(std::holds_alternative<faults>(read));
    CHECK(std::get<faults>(read).size() == 1);
  }
}

} // namespace
} // namespace thornhollow
