// What entry instances tell each other about a pool under load, so that tier
// order holds over all of them and not only inside each.
//
//   peer_pressure peers(settings);
//   peers.OnReport(instance_name("a"), pressure, now);
//   if (peers.HoldsBack(pool, tier, now)) { only its minimum share }
//
// Load pattern: one instance is full of the highest tier, another has only low
// tiers. Each keeps its own order, and yet low-tier work takes places at the
// endpoints that the other instance's high tier waits for. So each instance
// publishes how long each of its tiers waits; the others then start lower tiers
// only within their classes' minimum shares, until the report ages.
//
// Grounds for the figures: a wait below 1 s is no reason yet: the urgent
// part of it passes in the endpoints' own queues (endpoint_queue_window.h), and
// the scenario table showed no gain from less. A report loses
// half of its weight each 500 ms, so that one lost message changes little and
// an instance that vanished holds nobody back for longer than a few seconds.
#ifndef THORNHOLLOW_POLICY_TIER_PRESSURE_H_
#define THORNHOLLOW_POLICY_TIER_PRESSURE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/declarations.h"
#include "thornhollow/policy/pool_pressure.h"

namespace thornhollow {

inline constexpr std::size_t kTierCount = kLowestTier - kHighestTier + 1;

struct tier_pressure_settings
{
  bool mEnabled = true;
  duration mMinWait = Seconds(1);
  duration mHalfLife = Milliseconds(500);
  // The weight of a report counts no longer than this.
  duration mMaxReportLifetime = Seconds(5);

  friend bool operator==(const tier_pressure_settings&,
                         const tier_pressure_settings&) = default;
};

// The latest reports of the other instances.
class peer_pressure
{
public:
  explicit peer_pressure(const tier_pressure_settings& aSettings);

  void OnReport(const instance_name& aFrom,
                const pool_pressure& aPressure,
                time_point aNow);

  // Whether a higher tier than `aTier` waits at another instance.
  bool IsRestricted(const pool_name& aPool, int aTier, time_point aNow) const;

  // Until when `HoldsBack` may stay true for any tier of the pool.
  std::optional<time_point> RestrictedUntil(const pool_name& aPool) const;

  // Forgets reports that no longer count.
  void Expire(time_point aNow);

  std::size_t size() const;

private:
  // Up to when each tier's wait holds lower tiers back.
  struct tier_restrictions
  {
    std::array<time_point, kTierCount> mUntil{};
  };
  struct pool_reports
  {
    std::unordered_map<instance_name, tier_restrictions> mByInstance;
    // The latest over all instances, kept so that a decision doesn't grow with
    // their number.
    tier_restrictions mLatest;
  };

  time_point RestrictionEnd(duration aWait, time_point aMeasured) const;
  static void Summarize(pool_reports& aPool);

  tier_pressure_settings mSettings;
  std::unordered_map<pool_name, pool_reports> mPools;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_TIER_PRESSURE_H_
