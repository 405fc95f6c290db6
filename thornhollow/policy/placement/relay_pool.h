// The endpoints of one pool and the choice among them for relayed requests.
//
//   relay_pool pool(relay_pool_settings{}, true, ownDomain, seed);
//   pool.Put(endpoint);
//   if (const auto pick = pool.Choose(request, tried, now)) {
//     pool.OnSent(*pick, request, now);
//   }
//
// Load pattern: engines prefill at a fixed rate, between the decoding steps of
// their streams. The prompts of a session share a prefix that is expensive to
// prefill again. Several instances send to the same engines and learn about
// each other's requests with a delay.
//
// The cost of an engine for a request is mainly the expected time to the first
// event: the prefill time of the prompt tokens that already wait at the engine,
// by this instance's count and by what other instances reported, plus that of
// the request's own tokens.
//
// The prefix blocks of a prompt are cached on the engine to which earlier
// prompts with the same blocks were sent. All instances rank the engines in the
// same order by a hash of the blocks, so this is most likely the first engine
// in the session's order. On another engine, the prefill time of the blocks is
// multiplied by up to `mMissPenalty`, since prefilling them again also takes
// time from all other requests. That factor alone would overload the engine of
// a popular session while others idle, so it is lower for the next engines in
// the session's order.
//
// Engines that run few requests at a time run out of slots before they are busy
// with prefill. The cost of a full engine therefore includes the time until one
// of its slots is free. What other instances have at an engine is known too
// late for that, so that the owner asks about the few best ones (`Shortlist`)
// before one of them is chosen. Long prompts are refused if the expected wait
// for a slot is too long; otherwise they would wait at engines until their
// callers time out. The expected wait is derived from the requests in flight
// over all instances and the mean time for which a request occupies a slot.
//
// The side of the partition to which an engine belongs follows from the hash of
// its name, except that slow engines are assigned to the bulk side first.
//
// A request that continues a stream is placed only on endpoints of the software
// version that began the stream: what two versions write does not fit together.
//
// Endpoints in failure domains that are suspected to be unreachable are skipped
// as long as others are left, see policy/endpoints/domain_reachability.h.
//
// Endpoints of plain services, unlike engines, are chosen by load: the endpoint
// with the fewest requests in flight from this instance, and at equal load one
// in the instance's own failure domain.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_RELAY_POOL_H_
#define THORNHOLLOW_POLICY_PLACEMENT_RELAY_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/admission/relay_admission.h"
#include "thornhollow/policy/endpoints/domain_reachability.h"
#include "thornhollow/policy/endpoints/endpoint_health.h"
#include "thornhollow/policy/endpoints/endpoint_rest.h"
#include "thornhollow/policy/endpoints/prefill_rate.h"
#include "thornhollow/policy/endpoints/prefill_time_per_token.h"
#include "thornhollow/policy/endpoints/refusal_gate.h"
#include "thornhollow/policy/endpoints/request_gate.h"
#include "thornhollow/policy/endpoints/slot_occupancy.h"
#include "thornhollow/policy/placement/engine_partition.h"
#include "thornhollow/policy/placement/engine_sides.h"
#include "thornhollow/policy/placement/popular_prefix_blocks.h"
#include "thornhollow/policy/placement/prefix_affinity.h"
#include "thornhollow/policy/placement/prefix_reuse_estimator.h"
#include "thornhollow/policy/placement/request_profile.h"
#include "thornhollow/policy/placement/workload_kind.h"

