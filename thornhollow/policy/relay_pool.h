// The endpoints of one pool and the choice among them for relayed requests.
//
//   relay_pool pool(relay_pool_settings{}, true, ownDomain, seed);
//   pool.Put(endpoint);
//   if (const auto pick = pool.Choose(request, tried, now)) {
//     pool.OnSent(*pick, request, now);
//   }
//
// Load pattern: engines that prefill at a fixed rate, between the decoding
// steps of their streams; sessions whose prompts share a prefix that is
// expensive to prefill again; several instances that send to the same engines
// and learn about each other's work with a delay.
//
// The cost of an engine for a request is the time to its first event: the
// prompt tokens waiting there, by this instance's count and by what others
// reported to have sent lately, plus the tokens to prefill for the request
// itself. The prefix blocks of a prompt are cached on the engine that was sent
// them before. As all instances rank the engines alike by the hash of the
// blocks, that is most likely the first engine in this order. Prefilling them
// on another engine is charged `mMissPenalty` times its duration, since it also
// takes time from all other requests. That alone would overload the engine of a
// popular session while others idle, so the penalty is lower for the next
// engines in the session's order.
//
// Engines that run few requests at a time run out of slots before they are busy
// with prefill. Long prompts are then refused by the expected wait for a slot,
// derived from the requests in flight over all instances and the time that a
// response takes. Otherwise they would wait at engines until their callers time
// out.
//
// The side of the partition to which an engine belongs follows from the hash of
// its name, except that slow engines are assigned to the bulk side first.
//
// Endpoints of failure domains that appear unreachable are skipped as long as
// others are left, see policy/domain_reachability.h.
//
// Plain services are chosen by load instead: the endpoint with the fewest
// requests from this instance, preferring its own failure domain.
#ifndef THORNHOLLOW_POLICY_RELAY_POOL_H_
#define THORNHOLLOW_POLICY_RELAY_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/domain_reachability.h"
#include "thornhollow/policy/endpoint_health.h"
#include "thornhollow/policy/engine_partition.h"
#include "thornhollow/policy/engine_sides.h"
#include "thornhollow/policy/popular_prefix_blocks.h"
#include "thornhollow/policy/prefill_rate.h"
#include "thornhollow/policy/prefill_time_per_token.h"
#include "thornhollow/policy/prefix_affinity.h"
#include "thornhollow/policy/prefix_reuse_estimator.h"
#include "thornhollow/policy/relay_admission.h"
#include "thornhollow/policy/request_profile.h"
#include "thornhollow/policy/slot_occupancy.h"
#include "thornhollow/policy/workload_kind.h"

namespace thornhollow {

struct relay_pool_settings
{
  // Prefill rate of an engine in tokens per second until one is measured: the
  // middle of the 20,000 to 150,000 of present engines.
  double mPrefillTokensPerSecond = 55'000;
  // Time from a request's arrival at an idle engine to its first event,
  // excluding the prefill.
  duration mFirstEventOverhead = Milliseconds(20);
  // Factor on the prefill time of prefix blocks that are not cached on an
  // engine, see above.
  double mMissPenalty = 16;
  // Penalty of the second engine in the session's order, twice as much for the
  // third, up to `mMissPenalty`. A session that exceeds one engine's capacity
  // thus spreads over the same few engines on every instance.
  double mMissPenaltyStep = 8;
  // Cost of an engine whose slots are all occupied, as a fraction of the
  // request's target.
  double mOccupancyFraction = 0.1;
  // Queues for slots are uneven: when the mean engine has a short one, a
  // request waits this many times as long at the engine to which it is sent.
  double mQueueImbalance = 4;
  // Minimum tokens of shared prefix blocks that are copied from another engine
  // on which they are estimated to be cached, if they are not on the chosen
  // one; 0: never copy. A copy is faster than a prefill and does not delay
  // streams; shorter blocks are prefilled in a few milliseconds.
  std::uint32_t mCopyFromTokens = 256;
  // Bulk work avoids engines that changed to the bulk side and still serve
  // interactive streams, while it would keep the other bulk engines busy with
  // prefill for less than this fraction of the time. A saturated site needs the
  // capacity.
  double mAvoidClearingBelow = 0.6;
  // An engine counts as slow above the first multiple of the pool's minimum
  // prefill time per token, until it falls to the second: engines differ
  // by 1.3.
  double mSlowThreshold = 1.17;
  double mSlowExitThreshold = 1.10;
  // Time after an engine's first prefill sample before its speed is used, as
  // the first few waits include the time of other prompts. Not longer, because
  // until then slow engines serve interactive streams and exceed the promised
  // time between events.
  duration mWarmup = Seconds(6);
  engine_partition_settings mPartition;
  engine_sides_settings mSides;
  relay_admission_settings mAdmission;
  prefix_affinity_settings mAffinity = { .mEnabled = true,
                                         .mMaxPrefixes = 1024,
                                         .mTimeToLive = Seconds(30) };

