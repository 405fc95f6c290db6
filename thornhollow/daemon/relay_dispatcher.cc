#include "thornhollow/daemon/relay_dispatcher.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include "thornhollow/daemon/caller_reply.h"
#include "thornhollow/daemon/process_limits.h"
#include "thornhollow/daemon/relay_session.h"
#include "thornhollow/net/clock.h"

namespace thornhollow {
namespace {

// How often idle connections are checked for exceeding their idle limits, which
// are in the order of seconds.
constexpr duration kConnectionCheckInterval = Seconds(1);
// Refused callers retry after one to three times this delay: longer than an
// engine takes for one prefill chunk, shorter than most callers' timeouts.
constexpr duration kMinRetryDelay = Milliseconds(150);

relay_pool_settings
PoolSettings(const relay_settings& aSettings)
{
  relay_pool_settings settings;
  settings.mMissPenalty = aSettings.mEngines.mMissPenalty;
  settings.mCopyFromTokens = aSettings.mEngines.mCopyFromTokens;
  settings.mAdmission.mAdmit = aSettings.mEngines.mAdmission;
  const engine_placement placement = aSettings.mEngines.mPlacement;
  if (placement != engine_placement::kApart) {
    settings.mPartition.mSeparate = false;
    settings.mCopyFromTokens = 0;
  }
  if (placement == engine_placement::kLeast) {
    settings.mMissPenalty = 0;
  }
  return settings;
}

} // namespace

relay_dispatcher::relay_dispatcher(boost::asio::io_context& aIo,
                                   const relay_settings& aSettings,
                                   const relay_names& aNames,
                                   json_log& aLog,
                                   metrics& aMetrics)
  : mIo(aIo)
  , mSettings(aSettings)
  , mNames(aNames)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mMemory(new memory_account(MemoryLimits(aSettings.mMemoryMegabytes)))
  , mConnections(aIo, endpoint_connection_settings{})
  , mCrashes(aIo, aLog, aMetrics)
  , mReach(aIo, aLog, aMetrics)
  , mStreams(aIo, aSettings.mDomain, aMetrics)
  , mProcesses(aIo, aLog, aMetrics)
  , mBounds(aLog, aMetrics, aSettings.mPeerAddress)
  , mLoads(aIo, aSettings.mPeerAddress, aMetrics)
  , mVersionDoubts(stream_origins_settings{}.mListingDelay)
  , mRetries(aSettings.mRetries, aLog, aMetrics, Now())
  , mGenerator(std::random_device()())
  , mMaxToEndpoints(ConnectionLimitsOf(aSettings).mToEndpoints)
{
  Report(*mMemory, aLog, aMetrics);
  const auto keep = [this](const endpoint_process& aWhere,
                           endpoint_connection_ptr aConnection) {
    mConnections.GiveBack(aWhere, std::move(aConnection), std::nullopt);
  };
  mConnections.OnClosedEarly([this](const endpoint_process& aProcess) {
    OnProcessDoubted(aProcess, Now());
  });
  mCrashes.OnSpareConnection(keep);
  mCrashes.SetEndpoints([this] { return EndpointAddresses(); });
  mReach.OnSpareConnection(keep);
  mReach.SetEndpoints(
    [this](const pool_name& aPool) { return ProbeTargets(aPool); });
}

// Sessions of callers may keep the account longer.
relay_dispatcher::~relay_dispatcher()
{
  mMemory->OnEvent(nullptr);
}

void
relay_dispatcher::BoundKeptConnections()
{
  mConnections.SetMaxIdle(mMaxToEndpoints -
                          std::min(mMaxToEndpoints, mSessions));
}

void
relay_dispatcher::Serve(caller_exchange_ptr aExchange)
{
  StartRelaySession(*this, std::move(aExchange));
}

void
relay_dispatcher::ServeForwarded(caller_exchange_ptr aExchange)
{
  StartForwardedSession(*this, std::move(aExchange));
}

whole_reply
relay_dispatcher::AnswerUnreadable(error_kind aKind)
{
  mMetrics.OnRefused(aKind);
  mLog.Write(log_level::kInfo,
             "request_unreadable",
             { { "kind", std::string(Name(aKind)) } });
  return Refusal(aKind, request_id());
}

whole_reply
relay_dispatcher::Refusal(error_kind aKind,
                          const request_id& aId,
                          std::optional<duration> aRetryAfter)
{
  return ErrorReply(
    aKind,
    aRetryAfter ? *aRetryAfter : RetryDelay(),
    aId,
    { .mRequestIdHeader = mNames.mRequestId, .mFractions = true });
}

void
relay_dispatcher::SetRoutingTable(routing_table_ptr aTable)
{
  mStreams.OnRouting(mTable.get(), *aTable);
  mTable = std::move(aTable);
  mMetrics.OnConfiguration(mTable->Document().mVersion);
  // Pools of engines choose endpoints by other rules than pools of plain
  // services. Rebuilds each pool that the new routing table changes from an
  // engine pool to a service pool, or the reverse.
  for (const auto& [name, each] : mEndpoints) {
    GetOrCreatePool(each.mEntry.mPool);
  }
  for (const routed_pool& each : mTable->Document().mPools) {
    mBounds.SetWarmUp(each.mName, each.mWarmUp);
  }
  for (const pool_name& each : mBounds.PoolsWithBounds()) {
    UpdateParts(each);
  }
}

void
relay_dispatcher::SetOutOfService(const domain_name& aDomain,
                                  bool aIsOut,
                                  time_point aNow)
{
  if (!aIsOut) {
    mOutOfService.Return(aDomain, aNow);
    PresumeCold(aDomain, "return", duration::zero(), aNow);
    return;
  }
  mOutOfService.Take(aDomain, aNow);
  for (const auto& [name, each] : mEndpoints) {
    if (each.mEntry.mDomain == aDomain) {
      Update(each);
    }
  }
}

void
relay_dispatcher::OnReturnsReported(
  const std::vector<returned_domain>& aReturned,
  time_point aNow)
{
  for (const returned_domain& each : aReturned) {
    if (mOutOfService.OnReturnReported(each, aNow)) {
      PresumeCold(each.mDomain, "peer", each.mAge, aNow);
    }
  }
}

void
relay_dispatcher::PresumeCold(const domain_name& aDomain,
                              std::string_view aBy,
                              duration aAge,
                              time_point aNow)
{
  for (const auto& [name, each] : mEndpoints) {
    if (each.mEntry.mDomain == aDomain) {
      mBounds.PresumeCold(ProcessHash(each.mEntry), aBy, aNow, aAge);
      Update(each);
    }
  }
}

void
relay_dispatcher::EndWarmUps(time_point aNow)
{
  const std::vector<endpoint_process_hash> warm = mBounds.TakeWarm(aNow);
  if (warm.empty()) {
    return;
  }
  for (const auto& [name, each] : mEndpoints) {
    if (std::ranges::count(warm, ProcessHash(each.mEntry)) > 0) {
      Update(each);
    }
  }
}

void
relay_dispatcher::Apply(const roster_changes& aChanges)
{
  for (const roster_change& each : aChanges) {
    if (const auto* joined = std::get_if<endpoint_joined>(&each)) {
      AddEndpoint(joined->mEndpoint);
    } else if (const auto* updated = std::get_if<endpoint_updated>(&each)) {
      UpdateEndpoint(updated->mEndpoint);
    } else {
      RemoveEndpoint(std::get<endpoint_gone>(each).mName);
    }
  }
}

void
relay_dispatcher::AddEndpoint(const listed_endpoint& aEndpoint)
{
  if (const auto before = mEndpoints.find(aEndpoint.mName);
      before != mEndpoints.end()) {
    mProcesses.Forget(before->second.mLifetime);
    mBounds.Forget(ProcessHash(before->second.mEntry));
  }
  mEndpoints[aEndpoint.mName] = { aEndpoint, mNextLifetime++ };
  mVersionDoubts.OnListed(aEndpoint.mName);
  mLog.Write(log_level::kInfo,
             "endpoint_joined",
             { { "endpoint", aEndpoint.mName.Text() },
               { "pool", aEndpoint.mPool.Text() },
               { "address", aEndpoint.mAddress },
               { "version", aEndpoint.mVersion.Text() },
               { "started_ms", aEndpoint.mStartedMs },
               { "draining", std::int64_t{ aEndpoint.mDraining } } });
  UpdateEndpoint(aEndpoint);
  mReach.OnEndpointJoined(aEndpoint.mPool);
  mStreams.OnListed(aEndpoint);
}

void
relay_dispatcher::UpdateEndpoint(const listed_endpoint& aEndpoint)
{
  known_endpoint& known = mEndpoints[aEndpoint.mName];
  if (aEndpoint.mDraining && !known.mEntry.mDraining) {
    mLog.Write(log_level::kInfo,
               "endpoint_draining",
               { { "endpoint", aEndpoint.mName.Text() } });
  }
  known.mEntry = aEndpoint;
  mBounds.OnListed(ProcessHash(aEndpoint), aEndpoint, Now());
  Update(known);
}

void
relay_dispatcher::RemoveEndpoint(const endpoint_name& aName)
{
  const auto found = mEndpoints.find(aName);
  if (found == mEndpoints.end()) {
    return;
  }
  mLog.Write(
    log_level::kInfo, "endpoint_gone", { { "endpoint", aName.Text() } });
  mConnections.Forget(
    { found->second.mEntry.mAddress, found->second.mLifetime });
  if (const auto pool = mPools.find(found->second.mEntry.mPool);
      pool != mPools.end()) {
    pool->second.Remove(aName);
  }
  mProcesses.Forget(found->second.mLifetime);
  mBounds.Forget(ProcessHash(found->second.mEntry));
  mEndpoints.erase(found);
  mVersionDoubts.OnListed(aName);
  mStreams.OnRemoved(aName);
}

relay_endpoint
relay_dispatcher::ToPoolEndpoint(const known_endpoint& aKnown) const
{
  const listed_endpoint& entry = aKnown.mEntry;
  return { entry.mName,
           entry.mAddress,
           entry.mDomain,
           aKnown.mLifetime,
           IsLeaving(aKnown),
           mNotices.RestUntil(ProcessHash(entry)),
           entry.mVersion,
           EndpointVersionHash(entry.mPool, entry.mVersion),
           mVersionDoubts.IsDoubted(entry.mName),
           mBounds.RefusalPart(ProcessHash(entry)),
           mBounds.RequestRate(ProcessHash(entry), Now()),
           mOutOfService.Contains(entry.mDomain),
           entry.mStartedMs };
}

void
relay_dispatcher::Update(const known_endpoint& aKnown)
{
  GetOrCreatePool(aKnown.mEntry.mPool).Put(ToPoolEndpoint(aKnown), Now());
}

bool
relay_dispatcher::IsEnginePool(const pool_name& aName) const
{
  const routed_pool* pool = mTable ? mTable->Pool(aName) : nullptr;
  return pool != nullptr && pool->mEngine.has_value();
}

relay_pool&
relay_dispatcher::GetOrCreatePool(const pool_name& aName)
{
  const bool engines = IsEnginePool(aName);
  auto found = mPools.find(aName);
  if (found != mPools.end() && found->second.ServesEngines() == engines) {
    return found->second;
  }
  if (found != mPools.end()) {
    mPools.erase(found);
  }
  found = mPools
            .emplace(aName,
                     relay_pool(PoolSettings(mSettings),
                                engines,
                                mSettings.mDomain,
                                mGenerator()))
            .first;
  found->second.SetInstances(mInstances);
  if (engines) {
    found->second.SetSlots(mTable->Pool(aName)->mEngine->mSlots);
  }
  for (const auto& [name, each] : mEndpoints) {
    if (each.mEntry.mPool == aName) {
      found->second.Put(ToPoolEndpoint(each), Now());
    }
  }
  return found->second;
}

relay_pool*
relay_dispatcher::Pool(const pool_name& aName)
{
  const auto found = mPools.find(aName);
  return found == mPools.end() ? nullptr : &found->second;
}

void
relay_dispatcher::Tick(time_point aNow)
{
  RecordLag(mLag.Tick(aNow));
  if (aNow >= mNextConnectionCheck) {
    mNextConnectionCheck = aNow + kConnectionCheckInterval;
    mConnections.Tick(aNow);
  }
  for (const endpoint_process_hash each : mNotices.Tick(aNow)) {
    LogRestOver(each);
  }
  EndWarmUps(aNow);
  mCrashes.Tick(aNow);
  mReach.Tick(aNow);
  mStreams.Tick();
  UpdateReserved(aNow);
  for (const auto& [pool, queue] : mRoomQueues) {
    WakeWaiting(pool, queue.size());
  }
}

void
relay_dispatcher::RecordLag(duration aLate)
{
  if (aLate >= loop_lag_settings().mLate) {
    mMetrics.OnEvent("loop_late");
    mLog.Write(log_level::kWarning,
               "loop_late",
               { { "late_ms", ToMilliseconds(aLate) } });
  }
}

void
relay_dispatcher::SetBoundInstances(
  const std::function<std::vector<std::string>(const pool_name&)>& aInContact,
  double aPresent,
  time_point aNow)
{
  // Also of pools without bounds: parts must be known once one is named.
  const std::set<pool_name> bound = mBounds.PoolsWithBounds();
  for (const auto& [name, pool] : mPools) {
    const bool reaches = mReach.Reached(name, aNow).value_or(true);
    const bool changed =
      mBounds.SetInstances(name, aInContact(name), reaches, aPresent, aNow);
    if (changed && bound.contains(name)) {
      UpdateParts(name);
    }
  }
}

void
relay_dispatcher::OnBoundsReported(const std::vector<bounds_word>& aWords)
{
  for (const pool_name& each : mBounds.OnReported(aWords)) {
    UpdateParts(each);
  }
}

void
relay_dispatcher::UpdateParts(const pool_name& aPool)
{
  for (const auto& [name, known] : mEndpoints) {
    if (known.mEntry.mPool == aPool) {
      Update(known);
    }
  }
}

bool
relay_dispatcher::WaitForRoom(const pool_name& aPool,
                              const room_ticket& aTicket,
                              room_queue::wake aWake)
{
  const relay_pool* pool = Pool(aPool);
  const std::size_t limit =
    pool == nullptr ? 0 : pool->RoomWithin(kMaxRoomWait);
  room_queue::joining joining =
    mRoomQueues[aPool].Join(aTicket, limit, std::move(aWake));
  if (joining.mDisplaced) {
    boost::asio::post(mIo, [displaced = std::move(*joining.mDisplaced)] {
      displaced(room_verdict::kDisplaced);
    });
  }
  return joining.mJoined;
}

void
relay_dispatcher::LeaveRoomQueue(const pool_name& aPool,
                                 const room_ticket& aTicket)
{
  mRoomQueues[aPool].Leave(aTicket);
}

void
relay_dispatcher::OnRoom(const pool_name& aPool)
{
  WakeWaiting(aPool, 1);
}

void
relay_dispatcher::WakeWaiting(const pool_name& aPool, std::size_t aCount)
{
  const auto queue = mRoomQueues.find(aPool);
  const relay_pool* pool = Pool(aPool);
  if (queue == mRoomQueues.end() || pool == nullptr || !pool->HasRoom(Now())) {
    return;
  }
  for (std::size_t woken = 0; woken < aCount; ++woken) {
    auto first = queue->second.TakeFirst();
    if (!first) {
      return;
    }
    // The caller may be in the middle of ending an attempt.
    boost::asio::post(mIo,
                      [wake = std::move(*first)] { wake(room_verdict::kTry); });
  }
}

std::optional<relay_pick>
relay_dispatcher::Choose(relay_pool& aPool,
                         const request_profile& aRequest,
                         const std::vector<endpoint_name>& aTried,
                         time_point aNow)
{
  UpdateReserved(aNow);
  return aPool.Choose(aRequest, aTried, aNow);
}

// Tells the pools which endpoints are reserved for trials.
void
relay_dispatcher::UpdateReserved(time_point aNow)
{
  const std::uint64_t changes = mCrashes.ReservationChanges();
  if (std::exchange(mReservationChanges, changes) == changes) {
    return;
  }
  std::map<pool_name, std::set<endpoint_name>> reserved;
  for (const auto& [name, each] : mEndpoints) {
    if (mCrashes.IsReserved(EndpointHash(name), aNow)) {
      reserved[each.mEntry.mPool].insert(name);
    }
  }
  for (auto& [name, pool] : mPools) {
    pool.SetReserved(std::move(reserved[name]));
  }
}

std::optional<endpoint_process_hash>
relay_dispatcher::OnAnswerMarks(const relay_pick& aPick,
                                const answer_marks& aMarks,
                                time_point aNow)
{
  const known_endpoint* known = Known(aPick);
  if (known == nullptr) {
    return std::nullopt;
  }
  const endpoint_process_hash process = ProcessHash(known->mEntry);
  if (!aMarks.mMisdirected && mBounds.OnAnswer(process, aMarks, aNow)) {
    UpdateParts(known->mEntry.mPool);
  }
  if (aMarks.mRest) {
    TakeRest(*known, *aMarks.mRest, aNow);
  }
  if (!aMarks.mLeaving) {
    return std::nullopt;
  }
  TakeLeaving(process, "answer", aNow);
  return process;
}

void
relay_dispatcher::TakeRest(const known_endpoint& aKnown,
                           duration aRest,
                           time_point aNow)
{
  if (mNotices.OnRest(ProcessHash(aKnown.mEntry), aRest, aNow)) {
    mMetrics.OnEvent("endpoint_asks_rest");
    mLog.Write(log_level::kInfo,
               "endpoint_asks_rest",
               { { "endpoint", aKnown.mEntry.mName.Text() },
                 { "rest_ms", ToMilliseconds(aRest) } });
  }
  Update(aKnown);
}

const pool_name*
relay_dispatcher::PoolOfVersion(const route& aRoute,
                                endpoint_version_hash aVersion) const
{
  for (const pool_weight& each : aRoute.mPools) {
    const auto pool = mPools.find(each.mPool);
    if (pool != mPools.end() && pool->second.Lists(aVersion)) {
      return &each.mPool;
    }
  }
  return nullptr;
}

void
relay_dispatcher::OnAnswerBrokenOff(const endpoint_process& aProcess,
                                    time_point aNow)
{
  if (mConnections.LookAtKept(aProcess) == kept_state::kAllClosed) {
    OnProcessDoubted(aProcess, aNow);
  }
}

void
relay_dispatcher::OnProcessDoubted(const endpoint_process& aProcess,
                                   time_point aNow)
{
  const auto found = std::ranges::find_if(mEndpoints, [&](const auto& aEntry) {
    return aEntry.second.mLifetime == aProcess.mLifetime;
  });
  if (found != mEndpoints.end() &&
      mConnections.LookAtKept(aProcess) != kept_state::kOpen) {
    Doubt(found->second, aNow);
  }
}

void
relay_dispatcher::OnProcessAnswered(const relay_pick& aPick,
                                    process_verdict aVerdict,
                                    time_point aNow)
{
  const known_endpoint* known = Known(aPick);
  if (known == nullptr) {
    return;
  }
  if (aVerdict == process_verdict::kListed) {
    mVersionDoubts.OnListed(aPick.mEndpoint);
    Update(*known);
  } else if (aVerdict == process_verdict::kOther) {
    // They may lead to the other process, and say nothing.
    mConnections.Forget({ aPick.mAddress, aPick.mLifetime });
    Doubt(*known, aNow);
  }
}

void
relay_dispatcher::Doubt(const known_endpoint& aKnown, time_point aNow)
{
  if (mVersionDoubts.OnSign(aKnown.mEntry.mName, aNow)) {
    mMetrics.OnEvent("endpoint_version_doubted");
    Update(aKnown);
  }
}

const relay_dispatcher::known_endpoint*
relay_dispatcher::Known(const relay_pick& aPick) const
{
  const auto found = mEndpoints.find(aPick.mEndpoint);
  return found != mEndpoints.end() && found->second.mLifetime == aPick.mLifetime
           ? &found->second
           : nullptr;
}

process_evidence
relay_dispatcher::Evidence(const relay_pick& aPick, time_point aMadeAt) const
{
  const known_endpoint* known = Known(aPick);
  return known == nullptr ? process_evidence::kCannotAsk
                          : mProcesses.Evidence(ProcessOf(*known), aMadeAt);
}

void
relay_dispatcher::Confirm(const relay_pick& aPick,
                          time_point aMadeAt,
                          std::function<void(bool)> aDone)
{
  const known_endpoint* known = Known(aPick);
  if (known == nullptr) {
    // It is listed as a new process, or no longer.
    aDone(!mEndpoints.contains(aPick.mEndpoint));
    return;
  }
  mProcesses.Confirm(
    ProcessOf(*known),
    aMadeAt,
    [this, aPick, done = std::move(aDone)](process_verdict aVerdict) {
      OnProcessAnswered(aPick, aVerdict, Now());
      done(aVerdict == process_verdict::kListed);
    });
}

open_end_signs
relay_dispatcher::OpenEndSigns(const relay_pick& aPick)
{
  open_end_signs signs;
  signs.mHasOpenConnection =
    mConnections.LookAtKept({ aPick.mAddress, aPick.mLifetime }) ==
    kept_state::kOpen;
  signs.mIsOtherProcess =
    mEndpoints.contains(aPick.mEndpoint) && Known(aPick) == nullptr;
  return signs;
}

void
relay_dispatcher::JudgeOpenEnd(const relay_pick& aPick,
                               std::function<void(open_end_ground)> aDone)
{
  const auto ask = [this, aPick](process_confirmations::handler aAnswered) {
    // Whoever was picked is asked, also if it is listed no longer.
    mProcesses.AskIfRunning(
      { aPick.mEndpoint, aPick.mAddress, aPick.mLifetime, aPick.mStartedMs },
      [this, aPick, answered = std::move(aAnswered)](process_verdict aVerdict) {
        // Without a start time an answer doesn't tell which process made it.
        if (aPick.mStartedMs != 0) {
          OnProcessAnswered(aPick, aVerdict, Now());
        }
        answered(aVerdict);
      });
  };
  CheckOpenEnd(mIo,
               { [this, aPick] { return OpenEndSigns(aPick); }, ask },
               std::move(aDone));
}

void
relay_dispatcher::OnSourceAnswered(time_point aAt)
{
  for (const endpoint_name& each : mVersionDoubts.TakeCleared(aAt)) {
    if (const auto found = mEndpoints.find(each); found != mEndpoints.end()) {
      Update(found->second);
    }
  }
}

endpoint_version_hash
relay_dispatcher::VersionOf(const relay_pick& aPick) const
{
  const bool isReplaced =
    Known(aPick) == nullptr && mEndpoints.contains(aPick.mEndpoint);
  return isReplaced || mVersionDoubts.IsDoubted(aPick.mEndpoint)
           ? kUnknownVersion
           : aPick.mVersionHash;
}

std::string
relay_dispatcher::ListedVersions(const pool_name& aPool) const
{
  std::map<software_version, std::size_t> counts;
  for (const auto& [name, each] : mEndpoints) {
    if (each.mEntry.mPool == aPool) {
      ++counts[each.mEntry.mVersion];
    }
  }
  std::string text;
  for (const auto& [version, count] : counts) {
    text += fmt::format("{}{} ({:016x}): {}",
                        text.empty() ? "" : ", ",
                        version.Text(),
                        EndpointVersionHash(aPool, version),
                        count);
  }
  return text;
}

std::optional<duration>
relay_dispatcher::OutOfServiceLeft(const pool_name& aPool, time_point aNow)
{
  std::set<domain_name> domains;
  for (const auto& [name, each] : mEndpoints) {
    if (each.mEntry.mPool == aPool && !IsLeaving(each)) {
      domains.insert(each.mEntry.mDomain);
    }
  }
  const auto left = mOutOfService.ExpectedLeftOfAll(domains, aNow);
  return left ? std::optional(*left + RetryDelay()) : std::nullopt;
}

std::optional<duration>
relay_dispatcher::RestLeft(const pool_name& aPool,
                           const request_profile& aRequest,
                           time_point aNow)
{
  const relay_pool* pool = Pool(aPool);
  const auto left =
    pool == nullptr ? std::nullopt : pool->RestLeft(aRequest, aNow);
  return left ? std::optional(*left + RetryDelay()) : std::nullopt;
}

std::optional<duration>
relay_dispatcher::BoundLeft(const pool_name& aPool,
                            const request_profile& aRequest,
                            time_point aNow)
{
  const relay_pool* pool = Pool(aPool);
  const auto left =
    pool == nullptr ? std::nullopt : pool->BoundLeft(aRequest, aNow);
  return left ? std::optional(*left + RetryDelay()) : std::nullopt;
}

void
relay_dispatcher::OnLeavingReported(
  const std::vector<endpoint_process_hash>& aProcesses,
  time_point aNow)
{
  for (const endpoint_process_hash each : aProcesses) {
    TakeLeaving(each, "peer", aNow);
  }
}

void
relay_dispatcher::TakeLeaving(endpoint_process_hash aProcess,
                              std::string_view aBy,
                              time_point aNow)
{
  if (!mNotices.OnLeaving(aProcess, aNow)) {
    return;
  }
  mMetrics.OnEvent("endpoint_says_leaving");
  for (const auto& [name, known] : mEndpoints) {
    if (ProcessHash(known.mEntry) == aProcess) {
      Update(known);
      mLog.Write(log_level::kInfo,
                 "endpoint_says_leaving",
                 { { "endpoint", name.Text() }, { "by", std::string(aBy) } });
    }
  }
  if (mOnNewLeaving) {
    mOnNewLeaving(aProcess);
  }
}

void
relay_dispatcher::LogRestOver(endpoint_process_hash aProcess)
{
  for (const auto& [name, known] : mEndpoints) {
    if (ProcessHash(known.mEntry) == aProcess) {
      mLog.Write(log_level::kInfo,
                 "endpoint_rest_over",
                 { { "endpoint", name.Text() } });
    }
  }
}

void
relay_dispatcher::EndRequests()
{
  // The end of one may end others.
  work_list left;
  left.swap(mWork);
  while (!left.empty()) {
    relayed_work& next = left.front();
    left.pop_front();
    mWork.push_back(next);
    next.OnShutdown();
  }
}

void
relay_dispatcher::OnClockGap(time_point aNow)
{
  mConnections.ForgetAll();
  mReach.OnClockGap(aNow);
  mBounds.OnClockGap(aNow);
  mStreams.OnClockGap();
  for (auto& [name, pool] : mPools) {
    pool.OnClockGap(aNow);
  }
}

endpoint_reach::target_list
relay_dispatcher::ProbeTargets(const pool_name& aPool) const
{
  endpoint_reach::target_list targets;
  for (const auto& [name, each] : mEndpoints) {
    if (each.mEntry.mPool == aPool && !IsLeaving(each) &&
        !mOutOfService.Contains(each.mEntry.mDomain)) {
      targets.push_back(
        { { each.mEntry.mAddress, each.mLifetime }, each.mEntry.mDomain });
    }
  }
  return targets;
}

std::vector<std::string>
relay_dispatcher::EndpointAddresses() const
{
  std::vector<std::string> addresses;
  for (const auto& [name, each] : mEndpoints) {
    addresses.push_back(each.mEntry.mAddress);
  }
  return addresses;
}

forwarding_report
relay_dispatcher::Forwarding(std::uint16_t aPort, time_point aNow) const
{
  // An instance that is stopping takes no further requests of others.
  if (mDrain) {
    return {};
  }
  forwarding_report report{ aPort,
                            static_cast<std::uint32_t>(mSessions),
                            mReach.Contacts(aNow) };
  for (const pool_name& each : mBounds.PoolsWithBounds()) {
    const auto pool = mPools.find(each);
    if (pool != mPools.end() && !pool->second.HasRoom(aNow)) {
      report.mPoolsAtBound.push_back(PoolHash(each));
    }
  }
  return report;
}

void
relay_dispatcher::OnPeerMessage(const domain_name& aDomain, time_point aNow)
{
  for (auto& [name, pool] : mPools) {
    pool.OnPeerMessage(aDomain, aNow);
  }
}

void
relay_dispatcher::OnUnreachable(const relay_pick& aPick, time_point aNow)
{
  bool isNew = false;
  for (auto& [name, pool] : mPools) {
    isNew = pool.OnUnreachable(aPick, aNow) || isNew;
  }
  if (isNew) {
    mLog.Write(log_level::kInfo,
               "domain_doubted",
               { { "domain", aPick.mDomain.Text() },
                 { "endpoint", aPick.mEndpoint.Text() } });
  }
}

duration
relay_dispatcher::RetryDelay()
{
  std::uniform_real_distribution<double> spread(1, 3);
  return FromSeconds(ToSeconds(kMinRetryDelay) * spread(mGenerator));
}

} // namespace thornhollow
