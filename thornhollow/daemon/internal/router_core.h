// The state of the router and its steps; each step has a source file of its
// own. See daemon/router.h.
#ifndef THORNHOLLOW_DAEMON_INTERNAL_ROUTER_CORE_H_
#define THORNHOLLOW_DAEMON_INTERNAL_ROUTER_CORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include "thornhollow/daemon/engine_warm_ups.h"
#include "thornhollow/daemon/intake.h"
#include "thornhollow/daemon/live_request.h"
#include "thornhollow/daemon/process_check.h"
#include "thornhollow/daemon/router.h"
#include "thornhollow/policy/loop_lag.h"
#include "thornhollow/policy/placement/endpoint_reservations.h"

namespace thornhollow {

class router::core
{
public:
  core(boost::asio::io_context& aIo,
       const router_settings& aSettings,
       json_log& aLog,
       metrics& aMetrics);

  // As of the class `router`.
  void PutInForce(catalog_ptr aCatalog);
  void Serve(caller_exchange_ptr aExchange);
  request_forwarder& Forwarder() { return mForwarder; }
  forward_offer OnForwardQuery(const forward_query& aQuery) const;
  void OnEndpointLeaving(std::function<void(const endpoint_name&)> aListener);
  void OnLoadReport(const endpoint_name& aEndpoint, const load_report& aReport);
  void OnEndpointState(const endpoint_name& aEndpoint, endpoint_state aState);
  void OnLoadUnanswered(const endpoint_name& aEndpoint);
  crash_guard& Crashes() { return mCrashes; }
  void SetKeyGate(key_gate* aGate) { mKeys = aGate; }
  void OnKeyRun(ticket aTicket);
  void OnKeyRefused(ticket aTicket, error_kind aKind);
  std::vector<endpoint_status> Endpoints() const;
  void SetRouters(const instance_name& aOwn,
                  const std::vector<instance_name>& aRouters);
  void SetOtherInstances(const std::vector<instance_name>& aOthers);
  void Tick();
  std::vector<pool_pressure> Pressure() const;
  void OnPeerPressure(const std::vector<pool_pressure>& aPressures);
  void BeginDrain() { mDraining = true; }
  std::size_t InProgress() const;
  std::map<pool_name, held_requests> HeldByPool() const;
  whole_reply AnswerUnreadable(error_kind aKind);

private:
  // ---- Taking requests, and having others serve them: router_admission.cc

  void Admit(caller_exchange_ptr aExchange, intake aIntake);
  void ClaimKey(live_request& aLive);
  stage_limits LimitsFor(const intake& aIntake) const;
  static work_item ItemFor(const live_request& aLive);
  // Has another instance serve the request; this one tries if none takes it.
  void Forward(caller_exchange_ptr aExchange, intake aIntake);
  // Forwards requests that wait for an endpoint that can't be reached any more.
  void ForwardWaiting();
  static bool MayBeForwarded(const live_request& aLive);
  // Forgets a request that waits, without an answer to it.
  void Release(live_request& aLive);
  endpoint_reach::target_list ProbeTargets(const pool_name& aPool) const;
  bool IsEnginePool(const pool_name& aPool) const;
  void RefuseEarly(caller_exchange& aExchange, error_kind aKind);
  // Marks the refusal of a request that another instance forwarded.
  static void TellForwarder(const caller_exchange& aExchange,
                            error_kind aKind,
                            whole_reply& aReply);
  whole_reply Refusal(error_kind aKind,
                      duration aRetryAfter,
                      const request_id& aId);
  request_id NewId() { return request_id(to_string(mIdGenerator())); }
  duration JitteredRetryDelay();

  // ---- The scheduler's decisions: router_schedule.cc

  // Decisions cause actions, which can cause further decisions. The outermost
  // call processes them one after another, so that a request's state does not
  // change while its own actions are being executed.
  template<class step>
  void Run(const step& aStep)
  {
    if (std::exchange(mRunning, true)) {
      aStep();
      return;
    }
    aStep();
    while (!mPendingDecisions.empty()) {
      const decision next = std::move(mPendingDecisions.front());
      mPendingDecisions.pop_front();
      std::visit([this](const auto& aAction) { this->Execute(aAction); }, next);
    }
    mRunning = false;
    ArmSchedulerTimer();
  }

