// Reads and writes one generated struct in the compact protocol.
#ifndef THORNHOLLOW_WIRE_INTERNAL_COMPACT_H_
#define THORNHOLLOW_WIRE_INTERNAL_COMPACT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace thornhollow::wire_internal {

using memory_buffer = apache::thrift::transport::TMemoryBuffer;
using compact = apache::thrift::protocol::TCompactProtocolT<memory_buffer>;

// Structs nested deeper than this are garbage.
inline constexpr int kMaxDepth = 16;

template<class message>
std::string
Write(const message& aMessage)
{
  const auto buffer = std::make_shared<memory_buffer>();
  compact protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

// The struct, or nothing where the bytes are none. A forged count or length
// can't make the generated code allocate: a container is limited to
// `aMaxEntries` and a string to the bytes that are there.
template<class message>
std::optional<message>
Read(std::string_view aBytes, std::size_t aMaxEntries)
{
  const auto size = static_cast<int>(aBytes.size());
  const auto limits =
    std::make_shared<apache::thrift::TConfiguration>(size, size, kMaxDepth);
  // The transport takes a mutable pointer and, as an observer, never writes.
  auto* const bytes =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data())); // NOLINT
  const auto buffer = std::make_shared<memory_buffer>(
    bytes, static_cast<std::uint32_t>(size), memory_buffer::OBSERVE, limits);
  compact protocol(buffer, size, static_cast<std::int32_t>(aMaxEntries));
  try {
    message read;
    read.read(&protocol);
    return read;
  } catch (const std::exception&) {
    // Thrift reports truncated and forged input by exceptions; here it is an
    // ordinary outcome.
    return std::nullopt;
  }
}

} // namespace thornhollow::wire_internal

#endif // THORNHOLLOW_WIRE_INTERNAL_COMPACT_H_
