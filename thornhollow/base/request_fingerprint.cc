#include "thornhollow/base/request_fingerprint.h"

#include <array>
#include <stdexcept>

#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace thornhollow {

request_fingerprint
FingerprintOf(const request_content& aContent)
{
  // Neither a method nor a target can contain the separator.
  constexpr char kSeparator = '\0';
  std::string text;
  text.reserve(aContent.mMethod.size() + aContent.mTarget.size() +
               aContent.mBody.size() + 2);
  text += aContent.mMethod;
  text += kSeparator;
  text += aContent.mTarget;
  text += kSeparator;
  text += aContent.mBody;
  const std::string key(aContent.mTeam);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (HMAC(EVP_sha256(),
           key.data(),
           static_cast<int>(key.size()),
           // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
           reinterpret_cast<const unsigned char*>(text.data()),
           text.size(),
           digest.data(),
           &size) == nullptr) {
    throw std::runtime_error("HMAC-SHA256 is not available");
  }
  request_fingerprint fingerprint;
  for (std::size_t at = 0; at < sizeof(fingerprint.mValue); ++at) {
    fingerprint.mValue = fingerprint.mValue << 8U | digest.at(at);
  }
  return fingerprint;
}

std::string
Text(request_fingerprint aFingerprint)
{
  return fmt::format("{:016x}", aFingerprint.mValue);
}

} // namespace thornhollow
