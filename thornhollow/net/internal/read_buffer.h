// Bound on the bytes of one connection that were received and are not parsed
// yet.
//
//   boost::beast::flat_buffer buffer{ kMaxUnparsedBytes };
//
// Guards against a peer that sends bytes without end where the parser waits for
// the end of a line: the size or the extension of a chunk, or a trailer. Limits
// on heads and bodies don't apply there, and all of it stays in memory. With a
// bounded buffer the read fails as soon as it is full.
#ifndef THORNHOLLOW_NET_INTERNAL_READ_BUFFER_H_
#define THORNHOLLOW_NET_INTERNAL_READ_BUFFER_H_

#include <cstddef>

namespace thornhollow::net_internal {

// More than the largest head that is read from an endpoint.
inline constexpr std::size_t kMaxUnparsedBytes = std::size_t{ 64 } << 10U;

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_READ_BUFFER_H_