  friend bool operator==(const relay_pool_settings&,
                         const relay_pool_settings&) = default;
};

// An endpoint as known to placement.
struct relay_endpoint
{
  endpoint_name mName;
  std::string mAddress;
  domain_name mDomain;
  std::uint64_t mLifetime = 0;
  bool mDraining = false;

  friend bool operator==(const relay_endpoint&,
                         const relay_endpoint&) = default;
};

// Load that an instance has placed on an endpoint.
struct relay_load
{
  endpoint_name mName;
  // Requests that have not ended.
  std::uint32_t mInFlight = 0;
  // Prompt tokens to prefill for requests without a first event yet.
  std::uint64_t mPrefillTokens = 0;
  // Minimum prefill time per token in nanoseconds; 0: not known.
  double mPrefillNanoseconds = 0;
  bool mSlow = false;

  friend bool operator==(const relay_load&, const relay_load&) = default;
};

class relay_pool
{
public:
  relay_pool(const relay_pool_settings& aSettings,
             bool aEngines,
             domain_name aOwnDomain,
             std::uint64_t aSeed);

  // Adds an endpoint or updates a known one. A different lifetime replaces the
  // endpoint by a new one.
  void Put(const relay_endpoint& aEndpoint);
  void Remove(const endpoint_name& aName);
  std::size_t size() const { return mRecords.size(); }
  // Whether the endpoints are engines rather than plain services.
  bool ServesEngines() const { return mEngines; }

  // Admits or refuses `aRequest`, whose caller waits for `aTimeLeft` more. To
  // be called before the first attempt. Returns the endpoint for that attempt,
  // since choosing a second time would double the work per request. Only bulk
  // work on engines can be refused; nothing is chosen if no endpoint is
  // available.
  std::variant<std::optional<relay_pick>, admission_refusal>
  Admit(const request_profile& aRequest, duration aTimeLeft, time_point aNow);

  // Chooses an endpoint for `aRequest` that is not in `aTried`. Returns nothing
  // if no endpoint is available.
  std::optional<relay_pick> Choose(const request_profile& aRequest,
                                   const std::vector<endpoint_name>& aTried,
                                   time_point aNow);

  void OnSent(const relay_pick& aPick,
              const request_profile& aRequest,
              time_point aNow);
  // The first event or the whole response started, `aWait` after the request
  // was sent.
  void OnFirstByte(const relay_pick& aPick,
                   const request_profile& aRequest,
                   duration aWait,
                   time_point aNow);
  // The attempt ended. `aStarted`: its first byte had arrived.
  void OnEnded(const relay_pick& aPick,
               const request_profile& aRequest,
               attempt_end aHow,
               bool aStarted,
               duration aLength,
               time_point aNow);

  // The endpoint did not answer at all, as if unreachable; `OnEnded` is called
  // as well. Returns whether its failure domain became suspect by this.
  bool OnUnreachable(const relay_pick& aPick, time_point aNow);
  // A message from another instance in the failure domain was received.
  void OnPeerMessage(const domain_name& aDomain, time_point aNow);

  // Sets the load reported by other instances: sums over them, and the minimum
  // of their prefill times per token, 0 if none was reported.
  void SetRemoteLoad(const relay_load& aLoad, time_point aNow);
  // Sets the totals over all instances, this one included. To be called every
  // 100 ms.
  void SetView(const pool_view& aView, time_point aNow);
  // Requests that an engine runs concurrently; 0: not configured.
  void SetSlots(std::size_t aSlots) { mSlots = aSlots; }
  // Number of instances that send to these endpoints, this one included.
  void SetInstances(std::size_t aInstances) { mInstances = aInstances; }
  // This process was paused.
  void OnClockGap(time_point aNow);

