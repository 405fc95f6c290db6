#include "thornhollow/daemon/router.h"

#include <random>
#include <utility>
#include <variant>

#include "thornhollow/daemon/caller_reply.h"
#include "thornhollow/daemon/final_refusal.h"
#include "thornhollow/daemon/internal/router_core.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

// Name under which peer pressure is recorded: gossip provides only the highest
// pressure of all peers for each pool, not which peer reported it.
const instance_name kAllPeers("peers");

} // namespace

router::core::core(boost::asio::io_context& aIo,
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
  , mProcesses(aIo, aLog, aMetrics)
  , mWarmUps(aLog, aMetrics, aSettings.mOwnName)
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

void
router::core::PutInForce(catalog_ptr aCatalog)
{
  const std::set<domain_name> wereOut =
    mCatalog ? DomainsOutOfService(mCatalog->Declared())
             : std::set<domain_name>();
  mCatalog = std::move(aCatalog);
  LogDomains(wereOut);
  mWarmUps.Configure(mCatalog->Declared(), Now());
  Apply(
    mScheduler.Configure(mCatalog->Declared(), mSettings.mOwnDomain, Now()));
  ApplyRates();
}

void
router::core::LogDomains(const std::set<domain_name>& aBefore)
{
  const std::set<domain_name> now = DomainsOutOfService(mCatalog->Declared());
  for (const domain_name& each : now) {
    if (!aBefore.contains(each)) {
      mLog.Write(log_level::kInfo,
                 "domain_out_of_service",
                 { { "domain", each.Text() } });
    }
  }
  for (const domain_name& each : aBefore) {
    if (!now.contains(each)) {
      mLog.Write(log_level::kInfo,
                 "domain_back_in_service",
                 { { "domain", each.Text() } });
    }
  }
  mMetrics.SetDomainsOutOfService(now.size());
}

void
router::core::ApplyRates()
{
  for (const engine_rate& each : mWarmUps.TakeChanges(Now())) {
    Apply(
      mScheduler.OnRequestRate(each.mEngine, each.mRequestsPerSecond, Now()));
  }
  mMetrics.SetWarmingUp(mWarmUps.WarmingUp());
}

void
router::core::Serve(caller_exchange_ptr aExchange)
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
    RefuseEarly(*aExchange,
                FinalIfCurrent(*error, mLag.MayBeBehind(Now()), mMetrics));
    return;
  }
  intake accepted = std::get<intake>(std::move(read));
  mMetrics.OnRequest(accepted.mClass);
  if (!request_forwarder::IsForwarded(aExchange->Request()) &&
      mForwarder.ShouldForward(accepted.mPool, Now())) {
    Forward(std::move(aExchange), std::move(accepted));
    return;
  }
  Admit(std::move(aExchange), std::move(accepted));
}

forward_offer
router::core::OnForwardQuery(const forward_query& aQuery) const
{
  return mDraining || mCatalog == nullptr
           ? forward_offer{}
           : mForwarder.Offer(aQuery, mLive.size(), Now());
}

void
router::core::OnEndpointLeaving(
  std::function<void(const endpoint_name&)> aListener)
{
  mOnLeaving = std::move(aListener);
}

void
router::core::OnLoadReport(const endpoint_name& aEndpoint,
                           const load_report& aReport)
{
  if (aReport.mLeaving && mOnLeaving) {
    mOnLeaving(aEndpoint);
  }
  mWarmUps.OnReport(aEndpoint, aReport, Now());
  ApplyRates();
  Apply(mScheduler.OnLoadReport(aEndpoint, aReport, Now()));
}

void
router::core::OnEndpointState(const endpoint_name& aEndpoint,
                              endpoint_state aState)
{
  // One that has gone comes back as a new process.
  if (aState != endpoint_state::kLeaving) {
    mWarmUps.OnUnreachable(aEndpoint, Now());
    ApplyRates();
  }
  ApplyStates(mReservations.OnState(aEndpoint, aState));
}

void
router::core::OnLoadUnanswered(const endpoint_name& aEndpoint)
{
  mWarmUps.OnUnreachable(aEndpoint, Now());
  ApplyRates();
}

void
router::core::OnKeyRun(ticket aTicket)
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

void
router::core::OnKeyRefused(ticket aTicket, error_kind aKind)
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

std::vector<endpoint_status>
router::core::Endpoints() const
{
  return mScheduler.Endpoints(Now());
}

void
router::core::SetRouters(const instance_name& aOwn,
                         const std::vector<instance_name>& aRouters)
{
  mScheduler.SetRouters(aOwn, aRouters);
}

void
router::core::SetOtherInstances(const std::vector<instance_name>& aOthers)
{
  std::vector<std::string> names;
  names.reserve(aOthers.size());
  for (const instance_name& each : aOthers) {
    names.push_back(each.Text());
  }
  mWarmUps.SetInstances(names, Now());
}

void
router::core::Tick()
{
  mLag.Tick(Now());
  ApplyRates();
  mForwarder.Tick(Now());
  ForwardWaiting();
  mCrashes.Tick(Now());
  UpdateReserved();
  Apply(mScheduler.Tick(Now()));
}

std::vector<pool_pressure>
router::core::Pressure() const
{
  return mScheduler.Pressure(Now());
}

void
router::core::OnPeerPressure(const std::vector<pool_pressure>& aPressures)
{
  for (const pool_pressure& each : aPressures) {
    Apply(mScheduler.OnPeerPressure(kAllPeers, each, Now()));
  }
}

std::size_t
router::core::InProgress() const
{
  return mLive.size() + mForwarder.InProgress();
}

std::map<pool_name, held_requests>
router::core::HeldByPool() const
{
  std::map<pool_name, held_requests> held;
  for (const auto& [number, live] : mLive) {
    held_requests& pool = held[live->mIntake.mPool];
    ++pool.mInFlight;
    pool.mWaiting += live->mAttempt == nullptr ? 1 : 0;
  }
  return held;
}

whole_reply
router::core::AnswerUnreadable(error_kind aKind)
{
  if (aKind == error_kind::kCallerLeft) {
    // Already counted and logged when the request itself ends.
    return ErrorReply(aKind, duration{}, request_id());
  }
  return Refusal(aKind, JitteredRetryDelay(), NewId());
}

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
router::OnLoadUnanswered(const endpoint_name& aEndpoint)
{
  mCore->OnLoadUnanswered(aEndpoint);
}

void
router::SetOtherInstances(const std::vector<instance_name>& aOthers)
{
  mCore->SetOtherInstances(aOthers);
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
