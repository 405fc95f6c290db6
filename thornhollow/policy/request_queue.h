// The requests of one entry instance that wait for a place at an endpoint, over
// all pools, and the order in which they get one.
//
//   request_queue queue(request_queue_settings{}, 1);
//   queue.Push(item, work, now);
//   if (const work_item* next = queue.Next(pool, {}, now).mItem) {
//     queue.Start(next->mTicket, now);
//   }
//
// What waits for one pool is ordered and bounded by `pool_queue`; here are the
// pools, the deadlines and the pressure told by other instances.
#ifndef THORNHOLLOW_POLICY_REQUEST_QUEUE_H_
#define THORNHOLLOW_POLICY_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "thornhollow/policy/pool_queue.h"
#include "thornhollow/policy/tier_pressure.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct request_queue_settings
{
  pool_queue_settings mPool;
  tier_pressure_settings mPeerPressure;

  friend bool operator==(const request_queue_settings&,
                         const request_queue_settings&) = default;
};

class request_queue
{
public:
  // `aSeed` drives the jitter of when to come back.
  request_queue(const request_queue_settings& aSettings, std::uint64_t aSeed);

  // Takes the declared classes, shares and teams. Requests that wait stay.
  void Configure(const declarations& aDeclared, time_point aNow);

  // Queues `aItem`. Returns the refusals that this causes: of `aItem` itself,
  // or of a request of a lower tier whose place it takes.
  std::vector<refuse> Push(const work_item& aItem,
                           const work_estimate& aWork,
                           time_point aNow);

  // Queues a request that ran before without its answer, ahead of its class;
  // refused only where it can't finish any more.
  std::vector<refuse> Requeue(const work_item& aItem,
                              const work_estimate& aWork,
                              time_point aNow);

  // The request of `aPool` that gets the next place, or none. Stays queued.
  // Requests of the classes `aSkippedClasses` are left out.
  next_request Next(const pool_name& aPool,
                    std::span<const class_name> aSkippedClasses,
                    time_point aNow);

  // Whether the request waits here.
  bool Contains(ticket aTicket) const { return mLocations.contains(aTicket); }

  // The request got a place. Unknown tickets are ignored.
  void Start(ticket aTicket, time_point aNow);

  // A request that got a place cost `aActual` in place of `aExpected`: its
  // class and its team are charged the difference.
  void AdjustCost(const work_item& aItem, double aExpected, double aActual);

  // The request's caller left. Unknown tickets are ignored.
  void Remove(ticket aTicket, time_point aNow);

  // A refusal of a request that waits here or not, with when to come back.
  refuse Refuse(const work_item& aItem, error_kind aKind, time_point aNow);

  // Refuses what can't finish before its deadline any more.
  std::vector<refuse> Expire(time_point aNow);

  // Pools for which something waits.
  std::vector<pool_name> WaitingPools() const;

  // When `Expire` or `Next` may have something to do without another event.
  std::optional<time_point> NextDue(time_point aNow) const;

  // How long a new request would wait, by what was measured.
  duration PredictedWait(const work_item& aItem, time_point aNow) const;

  // The declared first-token target of a class; zero where it has none.
  duration FirstTokenTarget(const class_name& aClass) const;

  // What other instances should know; one entry for each pool under load.
  std::vector<pool_pressure> Pressure(time_point aNow) const;
  void OnPeerPressure(const instance_name& aFrom,
                      const pool_pressure& aPressure,
                      time_point aNow);

  std::size_t size() const { return mLocations.size(); }

private:
  struct location
  {
    pool_name mPool;
    pool_queue::queue_handle mHandle;
    time_point mLatestStart{};
  };
  using latest_starts = std::set<std::pair<time_point, ticket>>;

  pool_queue& PoolOf(const pool_name& aPool);
  double WeightOf(const team_name& aTeam) const;
  void Add(const waiting_request& aRequest,
           const pool_queue::queue_handle& aHandle);
  // Forgets where a ticket waits; nothing where it doesn't.
  std::optional<location> Extract(ticket aTicket);

  request_queue_settings mSettings;
  std::mt19937_64 mRandom;
  std::unordered_map<class_name, class_objectives> mObjectives;
  // Only weights other than 1: most of 11,000 teams have none.
  std::unordered_map<team_name, double> mWeights;
  // Ordered, so that two runs visit pools in the same order.
  std::map<pool_name, pool_queue> mPools;
  std::unordered_map<ticket, location> mLocations;
  latest_starts mLatestStarts;
  peer_pressure mPeerPressure;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_REQUEST_QUEUE_H_
