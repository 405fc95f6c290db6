#include <algorithm>
#include <array>

#include <doctest/doctest.h>

#include "thornhollow/config/check.h"
#include "thornhollow/config/internal/sample_declarations.h"
#include "thornhollow/config/yaml_reader.h"

namespace thornhollow {
namespace {

// One thing wrong with the sample set.
struct wrong_text
{
  const char* mFrom;
  const char* mTo;
  // Of the only fault.
  const char* mField;
  const char* mAllowed;
};

constexpr std::array kWrongTexts = {
  wrong_text{ "level: quick,",
              "level: slow,",
              "classes[0].level",
              "the name of a declared service level" },
  wrong_text{ "models: [small]",
              "models: [large]",
              "classes[0].models",
              "the name of a declared model" },
  wrong_text{ "deadline_ms: 9000}",
              "deadline_ms: 399}",
              "levels[0].deadline_ms",
              "at least first_token_ms, 400" },
  wrong_text{ "idempotent: true, models",
              "idempotent: maybe, models",
              "classes[0].idempotent",
              "true or false" },
  wrong_text{ "class: orders}",
              "class: orders, idempotent: true}",
              "services[0].idempotent",
              "true only where the class is idempotent too" },
  wrong_text{ "pools: [small]",
              "pools: [small, book]",
              "endpoints[0].pools",
              "models only, or exactly one plain service" },
  wrong_text{ "pools: [small]",
              "pools: [tiny]",
              "endpoints[0].pools",
              "the name of a declared model or service" },
  wrong_text{ "127.0.0.1:9001",
              "127.0.0.1:9002",
              "endpoints[1].address",
              "each once" },
  wrong_text{ "127.0.0.1:9001",
              "engine-1.example:9001",
              "endpoints[0].address",
              "an IP number and port, such as 10.1.2.3:9000 or "
              "[fd00::1]:9000" },
  wrong_text{ "127.0.0.1:9001",
              "0.0.0.0:9001",
              "endpoints[0].address",
              "an IP number and port, such as 10.1.2.3:9000 or "
              "[fd00::1]:9000" },
  wrong_text{ "name: book-1",
              "name: engine-1",
              "endpoints[1].name",
              "each once" },
  wrong_text{ "methods: [POST]",
              "methods: [post]",
              "services[0].methods",
              "GET, POST, PUT, PATCH, DELETE" },
  wrong_text{ "slots: 8",
              "slots: 0",
              "endpoints[0].slots",
              "a whole number from 1 to 4096" },
  wrong_text{ "slots: 8",
              "slots: 8.5",
              "endpoints[0].slots",
              "a whole number from 1 to 4096" },
  wrong_text{ "minimum_share: 0.25",
              "minimum_share: nan",
              "classes[1].minimum_share",
              "a number from 0 to 1" },
  wrong_text{ "slots: 8\n",
              "slots: 8\n    slots: 9\n",
              "endpoints[0].slots",
              "each field once" },
  wrong_text{ "max_in_flight: 32",
              "max_in_flight: \"32\"",
              "teams[0].max_in_flight",
              "a whole number from 1 to 100000" },
};

struct check_fixture
{
  std::string mText = internal::SampleWithoutTeams() + internal::SampleTeams(1);

