#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/streams/origin_search.h"

namespace thornhollow {
namespace {

constexpr endpoint_version_hash kOld = 1;
constexpr endpoint_version_hash kNew = 2;
constexpr listed_versions kSoleOld{ version_count::kSole, kOld };
constexpr listed_versions kSoFarOld{ version_count::kSoleSoFar, kOld };
constexpr listed_versions kSeveral{ version_count::kSeveral, kUnknownVersion };

origin_word
Known(endpoint_version_hash aVersion)
{
  return { true, aVersion, kSeveral };
}

origin_word
Unknown(const listed_versions& aListed)
{
  return { false, kUnknownVersion, aListed };
}

// The verdict after these answers, and none of the others asked.
origin_verdict
Verdict(const origin_word& aOwn,
        const std::vector<origin_word>& aAnswers,
        std::size_t aSilent = 0)
{
  std::vector<std::string> asked;
  for (std::size_t each = 0; each < aAnswers.size() + aSilent; ++each) {
    asked.push_back(std::to_string(each));
  }
  origin_search search(aOwn, asked);
  for (std::size_t each = 0; each < aAnswers.size(); ++each) {
    search.OnWord(std::to_string(each), aAnswers[each]);
  }
  return search.Close();
}

TEST_CASE("origin_search/told_to_anybody/is_the_version")
{
  CHECK(Verdict(Known(kOld), {}).mVersion == kOld);
  const origin_verdict found =
    Verdict(Unknown(kSoleOld), { Unknown(kSeveral), Known(kNew) }, 3);
  CHECK(found.mVersion == kNew);
  CHECK(found.mGround == origin_ground::kPeer);
  CHECK(found.mFrom == "1");
}

TEST_CASE("origin_search/first_answer_that_knows/decides_at_once")
{
  origin_search search(Unknown(kSeveral), { "a", "b" });
  CHECK_FALSE(search.Verdict());
  search.OnWord("c", Known(kNew));
  CHECK_FALSE(search.Verdict());
  search.OnWord("b", Known(kOld));
  REQUIRE(search.Verdict());
  CHECK(search.Verdict()->mVersion == kOld);
}

TEST_CASE("origin_search/known_and_ambiguous/is_unknown")
{
  const origin_verdict found =
    Verdict(Unknown(kSoleOld), { Known(kUnknownVersion) });
  CHECK(found.mVersion == kUnknownVersion);
  CHECK(found.mGround == origin_ground::kAmbiguous);
}

// The list of an instance that is cut off is old.
TEST_CASE("origin_search/one_version_for_long/holds_only_if_others_answer")
{
  CHECK(Verdict(Unknown(kSoleOld), {}).mVersion == kOld);
  CHECK(Verdict(Unknown(kSoleOld), { Unknown(kSoFarOld) }).mVersion == kOld);
  CHECK(Verdict(Unknown(kSoFarOld), { Unknown(kSoleOld) }, 1).mVersion == kOld);
  CHECK(Verdict(Unknown(kSoleOld), {}, 2).mGround == origin_ground::kNoAnswer);
}

TEST_CASE("origin_search/several_versions_seen_by_anybody/is_unknown")
{
  for (const listed_versions& each :
       { kSeveral, listed_versions{ version_count::kSole, kNew } }) {
    const origin_verdict found =
      Verdict(Unknown(kSoleOld), { Unknown(kSoleOld), Unknown(each) });
    CHECK(found.mVersion == kUnknownVersion);
    CHECK(found.mGround == origin_ground::kSeveralVersions);
  }
}

// Another version may have served before anybody knew the list.
TEST_CASE("origin_search/nobody_knows_the_list_for_long/is_unknown")
{
  const origin_verdict found =
    Verdict(Unknown(kSoFarOld), { Unknown(kSoFarOld), Unknown({}) });
  CHECK(found.mVersion == kUnknownVersion);
  CHECK(found.mGround == origin_ground::kListTooYoung);
}

// Guards against streams of two versions after all instances have started
// again.
TEST_CASE("origin_search/list_known_for_a_short_time/alone_is_unknown")
{
  for (const std::size_t silent : { 0, 2 }) {
    const origin_verdict found = Verdict(Unknown(kSoFarOld), {}, silent);
    CHECK(found.mVersion == kUnknownVersion);
  }
  CHECK(Verdict(Unknown(kSeveral), {}).mVersion == kUnknownVersion);
}

} // namespace
} // namespace thornhollow
