// The endpoints of one entry instance: which may take new work, how much they
// hold, and which one a request goes to.
//
//   endpoint_table table(endpoint_table_settings{}, 1);
//   table.Configure(declared, ownDomain, now);
//   if (const auto chosen = table.Choose(item, tried, now)) { ... }
//
// It joins the modules of the endpoint side; each states its own load pattern:
// concurrency_limit.h, endpoint_load.h, endpoint_health.h, endpoint_choice.h,
// prefix_affinity.h, length_estimate.h, endpoint_subset.h.
//
// The cost of a decision doesn't grow with the endpoints: each pool keeps the
// list of those with a free place, a decision looks at a few random ones of it.
// What changes by time alone (a report that fades, a probe that falls due) is
// looked at again when it falls due, see `NextDue`.
#ifndef THORNHOLLOW_POLICY_ENDPOINT_TABLE_H_
#define THORNHOLLOW_POLICY_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "thornhollow/policy/endpoint_choice.h"
#include "thornhollow/policy/endpoint_subset.h"
#include "thornhollow/policy/internal/endpoint_record.h"
#include "thornhollow/policy/internal/pool_index.h"
#include "thornhollow/policy/length_estimate.h"
#include "thornhollow/policy/prefix_affinity.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct endpoint_table_settings
{
  internal::endpoint_record_settings mRecord;
  endpoint_choice_settings mChoice;
  prefix_affinity_settings mPrefix;
  length_estimate_settings mLength;
  endpoint_subset_settings mSubset;
  // False: long work may take every place.
  bool mLimitLongWork = true;
  // Long work is bounded only while short work came to the pool within this
  // time: places kept for nobody are lost.
  duration mShortWorkWindow = Seconds(10);
  // Endpoints looked at in turn where the sample holds no fit one; as many as a
  // pool has in a subset, so that a free place there is always found.
  std::size_t mMaxScan = 32;
  // A probe that found no fit request for this long takes any.
  duration mProbeFallbackDelay = Seconds(10);

  friend bool operator==(const endpoint_table_settings&,
                         const endpoint_table_settings&) = default;
};

// One endpoint as operators see it.
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

  // Who this instance is and which entry instances its domain has, for the
  // subset. Takes effect with the next `Configure`.
  void SetRouters(const instance_name& aOwn,
                  const std::vector<instance_name>& aRouters);

  // Takes the declared endpoints. What was learnt about one that stays is kept.
  void Configure(const declarations& aDeclared,
                 const domain_name& aOwnDomain,
                 time_point aNow);

  // The endpoint for `aItem`, or nothing where none has a free place. Endpoints
  // in `aTried` are taken only when no other one serves the pool. Takes no
  // place yet.
  std::optional<endpoint_name> Choose(const work_item& aItem,
                                      std::span<const endpoint_name> aTried,
                                      time_point aNow);

  // The endpoint at whose own queue `aItem` should wait, where none has a free
  // place: the one with the shortest, where this instance has fewer than
  // `aMaxQueued` requests more than it has places. Only where other routers
  // have requests, too: else nobody but this instance can free the next place,
  // and its own queue is the better one. Never at a plain service, which
  // honours no tiers. Nothing where there is none.
  std::optional<endpoint_name> ChooseForQueueing(
    const work_item& aItem,
    std::span<const endpoint_name> aTried,
    std::uint32_t aMaxQueued,
    time_point aNow);

  // An attempt goes to `aEndpoint`: takes one place there.
  void OnSent(const endpoint_name& aEndpoint,
              const work_item& aItem,
              time_point aNow);
  // The first token came `aWait` after the attempt was sent.
  void OnFirstToken(const endpoint_name& aEndpoint,
                    const work_item& aItem,
                    duration aWait,
                    time_point aNow);
  // The attempt ended: frees its place.
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

  // This process stood still (clock_gap.h). Until something new is heard of an
  // endpoint it gets one request more at most; old reports count for nothing,
  // and answers that span the pause teach nothing.
  void OnClockGap(time_point aNow);

  // Looks again at what changes by time alone.
  void Advance(time_point aNow);
  // When `Advance` may free a place next; nothing where no time is set.
  std::optional<time_point> NextDue() const;

  // Whether any endpoint that may take new work serves `aPool`.
  bool Serves(const pool_name& aPool) const;

  // Places of `aPool` over all endpoints in service, taken or free.
  std::uint32_t Slots(const pool_name& aPool) const;

  // Whether the pool's endpoints order their own queues by tier: model engines
  // do, plain services don't.
  bool HonoursTiers(const pool_name& aPool) const;

  // Tokens to expect of the answer to `aItem`.
  double ExpectedTokens(const work_item& aItem) const;
  // Whether `aItem` counts as long work: it may find no place where a request
  // behind it does.
  bool IsLong(const work_item& aItem) const;

  // Every endpoint that this instance works with, by name.
  std::vector<endpoint_status> Status(time_point aNow) const;

private:
  using endpoint_number = std::uint32_t;

  struct membership
  {
    // Nodes of the map of pools stay where they are.
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
  // One decision while it is made.
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
  void AddToPools(const declarations& aDeclared);
  void AddToPool(const pool_name& aPool,
                 const std::vector<const endpoint*>& aServing,
                 bool aHonoursTiers);
  void DropUnused(time_point aNow);
  // Brings the pools up to date with what changed about an endpoint.
  void Refresh(entry& aEntry, time_point aNow);
  void ScheduleRecheck(entry& aEntry, time_point aNow);
  static bool CanEject(const entry& aEntry);
  // The member number of `aEntry` in `aPool`, where it is one.
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
  // Numbers of endpoints that are gone are used again.
  std::vector<std::optional<entry>> mEntries;
  std::vector<endpoint_number> mFreeNumbers;
  std::unordered_map<pool_name, pool_state> mPools;
  // States other than live, also of endpoints outside the subset.
  std::unordered_map<endpoint_name, endpoint_state> mNonLiveStates;
  std::priority_queue<recheck, std::vector<recheck>, std::greater<>> mRechecks;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINT_TABLE_H_