  void Apply(decisions aDecisions);
  void Execute(const start& aStart);
  void Execute(const refuse& aRefuse);
  // Sends the request to the endpoint whose slot it holds, unless it has ended
  // endpoints before.
  void Grant(live_request& aLive, const endpoint_name& aEndpoint);
  // Refuses a request that holds a slot and has not been sent.
  void RefuseStarted(ticket aTicket, const schedule_refused& aRefusal);
  std::vector<std::string> EndpointAddresses() const;
  suspect_attempt SuspectAttempt(const live_request& aLive,
                                 const endpoint_name& aEndpoint) const;
  // Keeps new requests off endpoints that are reserved for trials, as long as
  // another endpoint serves each of their pools.
  void UpdateReserved();
  void ApplyStates(const endpoint_state_changes& aChanges);
  void ArmSchedulerTimer();
  // Tells the scheduler what engines take that warm up.
  void ApplyRates();
  void LogDomains(const std::set<domain_name>& aBefore);

  // ---- Events of a request: router_events.cc

  void OnAttemptEvent(ticket aTicket, const request_event& aEvent);
  // The answer ended with its connection: it is taken if somebody vouches for
  // that end, else its connection counts as lost.
  void JudgeOpenEnd(const live_request& aLive, const answer_received& aAnswer);
  // Handles an event of the request's attempt. A broken connection is first
  // checked for the end of the endpoint's process.
  void TakeAttemptEvent(live_request& aLive, const request_event& aEvent);
  void TakeNotice(const endpoint_name& aEndpoint,
                  const endpoint_notice& aNotice);
  void RecordToken(live_request& aLive);
  void RecordProgress(live_request& aLive, run_progress aProgress);
  void DispatchEvent(ticket aTicket, const request_event& aEvent);
  // Posts an event, to be handled after the current one.
  void PostEvent(ticket aTicket, request_event aEvent);
  void HandleEvent(ticket aTicket, const request_event& aEvent);
  void End(live_request& aLive);
  void ArmTimer(const live_request_ptr& aLive);
  void OnTimer(ticket aTicket);

  // ---- Actions of the request state machine: router_actions.cc

  void Execute(live_request& aLive, const open_attempt& aAction);
  void Execute(live_request& aLive, const close_attempt& aAction);
  void Execute(live_request& aLive, const report_first_token& aAction);
  void Execute(live_request& aLive, const report_attempt_ended& aAction);
  void Execute(live_request& aLive, const ask_again& aAction);
  void Execute(live_request& aLive, const deliver_token& aAction);
  void Execute(live_request& aLive, const deliver_end& aAction);
  void Execute(live_request& aLive, const deliver_answer& aAction);
  void Execute(live_request& aLive, const deliver_error& aAction);
  void SendHeadOnce(live_request& aLive);
  static std::string_view ModelOf(const live_request& aLive);

  // ---- State

  boost::asio::io_context& mIo;
  router_settings mSettings;
  json_log& mLog;
  metrics& mMetrics;
  std::mt19937_64 mRandom;
  boost::uuids::random_generator mIdGenerator;
  scheduler mScheduler;
  boost::asio::steady_timer mSchedulerTimer;
  std::optional<time_point> mSchedulerDue;
  crash_guard mCrashes;
  process_check mProcesses;
  engine_warm_ups mWarmUps;
  request_forwarder mForwarder;
  loop_lag mLag;
  endpoint_reservations mReservations;
  // `crash_guard::ReservationChanges` as of the last `UpdateReserved`.
  std::uint64_t mReservationChanges = 0;
  key_gate* mKeys = nullptr;
  std::function<void(const endpoint_name&)> mOnLeaving;
  catalog_ptr mCatalog;
  std::unordered_map<ticket, live_request_ptr> mLive;
  ticket mLastTicket = 0;
  std::deque<decision> mPendingDecisions;
  bool mRunning = false;
  bool mDraining = false;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_INTERNAL_ROUTER_CORE_H_
