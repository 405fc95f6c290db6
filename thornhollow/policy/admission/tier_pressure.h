// Tracks the load that other instances report for a pool, so that tier order
// holds across all instances and not only within each.
//
//   peer_pressure peers(settings);
//   peers.OnReport(instance_name("a"), pressure, now);
//   if (peers.IsRestricted(pool, tier, now)) { ... only its minimum share ... }
//
// Load pattern: one instance is saturated with requests of the highest tier
// while another has only requests of low tiers. Each serves its own requests in
// tier order, yet the second instance's requests take slots at the endpoints
// for which the first instance's requests wait. So each instance publishes how
// long its tiers wait. Until the report expires, all other instances start
// lower tiers only within the minimum shares of their classes.
//
// Default values: a wait below 1 s does not restrict other instances, because
// the endpoints' own queues already order work by tier for that long
// (endpoint_queue_window.h), and a lower threshold improved no result of
// `thornhollow-scenarios`. The reported wait is halved for every 500 ms of the
// report's age, so that one lost message changes little and an instance that
// disappeared restricts other instances for a few seconds at most.
#ifndef THORNHOLLOW_POLICY_ADMISSION_TIER_PRESSURE_H_
#define THORNHOLLOW_POLICY_ADMISSION_TIER_PRESSURE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/declarations.h"
#include "thornhollow/policy/admission/pool_pressure.h"

namespace thornhollow {

inline constexpr std::size_t kTierCount = kLowestTier - kHighestTier + 1;

struct tier_pressure_settings
{
  bool mEnabled = true;
  duration mMinWait = Seconds(1);
  duration mHalfLife = Milliseconds(500);
  // Maximum age at which a load report from another instance still has effect.
  duration mMaxReportLifetime = Seconds(5);

  friend bool operator==(const tier_pressure_settings&,
                         const tier_pressure_settings&) = default;
};

// The latest load report of each pool from each of the other instances.
class peer_pressure
{
public:
  explicit peer_pressure(const tier_pressure_settings& aSettings);

  void OnReport(const instance_name& aFrom,
                const pool_pressure& aPressure,
                time_point aNow);

  // Whether requests of `aTier` are limited to their minimum shares because a
  // higher tier waits at another instance.
  bool IsRestricted(const pool_name& aPool, int aTier, time_point aNow) const;

  // Time until which `IsRestricted` may remain true for any tier of the pool;
  // nullopt if no other instance reported load for the pool.
  std::optional<time_point> RestrictedUntil(const pool_name& aPool) const;

  // Removes load reports that no longer restrict any tier.
  void Expire(time_point aNow);

  std::size_t size() const;

private:
  // For each tier, the time until which requests of lower tiers are limited to
  // their minimum shares because requests of this tier wait too long.
  struct tier_restrictions
  {
    std::array<time_point, kTierCount> mUntil{};
  };
  struct pool_reports
  {
    std::unordered_map<instance_name, tier_restrictions> mByInstance;
    // For each tier, the latest end of its restriction over all instances,
    // stored so that the cost of a decision does not grow with the number of
    // instances.
    tier_restrictions mLatest;
  };

  time_point RestrictionEnd(duration aWait, time_point aMeasured) const;
  static void Summarize(pool_reports& aPool);

  tier_pressure_settings mSettings;
  std::unordered_map<pool_name, pool_reports> mPools;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_TIER_PRESSURE_H_
