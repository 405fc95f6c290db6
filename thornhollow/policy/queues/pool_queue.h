// Queue of the requests that wait for one pool. Selects the request to start
// next, sheds requests when the queue is full, and predicts the wait of a new
// request.
//
//   pool_queue queue(settings);
//   const auto pushed = queue.Push(request, weight, random, now);
//   if (queue.Next(peers, pool, {}, now).mItem != nullptr) {
//     queue.Start(*pushed.mHandle, now);
//   }
//
// Load pattern: several classes together demand more than the pool can serve.
// A class that is below its minimum share is served first, then the highest
// tier; within a class, teams are served by fair queueing. Queue capacity is
// divided in the same way: each class has reserved capacity in proportion to
// its minimum share, and the rest is shared by all classes and allocated by
// tier. The most recent request of the lowest tier is therefore shed first, and
// no class loses its reserved capacity to a higher tier.
// docs/design/tiers_and_shares.md explains why tier order and minimum shares
// hold at the same time.
#ifndef THORNHOLLOW_POLICY_QUEUES_POOL_QUEUE_H_
#define THORNHOLLOW_POLICY_QUEUES_POOL_QUEUE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "thornhollow/policy/admission/minimum_share.h"
#include "thornhollow/policy/admission/retry_schedule.h"
#include "thornhollow/policy/admission/tier_pressure.h"
#include "thornhollow/policy/endpoints/service_rate.h"
#include "thornhollow/policy/queues/fair_queue.h"
#include "thornhollow/policy/queues/standing_queue.h"

namespace thornhollow {

struct pool_queue_settings
{
  // Capacity of the pool's queue that is shared by all classes, in requests.
  std::size_t mMaxWaiting = 1024;
  bool mTierOrder = true;
  bool mMinimumShares = true;
  bool mFairTeams = true;
  // If true, a request is refused on arrival if, by the predicted wait, it
  // would start too late to meet its deadline, and before it starts if it can
  // no longer finish by its deadline.
  bool mDeadlineCheck = true;
  standing_queue_settings mStandingQueue;
  retry_schedule_settings mRetrySchedule;

  friend bool operator==(const pool_queue_settings&,
                         const pool_queue_settings&) = default;
};

// The request that gets the next slot.
struct next_request
{
  // The request that gets the next slot; null if there is none.
  const work_item* mItem = nullptr;
  // Whether the request precedes requests of higher tiers because its class has
  // received less than its minimum share.
  bool mUsesMinimumShare = false;
};

// The declared service objectives of a class.
struct class_objectives
{
  double mMinimumShare = 0;
  duration mFirstTokenTarget{};

  friend bool operator==(const class_objectives&,
                         const class_objectives&) = default;
};

class pool_queue
{
public:
  // Orders classes by tier, then by name.
  struct class_key
  {
    int mTier = kLowestTier;
    class_name mClass;
    // clang-tidy 14 takes the 0 in the generated code for a null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend std::strong_ordering operator<=>(const class_key&,
                                            const class_key&) = default;
    // NOLINTEND(modernize-use-nullptr)
    friend bool operator==(const class_key&, const class_key&) = default;
  };
  // Identifies a queued request.
  struct queue_handle
  {
    class_key mClass;
    fair_queue::position mPosition;
  };
  // Result of `Push`: the handle of the queued request, or the refusal of that
  // request. Also contains the refusal of a request that was shed to make room.
  struct push_result
  {
    std::optional<queue_handle> mHandle;
    std::vector<refuse> mRefused;
  };

  explicit pool_queue(const pool_queue_settings& aSettings);

  // Sets the objectives of a class. A class without objectives has neither a
  // minimum share nor a first-token target.
  void SetObjectives(const class_name& aClass,
                     const class_objectives& aObjectives);

  push_result Push(const waiting_request& aRequest,
                   double aTeamWeight,
                   std::mt19937_64& aRandom,
                   time_point aNow);

