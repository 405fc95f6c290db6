// Which suspected features run where in the fleet, so that requests with one of
// them run one at a time, and which endpoints trials reserve.
//
//   suspect_runs runs(settings, instanceNumber);
//   if (!runs.RunsElsewhere(feature, now)) { runs.Announce(...); }
//   if (runs.Merge(report, now)) { Forward(report); }
//
// A run is announced before it starts, and its report is repeated while it
// lasts. Of two runs announced at the same time the one of the instance with
// the lower number goes first. An instance that ends lets its runs expire.
#ifndef THORNHOLLOW_POLICY_SUSPECTS_SUSPECT_RUNS_H_
#define THORNHOLLOW_POLICY_SUSPECTS_SUSPECT_RUNS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/request_feature.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/suspects/crash_report.h"
#include "thornhollow/policy/suspects/crash_suspects_settings.h"

namespace thornhollow {

// A run of this instance that is to be announced.
struct announced_run
{
  request_feature mFeature;
  // Identifies the submission at this instance.
  std::uint64_t mTicket = 0;
  endpoint_hash mEndpoint = 0;
  // Whether the endpoint's end counts as the end of a trial.
  bool mTrial = false;
  // Whether other instances keep new requests off the endpoint.
  bool mReserves = false;
  // Whether the request has been sent already.
  bool mStarted = false;

  friend bool operator==(const announced_run&, const announced_run&) = default;
};

class suspect_runs
{
public:
  struct run
  {
    endpoint_hash mEndpoint = 0;
    std::uint32_t mNumber = 0;
    bool mReserves = false;
    bool mEnded = false;
    // When the report expires, unless repeated.
    time_point mUntil{};
    bool mStarted = false;
    // As far as this instance knows.
    time_point mStartedAt{};
    // Of own runs.
    bool mTrial = false;
    std::uint64_t mTicket = 0;
    time_point mAnnouncedAt{};
    time_point mRenewAt{};
  };
  // Names a run in reports.
  struct run_key
  {
    request_feature mFeature;
    std::uint64_t mInstance = 0;

    friend bool operator==(const run_key&, const run_key&) = default;
  };

  suspect_runs(const crash_suspects_settings& aSettings,
               std::uint64_t aInstance)
    : mSettings(aSettings)
    , mInstance(aInstance)
  {
  }

  run_key OwnKey(request_feature aFeature) const
  {
    return { aFeature, mInstance };
  }
  // This instance's run with the feature, unless it has ended.
  const run* Own(request_feature aFeature) const;
  // Whether a run of another instance goes before this instance's own one. A
  // run with a part does so for `mSoloTime` only.
  bool RunsElsewhere(request_feature aFeature, time_point aNow) const;
  // Whether this instance's own run with the feature, of another submission,
  // keeps this one from running.
  bool RunsHere(request_feature aFeature,
                std::uint64_t aTicket,
                time_point aNow) const;
  // Whether another submission with a suspected feature runs, or is about to
  // run, at the endpoint: if that ended, nobody could tell under which.
  bool IsOccupied(endpoint_hash aEndpoint,
                  std::uint64_t aTicket,
                  time_point aNow) const;
  // Whether the endpoint may be reserved, at most so many of the pool's being
  // reserved at a time.
  bool CanReserve(request_feature aFeature,
                  endpoint_hash aEndpoint,
                  std::size_t aPoolSize,
                  time_point aNow) const;
  // Whether no trial of another feature, announced at the same time, goes first
  // at the endpoint.
  bool HasPrecedence(request_feature aFeature,
                     endpoint_hash aEndpoint,
                     time_point aNow) const;

  void Announce(const announced_run& aRun, time_point aNow);
  void Start(request_feature aFeature, time_point aNow);
  // Returns whether there was one.
  bool EndOwn(request_feature aFeature, time_point aNow);
  // Merges the report of another instance. Returns whether it is news.
  bool Merge(const suspect_run& aReport, time_point aNow);

  // An endpoint has ended under the feature: so have its runs there.
  void OnEnded(request_feature aFeature, endpoint_hash aEndpoint);
  // Output has cleared the feature: others' runs keep nobody any more.
  void OnCleared(request_feature aFeature);

  // Forgets what has expired. Returns the own runs whose reports are renewed.
  std::vector<run_key> Tick(time_point aNow);

  bool IsReserved(endpoint_hash aEndpoint, time_point aNow) const;
  // Changes with each change of what `IsReserved` returns, but for the expiry
  // of a report between two calls of `Tick`.
  std::uint64_t ReservationChanges() const { return mReservationChanges; }

  // The run as a report tells it; nothing if it is no longer known.
  std::optional<suspect_run> Report(const run_key& aKey, time_point aNow) const;
  std::vector<run_key> All() const;

private:
  // By feature, then by instance.
  using run_table = std::map<request_feature, std::map<std::uint64_t, run>>;

  bool IsOver(request_feature aFeature, const run& aRun, time_point aNow) const;
  void CountReserved(time_point aNow);

  crash_suspects_settings mSettings;
  std::uint64_t mInstance;
  std::uint32_t mNextRun = 1;
  run_table mRuns;
  std::size_t mReserved = 0;
  std::uint64_t mReservationChanges = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SUSPECTS_SUSPECT_RUNS_H_
