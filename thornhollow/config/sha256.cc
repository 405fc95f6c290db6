#include "thornhollow/config/sha256.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include <openssl/evp.h>

namespace thornhollow {
namespace {

constexpr std::size_t kDigestBytes = 32;
constexpr std::string_view kHexDigits = "0123456789abcdef";

} // namespace

std::string
Sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, kDigestBytes> digest{};
  unsigned int size = 0;
  if (EVP_Digest(aBytes.data(),
                 aBytes.size(),
                 digest.data(),
                 &size,
                 EVP_sha256(),
                 nullptr) != 1) {
    throw std::runtime_error("SHA-256 is not available");
  }
  std::string text;
  text.reserve(2 * kDigestBytes);
  for (const unsigned char byte : digest) {
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 0xFU];
  }
  return text;
}

bool
IsSha256Hex(std::string_view aText)
{
  return aText.size() == 2 * kDigestBytes &&
         std::ranges::all_of(aText, [](char aDigit) {
           return kHexDigits.find(aDigit) != std::string_view::npos;
         });
}

} // namespace thornhollow
