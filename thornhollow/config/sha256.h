// SHA-256 in the form in which digests are written in files and keys.
//
//   const std::string digest = Sha256Hex(bytes);
//
#ifndef THORNHOLLOW_CONFIG_SHA256_H_
#define THORNHOLLOW_CONFIG_SHA256_H_

#include <string>
#include <string_view>

namespace thornhollow {

// 64 lower-case hex digits.
std::string
Sha256Hex(std::string_view aBytes);

// Whether `aText` has the form of a digest.
bool
IsSha256Hex(std::string_view aText);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_SHA256_H_
