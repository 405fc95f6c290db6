// Hashes that are the same in every process and on every run, and rendezvous
// ranking built on them.
//
//   const auto keepers = RankByRendezvous(Hash64(key), names);
//
#ifndef THORNHOLLOW_BASE_HASH_H_
#define THORNHOLLOW_BASE_HASH_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace thornhollow {

// XXH3's 64-bit hash of `aBytes`. Stable over processes, not cryptographic.
std::uint64_t
Hash64(std::string_view aBytes);

// A well-mixed combination of two hashes; order matters.
std::uint64_t
CombineHash(std::uint64_t aLeft, std::uint64_t aRight);

// Indices of `aNames`, highest rendezvous weight for `aKey` first. Removing one
// name keeps the order of all the others, so that a key moves only when one of
// its own holders goes.
std::vector<std::size_t>
RankByRendezvous(std::uint64_t aKey, std::span<const std::string_view> aNames);

} // namespace thornhollow

#endif // THORNHOLLOW_BASE_HASH_H_
