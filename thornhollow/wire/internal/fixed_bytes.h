// Numbers as eight bytes, the lowest first, for values such as hashes, of which
// a variable length would take more.
#ifndef THORNHOLLOW_WIRE_INTERNAL_FIXED_BYTES_H_
#define THORNHOLLOW_WIRE_INTERNAL_FIXED_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace thornhollow::wire_internal {

inline constexpr std::size_t kFixedBytes = 8;

inline void
AppendFixed(std::string& aBytes, std::uint64_t aValue)
{
  constexpr unsigned kBitsPerByte = 8;
  for (std::size_t at = 0; at < kFixedBytes; ++at) {
    aBytes += static_cast<char>(aValue >> (kBitsPerByte * at) & 0xFFU);
  }
}

// Reads the eight bytes from `aFrom` on, which must be there.
inline std::uint64_t
ReadFixed(const std::string& aBytes, std::size_t aFrom)
{
  constexpr unsigned kBitsPerByte = 8;
  std::uint64_t value = 0;
  for (std::size_t at = kFixedBytes; at > 0; --at) {
    value = value << kBitsPerByte |
            static_cast<unsigned char>(aBytes[aFrom + at - 1]);
  }
  return value;
}

} // namespace thornhollow::wire_internal

#endif // THORNHOLLOW_WIRE_INTERNAL_FIXED_BYTES_H_
