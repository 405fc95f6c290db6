// Tracks the health of one endpoint and decides which fraction of its capacity
// may be used: all of it, a part, or only probes.
//
//   endpoint_health health(endpoint_health_settings{});
//   health.OnEnded(attempt_end::kFailed, elapsed, mayEject, now);
//   if (inFlight < health.Allowance(limit, inFlight, now)) { ... }
//
// An endpoint may crash, answer with errors faster than others answer at all
// (and so look idle), hang, or run at a fraction of its speed. Without this
// module a failing endpoint attracts all work, an unresponsive one holds a slot
// for each request until the request times out, and every request sent to a
// slow one is late.
//
// Four conditions are distinguished:
// - Failing: three consecutive failures, or half of the recent attempts failed.
//   The endpoint gets nothing but occasional probes.
// - Unresponsive: nothing was received after a request was sent, for 3 s or
//   four times the average time to first token, whichever is longer. Or an
//   attempt ended with `attempt_end::kSilent` and nothing was received from the
//   endpoint since the attempt was sent. The endpoint gets only probes. A
//   silent attempt while others are answered means a broken connection rather
//   than an unresponsive endpoint, and has no effect.
// - Slow: the endpoint's time per token is three times the pool's. Its capacity
//   fraction is halved once a second, down to a tenth. It is not ejected, as it
//   still completes its requests.
// - Recovering: after an answered probe, the endpoint may use a tenth of its
//   slots, and 15% more with each answer. A failure ejects it again, and the
//   delay before the next probe doubles.
//
// The caller limits how many endpoints of a pool may be ejected at a time
// (`aMayEject`): when most endpoints of a pool fail, the cause is probably not
// in the endpoints, and ejecting them would overload the rest. Ejection of
// unresponsive endpoints isn't limited, because work sent to them is never
// answered.
//
// Choice of the defaults:
// - At an error rate of one per cent, two consecutive failures happen by
//   chance, three hardly ever.
// - The 95th percentile of the time to first token is 0.97 s. A wait of 3 s, or
//   of four times the average where that is longer, is therefore abnormal
//   unless the endpoint reports a queue.
// - A full batch at most doubles the time per token, so a factor of three means
//   that the endpoint itself is slow.
// - Growing by 15% per answer, an endpoint needs 17 answers from a tenth to its
//   full capacity. If it fails again meanwhile, few requests are in flight.
// - Probes start after 1 s, the shortest time in which a process restarts, and
//   their interval doubles up to 30 s.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_HEALTH_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <optional>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct endpoint_health_settings
{
  // If false, every endpoint always has its full capacity.
  bool mEnabled = true;
  std::uint32_t mEjectAfterFailures = 3;
  // The endpoint counts as failing if at least this fraction of the recent
  // attempts failed.
  double mMaxFailureRate = 0.5;
  // Minimum number of attempts before the failure rate is considered.
  std::uint32_t mMinAttempts = 8;
  duration mSilenceTimeout = Seconds(3);
  double mSilenceLatencyFactor = 4;
  double mSlowFactor = 3;
  // A slow endpoint whose time per token falls below this multiple of the
  // pool's no longer counts as slow.
  double mSlowRecoveryFactor = 1.5;
  duration mSlowReductionInterval = Seconds(1);
  double mMinCapacityFraction = 0.1;
  double mRecoveryGrowth = 1.15;
  duration mInitialProbeDelay = Seconds(1);
  duration mMaxProbeDelay = Seconds(30);

  friend bool operator==(const endpoint_health_settings&,
                         const endpoint_health_settings&) = default;
};

enum class health_state : std::uint8_t
{
  kHealthy,
  kFailing,
  kUnresponsive,
  kSlow,
  kRecovering,
};

class endpoint_health
{
public:
  explicit endpoint_health(const endpoint_health_settings& aSettings);

  void OnSent(time_point aNow);
  // The first token arrived `aWait` after the attempt was sent.
  void OnFirstToken(duration aWait, time_point aNow);
  // An attempt ended `aElapsed` after it was sent. `aMayEject` tells whether
  // the pool can spare the endpoint.
  void OnEnded(attempt_end aHow,
               duration aElapsed,
               bool aMayEject,
               time_point aNow);
  // A load report taken at `aTaken` shows requests queued at the endpoint, so
  // no first token is expected before one of its slots is free.
  void OnQueueReported(time_point aTaken);
  // Records the endpoint's time per token as a multiple of its pool's
  // (`aRatio`). `aMayEject` tells whether the pool can spare the endpoint.
  void OnRelativeTimePerToken(double aRatio, bool aMayEject, time_point aNow);
  // Detects an unresponsive endpoint. Call it before reading the state.
  void Update(time_point aNow);
  // This process was paused until `aNow`; the endpoint's silence during the
  // pause is disregarded.
  void OnClockGap(time_point aNow);

  health_state State() const { return mState; }
  // Fraction of the endpoint's slots that may be used, from 0 (probes only) to
  // 1.
  double CapacityFraction() const { return mCapacityFraction; }
  // Moving average of failures among recent attempts, 0 to 1.
  double FailureRate() const { return mFailureRate; }
  // Number of requests that may be in flight at the endpoint now. `aLimit`: its
  // concurrency limit. `aInFlight`: requests already in flight.
  std::uint32_t Allowance(std::uint32_t aLimit,
                          std::uint32_t aInFlight,
                          time_point aNow) const;
  // When the next probe may be sent, given `aInFlight` requests in flight at
  // the endpoint. Empty unless the endpoint gets only probes.
  std::optional<time_point> NextProbe(std::uint32_t aInFlight) const;

private:
  void Eject(health_state aReason, time_point aNow);
  void StartRecovery();
  void OnActivity(time_point aNow);
  void OnFailure(bool aMayEject, time_point aNow);
  void OnSuccess();
  duration SilenceTimeout() const;

  endpoint_health_settings mSettings;
  health_state mState = health_state::kHealthy;
  double mCapacityFraction = 1;
  std::uint32_t mOutstanding = 0;
  std::uint32_t mConsecutiveFailures = 0;
  double mFailureRate = 0;
  std::uint32_t mAttempts = 0;
  double mAverageTimeToFirstToken = 0;
  time_point mLastActivity{};
  // Start of the endpoint's current silence: when the first request since the
  // last answer or failure was sent, or the time of a later queue report or
  // pause. Empty if no request was sent since.
  std::optional<time_point> mUnansweredSince;
  duration mProbeDelay;
  time_point mProbeAt{};
  time_point mLastSlowReduction{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_HEALTH_H_
