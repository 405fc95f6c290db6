// Whether an endpoint gets its full share of work, part of it, or only probes.
//
//   endpoint_health health(endpoint_health_settings{});
//   health.OnEnded(attempt_end::kFailed, length, mayEject, now);
//   if (inFlight < health.Allowance(limit, inFlight, now)) { ... }
//
// Load pattern: an endpoint crashes, answers errors faster than others answer
// anything (and so looks idle), hangs without a word, or runs at a fraction of
// its speed. Without this the failing one attracts all work, the silent one
// takes a place for every request until its timeout, and the slow one decides
// the latency of whatever is sent to it.
//
// Four things are told apart:
// - failing: three failures in a row, or half of the recent ones. It gets
//   nothing but a probe now and then;
// - silent: no sign of life since something was sent there for longer than
//   `SilenceTimeout`, or a silent attempt without a sign of life since it was
//   sent. The same, but at once. A silent attempt beside others that were
//   answered is a dead connection, not a dead endpoint, and changes nothing;
// - slow: its time per token is three times the pool's. Its share is halved
//   once a second, never below a tenth: it still completes what it gets;
// - returning: after a probe was answered it gets a tenth of its places, and
//   15% more with each answer. A failure then sends it back for twice as long.
//
// How many may be out at a time is the caller's to bound (`aMayEject`): when
// most of a pool fails, the cause is elsewhere, and leaving would crush the
// rest. Silence isn't bounded: work sent there is answered by nobody.
//
// Grounds for the figures: two failures in a row happen by chance at an error
// rate of a per cent, three hardly. Silence: a first token comes within 1 s in
// 95 of 100 (letter 1: 0.97 s); 3 s, or four times the usual wait where that is
// more, is no ordinary wait, unless the endpoint reports a queue. Batching
// alone doubles the time per token at most, so three times is another cause.
// Growing by 15%, an endpoint needs 17 answers from a tenth to its full share:
// enough to fail again with little in flight. Probes start after 1 s, the time
// in which a process restarts at best, and double up to 30 s.
#ifndef THORNHOLLOW_POLICY_ENDPOINT_HEALTH_H_
#define THORNHOLLOW_POLICY_ENDPOINT_HEALTH_H_

#include <cstdint>
#include <optional>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct endpoint_health_settings
{
  // False: every endpoint always has its full share.
  bool mEnabled = true;
  std::uint32_t mEjectAfterFailures = 3;
  // Share of failures among recent attempts above which it is failing,
  double mMaxFailureRate = 0.5;
  // and the attempts to see before that counts.
  std::uint32_t mMinAttempts = 8;
  duration mSilenceTimeout = Seconds(3);
  double mSilenceLatencyFactor = 4;
  double mSlowFactor = 3;
  // Below this multiple of the pool's pace it is slow no longer.
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
  // A first token came: a sign of life.
  void OnFirstToken(duration aWait, time_point aNow);
  // An attempt ended `aElapsed` after it was sent. `aMayEject`: whether the
  // pool can spare the endpoint.
  void OnEnded(attempt_end aHow,
               duration aElapsed,
               bool aMayEject,
               time_point aNow);
  // A load report taken at `aTaken` says that requests wait inside it: no first
  // token is to be expected before a place there is free.
  void OnQueueReported(time_point aTaken);
  // Its time per token, as a multiple of its pool's.
  void OnRelativeTimePerToken(double aRatio, bool aMayEject, time_point aNow);
  // Notices silence. Call before reading.
  void Update(time_point aNow);
  // The process stood still: silence meanwhile says nothing.
  void OnClockGap(time_point aNow);

  health_state State() const { return mState; }
  // Part of its places that it gets: 0 (probes only) to 1.
  double CapacityFraction() const { return mCapacityFraction; }
  // Failures among recent attempts, 0 to 1.
  double FailureRate() const { return mFailureRate; }
  // Requests that may be in flight there, given its limit and what is.
  std::uint32_t Allowance(std::uint32_t aLimit,
                          std::uint32_t aInFlight,
                          time_point aNow) const;
  // When the next probe may go, given what is in flight there; nothing unless
  // it gets only probes.
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
  // When the first request was sent since the last sign of life.
  std::optional<time_point> mUnansweredSince;
  duration mProbeDelay;
  time_point mProbeAt{};
  time_point mLastSlowReduction{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINT_HEALTH_H_
