// Serves relayed requests with the current routing table and endpoints: looks
// up route, team and pool, chooses endpoints, and enforces the fleet-wide retry
// budget. relay_session.h handles a single request.
//
//   relay_dispatcher dispatcher(io, settings, names, log, metrics);
//   dispatcher.SetRoutingTable(table);
//   dispatcher.Apply(rosterChanges);
//   dispatcher.Serve(exchange);
//
#ifndef THORNHOLLOW_DAEMON_RELAY_DISPATCHER_H_
#define THORNHOLLOW_DAEMON_RELAY_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/error.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/config/relay_settings.h"
#include "thornhollow/daemon/bound_guard.h"
#include "thornhollow/daemon/crash_guard.h"
#include "thornhollow/daemon/endpoint_reach.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/load_exchange.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/daemon/open_end_check.h"
#include "thornhollow/daemon/process_check.h"
#include "thornhollow/daemon/retry_guard.h"
#include "thornhollow/daemon/stream_guard.h"
#include "thornhollow/discovery/endpoint_roster.h"
#include "thornhollow/fleet/relay_peers.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/net/endpoint_connections.h"
#include "thornhollow/policy/admission/drain_schedule.h"
#include "thornhollow/policy/admission/memory_account.h"
#include "thornhollow/policy/endpoints/endpoint_notices.h"
#include "thornhollow/policy/endpoints/out_of_service.h"
#include "thornhollow/policy/loop_lag.h"
#include "thornhollow/policy/placement/relay_pool.h"
#include "thornhollow/policy/queues/room_queue.h"
#include "thornhollow/request/open_end.h"
#include "thornhollow/request/relay_headers.h"
#include "thornhollow/routing/routing_table.h"
#include "thornhollow/streams/version_doubts.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

// A request that the dispatcher works on.
class relayed_work
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  // The process ends within a moment: gives the caller a final answer, unless
  // part of one is with it.
  virtual void OnShutdown() = 0;

protected:
  ~relayed_work() = default;
};

class relay_dispatcher
{
public:
  // Longest wait for room at endpoints that named bounds. The same for all
  // tiers: while urgent requests gave up sooner, others would get the room.
  static constexpr duration kMaxRoomWait = Milliseconds(500);

  // All reference arguments must outlive the dispatcher.
  relay_dispatcher(boost::asio::io_context& aIo,
                   const relay_settings& aSettings,
                   const relay_names& aNames,
                   json_log& aLog,
                   metrics& aMetrics);
  relay_dispatcher(const relay_dispatcher&) = delete;
  relay_dispatcher& operator=(const relay_dispatcher&) = delete;
  ~relay_dispatcher();

  void Serve(caller_exchange_ptr aExchange);
  // The same for a request that another instance forwards.
  void ServeForwarded(caller_exchange_ptr aExchange);
  // Returns the reply to a request that could not be parsed.
  whole_reply AnswerUnreadable(error_kind aKind);

  void SetRoutingTable(routing_table_ptr aTable);
  void Apply(const roster_changes& aChanges);
  const routing_table_ptr& Table() const { return mTable; }
  // Takes a failure domain out of service, or back. Its endpoints get no new
  // requests meanwhile; streams that have begun go on. Endpoints that come back
  // may have become cold.
  void SetOutOfService(const domain_name& aDomain,
                       bool aIsOut,
                       time_point aNow);
  std::size_t DomainsOutOfService() const { return mOutOfService.size(); }
  // Domains that came back lately, and those that other instances saw.
  std::vector<returned_domain> LatelyReturned(time_point aNow)
  {
    return mOutOfService.LatelyReturned(aNow);
  }
  void OnReturnsReported(const std::vector<returned_domain>& aReturned,
                         time_point aNow);

  // Runs periodic work. Call every 100 ms.
  void Tick(time_point aNow);
  // Announces that the process is to end. Requests that the schedule does not
  // take on are refused without being sent to an endpoint.
  void BeginDrain(const drain_schedule& aSchedule) { mDrain = aSchedule; }
  // Gives each request that is in progress its final answer, but for those of
  // which a part is with the caller.
  void EndRequests();
  // Whether a request that may take up to `aTimeout` is taken on.
  bool Accepts(duration aTimeout, time_point aNow) const
  {
    return !mDrain || mDrain->Accepts(aTimeout, aNow);
  }
  // Whether a newer configuration may have reached this instance without being
  // in force yet, so that what the one in force lacks is not refused for good.
  bool MayBeBehind(time_point aNow) const { return mLag.MayBeBehind(aNow); }
  // Call after this process was paused: closes kept connections and discards
  // state that is out of date.
  void OnClockGap(time_point aNow);