namespace thornhollow {

struct relay_pool_settings
{
  // Prefill rate of an engine in tokens per second until one is measured: a
  // middle value of the 20,000 to 150,000 that current engines reach.
  double mPrefillTokensPerSecond = 55'000;
  // Time from a request's arrival at an idle engine to its first event,
  // excluding the prefill.
  duration mFirstEventOverhead = Milliseconds(20);
  // Maximum factor on the prefill time of prefix blocks that are not cached on
  // an engine, see the top of this file.
  double mMissPenalty = 16;
  // Factor on the prefill time of uncached prefix blocks for the second engine
  // in the session's order; twice as much for the third engine, and so on up to
  // `mMissPenalty`. The requests of a session that exceeds one engine's
  // capacity are thus spread over the same few engines by all instances.
  double mMissPenaltyStep = 8;
  // Cost that is added for an engine whose slots are all occupied, as a
  // fraction of the request's target time.
  double mOccupancyFraction = 0.1;
  // Factor on the expected wait for a slot, which is a mean over all engines.
  // Accounts for the case that the queues for slots are short on average:
  // because queues are uneven, a request of an instance then waits this many
  // times as long at the engine it is sent to.
  double mQueueImbalance = 4;
  // Minimum number of tokens in shared prefix blocks for which the chosen
  // engine, if it does not have the blocks cached, copies them from an engine
  // that is estimated to have them; 0: never copy. A copy is faster than a
  // prefill and does not delay streams. Fewer tokens are prefilled in a few
  // milliseconds.
  std::uint32_t mCopyFromTokens = 256;
  // Bulk requests are not placed on engines that changed from the interactive
  // to the bulk side of the partition and still serve interactive streams, as
  // long as the demand of bulk requests is below this fraction of the prefill
  // capacity of the other bulk engines. At a higher demand the capacity of all
  // bulk engines is needed.
  double mAvoidClearingBelow = 0.6;
  // An engine counts as slow from when its prefill time per token exceeds
  // `mSlowThreshold` times the pool's minimum until it falls below
  // `mSlowExitThreshold` times the minimum. The prefill times of slow and fast
  // engines differ by a factor of about 1.3.
  double mSlowThreshold = 1.17;
  double mSlowExitThreshold = 1.10;
  // Time after an engine's first prefill sample before its measured speed is
  // used, because the first few samples include the time of other prompts. It
  // is short because slow engines serve interactive streams until then and
  // exceed the promised time between events.
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
  // Until when the endpoint wants no requests from this instance.
  time_point mRestUntil{};
  // Version of the software that the endpoint's process runs, and its hash.
  software_version mVersion = {};
  endpoint_version_hash mVersionHash = kUnknownVersion;
  // Whether a new process of another version may run there by now.
  bool mIsVersionDoubted = false;
  // This instance's part of the endpoint's room and refusals; unset unless the
  // endpoint ends when it turns away too many requests.
  std::optional<refusal_part> mRefusalPart = std::nullopt;
  // This instance's part, in requests a second, of what the endpoint takes;
  // unset unless it names such a bound.
  std::optional<double> mRequestRate = std::nullopt;
  // Whether the operator has taken the endpoint's failure domain out of
  // service: it gets nothing new, not even a request to copy from it.
  bool mOutOfService = false;
  // When the process started, in milliseconds by its own clock; 0 if it isn't
  // stated.
  std::int64_t mStartedMs = 0;

  // Whether it may get new requests at all, now or later.
  bool TakesRequests() const { return !mDraining && !mOutOfService; }

  friend bool operator==(const relay_endpoint&,
                         const relay_endpoint&) = default;
};

// Load that one instance has placed on an endpoint, or the sum over several
// instances.
struct relay_load
{
  endpoint_name mName;
  // Number of requests sent to the endpoint that have not ended.
  std::uint32_t mInFlight = 0;
  // Prompt tokens that the endpoint has to prefill for requests that have not
  // produced their first event.
  std::uint64_t mPrefillTokens = 0;
  // Minimum of the measured prefill times per token, in nanoseconds; 0 if none
  // was measured.
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
  // endpoint by a new one. `aNow` is needed only for an endpoint with a rate.
  void Put(const relay_endpoint& aEndpoint, time_point aNow = {});
  void Remove(const endpoint_name& aName);
  std::size_t size() const { return mRecords.size(); }
  // Whether the endpoints are engines rather than plain services.
  bool ServesEngines() const { return mEngines; }

  // Admits or refuses `aRequest`, whose caller times out after `aTimeLeft`. To
  // be called before the first attempt. If the request is admitted, returns the
  // endpoint for that attempt, so that the choice need not be computed again
  // with `Choose`, or nullopt if no endpoint is available. Only bulk requests
  // to engines can be refused.
  // `aAmong`: endpoints to which the choice is limited while one of them takes
  // new work, see `Shortlist`; empty: all.
  std::variant<std::optional<relay_pick>, admission_refusal> Admit(
    const request_profile& aRequest,
    duration aTimeLeft,
    time_point aNow,
    const std::vector<endpoint_name>& aAmong = {});

  // Returns up to `aCount` engines that seem best for the request, the best
  // first, so that what others have there can be asked before one is chosen.
  // Nothing for plain services.
  std::vector<endpoint_name> Shortlist(const request_profile& aRequest,
                                       std::size_t aCount,
                                       time_point aNow);

