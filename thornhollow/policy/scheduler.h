// Decides for every request of one entry instance whether it is sent, waits or
// is refused, and to which endpoint it goes. No network, no clock: each call
// takes the present and returns what is to be done now.
//
//   scheduler decide(scheduler_settings{}, 1);
//   decide.Configure(declared, domain_name("worcester-hall"), now);
//   Apply(decide.Submit(item, now));
//   ...
//   Apply(decide.OnAttemptEnded(ticket, attempt_end::kCompleted, 200, now));
//
// The life of a ticket: `Submit`; then a `start` or a `refuse` comes back, from
// that call or a later one. After a `start`, the owner reports `OnFirstToken`
// and `OnAttemptEnded`; to run it once more it calls `Resubmit`, which either
// starts it elsewhere, lets it wait, or refuses. `Forget` ends a ticket whose
// caller left while it waited.
//
// Instances tell each other about their load: what `Pressure` returns goes to
// the others, a few times a second, and theirs comes in by `OnPeerPressure`.
#ifndef THORNHOLLOW_POLICY_SCHEDULER_H_
#define THORNHOLLOW_POLICY_SCHEDULER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "thornhollow/policy/clock_gap.h"
#include "thornhollow/policy/endpoint_queue_window.h"
#include "thornhollow/policy/endpoint_table.h"
#include "thornhollow/policy/request_queue.h"
#include "thornhollow/policy/retry_budget.h"
#include "thornhollow/policy/run_time_estimate.h"
#include "thornhollow/policy/team_in_flight.h"
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
  // Whether other instances' pressure counts also for pools whose endpoints
  // order their queues by tier: there it costs the middle tiers more than it
  // brings the highest (docs/design/decisions_under_load.md).
  bool mApplyPressureToTieredPools = false;
  // The lowest tier whose requests may wait in endpoints' own queues without
  // being owed their class's share.
  int mLowestEndpointQueueTier = 2;
  // Requests of this instance that may wait in one endpoint's queue: as many as
  // an ordinary batch, so that its next batch is not wholly decided here.
  std::uint32_t mMaxQueuedPerEndpoint = 8;
  // The same of those that take their class's share: long work, mostly.
  std::uint32_t mMaxMinimumSharePerEndpoint = 1;

  friend bool operator==(const scheduler_settings&,
                         const scheduler_settings&) = default;
};

class scheduler
{
public:
  // `aSeed` drives every random choice, so that a run can be repeated.
  scheduler(const scheduler_settings& aSettings, std::uint64_t aSeed);

  // Takes a configuration in force. Requests that wait for something that is no
  // longer declared are refused; those in progress go on.
  decisions Configure(const declarations& aDeclared,
                      const domain_name& aOwnDomain,
                      time_point aNow);

  // A new request.
  decisions Submit(const work_item& aItem, time_point aNow);

  // Runs a request again after an attempt that ended without its answer. The
  // endpoints already tried are avoided where others are to be had.
  decisions Resubmit(ticket aTicket, time_point aNow);

  // The first token of the present attempt came.
  void OnFirstToken(ticket aTicket, time_point aNow);

  // The present attempt ended; its place is free. `aTokens` counts the answer's
  // tokens of this attempt.
  decisions OnAttemptEnded(ticket aTicket,
                           attempt_end aHow,
                           std::uint32_t aTokens,
                           time_point aNow);

  // The request got its final answer, or its caller left: its ticket is no
  // longer known. A place still held is freed.
  decisions Forget(ticket aTicket, time_point aNow);

  decisions OnLoadReport(const endpoint_name& aEndpoint,
                         const load_report& aReport,
                         time_point aNow);
  decisions OnEndpointState(const endpoint_name& aEndpoint,
                            endpoint_state aState,
                            time_point aNow);

  // How each pool under load fares here, for the other instances.
  std::vector<pool_pressure> Pressure(time_point aNow) const;
  // The same of another instance, as it came in.
  decisions OnPeerPressure(const instance_name& aFrom,
                           const pool_pressure& aPressure,
                           time_point aNow);

  // Who this instance is and which entry instances its domain has; takes effect
  // with the next `Configure`.
  void SetRouters(const instance_name& aOwn,
                  const std::vector<instance_name>& aRouters);

  // How long a request like this would wait now, by what was measured.
  duration PredictedWait(const work_item& aItem, time_point aNow) const;

  // The endpoints as this instance sees them, by name.
  std::vector<endpoint_status> Endpoints(time_point aNow) const;

  // Does what falls due: refuses requests whose deadline passed, starts what
  // fits.
  decisions Advance(time_point aNow);

  // The same, called every `clock_gap::kTickEvery`. From the first call on, a
  // long step between two calls of any kind means that this process stood
  // still: what was believed before no longer counts.
  decisions Tick(time_point aNow);

  // When `Advance` has something to do next; nothing where it has not.
  std::optional<time_point> NextDue() const;

  std::size_t Waiting() const { return mQueue.size(); }
  std::size_t InProgress() const { return mRequests.size(); }

private:
  struct request_state
  {
    work_item mItem;
    std::vector<endpoint_name> mTriedEndpoints;
    // Set while an attempt holds a place.
    std::optional<endpoint_name> mEndpoint;
    bool mUsesMinimumShare = false;
    time_point mStartedAt{};
    // Charged when it started.
    double mChargedCost = 0;
    // It was sent to wait in the endpoint's own queue, and no token came yet.
    bool mInEndpointQueue = false;
  };
  struct pool_windows
  {
    explicit pool_windows(const endpoint_queue_window_settings& aSettings);

    // By tier, highest first; the last is for what takes its minimum share.
    std::vector<endpoint_queue_window> mWindows;
  };
  using request_states = std::unordered_map<ticket, request_state>;

  endpoint_queue_window* WindowFor(const work_item& aItem,
                                   bool aUsesMinimumShare);
  std::optional<endpoint_name> ChooseEndpoint(request_state& aState,
                                              bool aUsesMinimumShare,
                                              time_point aNow);
  work_estimate Estimate(const work_item& aItem) const;
  // Every call starts here: notices a gap in the clock, and refuses what can't
  // finish any more before anything is started.
  void BeginEvent(time_point aNow, decisions& aOut);
  void StartWaiting(time_point aNow, decisions& aOut);
  void StartWaiting(const pool_name& aPool, time_point aNow, decisions& aOut);
  void Start(request_state& aState,
             const endpoint_name& aEndpoint,
             bool aUsesMinimumShare,
             time_point aNow,
             decisions& aOut);
  void Refuse(const refuse& aRefusal, decisions& aOut);
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
  // Whether the owner calls `Tick`.
  bool mTicking = false;
  time_point mNow{};
  request_states mRequests;
  std::unordered_map<pool_name, pool_windows> mWindows;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SCHEDULER_H_
