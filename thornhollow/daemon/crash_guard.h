// Keeps requests that end endpoints from doing so again: asks endpoints whose
// connections broke whether they still run, tells
// policy/suspects/crash_suspects.h, and exchanges reports with the other
// instances.
//
//   crash_guard guard(io, log, metrics);
//   guard.SetPeers(peers);
//   switch (guard.BeforeSend(attempt, now).mVerdict) { ... }
//   guard.OnAttemptLost(lost, [](bool aEnded) { ... });
//
// Serves both interfaces; see daemon/relay_session.h and daemon/router.h.
#ifndef THORNHOLLOW_DAEMON_CRASH_GUARD_H_
#define THORNHOLLOW_DAEMON_CRASH_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/fleet/crash_gossip.h"
#include "thornhollow/net/endpoint_connections.h"
#include "thornhollow/policy/suspects/crash_suspects.h"

namespace thornhollow {

// How the guard reaches the other instances.
struct crash_guard_peers
{
  // Addresses of all known instances.
  std::function<std::vector<std::string>()> mAddresses;
  std::function<void(const std::vector<std::string>& aTo, const crash_report&)>
    mSend;
};

// An attempt whose connection broke before its answer was whole.
struct lost_attempt
{
  request_id mId;
  suspect_attempt mAttempt;
  endpoint_name mEndpoint;
  endpoint_process mProcess;
  // How far its answer had got; see `MayEndEndpoint`.
  run_progress mProgress = run_progress::kNoOutput;
};

class crash_guard
{
public:
  // A request that has to wait for another submission of the same content,
  // since an endpoint ended under it, asks again after `kWaitInterval`, and is
  // given up after `kMaxWait`: a run that has produced nothing by then waits in
  // an engine's queue.
  static constexpr duration kWaitInterval = Milliseconds(10);
  static constexpr duration kMaxWait = Seconds(1);

  // `aLog` and `aMetrics` must outlive the guard.
  crash_guard(boost::asio::io_context& aIo, json_log& aLog, metrics& aMetrics);

  void SetPeers(crash_guard_peers aPeers) { mPeers = std::move(aPeers); }
  // Returns the addresses of all endpoints. One whose host refuses connections
  // counts as ended only if one of a few others accepts a connection: an
  // instance that is cut off from the endpoints sees each of them break its
  // connections and refuse new ones, and would have the requests of that moment
  // rejected everywhere. Without other endpoints, a refusal alone counts.
  void SetEndpoints(std::function<std::vector<std::string>()> aAddresses)
  {
    mEndpoints = std::move(aAddresses);
  }
  // Takes the connection of a probe that the endpoint accepted.
  void OnSpareConnection(std::function<void(const endpoint_process&,
                                            endpoint_connection_ptr)> aListener)
  {
    mOnSpareConnection = std::move(aListener);
  }

  // Returns a number that identifies a submission.
  std::uint64_t NextTicket() { return ++mLastTicket; }

  // See the functions of the same names in policy/suspects/crash_suspects.h.
  send_decision BeforeSend(const suspect_attempt& aAttempt, time_point aNow);
  bool IsRejected(const request_features& aFeatures, time_point aNow) const
  {
    return mSuspects.RejectsNow(aFeatures, aNow);
  }
  // The run has got from `aBefore` to `aReached`. Returns the further of both.
  run_progress OnProgress(const request_features& aFeatures,
                          std::uint64_t aTicket,
                          run_progress aBefore,
                          run_progress aReached,
                          time_point aNow);
  void OnSendEnded(const request_features& aFeatures,
                   std::uint64_t aTicket,
                   time_point aNow);
  // When the caller of a rejected request may come back.
  duration RejectionTime(const request_features& aFeatures,
                         time_point aNow) const;
  // Logs that a rejected request was kept from endpoints.
  void OnRejected(const request_id& aId, const request_features& aFeatures);

  // Finds out whether the endpoint's process has ended and records the request
  // as a suspect if so. Calls `aDone` with the result, at once if it is known.
  void OnAttemptLost(const lost_attempt& aLost,
                     std::function<void(bool aEnded)> aDone);

  // Endpoints to which no new requests but a trial may be sent now. Changes
  // only with `ReservationChanges`.
  bool IsReserved(endpoint_hash aEndpoint, time_point aNow) const
  {
    return mSuspects.IsReserved(aEndpoint, aNow);
  }
  std::uint64_t ReservationChanges() const
  {
    return mSuspects.ReservationChanges();
  }

  // Messages of other instances.
  void OnReport(const crash_report& aReport);
  void OnDigest(const std::string& aPeer, std::uint64_t aDigest);
  std::uint64_t Digest() const { return mSuspects.Digest(); }

  // To be called every 100 ms.
  void Tick(time_point aNow);

private:
  // An endpoint's process and what is known of its end.
  struct probed_process
  {
    std::optional<bool> mEnded;
    // Connections broke, which is when the process ended if it did.
    time_point mBrokenAt{};
    std::vector<std::function<void(bool)>> mWaiting;
  };

  void ProbeLost(const endpoint_process& aProcess);
  void ConfirmEnd(const endpoint_process& aProcess);
  std::vector<std::string> DrawOthers(const std::string& aAddress);
  void OnProbed(const endpoint_process& aProcess, bool aEnded);
  void Record(const lost_attempt& aLost, time_point aEndedAt);
  void SendReports();
  void LogRejections();

  boost::asio::io_context& mIo;
  json_log& mLog;
  metrics& mMetrics;
  crash_suspects mSuspects;
  crash_gossip mGossip;
  std::mt19937_64 mRandom;
  crash_guard_peers mPeers;
  std::function<void(const endpoint_process&, endpoint_connection_ptr)>
    mOnSpareConnection;
  std::function<std::vector<std::string>()> mEndpoints;
  std::map<endpoint_process, probed_process> mProbed;
  boost::asio::steady_timer mTimer;
  bool mTimerArmed = false;
  std::uint64_t mLastTicket = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_CRASH_GUARD_H_
