// Finds what requests that end the endpoints that run them have in common, and
// keeps requests with it from endpoints.
//
//   crash_suspects suspects(crash_suspects_settings{}, instanceNumber);
//   switch (suspects.BeforeSend(attempt, now).mVerdict) { ... }
//   suspects.OnOutput(attempt.mFeatures, attempt.mTicket, now);
//   suspects.OnEndpointEnded(attempt, endedAt, now);
//   suspects.OnSendEnded(attempt.mFeatures, attempt.mTicket, now);
//
// Failure this guards against: requests that end each endpoint that begins to
// run them come again and again, at any instance: one content under new
// identifiers, or contents no two of which are alike that share a part of their
// prompts. Each run takes all requests of others at that endpoint with it.
//
// When an endpoint's process ends, every request that was open there without
// output, or whose output had not gone on for long (run_progress.h), is a
// suspect, all but one of them innocent, and so is each of its features. What a
// request may do depends on how many endpoints have ended under its features
// since these brought output last; see policy/suspects/crash_evidence.h for how
// ends are counted:
//
//   none             it runs freely
//   content, one     one run at a time in the fleet, so that a burst of
//                    repeats does not end one endpoint each
//   content, two     the same, as a trial: the endpoint is announced beforehand
//   or more          and all instances keep other new requests off it, so that
//                    its end tells which request ended it
//   part, one        it waits until that end is `mSettleTime` ago, while runs
//                    in progress tell whether the part is sound
//   part, two        one run at a time in the fleet, which is the part's trial.
//   or more          It needs no endpoint of its own: whatever else is open
//                    there brings output elsewhere. A part that brought output
//                    shortly before is restricted only if the ends are some
//                    time apart, and in requests that have no part which is
//                    more suspicious
//
// Output clears all features of its request, once it has gone on for longer
// than it had when the endpoints ended. Popular parts are open at each endpoint
// that ends and bring output everywhere all the time, so that they are cleared
// within milliseconds.
//
// A rejection lapses after a time, as engines are mended; one more trial that
// ends an endpoint renews it.
//
// The state of all instances converges, as reports merge in any order and any
// number. An instance that hears no other one acts on its own sightings.
#ifndef THORNHOLLOW_POLICY_SUSPECTS_CRASH_SUSPECTS_H_
#define THORNHOLLOW_POLICY_SUSPECTS_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "thornhollow/base/request_feature.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/suspects/crash_evidence.h"
#include "thornhollow/policy/suspects/crash_report.h"
#include "thornhollow/policy/suspects/crash_suspects_settings.h"
#include "thornhollow/policy/suspects/suspect_runs.h"

namespace thornhollow {

// An attempt that is about to be sent, or was.
struct suspect_attempt
{
  request_features mFeatures;
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
  // With `kWait`: a run is announced at the chosen endpoint; ask again for
  // the same one.
  bool mKeepEndpoint = false;

  friend bool operator==(const send_decision&, const send_decision&) = default;
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
  // The feature for which the request must not be sent to any endpoint; nothing
  // if it may be sent. A rejected part that cannot be told apart from others is
  // no reason by itself: a request without these is a trial of it.
  std::optional<request_feature> RejectedFeature(
    const request_features& aFeatures,
    time_point aNow) const;
  bool IsRejected(request_feature aFeature, time_point aNow) const
  {
    return mEvidence.IsRejected(aFeature, aNow);
  }
  // Whether `BeforeSend` would reject the request now.
  bool RejectsNow(const request_features& aFeatures, time_point aNow) const;
  // Until when the feature is rejected, if it is.
  std::optional<time_point> RejectedUntil(request_feature aFeature) const
  {
    return mEvidence.RejectedUntil(aFeature);
  }
  // Number of endpoints that ended under the feature since it was last cleared.
  std::size_t EndedUnder(request_feature aFeature) const
  {
    return mEvidence.EndedUnder(aFeature);
  }

  // The endpoint has produced output for the request, and the run has got so
  // far. To be called for each progress.
  void OnOutput(const request_features& aFeatures,
                std::uint64_t aTicket,
                time_point aNow,
                run_progress aProgress = run_progress::kBegun);
  // The endpoint's process ended at `aEndedAt`, and the attempt was open there
  // and had got so far.
  void OnEndpointEnded(const suspect_attempt& aAttempt,
                       time_point aEndedAt,
                       time_point aNow,
                       run_progress aProgress = run_progress::kNoOutput);
  // The attempt ended in another way, or is not sent after all.
  void OnSendEnded(const request_features& aFeatures,
                   std::uint64_t aTicket,
                   time_point aNow);