  static faults FaultsOf(std::vector<source_file> aFiles)
  {
    const auto verdict = ReadDeclarations(aFiles);
    const auto* found = std::get_if<faults>(&verdict);
    return found == nullptr ? faults{} : *found;
  }
  faults FaultsOf(const std::string& aFrom, const std::string& aTo) const
  {
    std::string text = mText;
    const auto at = text.find(aFrom);
    REQUIRE(at != std::string::npos);
    return FaultsOf({ { "a.yaml", text.replace(at, aFrom.size(), aTo) } });
  }
};

TEST_CASE_FIXTURE(check_fixture, "sample/unchanged/accepted")
{
  CHECK(FaultsOf({ { "a.yaml", mText } }).empty());
}

TEST_CASE_FIXTURE(check_fixture, "sample/one thing wrong/the one fault named")
{
  for (const wrong_text& each : kWrongTexts) {
    CAPTURE(each.mTo);
    const faults found = FaultsOf(each.mFrom, each.mTo);
    REQUIRE(found.size() == 1);
    CHECK(found[0].mFile == "a.yaml");
    CHECK(found[0].mLine > 0);
    CHECK(found[0].mField == each.mField);
    CHECK(found[0].mAllowed == each.mAllowed);
  }
}

TEST_CASE_FIXTURE(check_fixture, "shares/sum above one/the first too many")
{
  const faults found =
    FaultsOf("minimum_share: 0.25}",
             "minimum_share: 0.6}\n"
             "  - {name: second, level: quick, minimum_share: 0.6}\n"
             "  - {name: third, level: quick, minimum_share: 0.1}");
  REQUIRE(found.size() == 1);
  CHECK(found[0].mField == "classes[2].minimum_share");
  CHECK(found[0].mAllowed == "a sum over all classes of at most 1");
}

TEST_CASE_FIXTURE(check_fixture, "shares/ten tenths/accepted despite rounding")
{
  std::string tenths = "minimum_share: 0.1}";
  for (int each = 0; each < 9; ++each) {
    tenths += "\n  - {name: c" + std::to_string(each) +
              ", level: quick, minimum_share: 0.1}";
  }
  CHECK(FaultsOf("minimum_share: 0.25}", tenths).empty());
}

TEST_CASE_FIXTURE(check_fixture, "team/in two files/second place named")
{
  const faults found =
    FaultsOf({ { "a.yaml", mText }, { "b.yaml", internal::SampleTeams(1) } });
  REQUIRE(found.size() == 2);
  CHECK(found[0].mFile == "b.yaml");
  CHECK(found[0].mField == "teams[0].name");
  CHECK(found[0].mFound == "\"team-0\", which stands at a.yaml:23 already");
  CHECK(found[1].mField == "teams[0].token_digests");
}

TEST_CASE_FIXTURE(check_fixture, "digest/a token by mistake/never repeated")
{
  const std::string digest = TokenDigest("team-0");
  for (const std::string to : { "hush", "hush, hush" }) {
    const faults found = FaultsOf(digest, to);
    CHECK_FALSE(found.empty());
    for (const fault& each : found) {
      CHECK(Text(each).find("hush") == std::string::npos);
    }
  }
}

TEST_CASE_FIXTURE(check_fixture, "files/none or empty/refused")
{
  CHECK(FaultsOf({}).size() == 4);
  CHECK(FaultsOf({ { "a.yaml", "" } }).front().mFound == "nothing");
}

TEST_CASE_FIXTURE(check_fixture, "hostile/ten megabytes/refused by size")
{
  const faults found = FaultsOf({ { "a.yaml", std::string(10 << 20, 'a') } });
  REQUIRE(found.size() == 1);
  CHECK(found[0].mAllowed == "at most 4194304 bytes");
  const std::vector<source_file> many(
    3, { "a.yaml", std::string(kMaxFileBytes, '\n') });
  CHECK(FaultsOf(many).front().mFile == "(all files)");
}

// An operator's script goes wrong and writes a text nested without end. A
// parser that recurses for each level overflows its stack on it: every daemon
// that gets the text would end instead of refusing it. Each way in which YAML
// can nest has to meet the same bound.
TEST_CASE_FIXTURE(check_fixture, "hostile/nested deep/refused, no overflow")
{
  constexpr int kDepth = 100'000;
  std::string byLine;
  for (int depth = 0; depth < 1000; ++depth) {
    byLine += std::string(static_cast<std::size_t>(depth), ' ') + "a:\n";
  }
  std::string byDash;
  for (int depth = 0; depth < kDepth; ++depth) {
    byDash += "- ";
  }
  std::string byQuestion;
  for (int depth = 0; depth < kDepth; ++depth) {
    byQuestion += "? ";
  }
  for (const std::string& text : { std::string(kDepth, '['),
                                   std::string(kDepth, '{'),
                                   byLine,
                                   byDash,
                                   byQuestion }) {
    CAPTURE(text.substr(0, 8));
    const faults found = FaultsOf({ { "a.yaml", text } });
    REQUIRE(found.size() == 1);
    CHECK(found[0].mAllowed == "at most 16 levels");
  }
}

TEST_CASE_FIXTURE(check_fixture, "hostile/a fault in each value/list bounded")
{
  std::string text = "teams:\n";
  for (std::size_t each = 0; each < 3 * kMaxFaults; ++each) {
    text += "  - {}\n";
  }
  const faults found = FaultsOf({ { "a.yaml", text } });
  CHECK(found.size() == kMaxFaults + 1);
  CHECK(found.back().mFound == "more faults");
  const std::string commas = "teams: [" + std::string(1 << 20, ',');
  CHECK(FaultsOf({ { "a.yaml", commas } }).size() == 1);
}

TEST_CASE_FIXTURE(check_fixture, "hostile/odd YAML/refused with its line")
{
  for (const char* text : { "a: &x 1",
                            "a: *x",
                            "a: !!python/object 1",
                            "a: 1\n---\nb: 2",
                            "a: [1",
                            "a: \x01",
                            "\"\xff\xfe" }) {
    CAPTURE(text);
    CHECK(FaultsOf({ { "a.yaml", text } }).size() == 1);
  }
}

} // namespace
} // namespace thornhollow
