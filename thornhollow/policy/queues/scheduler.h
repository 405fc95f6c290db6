// Decides whether each request of one entry instance is sent to an endpoint,
// queued or refused. The scheduler performs no I/O and reads no clock: every
// call takes the current time and returns the decisions to carry out now.
//
//   scheduler scheduling(scheduler_settings{}, 1);
//   scheduling.Configure(declared, domain_name("worcester-hall"), now);
//   Apply(scheduling.Submit(item, now));
//   ...
//   Apply(scheduling.OnAttemptEnded(
//     ticket, attempt_end::kCompleted, 200, now));
//
// Life cycle of a ticket: `Submit` or a later call returns a `start` or a
// `refuse` for it. After a `start` the caller reports `OnFirstToken` and
// `OnAttemptEnded`. To retry the request it calls `Resubmit`, which starts it
// on another endpoint, queues it or refuses it. `Forget` ends the ticket of a
// request that is complete or whose caller has disconnected.
//
// Instances exchange their load: the caller sends the result of `Pressure` to
// the other instances several times per second and passes the reports received
// from them to `OnPeerPressure`.
#ifndef THORNHOLLOW_POLICY_QUEUES_SCHEDULER_H_
#define THORNHOLLOW_POLICY_QUEUES_SCHEDULER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "thornhollow/policy/admission/retry_budget.h"
#include "thornhollow/policy/clock_gap.h"
#include "thornhollow/policy/endpoints/run_time_estimate.h"
#include "thornhollow/policy/placement/endpoint_table.h"
#include "thornhollow/policy/queues/endpoint_queue_window.h"
#include "thornhollow/policy/queues/request_queue.h"
#include "thornhollow/policy/queues/team_in_flight.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct scheduler_settings
{
  endpoint_table_settings mEndpoints;
  request_queue_settings mQueue;
  retry_budget_settings mRetryBudget;
  run_time_settings mRunTimes;
  clock_gap_settings mClockGap;
  endpoint_queue_window_settings mEndpointQueues;
  // Whether the load that other instances report (`pool_pressure`) also
  // restricts lower tiers in pools whose endpoints order their queues by tier.
  // Off by default: in such pools the middle tiers lose more than the highest
  // tier gains (docs/design/decisions_under_load.md).
  bool mApplyPressureToTieredPools = false;
  // The lowest tier, counted from 1 for the highest, whose requests may wait in
  // endpoints' own queues without using their class's minimum share.
  int mLowestEndpointQueueTier = 2;
  // Limit on this instance's requests waiting in one endpoint's queue. It is
  // the size of an ordinary batch, so that this instance alone does not
  // determine the endpoint's next batch.
  std::uint32_t mMaxQueuedPerEndpoint = 8;
  // Limit on this instance's requests that wait in one endpoint's queue using
  // their class's minimum share. It is low because these are mostly long
  // requests.
  std::uint32_t mMaxMinimumSharePerEndpoint = 1;

  friend bool operator==(const scheduler_settings&,
                         const scheduler_settings&) = default;
};

class scheduler
{
public:
  // `aSeed` seeds all random choices, which makes runs reproducible.
  scheduler(const scheduler_settings& aSettings, std::uint64_t aSeed);

  // Applies the configuration in force. Queued requests whose class, team or
  // pool is no longer declared are refused; running requests continue.
  decisions Configure(const declarations& aDeclared,
                      const domain_name& aOwnDomain,
                      time_point aNow);

  // Accepts a new request.
  decisions Submit(const work_item& aItem, time_point aNow);

  // Retries a request after an attempt that ended without its answer. Endpoints
  // that were already tried are avoided if others are available.
  decisions Resubmit(ticket aTicket, time_point aNow);

  // To be called when the current attempt of the request produced its first
  // token.
  void OnFirstToken(ticket aTicket, time_point aNow);

  // To be called when the current attempt of the request ended. Releases the
  // attempt's slot. `aTokens` is the number of output tokens that this attempt
  // produced.
  decisions OnAttemptEnded(ticket aTicket,
                           attempt_end aHow,
                           std::uint32_t aTokens,
                           time_point aNow);

  // Discards a ticket whose request has its final answer or whose caller has
  // disconnected. Releases the slot if the request still holds one.
  decisions Forget(ticket aTicket, time_point aNow);

  decisions OnLoadReport(const endpoint_name& aEndpoint,
                         const load_report& aReport,
                         time_point aNow);
  decisions OnEndpointState(const endpoint_name& aEndpoint,
                            endpoint_state aState,
                            time_point aNow);

  // The endpoint wants no new work from this instance until `aUntil`.
  void OnEndpointRest(const endpoint_name& aEndpoint,
                      time_point aUntil,
                      time_point aNow);

