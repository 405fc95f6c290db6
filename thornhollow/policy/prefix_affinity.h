// Which endpoints are likely to hold a prompt's leading part in their cache:
// those to which this router sent it lately.
//
//   affinity.Record(item.mPrefix, endpoint, now);
//   for (const std::uint32_t each : affinity.Lookup(item.mPrefix, now)) {...}
//
// Load pattern: many requests share a long leading part. Without this each goes
// wherever there is room, every endpoint computes the same part again, and its
// cache holds the same few prefixes as all others'.
//
// It only says where a prefix went; the choice weighs that against the load, so
// that a hot prefix spreads when its endpoint is full. Memory is bounded: a
// fixed table of sets with a few ways each, least recently used out first. No
// allocation after construction.
//
// Grounds for the figures: 4,096 prefixes are far more than the few hundred
// that a router's streams in flight (86 at the size of letter 1) can share. Up
// to four holders each: more than that and the prefix is everywhere anyway. A
// holder counts for two minutes after the last use: engines' memory for
// prefixes is limited and holds what is used now.
#ifndef THORNHOLLOW_POLICY_PREFIX_AFFINITY_H_
#define THORNHOLLOW_POLICY_PREFIX_AFFINITY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct prefix_affinity_settings
{
  // False: remembers nothing.
  bool mEnabled = true;
  // Prefixes remembered; rounded up to whole sets.
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

  // Endpoint numbers, the most recent first; `kNoEndpoint` after the last.
  using endpoint_list = std::array<std::uint32_t, kMaxEndpoints>;

  explicit prefix_affinity(const prefix_affinity_settings& aSettings);

  // A request with prefix hash `aPrefix` (0: none) went to `aEndpoint`.
  void Record(std::uint64_t aPrefix, std::uint32_t aEndpoint, time_point aNow);

  endpoint_list Lookup(std::uint64_t aPrefix, time_point aNow) const;

  // `aEndpoint` is gone or lost its cache. Linear in the table.
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

#endif // THORNHOLLOW_POLICY_PREFIX_AFFINITY_H_
