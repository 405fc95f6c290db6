#include "thornhollow/daemon/router.h"

#include <algorithm>
#include <deque>
#include <random>
#include <unordered_map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/hash.h"
#include "thornhollow/daemon/caller_reply.h"
#include "thornhollow/daemon/intake.h"
#include "thornhollow/daemon/live_request.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/policy/endpoint_reservations.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {
namespace {

using boost::system::error_code;

// Retry delay told to callers for failures without a computed delay. The delay
// is randomized by up to half of it in either direction so that callers do not
// retry simultaneously.
constexpr duration kRetryDelay = Seconds(1);

// The timeout for the first token is this multiple of the first-token target:
// an engine that is this late has stopped responding and is not merely slow.
constexpr int kFirstByteTargetMultiple = 8;
constexpr duration kMinFirstByteTimeout = Seconds(2);

// Name under which peer pressure is recorded: gossip provides only the highest
// pressure of all peers for each pool, not which peer reported it.
const instance_name kAllPeers("peers");

} // namespace

class router::core
{
public:
  core(boost::asio::io_context& aIo,
       const router_settings& aSettings,
       json_log& aLog,
       metrics& aMetrics)
    : mIo(aIo)
    , mSettings(aSettings)
    , mLog(aLog)
    , mMetrics(aMetrics)
    , mRandom(std::random_device()())
    , mScheduler(aSettings.mScheduler, mRandom())
    , mSchedulerTimer(aIo)
    , mCrashes(aIo, aLog, aMetrics)
    , mForwarder(aIo, aLog, aMetrics)
  {
    mCrashes.SetEndpoints([this] { return EndpointAddresses(); });
    mForwarder.SetRefusal([this](error_kind aKind) {
      return Refusal(aKind, JitteredRetryDelay(), NewId());
    });
    mForwarder.SetEndpoints(
      [this](const pool_name& aPool) { return ProbeTargets(aPool); },
      [this](const pool_name& aPool) { return IsEnginePool(aPool); });
  }

  void PutInForce(catalog_ptr aCatalog)
  {
    mCatalog = std::move(aCatalog);
    Apply(
      mScheduler.Configure(mCatalog->Declared(), mSettings.mOwnDomain, Now()));
  }

  void Serve(caller_exchange_ptr aExchange)
  {
    if (mDraining || mCatalog == nullptr) {
      RefuseEarly(*aExchange,
                  mDraining ? error_kind::kDraining : error_kind::kNotReady);
      return;
    }
    if (!mForwarder.MayServe(aExchange->Request())) {
      RefuseEarly(*aExchange, error_kind::kNotReady);
      return;
    }
    intake_verdict read = ReadIntake(aExchange->Request(), *mCatalog);
    if (const auto* error = std::get_if<error_kind>(&read)) {
      RefuseEarly(*aExchange, *error);
      return;
    }
    intake accepted = std::get<intake>(std::move(read));
    if (!request_forwarder::IsForwarded(aExchange->Request()) &&
        mForwarder.ShouldForward(accepted.mPool, Now())) {
      mMetrics.OnRequest(accepted.mClass);
      Forward(std::move(aExchange), std::move(accepted));
      return;
    }
    mMetrics.OnRequest(accepted.mClass);
    Admit(std::move(aExchange), std::move(accepted));
  }

  request_forwarder& Forwarder() { return mForwarder; }

  forward_offer OnForwardQuery(const forward_query& aQuery) const
  {
    return mDraining || mCatalog == nullptr
             ? forward_offer{}
             : mForwarder.Offer(aQuery, mLive.size(), Now());
  }

  void OnEndpointLeaving(std::function<void(const endpoint_name&)> aListener)
  {
    mOnLeaving = std::move(aListener);
  }

  void OnLoadReport(const endpoint_name& aEndpoint, const load_report& aReport)
  {
    if (aReport.mLeaving && mOnLeaving) {
      mOnLeaving(aEndpoint);
    }
    Apply(mScheduler.OnLoadReport(aEndpoint, aReport, Now()));
  }

