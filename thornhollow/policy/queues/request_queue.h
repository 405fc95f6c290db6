// All requests of one entry instance that wait for a slot at an endpoint, over
// all pools, and the order in which the requests get a slot.
//
//   request_queue queue(request_queue_settings{}, 1);
//   queue.Push(item, work, now);
//   if (const work_item* next = queue.Next(pool, {}, now).mItem) {
//     queue.Start(next->mTicket, now);
//   }
//
// `pool_queue` orders and bounds the requests of each pool. This class manages
// the set of pools, the deadlines and the load reports of other instances.
#ifndef THORNHOLLOW_POLICY_QUEUES_REQUEST_QUEUE_H_
#define THORNHOLLOW_POLICY_QUEUES_REQUEST_QUEUE_H_

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

#include "thornhollow/policy/admission/tier_pressure.h"
#include "thornhollow/policy/queues/pool_queue.h"
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
  // `aSeed` seeds the jitter of retry delays.
  request_queue(const request_queue_settings& aSettings, std::uint64_t aSeed);

  // Applies the declared classes, minimum shares and teams. Queued requests are
  // kept.
  void Configure(const declarations& aDeclared, time_point aNow);

  // Queues `aItem`. Returns the refusals that this causes: of `aItem` itself or
  // of a request that was shed to make room for it.
  std::vector<refuse> Push(const work_item& aItem,
                           const work_estimate& aWork,
                           time_point aNow);

  // Queues a retry of a request that ran without producing its answer, at the
  // front of its class. Refused only if it can no longer meet its deadline.
  std::vector<refuse> Requeue(const work_item& aItem,
                              const work_estimate& aWork,
                              time_point aNow);

  // Returns the request of `aPool` that gets the next slot, or none, without
  // removing it. Ignores the classes in `aSkippedClasses`.
  next_request Next(const pool_name& aPool,
                    std::span<const class_name> aSkippedClasses,
                    time_point aNow);

  // Whether the request with this ticket is queued.
  bool Contains(ticket aTicket) const { return mLocations.contains(aTicket); }

  // Removes a request that was given a slot. Unknown tickets are ignored.
  void Start(ticket aTicket, time_point aNow);

  // Charges the class and team of a started request the difference between its
  // actual and its expected cost, both in output tokens (see
  // waiting_request.h).
  void AdjustCost(const work_item& aItem, double aExpected, double aActual);

  // Removes a request that was not started. Unknown tickets are ignored.
  void Remove(ticket aTicket, time_point aNow);

  // Creates a refusal that includes the retry delay. The request need not be
  // queued.
  refuse Refuse(const work_item& aItem, error_kind aKind, time_point aNow);

  // Removes and refuses all requests that can no longer meet their deadline.
  std::vector<refuse> Expire(time_point aNow);

  // Pools that have queued requests.
  std::vector<pool_name> WaitingPools() const;

  // Earliest time at which `Expire` or `Next` may return something new although
  // nothing else has happened; nullopt if there is no such time.
  std::optional<time_point> NextDue(time_point aNow) const;

  // Expected queueing time of `aItem` if it were queued now, from the measured
  // service rate.
  duration PredictedWait(const work_item& aItem, time_point aNow) const;

  // The declared first-token target of a class; zero if it has none.
  duration FirstTokenTarget(const class_name& aClass) const;

  // Load reports for the other instances, one for each pool under load.
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
  // Removes and returns the location of a ticket; nothing if it is not queued.
  std::optional<location> Extract(ticket aTicket);

  request_queue_settings mSettings;
  std::mt19937_64 mRandom;
  std::unordered_map<class_name, class_objectives> mObjectives;
  // Fair-queueing weights of teams. Holds only weights other than 1, because
  // most of up to 11,000 teams declare no weight.
  std::unordered_map<team_name, double> mWeights;
  // Queues of waiting requests by pool. The map is ordered, so that runs with
  // the same input visit pools in the same order.
  std::map<pool_name, pool_queue> mPools;
  std::unordered_map<ticket, location> mLocations;
  latest_starts mLatestStarts;
  peer_pressure mPeerPressure;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_QUEUES_REQUEST_QUEUE_H_
