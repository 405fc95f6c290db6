// Compresses large messages between instances: a configuration of thousands of
// routes becomes a small part of itself, and reaches an instance with a narrow
// link in a fraction of the time.
//
//   const std::string packed = Pack(bytes);
//   if (const auto again = Unpack(packed, bytes.size())) { ... }
//
#ifndef THORNHOLLOW_WIRE_PACKING_H_
#define THORNHOLLOW_WIRE_PACKING_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace thornhollow {

// Deflate in zlib's format (RFC 1950).
std::string
Pack(std::string_view aBytes);

// The bytes that were packed, which have to be `aSize`; nothing where they
// aren't, or where `aPacked` is no such message. Takes `aSize` bytes of memory:
// the caller bounds it.
std::optional<std::string>
Unpack(std::string_view aPacked, std::size_t aSize);

} // namespace thornhollow

#endif // THORNHOLLOW_WIRE_PACKING_H_
