// Identifies what requests have in common that may be the cause of what happens
// to the endpoints that run them.
//
//   const request_features features{
//     ContentFeature(fingerprint),
//     PartFeatures(pool, { "5c1e07a2", "91bd3f06" }) };
//   for (const request_feature each : features.All()) { Count(each); }
//
#ifndef THORNHOLLOW_BASE_REQUEST_FEATURE_H_
#define THORNHOLLOW_BASE_REQUEST_FEATURE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/request_fingerprint.h"

namespace thornhollow {

enum class feature_kind : std::uint8_t
{
  // The whole content of a request.
  kContent,
  // One part of a prompt, which many requests may share.
  kPromptPart,
};

// Digest of one feature. Its lowest bit tells the kind, so that reports between
// instances need nothing else.
struct request_feature
{
  std::uint64_t mValue = 0;

  feature_kind Kind() const
  {
    return (mValue & 1U) == 0 ? feature_kind::kContent
                              : feature_kind::kPromptPart;
  }
  bool IsPart() const { return Kind() == feature_kind::kPromptPart; }

  friend bool operator==(const request_feature&,
                         const request_feature&) = default;
  // clang-tidy 14 takes the 0 in the generated code for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend std::strong_ordering operator<=>(const request_feature&,
                                          const request_feature&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

// The features of one request.
struct request_features
{
  request_feature mContent;
  // Each part once, in the order of the prompt.
  std::vector<request_feature> mParts = {};

  // The content, then the parts.
  std::vector<request_feature> All() const;
  bool Contains(request_feature aFeature) const;

  friend bool operator==(const request_features&,
                         const request_features&) = default;
};

// Maximum number of parts of a prompt that are features. Of a longer prompt,
// the parts at both of its ends are.
inline constexpr std::size_t kMaxPartFeatures = 32;

request_feature
ContentFeature(request_fingerprint aContent);

// The same for all callers of a pool, whatever stands before the part in the
// prompt. `aPart` is the part's identifier, of any length.
request_feature
PartFeature(std::string_view aPool, std::string_view aPart);

// `aSharedParts` are the identifiers of all parts that other requests may
// share, in the order of the prompt; empty ones and repetitions are left out.
std::vector<request_feature>
PartFeatures(std::string_view aPool,
             const std::vector<std::string_view>& aSharedParts);

// 16 hexadecimal digits, as logs show it.
std::string
Text(request_feature aFeature);

// The parts as logs show them, separated by spaces; the first eight.
std::string
PartsText(const request_features& aFeatures);

// "content" or "prompt_part".
std::string_view
Name(feature_kind aKind);

} // namespace thornhollow

template<>
struct std::hash<thornhollow::request_feature>
{
  std::size_t operator()(
    const thornhollow::request_feature& aFeature) const noexcept
  {
    return aFeature.mValue;
  }
};

#endif // THORNHOLLOW_BASE_REQUEST_FEATURE_H_