  // This instance's contribution to the view.
  pool_view LocalView(time_point aNow) const;
  std::vector<relay_load> Loads(time_point aNow) const;
  std::size_t BulkEngines() const { return mPartition.BulkEngines(); }
  // Mean prefill rate of an engine, in tokens per second.
  double PrefillTokensPerSecond() const { return mPrefillTokensPerSecond; }

private:
  struct record
  {
    relay_endpoint mEndpoint;
    std::uint32_t mNumber = 0;
    // Hash that orders engines for the partition and for sessions; the same on
    // every instance.
    std::uint64_t mRank = 0;
    endpoint_health mHealth;
    std::uint32_t mInFlight = 0;
    std::uint64_t mPrefillTokens = 0;
    std::uint64_t mRemotePrefillTokens = 0;
    std::uint32_t mRemoteInFlight = 0;
    prefill_time_per_token mPrefillTime = {};
    // Time of the first known prefill time per token.
    std::optional<time_point> mPrefillTimeKnownSince = std::nullopt;
    // Prefills so slowly that it is assigned to the bulk side first.
    bool mSlow = false;
  };

  record* Find(const relay_pick& aPick);
  bool TakesNewWork(const record& aRecord, time_point aNow) const;
  std::vector<record*> Candidates(const request_profile& aRequest,
                                  const std::vector<endpoint_name>& aTried,
                                  time_point aNow);
  std::vector<record*> Reachable(std::vector<record*> aHealthy,
                                 time_point aNow) const;
  void UpdateSlowEngines(time_point aNow);
  void UpdateMeanPrefillTime(time_point aNow);
  std::size_t SlowEngines() const;
  double SecondsPerToken(const record& aRecord, time_point aNow) const;
  engine_side SideOf(const request_profile& aRequest) const;
  void AssignSides(const demand_by_kind& aDemand, time_point aNow);
  std::vector<record*> OnSide(const request_profile& aRequest,
                              const std::vector<record*>& aHealthy,
                              time_point aNow) const;
  record* ChoosePlain(const std::vector<record*>& aCandidates);
  record* ChooseEngine(const request_profile& aRequest,
                       const std::vector<record*>& aCandidates,
                       time_point aNow,
                       relay_pick& aPick);
  double MissProbability(bool aSentHere, std::size_t aRank) const;
  double OccupancySeconds(const record& aRecord,
                          const request_profile& aRequest) const;
  duration SlotWait() const;
  const record* CopySource(const request_profile& aRequest,
                           const prefix_affinity::endpoint_list& aCachedOn,
                           const record& aChosen,
                           time_point aNow) const;
  const record* PreviousPreferredEngine(const request_profile& aRequest,
                                        time_point aNow) const;
  static bool CanServeCopy(const record& aRecord);
  const record* ByNumber(std::uint32_t aNumber) const;
  static std::vector<const record*> PreferredEngines(
    const request_profile& aRequest,
    const std::vector<record*>& aCandidates,
    std::size_t aMaxCount);
  relay_pool_settings mSettings;
  bool mEngines;
  domain_name mOwnDomain;
  domain_reachability mReach;
  std::mt19937_64 mRandom;
  std::map<endpoint_name, record> mRecords;
  std::uint32_t mNextNumber = 0;
  prefix_affinity mAffinity;
  engine_partition mPartition;
  engine_sides mSides;
  relay_admission mAdmission;
  std::size_t mInstances = 1;
  // Prompt tokens per second of bulk work, over all instances.
  double mBulkDemand = 0;
  // Healthy engines on the bulk side.
  std::size_t mHealthyBulkEngines = 0;
  // Bulk requests at engines, over all instances.
  double mBulkInFlight = 0;
  slot_occupancy mBulkOccupancy;
  // Mean prefill time per token over engines, in nanoseconds; 0: not known.
  double mMeanPrefillNanoseconds = 0;
  prefix_reuse_estimator mPrefixReuse;
  popular_prefix_blocks mPopularBlocks;
  prefill_rate mPrefillRate;
  // Mean prefill rate over all instances, in tokens per second.
  double mPrefillTokensPerSecond;
  std::size_t mSlots = 0;
  workload_meter mMeter;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_RELAY_POOL_H_