  std::size_t InProgress() const { return mSessions; }
  std::map<pool_name, held_requests> HeldByPool() const;

  // The state that this instance reports to its peers, and the state received
  // from them.
  std::map<pool_name, pool_view> LocalViews(time_point aNow);
  std::vector<relay_load> LocalLoads() const;
  // Sets the number of live instances. `aCutOff` returns how many of them do
  // not reach endpoints of a pool: their shares of the pool go to the others,
  // which serve the requests of their callers as well.
  void SetInstanceCount(
    std::size_t aInstances,
    const std::function<std::size_t(const pool_name&)>& aCutOff);
  // Sets the load that peers report for each endpoint, keyed by `EndpointHash`
  // of the endpoint.
  void SetRemoteWork(const std::map<std::uint32_t, reported_load>& aWork,
                     time_point aNow);
  void SetViews(const std::map<pool_name, pool_view>& aViews, time_point aNow);

  // Records that a message from another instance, in failure domain `aDomain`,
  // was received.
  void OnPeerMessage(const domain_name& aDomain, time_point aNow);

  // Sets who shares the bounds that endpoints name: `aInContact` returns the
  // addresses of the other instances that reach a pool, `aPresent` is the
  // fraction of the instances of the last minute that is alive. Call every 100
  // ms.
  void SetBoundInstances(
    const std::function<std::vector<std::string>(const pool_name&)>& aInContact,
    double aPresent,
    time_point aNow);
  bound_guard& Bounds() { return mBounds; }
  // What peers heard of endpoints' bounds.
  void OnBoundsReported(const std::vector<bounds_word>& aWords);

  // What this instance tells peers that look for one to forward requests to.
  // `aPort`: where it takes them.
  forwarding_report Forwarding(std::uint16_t aPort, time_point aNow) const;

  // Processes of endpoints that said that they leave, as told by peers or with
  // an answer that came by way of one.
  void OnLeavingReported(const std::vector<endpoint_process_hash>& aProcesses,
                         time_point aNow);
  std::vector<endpoint_process_hash> LatelyLeaving(std::size_t aMaxCount,
                                                   time_point aNow) const
  {
    return mNotices.LatelyLeaving(aMaxCount, aNow);
  }
  // `aListener` is called with each process of which it is new that it leaves.
  void OnNewLeaving(std::function<void(endpoint_process_hash)> aListener)
  {
    mOnNewLeaving = std::move(aListener);
  }