  void OnEndpointState(const endpoint_name& aEndpoint, endpoint_state aState)
  {
    ApplyStates(mReservations.OnState(aEndpoint, aState));
  }

  crash_guard& Crashes() { return mCrashes; }

  void SetKeyGate(key_gate* aGate) { mKeys = aGate; }

  void OnKeyRun(ticket aTicket)
  {
    const auto found = mLive.find(aTicket);
    if (found == mLive.end()) {
      return;
    }
    live_request& live = *found->second;
    const key_stage previousStage =
      std::exchange(live.mKeyStage, key_stage::kHeld);
    if (previousStage == key_stage::kClaiming) {
      Apply(mScheduler.Submit(ItemFor(live), Now()));
    } else if (previousStage == key_stage::kConfirming) {
      Grant(live, live.mConfirmingEndpoint);
    }
  }

  void OnKeyRefused(ticket aTicket, error_kind aKind)
  {
    const auto found = mLive.find(aTicket);
    if (found == mLive.end()) {
      return;
    }
    if (found->second->mKeyStage == key_stage::kConfirming) {
      RefuseStarted(aTicket, { aKind, duration{} });
      return;
    }
    DispatchEvent(aTicket, schedule_refused{ aKind, duration{} });
  }

  std::vector<endpoint_status> Endpoints() const
  {
    return mScheduler.Endpoints(Now());
  }

  void SetRouters(const instance_name& aOwn,
                  const std::vector<instance_name>& aRouters)
  {
    mScheduler.SetRouters(aOwn, aRouters);
  }

  void Tick()
  {
    mForwarder.Tick(Now());
    ForwardWaiting();
    mCrashes.Tick(Now());
    UpdateReserved();
    Apply(mScheduler.Tick(Now()));
  }

  std::vector<pool_pressure> Pressure() const
  {
    return mScheduler.Pressure(Now());
  }

  void OnPeerPressure(const std::vector<pool_pressure>& aPressures)
  {
    for (const pool_pressure& each : aPressures) {
      Apply(mScheduler.OnPeerPressure(kAllPeers, each, Now()));
    }
  }

  void BeginDrain() { mDraining = true; }

  std::size_t InProgress() const
  {
    return mLive.size() + mForwarder.InProgress();
  }

  std::map<pool_name, held_requests> HeldByPool() const
  {
    std::map<pool_name, held_requests> held;
    for (const auto& [number, live] : mLive) {
      held_requests& pool = held[live->mIntake.mPool];
      ++pool.mInFlight;
      pool.mWaiting += live->mAttempt == nullptr ? 1 : 0;
    }
    return held;
  }

  whole_reply AnswerUnreadable(error_kind aKind)
  {
    if (aKind == error_kind::kCallerLeft) {
      // Already counted and logged when the request itself ends.
      return ErrorReply(aKind, duration{}, request_id());
    }
    return Refusal(aKind, JitteredRetryDelay(), NewId());
  }

private:
  // Has another instance serve the request; this one tries if none takes it.
  void Forward(caller_exchange_ptr aExchange, intake aIntake)
  {
    request_to_forward request{ std::move(aExchange),
                                aIntake.mPool,
                                aIntake.mClass,
                                {},
                                aIntake.mIdempotent };
    request.mDeadline = request.mExchange->Arrival() + aIntake.mDeadline;
    mForwarder.Forward(
      std::move(request),
      [this, read = std::move(aIntake)](caller_exchange_ptr aUnserved) {
        Admit(std::move(aUnserved), read);
      });
  }

  // Requests that wait for an endpoint that can't be reached any more.
  void ForwardWaiting()
  {
    const time_point now = Now();
    for (const pool_name& pool : mForwarder.PoolsOutOfContact()) {
      std::vector<live_request_ptr> waiting;
      for (const auto& [number, live] : mLive) {
        if (live->mIntake.mPool == pool && MayBeForwarded(*live)) {
          waiting.push_back(live);
        }
      }
      for (const live_request_ptr& each : waiting) {
        if (mForwarder.ShouldForward(pool, now)) {
          Release(*each);
          Forward(each->mExchange, each->mIntake);
        }
      }
    }
  }