  // Sets how many requests a second this instance may send to the endpoint; as
  // many as it takes if unset.
  decisions OnRequestRate(const endpoint_name& aEndpoint,
                          const std::optional<double>& aRate,
                          time_point aNow);

  // Load of each pool on this instance, to be sent to the other instances.
  std::vector<pool_pressure> Pressure(time_point aNow) const;
  // Handles the load of a pool that instance `aFrom` reported.
  decisions OnPeerPressure(const instance_name& aFrom,
                           const pool_pressure& aPressure,
                           time_point aNow);

  // Sets the name of this instance and the entry instances of its domain. Takes
  // effect with the next `Configure`.
  void SetRouters(const instance_name& aOwn,
                  const std::vector<instance_name>& aRouters);

  // Expected queueing time of `aItem` if it were submitted now, from the
  // measured service rate.
  duration PredictedWait(const work_item& aItem, time_point aNow) const;

  // State of the endpoints as known to this instance, sorted by name.
  std::vector<endpoint_status> Endpoints(time_point aNow) const;

  // Refuses requests that can no longer meet their deadline and starts queued
  // requests for which there is capacity.
  decisions Advance(time_point aNow);

  // Does the same work as `Advance`; to be called every
  // `clock_gap::kTickInterval`. After the first call of `Tick`, a longer step
  // of the clock between two calls of any kind is taken as a pause of this
  // process, and state estimated before the pause is discarded.
  decisions Tick(time_point aNow);

  // Time at which `Advance` next has work to do, or nullopt if no work is
  // pending.
  std::optional<time_point> NextDue() const;

  std::size_t Waiting() const { return mQueue.size(); }
  std::size_t InProgress() const { return mRequests.size(); }

private:
  struct request_state
  {
    work_item mItem;
    std::vector<endpoint_name> mTriedEndpoints;
    // Endpoint at which the current attempt holds a slot; empty if no attempt
    // holds one.
    std::optional<endpoint_name> mEndpoint;
    bool mUsesMinimumShare = false;
    time_point mStartedAt{};
    // Estimated cost, in output tokens, that was charged to the request's class
    // and team at the start.
    double mChargedCost = 0;
    // Whether the request was sent to wait in the endpoint's own queue and its
    // first token has not been received.
    bool mInEndpointQueue = false;
  };
  struct pool_windows
  {
    explicit pool_windows(const endpoint_queue_window_settings& aSettings);

    // Limits on requests in endpoints' own queues: one window per tier, highest
    // tier first, followed by the window of requests that use their class's
    // minimum share.
    std::vector<endpoint_queue_window> mWindows;
  };
  using request_states = std::unordered_map<ticket, request_state>;

  endpoint_queue_window* WindowFor(const work_item& aItem,
                                   bool aUsesMinimumShare);
  std::optional<endpoint_name> ChooseEndpoint(request_state& aState,
                                              bool aUsesMinimumShare,
                                              time_point aNow);
  work_estimate Estimate(const work_item& aItem) const;
  // Called first by every event: detects a gap in the clock and refuses
  // requests that can no longer meet their deadline before any is started.
  void BeginEvent(time_point aNow, decisions& aOut);
  // Changes what is known of endpoints, and starts the requests that can start
  // by that.
  template<class change>
  decisions ChangeEndpoints(time_point aNow, const change& aChange);
  void StartWaiting(time_point aNow, decisions& aOut);
  void StartWaiting(const pool_name& aPool, time_point aNow, decisions& aOut);
  void Start(request_state& aState,
             const endpoint_name& aEndpoint,
             bool aUsesMinimumShare,
             time_point aNow,
             decisions& aOut);
  void Refuse(const refuse& aRefusal, decisions& aOut);
  // The refusal of a request whose pool has no endpoint.
  refuse WithoutEndpoint(const work_item& aItem, time_point aNow);
  void RefuseUndeclared(const declarations& aDeclared,
                        time_point aNow,
                        decisions& aOut);
  void Erase(request_states::iterator aState);
  void ReleaseSlot(request_state& aState,
                   attempt_end aHow,
                   std::uint32_t aTokens,
                   time_point aNow);

  scheduler_settings mSettings;
  endpoint_table mEndpoints;
  request_queue mQueue;
  retry_budget mRetryBudget;
  run_time_estimate mRunTimes;
  team_in_flight mTeamInFlight;
  clock_gap mClockGap;
  // Whether the caller has called `Tick` at least once.
  bool mTicking = false;
  time_point mNow{};
  request_states mRequests;
  std::unordered_map<pool_name, pool_windows> mWindows;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_QUEUES_SCHEDULER_H_
