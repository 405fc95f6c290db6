#include "thornhollow/wire/packing.h"

#include <zlib.h>

namespace thornhollow {
namespace {

const Bytef*
ZlibBytes(std::string_view aBytes)
{
  return reinterpret_cast<const Bytef*>(aBytes.data());
}

Bytef*
ZlibBytes(std::string& aBytes)
{
  return reinterpret_cast<Bytef*>(aBytes.data());
}

} // namespace

std::string
Pack(std::string_view aBytes)
{
  uLongf size = compressBound(static_cast<uLong>(aBytes.size()));
  std::string packed(size, '\0');
  // Cannot fail: the bound is what it needs at the most. The fastest level: a
  // small instance has a tenth of a core.
  compress2(ZlibBytes(packed),
            &size,
            ZlibBytes(aBytes),
            static_cast<uLong>(aBytes.size()),
            Z_BEST_SPEED);
  packed.resize(size);
  return packed;
}

std::optional<std::string>
Unpack(std::string_view aPacked, std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  uLongf size = static_cast<uLongf>(aSize);
  const int end = uncompress(ZlibBytes(bytes),
                             &size,
                             ZlibBytes(aPacked),
                             static_cast<uLong>(aPacked.size()));
  if (end != Z_OK || size != aSize) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace thornhollow
