#include "thornhollow/base/request_feature.h"

#include <algorithm>

#include <fmt/format.h>

namespace thornhollow {
namespace {

constexpr std::uint64_t kPartBit = 1;

// Parts that one log line shows.
constexpr std::size_t kMaxLoggedParts = 8;

} // namespace

std::vector<request_feature>
request_features::All() const
{
  std::vector<request_feature> all{ mContent };
  all.insert(all.end(), mParts.begin(), mParts.end());
  return all;
}

bool
request_features::Contains(request_feature aFeature) const
{
  return aFeature == mContent || std::ranges::count(mParts, aFeature) > 0;
}

request_feature
ContentFeature(request_fingerprint aContent)
{
  return { aContent.mValue & ~kPartBit };
}

request_feature
PartFeature(std::string_view aPool, std::string_view aPart)
{
  // The method keeps it apart from requests' contents.
  const request_fingerprint digest = FingerprintOf({ .mMethod = "prompt-part",
                                                     .mTarget = aPool,
                                                     .mTeam = "",
                                                     .mBody = aPart });
  return { digest.mValue | kPartBit };
}

std::vector<request_feature>
PartFeatures(std::string_view aPool,
             const std::vector<std::string_view>& aSharedParts)
{
  std::vector<request_feature> features;
  const std::size_t count = aSharedParts.size();
  for (std::size_t each = 0; each < count; ++each) {
    const bool isAtAnEnd =
      each < kMaxPartFeatures / 2 || count - each <= kMaxPartFeatures / 2;
    if (!isAtAnEnd || aSharedParts[each].empty()) {
      continue;
    }
    const request_feature part = PartFeature(aPool, aSharedParts[each]);
    if (std::ranges::count(features, part) == 0) {
      features.push_back(part);
    }
  }
  return features;
}

std::string
Text(request_feature aFeature)
{
  return fmt::format("{:016x}", aFeature.mValue);
}

std::string
PartsText(const request_features& aFeatures)
{
  std::string text;
  const std::size_t shown = std::min(aFeatures.mParts.size(), kMaxLoggedParts);
  for (std::size_t each = 0; each < shown; ++each) {
    if (each > 0) {
      text += ' ';
    }
    text += Text(aFeatures.mParts[each]);
  }
  return text;
}

std::string_view
Name(feature_kind aKind)
{
  return aKind == feature_kind::kContent ? "content" : "prompt_part";
}

} // namespace thornhollow