  static bool MayBeForwarded(const live_request& aLive)
  {
    return aLive.mAttempt == nullptr && aLive.mKeyStage == key_stage::kNone &&
           aLive.mMachine.DeliveredTokens() == 0 && !aLive.mHeldSince &&
           (aLive.mMachine.Ran() == ran::kNo || aLive.mIntake.mIdempotent) &&
           !request_forwarder::IsForwarded(aLive.mExchange->Request());
  }

  // Forgets a request that waits, without an answer to it.
  void Release(live_request& aLive)
  {
    const ticket number = aLive.mTicket;
    aLive.mTimer.cancel();
    aLive.mExchange->OnLeft(nullptr);
    mCrashes.OnSendEnded(aLive.mFingerprint, number, Now());
    mLive.erase(number);
    Apply(mScheduler.Forget(number, Now()));
  }

  endpoint_reach::target_list ProbeTargets(const pool_name& aPool) const
  {
    endpoint_reach::target_list targets;
    for (const endpoint& each : mCatalog->Declared().mEndpoints) {
      if (std::ranges::count(each.mPools, aPool) > 0 &&
          mReservations.IsLive(each.mName)) {
        const endpoint_process process{ each.mAddress, 0 };
        targets.push_back(probe_target{ process, each.mDomain });
      }
    }
    return targets;
  }

  bool IsEnginePool(const pool_name& aPool) const
  {
    return std::ranges::any_of(
      mCatalog->Declared().mModels,
      [&](const model& aModel) { return PoolOf(aModel.mName) == aPool; });
  }

  void Admit(caller_exchange_ptr aExchange, intake aIntake)
  {
    const time_point arrival = aExchange->Arrival();
    request_facts facts;
    facts.mId = NewId();
    facts.mIdempotent = aIntake.mIdempotent;
    facts.mStream = aIntake.mStream;
    facts.mDeadline = arrival + aIntake.mDeadline;
    facts.mLimits = LimitsFor(aIntake);
    const ticket number = ++mLastTicket;
    auto live = live_request_ptr(new live_request(
      mIo, number, std::move(facts), std::move(aIntake), std::move(aExchange)));
    const intake& read = live->mIntake;
    live->mFingerprint = FingerprintOf({ .mMethod = read.mMethod,
                                         .mTarget = read.mPath,
                                         .mTeam = read.mTeam.Text(),
                                         .mBody = read.mBody });
    mLive.emplace(number, live);
    live->mExchange->OnLeft(
      [this, number] { PostEvent(number, caller_left{}); });
    if (live->mIntake.mIdempotencyKey.empty()) {
      Apply(mScheduler.Submit(ItemFor(*live), Now()));
    } else {
      ClaimKey(*live);
    }
  }

  void ClaimKey(live_request& aLive)
  {
    const intake& read = aLive.mIntake;
    if (mKeys == nullptr) {
      DispatchEvent(aLive.mTicket,
                    schedule_refused{ error_kind::kKeyWitnessUnreachable, {} });
      return;
    }
    aLive.mKeyStage = key_stage::kClaiming;
    const std::uint64_t fingerprint =
      CombineHash(Hash64(read.mPath), Hash64(read.mBody));
    mKeys->Submit(aLive.mTicket, read.mTeam, read.mIdempotencyKey, fingerprint);
  }

  stage_limits LimitsFor(const intake& aIntake) const
  {
    stage_limits limits;
    limits.mConnect = mSettings.mTimeouts.mConnect;
    limits.mBetweenTokens = mSettings.mTimeouts.mBetweenTokens;
    limits.mFirstByte =
      std::min(mSettings.mTimeouts.mFirstByte,
               std::max(kMinFirstByteTimeout,
                        kFirstByteTargetMultiple * aIntake.mFirstTokenTarget));
    return limits;
  }

