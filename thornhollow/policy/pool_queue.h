// The requests that wait for one pool: which goes next, which is refused when
// room is needed, and how long a new one would wait.
//
//   pool_queue queue(settings);
//   if (const auto wait = queue.PredictedWait(request, now)) { ... }
//   queue.Push(request, weight, now);
//   if (queue.Next(peers, pool, {}, now).mItem != nullptr) {
//     queue.Start(place, now);
//   }
//
// Load pattern: demand of several classes exceeds the pool. Order of service:
// a class that is owed its minimum share, else the highest tier; inside a class
// teams by fair queueing. Room is divided in the same way: each class has
// places of its own, in proportion to its share, beside the common ones, and
// the common ones go by tier. So the lowest tier's last request makes room
// first, and no tier can be pushed out of its own places. See
// docs/design/tiers_and_shares.md for why both promises hold at once.
#ifndef THORNHOLLOW_POLICY_POOL_QUEUE_H_
#define THORNHOLLOW_POLICY_POOL_QUEUE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "thornhollow/policy/fair_queue.h"
#include "thornhollow/policy/minimum_share.h"
#include "thornhollow/policy/retry_schedule.h"
#include "thornhollow/policy/service_rate.h"
#include "thornhollow/policy/standing_queue.h"
#include "thornhollow/policy/tier_pressure.h"

namespace thornhollow {

struct pool_queue_settings
{
  // Requests that wait in the pool's common places.
  std::size_t mMaxWaiting = 1024;
  bool mTierOrder = true;
  bool mMinimumShares = true;
  bool mFairTeams = true;
  // Refuses on arrival what the measured wait keeps from its deadline, and
  // before the start what can't finish any more.
  bool mDeadlineCheck = true;
  standing_queue_settings mStandingQueue;
  retry_schedule_settings mRetrySchedule;

  friend bool operator==(const pool_queue_settings&,
                         const pool_queue_settings&) = default;
};

// The request that gets the next place.
struct next_request
{
  // Null where there is none.
  const work_item* mItem = nullptr;
  // It goes before higher tiers, by its class's minimum share.
  bool mUsesMinimumShare = false;
};

// What a class is declared to get.
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
  // Classes in order of service: by tier, then by name.
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
  // Where a request waits.
  struct queue_handle
  {
    class_key mClass;
    fair_queue::position mPosition;
  };
  // What came of an arrival: a place, or else a refusal of the arrival; and the
  // request that had to make room.
  struct push_result
  {
    std::optional<queue_handle> mHandle;
    std::vector<refuse> mRefused;
  };

  explicit pool_queue(const pool_queue_settings& aSettings);

  // The class's terms; an unknown class has none.
  void SetObjectives(const class_name& aClass,
                     const class_objectives& aObjectives);

  push_result Push(const waiting_request& aRequest,
                   double aTeamWeight,
                   std::mt19937_64& aRandom,
                   time_point aNow);

  // A request that was started before and has to run again: goes next in its
  // class and is refused for nothing but its deadline.
  queue_handle Requeue(const waiting_request& aRequest, time_point aNow);

  // The request that gets the next place, or none where nothing waits or what
  // waits is held back for a higher tier elsewhere. Stays queued. Requests of
  // the classes `aSkippedClasses` are left out.
  next_request Next(const peer_pressure& aPeers,
                    const pool_name& aPool,
                    std::span<const class_name> aSkippedClasses,
                    time_point aNow);

  // The request there; something must wait there.
  const waiting_request& At(const queue_handle& aHandle) const;

  // The request that `Next` returned got a place.
  void Start(const queue_handle& aHandle, time_point aNow);

  // A request that had a place cost `aActual` in place of `aExpected`.
  void AdjustCost(const work_item& aItem,
                  double aTeamWeight,
                  double aExpected,
                  double aActual);

  // Leaves without a place. Unknown places are ignored.
  void Remove(const queue_handle& aHandle, time_point aNow);

  // A refusal of this request, with when to come back.
  refuse Refuse(const waiting_request& aRequest,
                error_kind aKind,
                std::mt19937_64& aRandom,
                time_point aNow);

  // How long a new request would wait, by what was measured; zero where nothing
  // waits.
  duration PredictedWait(const work_item& aItem, time_point aNow) const;

  // For the other instances.
  pool_pressure Pressure(const pool_name& aPool,
                         duration aMinWait,
                         time_point aNow) const;

  // When a class that is held back is owed its share.
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
  // Places of its own that a class has.
  std::size_t ReservedCapacity(const class_queue& aClass) const;
  // Waiting requests of a class in common places.
  std::size_t SharedCount(const class_queue& aClass) const;
  std::size_t TotalSharedCount() const;
  // The last class in order with requests in common places, and of one tier's
  // classes the one with most; null where there is none.
  classes::value_type* ShedCandidate();
  // Makes room for the request, or refuses it.
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
  // The last observation found work that was held back for a higher tier of
  // another instance.
  bool mHeldBack = false;
  time_point mLastObserved{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_POOL_QUEUE_H_
