// Finds requests that end the endpoints that run them, and keeps such a request
// from endpoints once it has ended three.
//
//   crash_suspects suspects(crash_suspects_settings{}, instanceNumber);
//   switch (suspects.BeforeSend(attempt, now).mVerdict) { ... }
//   suspects.OnOutput(attempt.mRequest, attempt.mTicket, now);
//   suspects.OnEndpointEnded(attempt, endedAt, now);
//   suspects.OnSendEnded(attempt.mRequest, attempt.mTicket, now);
//
// Failure this guards against: a request whose content ends each endpoint that
// begins to run it comes again and again, under new identifiers and at any
// instance. Each run takes all requests of others at that endpoint with it.
//
// When an endpoint's process ends, every request that was open there without
// any output is a suspect, all but one of them innocent. A request is
// identified by its content, and an end is counted once however many instances
// saw it. What a request may do depends on how many endpoints have ended under
// it:
//
//   none      it runs freely
//   one       one run at a time in the fleet, so that a burst of repeats does
//             not end one endpoint each
//   two       the same, as a trial: the endpoint is announced beforehand and
//   or more   all instances keep other new requests off it, so that its end
//             tells which request ended it
//
// A request is rejected if three endpoints have ended under it and the last run
// was a trial. Ends of several endpoints at the same moment have a common
// cause: such an end is no evidence, and only one of the three may be of this
// kind. A trial is not conclusive if another suspect was open there; then a
// second one is needed, and only ends count that no rejected request explains.
// The first output of any run clears a suspect. So neither a storm of such
// requests nor crashes for other reasons get an innocent request rejected: it
// would have to meet a crash of its endpoint alone in its trial, which ends
// with its first output.
//
// A rejection lapses after a time, as engines are mended; one more trial that
// ends an endpoint renews it.
//
// The state of all instances converges, as reports merge in any order and any
// number. An instance that hears no other one acts on its own sightings.
#ifndef THORNHOLLOW_POLICY_CRASH_SUSPECTS_H_
#define THORNHOLLOW_POLICY_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "thornhollow/base/request_feature.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/crash_report.h"

