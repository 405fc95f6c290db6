#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/base/request_feature.h"

namespace thornhollow {
namespace {

constexpr request_fingerprint kContent{ 0x1357 };

TEST_CASE("request_feature/content_and_part/tell_their_kinds")
{
  CHECK(ContentFeature(kContent).Kind() == feature_kind::kContent);
  CHECK(PartFeature("engines", "5c").Kind() == feature_kind::kPromptPart);
  CHECK(Name(PartFeature("engines", "5c").Kind()) == "prompt_part");
}

TEST_CASE("request_feature/part/depends_on_pool_and_identifier_alone")
{
  CHECK(PartFeature("engines", "5c") == PartFeature("engines", "5c"));
  CHECK(PartFeature("engines", "5c") != PartFeature("engines", "5d"));
  CHECK(PartFeature("engines", "5c") != PartFeature("others", "5c"));
  CHECK(PartFeatures("engines", { "91", "5c" })[1] ==
        PartFeature("engines", "5c"));
}

TEST_CASE("request_feature/repeated_and_empty_parts/are_left_out")
{
  const request_features features{
    ContentFeature(kContent), PartFeatures("engines", { "5c", "", "5c" })
  };
  CHECK(features.mParts.size() == 1);
  CHECK(features.All().size() == 2);
  CHECK(features.All().front() == features.mContent);
}

// Guards against a prompt of very many parts that makes each send expensive.
TEST_CASE("request_feature/very_many_parts/both_ends_of_the_prompt_count")
{
  std::vector<std::string> names;
  for (std::size_t each = 0; each < 10 * kMaxPartFeatures; ++each) {
    names.push_back(std::to_string(each));
  }
  const std::vector<std::string_view> parts(names.begin(), names.end());
  const request_features features{ ContentFeature(kContent),
                                   PartFeatures("engines", parts) };
  CHECK(features.mParts.size() == kMaxPartFeatures);
  CHECK(features.Contains(PartFeature("engines", names.front())));
  CHECK(features.Contains(PartFeature("engines", names.back())));
}

TEST_CASE("request_feature/text/has_the_first_parts_of_many")
{
  const request_features features{
    ContentFeature(kContent),
    PartFeatures("p", { "1", "2", "3", "4", "5", "6", "7", "8", "9" })
  };
  constexpr std::size_t kLogged = 8;
  constexpr std::size_t kDigits = 16;
  CHECK(PartsText(features).size() == kLogged * (kDigits + 1) - 1);
  CHECK(PartsText({ ContentFeature(kContent), {} }).empty());
}

} // namespace
} // namespace thornhollow