  // The member functions from `Io` to `Refusal` are used by relay sessions.
  boost::asio::io_context& Io() { return mIo; }
  const relay_names& Names() const { return mNames; }
  json_log& Log() { return mLog; }
  metrics& Metrics() { return mMetrics; }
  // The bytes of bodies and answers that are held.
  const memory_account_ptr& Memory() const { return mMemory; }
  endpoint_connections& Connections() { return mConnections; }
  relay_pool* Pool(const pool_name& aName);
  crash_guard& Crashes() { return mCrashes; }
  endpoint_reach& Reach() { return mReach; }
  stream_guard& Streams() { return mStreams; }
  process_check& Processes() { return mProcesses; }
  load_exchange& Loads() { return mLoads; }
  // Asks what other instances have at the endpoints of a pool, and calls
  // `aDone` when the pool knows it, or could not in time.
  void LearnLoads(const pool_name& aPool,
                  const std::vector<endpoint_name>& aEndpoints,
                  std::function<void()> aDone);
  // Tells what this instance has at the endpoint of an attempt, which changed.
  void ReportLoad(const pool_name& aPool, const relay_pick& aPick);
  // Returns the pool of the route in which endpoints of the version are listed;
  // nullptr if there is none.
  const pool_name* PoolOfVersion(const route& aRoute,
                                 endpoint_version_hash aVersion) const;
  // The versions of the pool's listed endpoints with their hashes and numbers
  // of endpoints, for logs.
  std::string ListedVersions(const pool_name& aPool) const;
  // Chooses an endpoint in the pool that is not in `aTried`; nothing if there
  // is none.
  std::optional<relay_pick> Choose(relay_pool& aPool,
                                   const request_profile& aRequest,
                                   const std::vector<endpoint_name>& aTried,
                                   time_point aNow);
  // Records that a connection to the endpoint could not be made, or that it
  // closed a kept one: its process may have ended.
  void OnProcessDoubted(const endpoint_process& aProcess, time_point aNow);
  // Records whether the listed process answered.
  void OnProcessAnswered(const relay_pick& aPick,
                         process_verdict aVerdict,
                         time_point aNow);
  // As `OnProcessDoubted` where an answer broke off, which alone tells nothing:
  // unless the endpoint has closed its kept connections as well.
  void OnAnswerBrokenOff(const endpoint_process& aProcess, time_point aNow);
  // The source answered this or another instance at `aAt`.
  void OnSourceAnswered(time_point aAt);
  // Whether a connection that was made then is known to lead to the process
  // that was picked. An endpoint that has left the list isn't asked.
  process_evidence Evidence(const relay_pick& aPick, time_point aMadeAt) const;
  // After an answer of the process that was picked has ended with its
  // connection: hands over whether somebody vouches for that end.
  void JudgeOpenEnd(const relay_pick& aPick,
                    std::function<void(open_end_ground)> aDone);
  // Calls `aDone` with whether it does, after the endpoint has been asked where
  // that is necessary; with true where it can't be asked.
  void Confirm(const relay_pick& aPick,
               time_point aMadeAt,
               std::function<void(bool)> aDone);
  // The version of the process that was picked; `kUnknownVersion` if it is in
  // doubt by now, or the endpoint is listed as a new process.
  endpoint_version_hash VersionOf(const relay_pick& aPick) const;
  // When a caller should come back to whom no endpoint of the pool could be
  // given because the operator has taken all of them out of service; nothing if
  // that is not the reason.
  std::optional<duration> OutOfServiceLeft(const pool_name& aPool,
                                           time_point aNow);
  // When a caller should come back to whom no endpoint of the pool could be
  // given because all rest; nothing if that is not the reason.
  std::optional<duration> RestLeft(const pool_name& aPool,
                                   const request_profile& aRequest,
                                   time_point aNow);
  // Records that a connection attempt to an endpoint failed, or that the
  // endpoint stopped responding. Informs all pools, as the endpoint's whole
  // failure domain may be unreachable.
  void OnUnreachable(const relay_pick& aPick, time_point aNow);
  // Takes what an endpoint said of itself with an answer to the attempt.
  // Returns the endpoint's process if it said that it leaves.
  std::optional<endpoint_process_hash> OnAnswerMarks(const relay_pick& aPick,
                                                     const answer_marks& aMarks,
                                                     time_point aNow);
  // Lets a request wait until an endpoint of the pool takes one more by its
  // bounds, then calls `aWake`. Returns whether it waits.
  bool WaitForRoom(const pool_name& aPool,
                   const room_ticket& aTicket,
                   room_queue::wake aWake);
  void LeaveRoomQueue(const pool_name& aPool, const room_ticket& aTicket);
  // An attempt at an endpoint of the pool ended, which may leave room.
  void OnRoom(const pool_name& aPool);
  // When a caller should come back to whom no endpoint of the pool could be
  // given because of the rates that they named; nothing if that is not known.
  std::optional<duration> BoundLeft(const pool_name& aPool,
                                    const request_profile& aRequest,
                                    time_point aNow);
  std::uint64_t NextRoomNumber() { return mNextRoomNumber++; }
  retry_guard& Retries() { return mRetries; }
  // Each request in progress may take a connection to an endpoint, which kept
  // ones leave the descriptors for.
  void OnSessionBegin(relayed_work& aWork)
  {
    ++mSessions;
    mWork.push_back(aWork);
    BoundKeptConnections();
  }
  void OnSessionEnd()
  {
    --mSessions;
    BoundKeptConnections();
  }
  // Returns the error reply to a refused request, with a retry delay: a short
  // random one unless `aRetryAfter` is given.
  whole_reply Refusal(error_kind aKind,
                      const request_id& aId,
                      std::optional<duration> aRetryAfter = std::nullopt);

private:
  void BoundKeptConnections();
  duration RetryDelay();
  void UpdateReserved(time_point aNow);
  void RecordLag(duration aLate);
  void AddEndpoint(const listed_endpoint& aEndpoint);
  void UpdateEndpoint(const listed_endpoint& aEndpoint);
  void RemoveEndpoint(const endpoint_name& aName);
  relay_pool& GetOrCreatePool(const pool_name& aName);
  endpoint_reach::target_list ProbeTargets(const pool_name& aPool) const;
  std::vector<std::string> EndpointAddresses() const;
  void LogSlowChange(const relay_load& aLoad);
  bool IsEnginePool(const pool_name& aName) const;

