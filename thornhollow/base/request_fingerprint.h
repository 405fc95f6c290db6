// Identifies the content of a request across its submissions, each of which has
// an identifier of its own.
//
//   const request_fingerprint print =
//     FingerprintOf({ .mMethod = "POST", .mTarget = "/p/x", .mTeam = team,
//                     .mBody = body });
//   log << Text(print);  // 16 hexadecimal digits
//
#ifndef THORNHOLLOW_BASE_REQUEST_FINGERPRINT_H_
#define THORNHOLLOW_BASE_REQUEST_FINGERPRINT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace thornhollow {

// Digest of a request's content. Equal for all submissions of one team with the
// same method, target and body, at every instance.
//
// 64 bits of an HMAC-SHA256 keyed with the team: nobody can craft a request
// that another team's request is taken for, and messages and log lines that
// hold the digest do not reveal the body.
struct request_fingerprint
{
  std::uint64_t mValue = 0;

  friend bool operator==(const request_fingerprint&,
                         const request_fingerprint&) = default;
  // clang-tidy 14 takes the 0 in the generated code for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend std::strong_ordering operator<=>(const request_fingerprint&,
                                          const request_fingerprint&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

// What `FingerprintOf` digests; refers to the caller's texts.
struct request_content
{
  std::string_view mMethod;
  // Path and query.
  std::string_view mTarget;
  // Empty for a caller without a team.
  std::string_view mTeam;
  std::string_view mBody;

  friend bool operator==(const request_content&,
                         const request_content&) = default;
};

request_fingerprint
FingerprintOf(const request_content& aContent);

// 16 hexadecimal digits, as logs show it.
std::string
Text(request_fingerprint aFingerprint);

} // namespace thornhollow

template<>
struct std::hash<thornhollow::request_fingerprint>
{
  std::size_t operator()(
    const thornhollow::request_fingerprint& aPrint) const noexcept
  {
    return aPrint.mValue;
  }
};

#endif // THORNHOLLOW_BASE_REQUEST_FINGERPRINT_H_
