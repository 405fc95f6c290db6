// Where a stream began: the version of the endpoints that wrote its first
// event.
//
//   const stream_key key = StreamKeyOf(team, request_id("r1"));
//   const stream_origin origin{ key, EndpointVersionHash(pool, version) };
//
#ifndef THORNHOLLOW_STREAMS_STREAM_ORIGIN_H_
#define THORNHOLLOW_STREAMS_STREAM_ORIGIN_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/ids.h"

namespace thornhollow {

// Identifies a stream among all instances by the submission that brought its
// first event. A caller that continues the stream names that submission.
struct stream_key
{
  std::uint64_t mValue = 0;

  friend bool operator==(const stream_key&, const stream_key&) = default;
  // clang-tidy 14 takes the 0 in the generated code for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend std::strong_ordering operator<=>(const stream_key&,
                                          const stream_key&) = default;
  // NOLINTEND(modernize-use-nullptr)
};

// The key of a caller that names no submission. No stream has it.
inline constexpr stream_key kUnnamedStream{};

// The same submission under another team has another key, and nobody can craft
// one that has the key of another team's submission: a team learns nothing
// about the streams of others and can't change what is known of them. An empty
// submission gives `kUnnamedStream`.
stream_key
StreamKeyOf(const team_name& aTeam, const request_id& aSubmission);

struct stream_origin
{
  stream_key mStream;
  // `kUnknownVersion` if it can't be told which version began the stream.
  endpoint_version_hash mVersion = kUnknownVersion;

  friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

} // namespace thornhollow

template<>
struct std::hash<thornhollow::stream_key>
{
  std::size_t operator()(const thornhollow::stream_key& aKey) const noexcept
  {
    return aKey.mValue;
  }
};

#endif // THORNHOLLOW_STREAMS_STREAM_ORIGIN_H_
