// Tracks the endpoints that one entry instance works with: which of them accept
// new work and how many requests each has. Chooses the endpoint for a request.
//
//   endpoint_table table(endpoint_table_settings{}, 1);
//   table.Configure(declared, ownDomain, now);
//   if (const auto chosen = table.Choose(item, tried, now)) { ... }
//
// The table combines these modules, each of which documents the load pattern
// that it handles: concurrency_limit.h, endpoint_load.h, endpoint_health.h,
// endpoint_choice.h, prefix_affinity.h, length_estimate.h, endpoint_subset.h.
//
// The cost of a decision doesn't grow with the number of endpoints: each pool
// keeps a list of its endpoints with a free slot, and a decision considers a
// few random endpoints from the list. State that changes with time alone (a
// load report that loses weight, a probe that falls due) is re-evaluated by
// `Advance`, which should be called at `NextDue`.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_TABLE_H_
#define THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "thornhollow/policy/endpoints/out_of_service.h"
#include "thornhollow/policy/placement/endpoint_choice.h"
#include "thornhollow/policy/placement/endpoint_subset.h"
#include "thornhollow/policy/placement/internal/endpoint_record.h"
#include "thornhollow/policy/placement/internal/pool_index.h"
#include "thornhollow/policy/placement/prefix_affinity.h"
#include "thornhollow/policy/queues/length_estimate.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct endpoint_table_settings
{
  internal::endpoint_record_settings mRecord;
  endpoint_choice_settings mChoice;
  prefix_affinity_settings mPrefix;
  length_estimate_settings mLength;
  endpoint_subset_settings mSubset;
  // If false, long requests may take every slot.
  bool mLimitLongWork = true;
  // Long requests are limited only if the pool received a short request within
  // this time, because slots that are reserved without need are wasted.
  duration mShortWorkWindow = Seconds(10);
  // Maximum number of endpoints scanned one after the other if the random
  // sample contains no eligible one. At least the size of a pool's subset
  // (`mSubset`), so that a free slot in the subset is always found.
  std::size_t mMaxScan = 32;
  // If no suitable request came for a probe for this long, the next request of
  // any kind is used as the probe.
  duration mProbeFallbackDelay = Seconds(10);

  friend bool operator==(const endpoint_table_settings&,
                         const endpoint_table_settings&) = default;
};

// The state of one endpoint as shown to operators.
struct endpoint_status
{
  endpoint_name mName;
  endpoint_state mState = endpoint_state::kLive;
  health_state mHealth = health_state::kHealthy;
  double mCapacityFraction = 1;
  std::uint32_t mLimit = 0;
  std::uint32_t mInFlight = 0;
  double mOthersInFlight = 0;

  friend bool operator==(const endpoint_status&,
                         const endpoint_status&) = default;
};

class endpoint_table
{
public:
  endpoint_table(const endpoint_table_settings& aSettings, std::uint64_t aSeed);

  // Sets this instance's name and the entry instances of its domain, from which
  // its subset of endpoints is chosen. Takes effect with the next `Configure`.
  void SetRouters(const instance_name& aOwn,
                  const std::vector<instance_name>& aRouters);

  // Replaces the declared endpoints. State measured for endpoints that remain
  // declared is kept. An engine that is new or whose failure domain comes back,
  // of a model that declares a warm-up, gets nothing before the first call of
  // `SetRequestRate` for it.
  void Configure(const declarations& aDeclared,
                 const domain_name& aOwnDomain,
                 time_point aNow);

  // Returns the endpoint for `aItem`, or nothing if none has a free slot.
  // Endpoints in `aTried` are chosen only if no other one serves the pool.
  // Doesn't take the slot; see `OnSent`.
  std::optional<endpoint_name> Choose(const work_item& aItem,
                                      std::span<const endpoint_name> aTried,
                                      time_point aNow);