  // Queues a retry of a request that was started before, at the front of its
  // class. It is not refused for lack of capacity; only its deadline applies.
  queue_handle Requeue(const waiting_request& aRequest, time_point aNow);

  // Returns the request that gets the next slot, without removing it. Returns
  // no request if nothing waits or if all waiting requests are held back
  // because a higher tier waits too long at another instance (`aPeers`).
  // Ignores the classes in `aSkippedClasses`.
  next_request Next(const peer_pressure& aPeers,
                    const pool_name& aPool,
                    std::span<const class_name> aSkippedClasses,
                    time_point aNow);

  // The queued request with this handle, which must exist.
  const waiting_request& At(const queue_handle& aHandle) const;

  // Removes a request returned by `Next` that was given a slot.
  void Start(const queue_handle& aHandle, time_point aNow);

  // Corrects the cost charged for a started request from `aExpected` to
  // `aActual`.
  void AdjustCost(const work_item& aItem,
                  double aTeamWeight,
                  double aExpected,
                  double aActual);

  // Removes a request that was not started. Unknown handles are ignored.
  void Remove(const queue_handle& aHandle, time_point aNow);

  // Creates a refusal of the request with the delay after which the caller may
  // retry.
  refuse Refuse(const waiting_request& aRequest,
                error_kind aKind,
                std::mt19937_64& aRandom,
                time_point aNow);

  // Expected queueing time of a new request, from the measured service rate;
  // zero if nothing waits.
  duration PredictedWait(const work_item& aItem, time_point aNow) const;

  // The load of this queue, to be sent to the other instances. Only waits of at
  // least `aMinWait` are reported.
  pool_pressure Pressure(const pool_name& aPool,
                         duration aMinWait,
                         time_point aNow) const;

  // When the next class that is held back for another instance becomes eligible
  // by its minimum share; empty if none is held back or the service rate is
  // unknown.
  std::optional<time_point> NextMinimumShareDue(time_point aNow) const;

  bool empty() const { return mCount == 0; }
  std::size_t size() const { return mCount; }

private:
  struct class_queue
  {
    class_queue(const pool_queue_settings& aSettings,
                const class_objectives& aObjectives);

    class_objectives mObjectives;
    fair_queue mWaiting;
    minimum_share mMinimumShare;
    service_rate mRate;
    standing_queue mStandingQueue;
    retry_schedule mRetrySchedule;

    double NextCost() const;
  };
  using classes = std::map<class_key, class_queue>;

  class_key KeyOf(const work_item& aItem) const;
  class_queue& ClassOf(const class_key& aKey);
  void Observe(time_point aNow);
  void AccrueShares(double aServed);
  // Number of queue entries reserved for a class.
  std::size_t ReservedCapacity(const class_queue& aClass) const;
  // Number of waiting requests of a class that use shared capacity.
  std::size_t SharedCount(const class_queue& aClass) const;
  std::size_t TotalSharedCount() const;
  // The class whose request is shed next: the one of the lowest tier that uses
  // shared capacity, and within a tier the one that uses most of it. Null if no
  // class uses shared capacity.
  classes::value_type* ShedCandidate();
  // Ensures queue capacity for the request. Returns the refusal of the request
  // that is shed for it, or of the request itself.
  std::optional<refuse> MakeRoom(const waiting_request& aRequest,
                                 const class_key& aKey,
                                 std::mt19937_64& aRandom,
                                 time_point aNow);
  bool WouldMissDeadline(const waiting_request& aRequest,
                         const class_queue& aClass,
                         time_point aNow) const;
  std::optional<double> RateFor(const class_queue& aClass,
                                time_point aNow) const;

  pool_queue_settings mSettings;
  std::unordered_map<class_name, class_objectives> mObjectives;
  classes mClasses;
  std::size_t mCount = 0;
  service_rate mRate;
  // Whether the last call of `Next` found only waiting requests that are held
  // back because a higher tier waits at another instance.
  bool mHeldBack = false;
  time_point mLastObserved{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_QUEUES_POOL_QUEUE_H_