  // A listed endpoint and the number that identifies its current process.
  struct known_endpoint
  {
    listed_endpoint mEntry;
    std::uint64_t mLifetime = 0;
  };

  static endpoint_process_hash ProcessHash(const listed_endpoint& aEndpoint)
  {
    return EndpointProcessHash(aEndpoint.mName, aEndpoint.mStartedMs);
  }
  // Whether it leaves, by the source's list or by its own word.
  bool IsLeaving(const known_endpoint& aKnown) const
  {
    return aKnown.mEntry.mDraining ||
           mNotices.IsLeaving(ProcessHash(aKnown.mEntry));
  }
  // Does nothing if it is known already.
  void TakeLeaving(endpoint_process_hash aProcess,
                   std::string_view aBy,
                   time_point aNow);
  void Update(const known_endpoint& aKnown);
  // Its version is in doubt from now on.
  void Doubt(const known_endpoint& aKnown, time_point aNow);
  open_end_signs OpenEndSigns(const relay_pick& aPick);
  static listed_process ProcessOf(const known_endpoint& aKnown)
  {
    const listed_endpoint& entry = aKnown.mEntry;
    return { entry.mName, entry.mAddress, aKnown.mLifetime, entry.mStartedMs };
  }
  // The listed endpoint, if its process is still the one that was picked.
  const known_endpoint* Known(const relay_pick& aPick) const;
  void TakeRest(const known_endpoint& aKnown, duration aRest, time_point aNow);
  void LogRestOver(endpoint_process_hash aProcess);
  relay_endpoint ToPoolEndpoint(const known_endpoint& aKnown) const;
  // The domain's endpoints may have become cold `aAge` ago. Updates them.
  void PresumeCold(const domain_name& aDomain,
                   std::string_view aBy,
                   duration aAge,
                   time_point aNow);
  // Updates the endpoints whose warm-up has ended.
  void EndWarmUps(time_point aNow);
  // Gives the endpoints of the pool their parts of the bounds anew.
  void UpdateParts(const pool_name& aPool);
  // Lets up to `aCount` waiting requests try again.
  void WakeWaiting(const pool_name& aPool, std::size_t aCount);

  boost::asio::io_context& mIo;
  relay_settings mSettings;
  const relay_names& mNames;
  json_log& mLog;
  metrics& mMetrics;
  memory_account_ptr mMemory;
  endpoint_connections mConnections;
  crash_guard mCrashes;
  loop_lag mLag;
  endpoint_reach mReach;
  stream_guard mStreams;
  process_check mProcesses;
  endpoint_notices mNotices;
  bound_guard mBounds;
  load_exchange mLoads;
  version_doubts mVersionDoubts;
  std::function<void(endpoint_process_hash)> mOnNewLeaving;
  retry_guard mRetries;
  std::mt19937_64 mGenerator;
  // Connections to endpoints, in use and kept.
  std::size_t mMaxToEndpoints;
  routing_table_ptr mTable;
  std::map<pool_name, relay_pool> mPools;
  std::map<pool_name, room_queue> mRoomQueues;
  std::uint64_t mNextRoomNumber = 0;
  std::map<endpoint_name, known_endpoint> mEndpoints;
  // Failure domains that the operator has taken out of service.
  out_of_service_domains mOutOfService;
  // Engines logged as slow and not yet logged as recovered.
  std::set<endpoint_name> mSlowEngines;
  std::uint64_t mNextLifetime = 1;
  using work_list =
    boost::intrusive::list<relayed_work,
                           boost::intrusive::constant_time_size<false>>;
  // Requests in progress, and their number.
  work_list mWork;
  std::size_t mSessions = 0;
  std::size_t mInstances = 1;
  // Set only while the instance drains.
  std::optional<drain_schedule> mDrain;
  time_point mNextConnectionCheck{};
  // `crash_guard::ReservationChanges` as of the last `UpdateReserved`.
  std::uint64_t mReservationChanges = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_RELAY_DISPATCHER_H_