  // Returns the endpoint in whose own queue `aItem` should wait if no endpoint
  // has a free slot: the one with the shortest queue, among those where this
  // instance has fewer than `aMaxQueued` requests beyond the slots that it may
  // use. Only endpoints that other routers use too are considered. At an
  // endpoint used by this instance alone, only this instance's requests can
  // free the next slot, so it is better to wait in this instance's queue. Plain
  // services are never considered, as they don't honour tiers. Returns nothing
  // if no endpoint qualifies.
  std::optional<endpoint_name> ChooseForQueueing(
    const work_item& aItem,
    std::span<const endpoint_name> aTried,
    std::uint32_t aMaxQueued,
    time_point aNow);

  // An attempt is sent to `aEndpoint`: takes one of the endpoint's slots.
  void OnSent(const endpoint_name& aEndpoint,
              const work_item& aItem,
              time_point aNow);
  // The first token arrived `aWait` after the attempt was sent.
  void OnFirstToken(const endpoint_name& aEndpoint,
                    const work_item& aItem,
                    duration aWait,
                    time_point aNow);
  // The attempt at `aEndpoint` ended `aElapsed` after it was sent: frees the
  // attempt's slot.
  void OnEnded(const endpoint_name& aEndpoint,
               const work_item& aItem,
               attempt_end aHow,
               std::uint32_t aTokens,
               duration aElapsed,
               time_point aNow);

  void OnLoadReport(const endpoint_name& aEndpoint,
                    const load_report& aReport,
                    time_point aNow);
  void SetState(const endpoint_name& aEndpoint,
                endpoint_state aState,
                time_point aNow);
  // The endpoint wants no new work from this router until `aUntil`.
  void Rest(const endpoint_name& aEndpoint, time_point aUntil, time_point aNow);
  // Sets how many requests a second this instance may send to the endpoint; as
  // many as it takes if unset.
  void SetRequestRate(const endpoint_name& aEndpoint,
                      const std::optional<double>& aRate,
                      time_point aNow);

  // To be called after this process was paused (clock_gap.h). Until something
  // new is received from an endpoint, the endpoint gets at most one more
  // request. Older reports are ignored, and answers that span the pause don't
  // count in the measurements.
  void OnClockGap(time_point aNow);

  // Re-evaluates endpoint state that changes with time alone, such as the
  // weight of an ageing load report.
  void Advance(time_point aNow);
  // When `Advance` should be called next because a slot may become free; empty
  // if no re-evaluation is scheduled.
  std::optional<time_point> NextDue() const;

  // Whether any endpoint that accepts new work serves `aPool`.
  bool Serves(const pool_name& aPool) const;

  // How long the pool is expected to have no endpoint because the failure
  // domains of all its endpoints are out of service; nothing if one is in
  // service.
  std::optional<duration> OutOfServiceLeft(const pool_name& aPool,
                                           time_point aNow) const;

  // Number of slots of `aPool` over all endpoints in service, taken or free.
  std::uint32_t Slots(const pool_name& aPool) const;

  // Whether the pool's endpoints order their own queues by tier: model engines
  // do, plain services don't.
  bool HonoursTiers(const pool_name& aPool) const;

  // Returns the expected number of tokens of the answer to `aItem`.
  double ExpectedTokens(const work_item& aItem) const;
  // Whether `aItem` counts as long work. Long requests may use only a part of
  // the slots, so a shorter request behind `aItem` may find a free slot when
  // `aItem` doesn't.
  bool IsLong(const work_item& aItem) const;

  // Returns the status of every endpoint in the table, sorted by name: those
  // that this instance may send requests to, and those no longer used that
  // still have requests in flight or an unexpired report that they are leaving.
  std::vector<endpoint_status> Status(time_point aNow) const;

private:
  using endpoint_number = std::uint32_t;

