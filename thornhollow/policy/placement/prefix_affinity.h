// Records which endpoints are likely to have a prompt's prefix cached: the
// endpoints to which this router recently sent a prompt with the same prefix.
//
//   affinity.Record(item.mPrefix, endpoint, now);
//   for (const std::uint32_t each : affinity.Lookup(item.mPrefix, now)) {...}
//
// Many requests share a long prefix. Without prefix affinity each of them is
// sent to any endpoint with a free slot, every endpoint computes the prefix
// again, and all caches hold the same few prefixes.
//
// This module only records where a prefix was sent. The choice of an endpoint
// weighs a cached prefix against the load (endpoint_choice.h), so that requests
// with a hot prefix are sent to further endpoints when the first is full.
// Memory is bounded: a set-associative table with LRU eviction within each set,
// and no allocation after construction.
//
// Choice of the defaults:
// - 4,096 prefixes are far more than the few hundred that a router's streams in
//   flight (86 in a deployment of 420 daemons) can share.
// - Up to four endpoints are recorded per prefix. A prefix that was sent to
//   more endpoints is probably cached at nearly all of them.
// - Entries expire two minutes after their last use, because an engine's prefix
//   cache is limited and evicts what is not in use.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_PREFIX_AFFINITY_H_
#define THORNHOLLOW_POLICY_PLACEMENT_PREFIX_AFFINITY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct prefix_affinity_settings
{
  // If false, no prefix is recorded.
  bool mEnabled = true;
  // Maximum number of prefixes, rounded up to whole sets of the table.
  std::size_t mMaxPrefixes = 4096;
  duration mTimeToLive = Seconds(120);

  friend bool operator==(const prefix_affinity_settings&,
                         const prefix_affinity_settings&) = default;
};

class prefix_affinity
{
public:
  static constexpr std::size_t kMaxEndpoints = 4;
  static constexpr std::uint32_t kNoEndpoint = UINT32_MAX;

  // Numbers of the endpoints to which a prefix was sent, the most recent first,
  // padded with `kNoEndpoint`.
  using endpoint_list = std::array<std::uint32_t, kMaxEndpoints>;

  explicit prefix_affinity(const prefix_affinity_settings& aSettings);

  // A request with prefix hash `aPrefix` (0: none) was sent to `aEndpoint`.
  void Record(std::uint64_t aPrefix, std::uint32_t aEndpoint, time_point aNow);

  endpoint_list Lookup(std::uint64_t aPrefix, time_point aNow) const;

  // Removes `aEndpoint`, which is gone or lost its cache, from all prefixes.
  // The time is linear in the size of the table.
  void RemoveEndpoint(std::uint32_t aEndpoint);

private:
  static constexpr std::size_t kWays = 4;

  struct way
  {
    std::uint64_t mPrefix = 0;
    time_point mLastUsed{};
    endpoint_list mEndpoints{ kNoEndpoint,
                              kNoEndpoint,
                              kNoEndpoint,
                              kNoEndpoint };
  };

  std::size_t SetIndex(std::uint64_t aPrefix) const;

  prefix_affinity_settings mSettings;
  std::vector<std::array<way, kWays>> mSets;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PLACEMENT_PREFIX_AFFINITY_H_