  static work_item ItemFor(const live_request& aLive)
  {
    const intake& read = aLive.mIntake;
    work_item item;
    item.mTicket = aLive.mTicket;
    item.mTeam = read.mTeam;
    item.mClass = read.mClass;
    item.mPool = read.mPool;
    item.mTier = read.mTier;
    item.mPrefix = read.mPrefix;
    item.mPromptTokens = read.mPromptTokens;
    item.mMaxOutputTokens = read.mMaxOutputTokens;
    item.mArrival = aLive.mExchange->Arrival();
    item.mDeadline = item.mArrival + read.mDeadline;
    item.mIdempotent = read.mIdempotent;
    return item;
  }

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

  void Apply(decisions aDecisions)
  {
    Run([&] {
      std::ranges::move(aDecisions, std::back_inserter(mPendingDecisions));
    });
  }

  void Execute(const start& aStart)
  {
    const auto found = mLive.find(aStart.mTicket);
    if (found == mLive.end()) {
      return;
    }
    live_request& live = *found->second;
    live.mUsesMinimumShare = aStart.mUsesMinimumShare;
    // A claim may have expired while the request waited or this process was
    // paused. Until the request has run, the claim is confirmed before each
    // attempt.
    if (live.mKeyStage != key_stage::kNone && live.mMachine.Ran() == ran::kNo) {
      live.mKeyStage = key_stage::kConfirming;
      live.mConfirmingEndpoint = aStart.mEndpoint;
      mKeys->BeforeSend(aStart.mTicket);
      return;
    }
    Grant(live, aStart.mEndpoint);
  }