  struct membership
  {
    // Index of the pool. Points into `mPools`; nodes of an unordered_map have
    // stable addresses.
    internal::pool_index* mPool = nullptr;
    std::uint32_t mMember = 0;
  };
  struct entry
  {
    internal::endpoint_record mRecord;
    std::vector<membership> mPools;
    std::optional<time_point> mRecheck;
  };
  struct recheck
  {
    time_point mAt{};
    endpoint_number mEndpoint = 0;
    friend bool operator>(const recheck& aLeft, const recheck& aRight)
    {
      return aLeft.mAt > aRight.mAt;
    }
  };
  struct pool_state
  {
    internal::pool_index mIndex;
    std::optional<time_point> mLastShortWork;
  };
  // Intermediate state while an endpoint is chosen for one request.
  struct search
  {
    const work_item& mItem;
    std::span<const endpoint_name> mTried;
    pool_state& mPool;
    request_size mSize;
    prefix_affinity::endpoint_list mCachedAt{};
    bool mAvoidTried = false;
    bool mLimitLong = false;
    time_point mNow{};
    std::optional<endpoint_number> mBest;
    double mBestCost = 0;
  };

  entry* Find(const endpoint_name& aEndpoint);
  endpoint_number NumberFor(const endpoint& aDeclared, bool aHonoursTiers);
  // The endpoint's number, after its record took over what is declared.
  endpoint_number Declare(const endpoint& aDeclared,
                          const pool_name& aPool,
                          bool aHonoursTiers);
  void AddToPools(const declarations& aDeclared);
  void TakeOutOfService(const declarations& aDeclared, time_point aNow);
  void KeepInService(std::vector<const endpoint*>& aServing) const;
  void AddToPool(const pool_name& aPool,
                 const std::vector<const endpoint*>& aServing,
                 bool aHonoursTiers);
  void DropUnused(time_point aNow);
  // Updates the pool indexes after a change of an endpoint.
  void Refresh(entry& aEntry, time_point aNow);
  void ScheduleRecheck(entry& aEntry, time_point aNow);
  static bool CanEject(const entry& aEntry);
  // The member number of `aEntry` in `aPool`; empty if it isn't a member.
  static std::optional<std::uint32_t> MemberOf(const entry& aEntry,
                                               const pool_state& aPool);

  search BeginSearch(const work_item& aItem,
                     std::span<const endpoint_name> aTried,
                     pool_state& aPool,
                     time_point aNow);
  bool AllServingTried(const pool_state& aPool,
                       std::span<const endpoint_name> aTried);
  void Consider(endpoint_number aNumber, search& aSearch);
  void ConsiderPrefixHits(search& aSearch);
  void Sample(internal::pool_index::domain_rank aRank, search& aSearch);
  void Scan(internal::pool_index::domain_rank aRank, search& aSearch);
  bool IsEligible(const entry& aEntry, const search& aSearch) const;
  bool IsEligibleForProbe(const entry& aEntry, const search& aSearch) const;
  double Cost(endpoint_number aNumber, const search& aSearch) const;
  std::size_t RandomIndex(std::size_t aBelow);

  endpoint_table_settings mSettings;
  std::mt19937_64 mRandom;
  subset_context mSubsetContext;
  prefix_affinity mAffinity;
  length_estimate mLengths;
  std::unordered_map<endpoint_name, endpoint_number> mNumbers;
  // Entries of the endpoints, indexed by endpoint number. Numbers of removed
  // endpoints are reused.
  std::vector<std::optional<entry>> mEntries;
  std::vector<endpoint_number> mFreeNumbers;
  std::unordered_map<pool_name, pool_state> mPools;
  // States of endpoints that are not live, including endpoints outside this
  // instance's subset.
  std::unordered_map<endpoint_name, endpoint_state> mNonLiveStates;
  out_of_service_domains mOutOfService;
  std::unordered_set<pool_name> mPoolsWithWarmUp;
  std::priority_queue<recheck, std::vector<recheck>, std::greater<>> mRechecks;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_TABLE_H_