  // Sets the endpoints that receive no new requests for now as long as others
  // are left.
  void SetReserved(std::set<endpoint_name> aReserved)
  {
    mReservedEndpoints = std::move(aReserved);
  }
  // Whether the endpoint of the attempt is still listed and not leaving.
  bool IsInService(const relay_pick& aPick) const;
  // The same, and it doesn't rest.
  bool AcceptsNew(const relay_pick& aPick, time_point aNow) const;
  // Whether an endpoint that is not in `aTried` could serve the request, but
  // gets no more from this instance now by a bound that it named.
  bool IsAtBound(const request_profile& aRequest,
                 const std::vector<endpoint_name>& aTried,
                 time_point aNow) const;
  // Whether some endpoint gets a new request from this instance now as far as
  // bounds go.
  bool HasRoom(time_point aNow) const;
  // Requests of this instance that endpoints with bounds take at a time or
  // within `aSpan`, whichever bound they name.
  std::size_t RoomWithin(duration aSpan) const;
  // How long until the first of the endpoints that may serve the request takes
  // one of this instance by the rate that it named; nothing if none of them
  // does, or none names one.
  std::optional<duration> BoundLeft(const request_profile& aRequest,
                                    time_point aNow) const;
  // How long until the first of the endpoints that may serve the request
  // accepts new ones; nothing unless all that don't leave rest.
  std::optional<duration> RestLeft(const request_profile& aRequest,
                                   time_point aNow) const;
  // Whether an endpoint of the version is listed, possibly a leaving one.
  bool Lists(endpoint_version_hash aVersion) const;
  // Whether an endpoint that is not in `aTried` may serve the request, now or
  // later. Endpoints that are failing, rest, or whose version is in doubt count
  // as well.
  bool HasOther(const request_profile& aRequest,
                const std::vector<endpoint_name>& aTried) const;

  // Chooses an endpoint for `aRequest` that is not in `aTried`. Returns nothing
  // if no endpoint is available.
  std::optional<relay_pick> Choose(const request_profile& aRequest,
                                   const std::vector<endpoint_name>& aTried,
                                   time_point aNow);

  void OnSent(const relay_pick& aPick,
              const request_profile& aRequest,
              time_point aNow);
  // To be called when the first event of a stream, or the start of any other
  // response, arrived `aWait` after the request was sent.
  void OnFirstByte(const relay_pick& aPick,
                   const request_profile& aRequest,
                   duration aWait,
                   time_point aNow);
  // To be called when the attempt ended, `aLength` after the request was sent.
  // `aStarted` says whether the first byte of the response had arrived.
  void OnEnded(const relay_pick& aPick,
               const request_profile& aRequest,
               attempt_end aHow,
               bool aStarted,
               duration aLength,
               time_point aNow);

  // To be called when the endpoint did not answer an attempt at all and may be
  // unreachable, in addition to `OnEnded` for the attempt. Returns whether the
  // endpoint's failure domain is newly suspected to be unreachable.
  bool OnUnreachable(const relay_pick& aPick, time_point aNow);
  // To be called when a message was received from another instance that is
  // located in failure domain `aDomain`.
  void OnPeerMessage(const domain_name& aDomain, time_point aNow);

  // Sets the load that other instances reported for one endpoint: the sums of
  // their counts and the minimum of their prefill times per token, which is 0
  // if none was reported.
  void SetRemoteLoad(const relay_load& aLoad, time_point aNow);
  // Sets the demand and prefill rates of the pool, summed over all instances
  // including this one. To be called every 100 ms.
  void SetView(const pool_view& aView, time_point aNow);
  // Sets the number of requests that an engine runs concurrently; 0: not
  // configured.
  void SetSlots(std::size_t aSlots) { mSlots = aSlots; }
  // Sets the number of instances that send requests to these endpoints,
  // including this one.
  void SetInstances(std::size_t aInstances) { mInstances = aInstances; }
  // To be called after this process was paused. Discards suspicions of failure
  // domains and the load that other instances reported, both of which are
  // outdated.
  void OnClockGap(time_point aNow);

  // Demand and prefill rate that this instance measured, to be added to the
  // sums passed to `SetView`.
  pool_view LocalView(time_point aNow) const;
  std::vector<relay_load> Loads(time_point aNow) const;
  // The same of the endpoint of an attempt; nothing if its process has ended.
  std::optional<relay_load> LoadAt(const relay_pick& aPick) const;
  std::size_t BulkEngines() const { return mPartition.BulkEngines(); }
  // Mean prefill rate of an engine, in tokens per second.
  double PrefillTokensPerSecond() const { return mPrefillTokensPerSecond; }

private:
  struct record
  {
    relay_endpoint mEndpoint;
    std::uint32_t mNumber = 0;
    // Hash that determines the order of engines for the partition and for
    // sessions; every instance computes the same value.
    std::uint64_t mRank = 0;
    endpoint_health mHealth;
    endpoint_rest mRest = {};
    refusal_gate mRefusals = {};
    request_gate mRequests = {};
    std::uint32_t mInFlight = 0;
    std::uint64_t mPrefillTokens = 0;
    std::uint64_t mRemotePrefillTokens = 0;
    std::uint32_t mRemoteInFlight = 0;
    // This instance's requests at the endpoint, by kind.
    std::map<workload_kind, std::uint32_t> mOpen = {};