  // Sends the request to the endpoint whose slot it holds, unless it has ended
  // endpoints before.
  void Grant(live_request& aLive, const endpoint_name& aEndpoint)
  {
    const time_point now = Now();
    const ticket number = aLive.mTicket;
    const send_decision decision =
      mCrashes.BeforeSend(SuspectAttempt(aLive, aEndpoint), now);
    UpdateReserved();
    if (decision.mVerdict == send_verdict::kSend) {
      aLive.mHeldSince.reset();
      DispatchEvent(number, attempt_granted{ aEndpoint });
      return;
    }
    if (decision.mVerdict == send_verdict::kReject) {
      mCrashes.OnRejected(aLive.mId, aLive.mFingerprint);
      RefuseStarted(number,
                    { error_kind::kRequestEndsEndpoints,
                      mCrashes.RejectionTime(aLive.mFingerprint, now) });
      return;
    }
    if (!aLive.mHeldSince) {
      aLive.mHeldSince = now;
    }
    if (now - *aLive.mHeldSince >= crash_guard::kMaxWait) {
      RefuseStarted(number, { error_kind::kSuspectHeld, duration{} });
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(
      mIo, crash_guard::kWaitInterval);
    timer->async_wait([this, timer, number, aEndpoint](const error_code&) {
      if (const auto found = mLive.find(number); found != mLive.end()) {
        const live_request_ptr live = found->second;
        Grant(*live, aEndpoint);
      }
    });
  }

  // Refuses a request that holds a slot and has not been sent.
  void RefuseStarted(ticket aTicket, const schedule_refused& aRefusal)
  {
    Apply(
      mScheduler.OnAttemptEnded(aTicket, attempt_end::kCancelled, 0, Now()));
    DispatchEvent(aTicket, aRefusal);
  }

  std::vector<std::string> EndpointAddresses() const
  {
    std::vector<std::string> addresses;
    for (const endpoint& each : mCatalog->Declared().mEndpoints) {
      addresses.push_back(each.mAddress);
    }
    return addresses;
  }

  suspect_attempt SuspectAttempt(const live_request& aLive,
                                 const endpoint_name& aEndpoint) const
  {
    const auto& declared = mCatalog->Declared().mEndpoints;
    const auto poolSize =
      std::ranges::count_if(declared, [&](const endpoint& aEntry) {
        return std::ranges::count(aEntry.mPools, aLive.mIntake.mPool) > 0;
      });
    return { aLive.mFingerprint,
             aLive.mTicket,
             EndpointHash(aEndpoint),
             static_cast<std::size_t>(poolSize) };
  }

  // Keeps new requests off endpoints that are reserved for trials, as long as
  // another endpoint serves each of their pools.
  void UpdateReserved()
  {
    const std::uint64_t changes = mCrashes.ReservationChanges();
    if (mCatalog == nullptr ||
        std::exchange(mReservationChanges, changes) == changes) {
      return;
    }
    std::map<pool_name, std::size_t> serving;
    for (const endpoint_status& each : mScheduler.Endpoints(Now())) {
      const endpoint* declared = mCatalog->EndpointByName(each.mName.Text());
      if (declared == nullptr || !mReservations.IsLive(each.mName) ||
          each.mHealth != health_state::kHealthy) {
        continue;
      }
      for (const pool_name& pool : declared->mPools) {
        ++serving[pool];
      }
    }
    std::set<endpoint_name> reserved;
    for (const endpoint& each : mCatalog->Declared().mEndpoints) {
      const bool isSpare =
        std::ranges::all_of(each.mPools, [&](const pool_name& aPool) {
          return serving[aPool] > 1;
        });
      if (isSpare && mCrashes.IsReserved(EndpointHash(each.mName), Now())) {
        reserved.insert(each.mName);
      }
    }
    ApplyStates(mReservations.SetReserved(std::move(reserved)));
  }

  void ApplyStates(const endpoint_state_changes& aChanges)
  {
    for (const endpoint_state_change& each : aChanges) {
      Apply(mScheduler.OnEndpointState(each.mEndpoint, each.mState, Now()));
    }
  }

  // Handles an event of the request's attempt. A broken connection is first
  // checked for the end of the endpoint's process.
  void OnAttemptEvent(ticket aTicket, const request_event& aEvent)
  {
    const auto found = mLive.find(aTicket);
    if (found == mLive.end()) {
      return;
    }
    live_request& live = *found->second;
    const bool isLost = std::holds_alternative<connection_lost>(aEvent);
    if (isLost || std::holds_alternative<connect_failed>(aEvent)) {
      mForwarder.OnAttemptFailed(live.mIntake.mPool, Now());
    }
    if (const auto* notice = std::get_if<endpoint_notice>(&aEvent)) {
      TakeNotice(live.mEndpoint, *notice);
    }
    if (std::holds_alternative<sending_begun>(aEvent)) {
      live.mSending = true;
    } else if (std::holds_alternative<token_received>(aEvent) ||
               std::holds_alternative<answer_received>(aEvent)) {
      RecordOutput(live);
    }
    const endpoint* where = mCatalog->EndpointByName(live.mEndpoint.Text());
    if (!isLost || !live.mSending || live.mHasOutput || where == nullptr ||
        !mReservations.IsLive(live.mEndpoint)) {
      DispatchEvent(aTicket, aEvent);
      return;
    }
    mCrashes.OnAttemptLost({ live.mId,
                             SuspectAttempt(live, live.mEndpoint),
                             live.mEndpoint,
                             { where->mAddress, 0 } },
                           [this, aTicket, aEvent](bool /*aEnded*/) {
                             DispatchEvent(aTicket, aEvent);
                           });
  }

  void TakeNotice(const endpoint_name& aEndpoint,
                  const endpoint_notice& aNotice)
  {
    if (aNotice.mLeaving && mOnLeaving) {
      mOnLeaving(aEndpoint);
    }
    if (aNotice.mRest) {
      const time_point now = Now();
      mScheduler.OnEndpointRest(aEndpoint, now + *aNotice.mRest, now);
      mMetrics.OnEvent("endpoint_asks_rest");
      mLog.Write(log_level::kInfo,
                 "endpoint_asks_rest",
                 { { "endpoint", aEndpoint.Text() },
                   { "rest_ms", ToMilliseconds(*aNotice.mRest) } });
    }
  }

  void RecordOutput(live_request& aLive)
  {
    if (!std::exchange(aLive.mHasOutput, true)) {
      mCrashes.OnOutput(aLive.mFingerprint, aLive.mTicket, Now());
    }
  }

  void Execute(const refuse& aRefuse)
  {
    DispatchEvent(aRefuse.mTicket,
                  schedule_refused{ aRefuse.mKind, aRefuse.mRetryAfter });
  }

  void DispatchEvent(ticket aTicket, const request_event& aEvent)
  {
    Run([&] { HandleEvent(aTicket, aEvent); });
  }

  void HandleEvent(ticket aTicket, const request_event& aEvent)
  {
    const auto found = mLive.find(aTicket);
    if (found == mLive.end()) {
      return;
    }
    const live_request_ptr live = found->second;
    const request_actions actions = live->mMachine.Handle(aEvent, Now());
    for (const request_action& each : actions) {
      std::visit([&](const auto& aAction) { Execute(*live, aAction); }, each);
    }
    if (live->mMachine.Ended()) {
      End(*live);
    } else {
      ArmTimer(live);
    }
  }

  void End(live_request& aLive)
  {
    const ticket number = aLive.mTicket;
    aLive.mTimer.cancel();
    aLive.mExchange->OnLeft(nullptr);
    mCrashes.OnSendEnded(aLive.mFingerprint, number, Now());
    mLive.erase(number);
    if (aLive.mKeyStage != key_stage::kNone) {
      mKeys->OnEnded(number, aLive.mMachine.Ran());
    }
    Apply(mScheduler.Forget(number, Now()));
  }

  void ArmTimer(const live_request_ptr& aLive)
  {
    const auto due = aLive->mMachine.NextDue();
    // Each token postpones the due time. The running timer is left to fire
    // early and is then set again, which is cheaper than resetting it for each
    // token.
    if (!due || (aLive->mTimerDue && *aLive->mTimerDue <= *due)) {
      return;
    }
    aLive->mTimerDue = due;
    aLive->mTimer.expires_at(*due);
    aLive->mTimer.async_wait(
      [this, number = aLive->mTicket](const error_code& aError) {
        if (!aError) {
          OnTimer(number);
        }
      });
  }

  void OnTimer(ticket aTicket)
  {
    if (const auto found = mLive.find(aTicket); found != mLive.end()) {
      found->second->mTimerDue.reset();
      DispatchEvent(aTicket, time_passed{});
    }
  }

  void ArmSchedulerTimer()
  {
    const auto due = mScheduler.NextDue();
    if (due == mSchedulerDue) {
      return;
    }
    mSchedulerDue = due;
    mSchedulerTimer.cancel();
    if (!due) {
      return;
    }
    mSchedulerTimer.expires_at(*due);
    mSchedulerTimer.async_wait([this](const error_code& aError) {
      if (!aError) {
        mSchedulerDue.reset();
        Apply(mScheduler.Advance(Now()));
      }
    });
  }

  // ---- actions of the request state machine

  void Execute(live_request& aLive, const open_attempt& aAction)
  {
    const endpoint* where = mCatalog->EndpointByName(aAction.mEndpoint.Text());
    if (where == nullptr) {
      // The endpoint was removed from the catalog after it was chosen; nothing
      // has been sent.
      PostEvent(aLive.mTicket, connect_failed{ aAction.mAttempt });
      return;
    }
    aLive.mEndpoint = aAction.mEndpoint;
    aLive.mSending = false;
    aLive.mHasOutput = false;
    endpoint_call call;
    call.mAttempt = aAction.mAttempt;
    call.mId = aLive.mId;
    call.mAddress = where->mAddress;
    call.mMethod = aLive.mIntake.mMethod;
    call.mPath = aLive.mIntake.mPath;
    call.mContentType = aLive.mIntake.mContentType;
    call.mEngine = aLive.mIntake.mEngine;
    call.mBody = call.mEngine
                   ? EngineBody(aLive.mIntake,
                                aLive.mUsesMinimumShare ? kHighestTier
                                                        : aLive.mIntake.mTier,
                                aAction.mResumeFrom)
                   : aLive.mIntake.mBody;
    aLive.mAttempt =
      StartAttempt(mIo,
                   std::move(call),
                   [this, number = aLive.mTicket](const request_event& aEvent) {
                     OnAttemptEvent(number, aEvent);
                   });
  }

  void Execute(live_request& aLive, const close_attempt& /*aAction*/)
  {
    if (aLive.mAttempt != nullptr) {
      aLive.mAttempt->Close();
      aLive.mAttempt = nullptr;
    }
  }

  void Execute(live_request& aLive, const report_first_token& /*aAction*/)
  {
    mScheduler.OnFirstToken(aLive.mTicket, Now());
  }

  void Execute(live_request& aLive, const report_attempt_ended& aAction)
  {
    if (aAction.mHow == attempt_end::kDeclinedLeaving && mOnLeaving) {
      mOnLeaving(aLive.mEndpoint);
    }
    mCrashes.OnSendEnded(aLive.mFingerprint, aLive.mTicket, Now());
    Apply(mScheduler.OnAttemptEnded(
      aLive.mTicket, aAction.mHow, aAction.mTokens, Now()));
  }

  void Execute(live_request& aLive, const ask_again& aAction)
  {
    mMetrics.OnRetry(aAction.mReason);
    mLog.Write(log_level::kWarning,
               "retry",
               { { "reason", std::string(Name(aAction.mReason)) },
                 { "class", aLive.mIntake.mClass.Text() },
                 { "endpoint", aLive.mEndpoint.Text() },
                 { "fingerprint", Text(aLive.mFingerprint) },
                 { "request_id", aLive.mId.Text() } });
    Apply(mScheduler.Resubmit(aLive.mTicket, Now()));
  }

  void Execute(live_request& aLive, const deliver_token& aAction)
  {
    const time_point now = Now();
    const class_name& name = aLive.mIntake.mClass;
    if (aAction.mIndex == 0) {
      mMetrics.OnFirstToken(name, now - aLive.mExchange->Arrival());
    } else {
      mMetrics.OnTokenGap(name, now - aLive.mLastToken);
    }
    aLive.mLastToken = now;
    if (!aLive.mIntake.mStream) {
      aLive.mText += aAction.mText;
      return;
    }
    SendHeadOnce(aLive);
    aLive.mExchange->Send(stream_text{
      TokenEvent(aLive.mId, ModelOf(aLive), aAction.mIndex, aAction.mText) });
  }

  void Execute(live_request& aLive, const deliver_end& aAction)
  {
    const std::uint64_t tokens = aLive.mMachine.DeliveredTokens();
    mMetrics.OnCompleted(aLive.mIntake.mClass, tokens);
    if (!aLive.mIntake.mStream) {
      aLive.mExchange->Send(CompletionReply(aLive.mId,
                                            ModelOf(aLive),
                                            aLive.mText,
                                            aAction.mFinishReason,
                                            aLive.mIntake.mPromptTokens,
                                            tokens));
      return;
    }
    SendHeadOnce(aLive);
    aLive.mExchange->Send(stream_text{
      EndEvents(aLive.mId, ModelOf(aLive), aAction.mFinishReason) });
    aLive.mExchange->Send(stream_end{});
  }

  void Execute(live_request& aLive, const deliver_answer& aAction)
  {
    mMetrics.OnCompleted(aLive.mIntake.mClass, 0);
    aLive.mExchange->Send(whole_reply{ aAction.mHttpStatus,
                                       { { "X-Request-Id", aLive.mId.Text() } },
                                       aAction.mContentType,
                                       aAction.mBody,
                                       aAction.mOpenEnded });
  }

  void Execute(live_request& aLive, const deliver_error& aAction)
  {
    mMetrics.OnWastedTokens(aLive.mMachine.DeliveredTokens());
    const duration retryDelay = aAction.mRetryAfter > duration{}
                                  ? aAction.mRetryAfter
                                  : JitteredRetryDelay();
    const whole_reply reply = Refusal(aAction.mKind, retryDelay, aLive.mId);
    if (!aLive.mHeadSent) {
      aLive.mExchange->Send(reply);
      return;
    }
    aLive.mExchange->Send(
      stream_text{ ErrorEvent(aAction.mKind, retryDelay, aLive.mId) });
    aLive.mExchange->Send(stream_end{});
  }

  void SendHeadOnce(live_request& aLive)
  {
    if (!std::exchange(aLive.mHeadSent, true)) {
      aLive.mExchange->Send(
        stream_head{ { { "X-Request-Id", aLive.mId.Text() } } });
    }
  }

  static std::string_view ModelOf(const live_request& aLive)
  {
    return aLive.mIntake.mPool.Text();
  }

  // Posts an event, to be handled after the current one.
  void PostEvent(ticket aTicket, request_event aEvent)
  {
    boost::asio::post(mIo, [this, aTicket, event = std::move(aEvent)] {
      DispatchEvent(aTicket, event);
    });
  }

  void RefuseEarly(caller_exchange& aExchange, error_kind aKind)
  {
    whole_reply reply = Refusal(aKind, JitteredRetryDelay(), NewId());
    if (request_forwarder::IsForwarded(aExchange.Request())) {
      reply.mHeaders.push_back(
        { std::string(kForwardingErrorHeader), std::string(Name(aKind)) });
    }
    aExchange.Send(std::move(reply));
  }

  whole_reply Refusal(error_kind aKind,
                      duration aRetryAfter,
                      const request_id& aId)
  {
    mMetrics.OnRefused(aKind);
    mLog.Write(log_level::kInfo,
               "refused",
               { { "kind", std::string(Name(aKind)) },
                 { "ran", std::string(Name(AnswerFor(aKind).mRan)) },
                 { "request_id", aId.Text() } });
    return ErrorReply(aKind, aRetryAfter, aId);
  }

  request_id NewId() { return request_id(to_string(mIdGenerator())); }

  duration JitteredRetryDelay()
  {
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return FromSeconds(ToSeconds(kRetryDelay) * factor(mRandom));
  }

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
  request_forwarder mForwarder;
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

router::router(boost::asio::io_context& aIo,
               const router_settings& aSettings,
               json_log& aLog,
               metrics& aMetrics)
  : mCore(std::make_unique<core>(aIo, aSettings, aLog, aMetrics))
{
}

router::~router() = default;

void
router::SetKeyGate(key_gate* aGate)
{
  mCore->SetKeyGate(aGate);
}

void
router::OnKeyRun(ticket aTicket)
{
  mCore->OnKeyRun(aTicket);
}

void
router::OnKeyRefused(ticket aTicket, error_kind aKind)
{
  mCore->OnKeyRefused(aTicket, aKind);
}

void
router::OnEndpointLeaving(std::function<void(const endpoint_name&)> aListener)
{
  mCore->OnEndpointLeaving(std::move(aListener));
}

crash_guard&
router::Crashes()
{
  return mCore->Crashes();
}

request_forwarder&
router::Forwarder()
{
  return mCore->Forwarder();
}

forward_offer
router::OnForwardQuery(const forward_query& aQuery) const
{
  return mCore->OnForwardQuery(aQuery);
}

void
router::PutInForce(catalog_ptr aCatalog)
{
  mCore->PutInForce(std::move(aCatalog));
}

void
router::Serve(caller_exchange_ptr aExchange)
{
  mCore->Serve(std::move(aExchange));
}

void
router::OnLoadReport(const endpoint_name& aEndpoint, const load_report& aReport)
{
  mCore->OnLoadReport(aEndpoint, aReport);
}

void
router::OnEndpointState(const endpoint_name& aEndpoint, endpoint_state aState)
{
  mCore->OnEndpointState(aEndpoint, aState);
}

std::vector<endpoint_status>
router::Endpoints() const
{
  return mCore->Endpoints();
}

void
router::SetRouters(const instance_name& aOwn,
                   const std::vector<instance_name>& aRouters)
{
  mCore->SetRouters(aOwn, aRouters);
}

void
router::Tick()
{
  mCore->Tick();
}

std::vector<pool_pressure>
router::Pressure() const
{
  return mCore->Pressure();
}

void
router::OnPeerPressure(const std::vector<pool_pressure>& aPressures)
{
  mCore->OnPeerPressure(aPressures);
}

void
router::BeginDrain()
{
  mCore->BeginDrain();
}

std::size_t
router::InProgress() const
{
  return mCore->InProgress();
}

std::map<pool_name, held_requests>
router::HeldByPool() const
{
  return mCore->HeldByPool();
}

whole_reply
router::AnswerUnreadable(error_kind aKind)
{
  return mCore->AnswerUnreadable(aKind);
}

} // namespace thornhollow