  // Whether a trial keeps other new requests off the endpoint.
  bool IsReserved(endpoint_hash aEndpoint, time_point aNow) const
  {
    return mRuns.IsReserved(aEndpoint, aNow);
  }
  // Changes with each change of what `IsReserved` returns, but for the expiry
  // of a report between two calls of `Tick`.
  std::uint64_t ReservationChanges() const
  {
    return mRuns.ReservationChanges();
  }

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
  // rejected features, then as much of the rest as fits, beginning at another
  // item for each `aTurn`.
  crash_report FullReport(std::size_t aMaxBytes,
                          std::size_t aTurn,
                          time_point aNow) const;
  // Digest of the sightings of features under which two or more endpoints have
  // ended; 0 if there are none. Instances with different digests send each
  // other their full reports.
  std::uint64_t Digest() const;

  // Features that were rejected since the last call.
  std::vector<crash_rejection> TakeRejections()
  {
    return mEvidence.TakeRejections();
  }
  std::size_t Sightings() const { return mEvidence.Sightings(); }

private:
  // Names of the items that reports are made of.
  using run_key = suspect_runs::run_key;
  struct clearance_key
  {
    request_feature mFeature;

    friend bool operator==(const clearance_key&,
                           const clearance_key&) = default;
  };
  struct sighting_key
  {
    crash_evidence::crash_number mCrash = 0;
    request_feature mFeature;

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
  // An attempt that has been sent and has not ended.
  struct open_attempt
  {
    std::uint64_t mTicket = 0;
    endpoint_hash mEndpoint = 0;
    time_point mSentAt{};
    run_progress mProgress = run_progress::kNoOutput;
  };

  send_decision Decide(const suspect_attempt& aAttempt, time_point aNow);
  // When the open attempt was sent.
  std::optional<time_point> SentAt(const suspect_attempt& aAttempt) const;
  // The features with which the attempt may run one at a time only, as the runs
  // that are to be announced.
  std::vector<announced_run> RestrictedRuns(
    const suspect_attempt& aAttempt) const;
  // The parts among these runs: those that may be the cause.
  std::vector<request_feature> RestrictedParts(
    const request_features& aFeatures) const;
  // Whether one of the request's parts has been open at an end just now.
  bool Settles(const request_features& aFeatures, time_point aNow) const;
  send_decision DecideRun(const suspect_attempt& aAttempt,
                          const std::vector<announced_run>& aRuns,
                          time_point aNow);
  bool IsAnnounced(const announced_run& aRun) const;
  bool CanReserve(const announced_run& aRun,
                  std::size_t aPoolSize,
                  time_point aNow) const;
  // When the attempt's runs, which have been announced, may start.
  time_point StartsAt(const std::vector<announced_run>& aRuns) const;

  // Whether the submission has the own run with the feature.
  bool IsOwnRun(request_feature aFeature, std::uint64_t aTicket) const;
  void EndRuns(const request_features& aFeatures,
               std::uint64_t aTicket,
               time_point aNow);
  void Announce(const announced_run& aRun, time_point aNow);
  // Announces an attempt that was sent before the feature was suspected, so
  // that no other instance sends a request with it meanwhile.
  void AnnounceOpen(request_feature aFeature, time_point aNow);
  // Records how far the submission's open attempt has got.
  void RecordProgress(const request_features& aFeatures,
                      std::uint64_t aTicket,
                      run_progress aProgress);
  // Forgets the submission's open attempt.
  void Close(const request_features& aFeatures, std::uint64_t aTicket);

  void Clear(request_feature aFeature, time_point aAt, run_progress aProof);
  void AddSighting(const crash_evidence::sighting& aSighting, time_point aNow);

  void AddNews(const item_key& aKey);
  // The most important item has the smallest value.
  std::size_t Priority(const item_key& aKey) const;
  // Adds the item to the report, unless it is no longer known. Returns its size
  // in bytes.
  std::size_t AddTo(crash_report& aReport,
                    const item_key& aKey,
                    time_point aNow) const;

  crash_suspects_settings mSettings;
  crash_evidence mEvidence;
  suspect_runs mRuns;
  std::unordered_map<request_feature, std::vector<open_attempt>> mOpen;
  std::vector<news> mNews;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SUSPECTS_CRASH_SUSPECTS_H_