    std::uint64_t BacklogTokens() const
    {
      return mPrefillTokens + mRemotePrefillTokens;
    }
    prefill_time_per_token mPrefillTime = {};
    // Time at which the engine's prefill time per token first became known.
    std::optional<time_point> mPrefillTimeKnownSince = std::nullopt;
    // Whether the engine counts as slow, so that it is assigned to the bulk
    // side of the partition before faster engines are.
    bool mSlow = false;
  };

  // What a request would meet at an engine.
  struct engine_estimate
  {
    record* mRecord = nullptr;
    // Prompt tokens that the engine would prefill for the request.
    double mPrefillTokens = 0;
    bool mPrefixCached = false;
    bool mSentBefore = false;
    // Until the first event, without waiting for a slot.
    double mWaitSeconds = 0;
    // Lower is better, in seconds.
    double mCost = 0;
  };

  record* Find(const relay_pick& aPick);
  std::optional<relay_pick> ChooseAmong(
    const std::vector<endpoint_name>& aAmong,
    const request_profile& aRequest,
    const std::vector<endpoint_name>& aTried,
    time_point aNow);
  std::vector<engine_estimate> EstimateEngines(
    const request_profile& aRequest,
    const std::vector<record*>& aCandidates,
    time_point aNow) const;
  void ExtendRest(record& aRecord);
  bool TakesNewWork(const record& aRecord, time_point aNow) const;
  double OpenInService(const workload_kind& aKind) const;
  static bool IsWithinBounds(const record& aRecord, time_point aNow)
  {
    return aRecord.mRefusals.MaySend(aRecord.mInFlight, aNow) &&
           aRecord.mRequests.MaySend(aNow);
  }
  static void SetBounds(record& aRecord, time_point aNow);
  static bool MayServe(const record& aRecord, const request_profile& aRequest);
  std::vector<record*> Candidates(const request_profile& aRequest,
                                  const std::vector<endpoint_name>& aTried,
                                  time_point aNow);
  std::vector<record*> Reachable(std::vector<record*> aHealthy,
                                 time_point aNow) const;
  void UpdateSlowEngines(time_point aNow);
  void UpdateMeanPrefillTime(time_point aNow);
  // Engines that may get new requests, now or later.
  std::size_t InService() const;
  std::size_t SlowEngines() const;
  double SecondsPerToken(const record& aRecord, time_point aNow) const;
  engine_side SideOf(const request_profile& aRequest) const;
  void AssignSides(const demand_by_kind& aDemand,
                   std::size_t aInService,
                   time_point aNow);
  std::vector<record*> OnSide(const request_profile& aRequest,
                              const std::vector<record*>& aHealthy,
                              time_point aNow) const;
  record* ChoosePlain(const std::vector<record*>& aCandidates);
  record* ChooseEngine(const request_profile& aRequest,
                       const std::vector<record*>& aCandidates,
                       const std::vector<endpoint_name>& aAmong,
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
                                        const record& aChosen,
                                        time_point aNow) const;
  static bool CanServeCopy(const record& aRecord, const record& aChosen);
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
  std::set<endpoint_name> mReservedEndpoints;
  std::uint32_t mNextNumber = 0;
  prefix_affinity mAffinity;
  engine_partition mPartition;
  engine_sides mSides;
  relay_admission mAdmission;
  std::size_t mInstances = 1;
  // Fraction of the endpoints that don't rest.
  double mAwakeFraction = 1;
  // Demand of bulk requests over all instances, in prompt tokens per second.
  double mBulkDemand = 0;
  // Number of healthy engines on the bulk side of the partition.
  std::size_t mHealthyBulkEngines = 0;
  // Number of bulk requests at engines, over all instances.
  double mBulkInFlight = 0;
  slot_occupancy mBulkOccupancy;
  slot_occupancy mInteractiveOccupancy;
  // Mean prefill time per token over engines, in nanoseconds; 0: not known.
  double mMeanPrefillNanoseconds = 0;
  prefix_reuse_estimator mPrefixReuse;
  popular_prefix_blocks mPopularBlocks;
  prefill_rate mPrefillRate;
  // Mean of the prefill rates that all instances measured, in tokens per
  // second.
  double mPrefillTokensPerSecond;
  std::size_t mSlots = 0;
  workload_meter mMeter;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PLACEMENT_RELAY_POOL_H_