namespace thornhollow {

struct crash_suspects_settings
{
  // Endpoints that may end under a request before it is rejected.
  std::size_t mMaxEnded = 3;
  // Minimum number of these that did not end together with several others, the
  // trial among them.
  std::size_t mMinSeparateEnds = 2;
  // Sightings of one endpoint within this time are sightings of one end. Longer
  // than a report takes, shorter than a process needs to start and end again.
  duration mSameEndWindow = Milliseconds(1'500);
  // Ends of two endpoints within this time may have one cause. Longer than the
  // difference between the times at which two instances notice an end.
  duration mCoincidenceWindow = Milliseconds(10);
  // So many other ends, for which no request is a likely cause, make one that
  // is common to all of them likely.
  std::size_t mCoincidentEnds = 2;
  // For how long a trial counts, and with it a rejection.
  duration mRejectionTime = Seconds(600);
  // For how long ends are remembered; the next run after a rejection is a trial
  // for that long.
  duration mRetention = Seconds(3'600);
  // Validity of a report of a run, and how often it is repeated.
  duration mRunValidity = Seconds(2);
  duration mRunInterval = Milliseconds(500);
  // How long before its start a run after the first end is announced, which
  // allows for the answer of an instance that runs the request already.
  duration mRunNotice = Milliseconds(30);
  // The same for a trial. A report reaches all
  // instances of a large fleet much sooner; the rest lets the requests that
  // were sent to the endpoint before produce output, so that they are no
  // suspects when the trial ends it.
  duration mTrialNotice = Milliseconds(250);
  // Maximum part of a pool's endpoints that trials may reserve at a time.
  double mMaxReservedFraction = 0.25;
  // Maximum number of sightings. When a storm of ends exceeds it, suspects of
  // the fewest ends are dropped first, the oldest of these first: they are the
  // most likely to be innocent.
  std::size_t mMaxSightings = 2'048;
  // Each report is sent in this many rounds; see fleet/crash_gossip.h.
  std::uint32_t mRounds = 2;
  duration mRoundInterval = Milliseconds(100);

  friend bool operator==(const crash_suspects_settings&,
                         const crash_suspects_settings&) = default;
};

// An attempt that is about to be sent, or was.
struct suspect_attempt
{
  request_feature mRequest;
  // Identifies the submission at this instance.
  std::uint64_t mTicket = 0;
  endpoint_hash mEndpoint = 0;
  // Number of endpoints of the pool.
  std::size_t mPoolSize = 1;

  friend bool operator==(const suspect_attempt&,
                         const suspect_attempt&) = default;
};

enum class send_verdict : std::uint8_t
{
  kSend,
  // Ask again soon.
  kWait,
  // The request ends endpoints; it must not be sent.
  kReject,
};

struct send_decision
{
  send_verdict mVerdict = send_verdict::kSend;
  // With `kWait`: a trial is announced at the chosen endpoint; ask again for
  // the same one.
  bool mKeepEndpoint = false;

  friend bool operator==(const send_decision&, const send_decision&) = default;
};

// A request that is rejected from now on.
struct crash_rejection
{
  request_feature mRequest;
  // Endpoints that ended under it.
  std::vector<endpoint_hash> mEndpoints;

  friend bool operator==(const crash_rejection&,
                         const crash_rejection&) = default;
};

class crash_suspects
{
public:
  // `aInstance` identifies this process in reports.
  crash_suspects(const crash_suspects_settings& aSettings,
                 std::uint64_t aInstance);

  // Whether the attempt may be sent now. Must be asked before each send,
  // whatever led to it.
  send_decision BeforeSend(const suspect_attempt& aAttempt, time_point aNow);
  // Whether the request must not be sent to any endpoint.
  bool IsRejected(request_feature aRequest, time_point aNow) const;
  // Until when the request is rejected, if it is.
  std::optional<time_point> RejectedUntil(request_feature aRequest) const;
  // Number of endpoints that ended under the request since it was last cleared.
  std::size_t EndedUnder(request_feature aRequest) const;

  // The endpoint has produced output for the request.
  void OnOutput(request_feature aRequest,
                std::uint64_t aTicket,
                time_point aNow);
  // The endpoint's process ended at `aEndedAt`, and the attempt was open there
  // without output.
  void OnEndpointEnded(const suspect_attempt& aAttempt,
                       time_point aEndedAt,
                       time_point aNow);
  // The attempt ended in another way, or is not sent after all.
  void OnSendEnded(request_feature aRequest,
                   std::uint64_t aTicket,
                   time_point aNow);

  // Whether a trial keeps other new requests off the endpoint.
  bool IsReserved(endpoint_hash aEndpoint, time_point aNow) const;
  // Changes with each change of what `IsReserved` returns, but for the expiry
  // of a report between two calls of `Tick`.
  std::uint64_t ReservationChanges() const { return mReservationChanges; }

  // Renews reports and forgets what has expired. To be called every 100 ms.
  void Tick(time_point aNow);

  // Merges a report of another instance.
  void Merge(const crash_report& aReport, time_point aNow);
  // Whether `NextReport` has something to say now.
  bool HasNews(time_point aNow) const;
  // Returns what is due to be told, at most about `aMaxBytes` when encoded; the
  // most important items first. Each item is returned in `mRounds` reports.
  crash_report NextReport(std::size_t aMaxBytes, time_point aNow);
  // Returns what an instance needs that has missed reports: the sightings of
  // rejected requests, then as much of the rest as fits, beginning at another
  // item for each `aTurn`.
  crash_report FullReport(std::size_t aMaxBytes,
                          std::size_t aTurn,
                          time_point aNow) const;
  // Digest of the sightings of requests under which two or more endpoints have
  // ended; 0 if there are none. Instances with different digests send each
  // other their full reports.
  std::uint64_t Digest() const;

  // Requests that were rejected since the last call.
  std::vector<crash_rejection> TakeRejections();
  std::size_t Sightings() const { return mSightingCount; }

private:
  struct crash
  {
    endpoint_hash mEndpoint = 0;
    time_point mAt{};
    // By request; whether it ran there as a trial.
    std::map<request_feature, bool> mSuspects;
  };
  using crash_number = std::uint64_t;
  struct run
  {
    endpoint_hash mEndpoint = 0;
    std::uint32_t mNumber = 0;
    bool mReserves = false;
    bool mEnded = false;
    // Of own runs: whether this is a trial.
    bool mTrial = false;
    // When the report expires, unless repeated.
    time_point mUntil{};
    // Of own runs.
    std::uint64_t mTicket = 0;
    bool mStarted = false;
    time_point mAnnouncedAt{};
    time_point mRenewAt{};
  };
  // Names of the items that reports are made of.
  struct run_key
  {
    request_feature mRequest;
    std::uint64_t mInstance = 0;

    friend bool operator==(const run_key&, const run_key&) = default;
  };
  struct clearance_key
  {
    request_feature mRequest;

    friend bool operator==(const clearance_key&,
                           const clearance_key&) = default;
  };
  struct sighting_key
  {
    crash_number mCrash = 0;
    request_feature mRequest;

    friend bool operator==(const sighting_key&, const sighting_key&) = default;
  };
  using item_key = std::variant<run_key, clearance_key, sighting_key>;
  // An item that is still to be told, how often, and when next.
  struct news
  {
    item_key mKey;
    std::uint32_t mRounds = 0;
    time_point mNextAt{};
  };
  // By request, then by instance.
  using run_table = std::map<request_feature, std::map<std::uint64_t, run>>;

  void AddNews(const item_key& aKey);
  // The most important item has the smallest value.
  std::size_t Priority(const item_key& aKey) const;
  // Adds the item to the report, unless it is no longer known. Returns its size
  // in bytes.
  std::size_t AddTo(crash_report& aReport,
                    const item_key& aKey,
                    time_point aNow) const;
  crash_number FindOrAddCrash(endpoint_hash aEndpoint, time_point aAt);
  void AddSighting(endpoint_hash aEndpoint,
                   time_point aAt,
                   request_feature aRequest,
                   bool aTrial,
                   time_point aNow);
  void EraseRequest(request_feature aRequest);
  // Forgets the request's sightings of ends until then. Returns whether there
  // were any.
  bool EraseUntil(request_feature aRequest, time_point aUntil);
  // Removes the sighting from its crash alone.
  void EraseFromCrash(crash_number aNumber, request_feature aRequest);
  void EraseCrash(crash_number aNumber);
  bool IsCleared(request_feature aRequest, time_point aSince) const;
  void Clear(request_feature aRequest, time_point aAt);
  // Whether another request, which is rejected, was open when the endpoint
  // ended.
  bool IsExplained(const crash& aCrash, request_feature aRequest) const;
  bool HasLikelyCause(const crash& aCrash) const;
  bool MayBeCoincidence(const crash& aCrash, request_feature aRequest) const;
  // How much the end tells about the request: 1 for a conclusive trial.
  double Evidence(const crash& aCrash,
                  request_feature aRequest,
                  time_point aNow) const;
  // Judges every request under which enough endpoints have ended. A judgement
  // may change in either direction, as reports arrive in any order.
  void JudgeAll(time_point aNow);
  void Judge(request_feature aRequest, time_point aNow);
  run* OwnRun(request_feature aRequest);
  // Whether a run of another instance goes before the own one.
  bool RunsElsewhere(request_feature aRequest,
                     const run* aOwn,
                     time_point aNow) const;
  send_decision Decide(const suspect_attempt& aAttempt, time_point aNow);
  send_decision DecideRun(const suspect_attempt& aAttempt,
                          run* aOwn,
                          bool aTrial,
                          time_point aNow);
  bool CanReserve(const suspect_attempt& aAttempt, time_point aNow) const;
  bool HasPrecedence(const suspect_attempt& aAttempt, time_point aNow) const;
  void Announce(const suspect_attempt& aAttempt,
                bool aTrial,
                bool aStarted,
                time_point aNow);
  void EndOwnRun(request_feature aRequest, time_point aNow, bool aTell);
  // Removes the submission's attempt from `mOpen`.
  void Close(request_feature aRequest, std::uint64_t aTicket);
  // Announces an attempt that was sent before the request was a suspect, so
  // that no other instance sends the request meanwhile.
  void AnnounceOpen(request_feature aRequest, time_point aNow);
  void MergeRun(const suspect_run& aRun, time_point aNow);
  void CountReserved(time_point aNow);
  void DropExcess();

  crash_suspects_settings mSettings;
  std::uint64_t mInstance;
  crash_number mNextCrash = 1;
  std::uint32_t mNextRun = 1;
  std::map<crash_number, crash> mCrashes;
  std::unordered_map<endpoint_hash, crash_number> mLastCrash;
  std::unordered_map<request_feature, std::vector<crash_number>> mByRequest;
  std::unordered_map<request_feature, time_point> mClearances;
  std::unordered_map<request_feature, time_point> mRejectedUntil;
  // Requests under which at least `mMaxEnded` endpoints have ended, explained
  // or not.
  std::set<request_feature> mJudged;
  std::vector<crash_rejection> mNewRejections;
  run_table mRuns;
  // Attempts of this instance that have been sent and have no output.
  std::unordered_map<request_feature, std::vector<suspect_attempt>> mOpen;
  std::vector<news> mNews;
  std::size_t mSightingCount = 0;
  // Number of runs that reserve an endpoint; a cheap test for sends.
  std::size_t mReserved = 0;
  std::uint64_t mReservationChanges = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_CRASH_SUSPECTS_H_
