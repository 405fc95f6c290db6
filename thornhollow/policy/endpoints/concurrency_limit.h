// Adaptive limit on the requests in flight at an endpoint, summed over all
// routers, derived from the endpoint's own latency.
//
//   concurrency_limit limit(concurrency_limit_settings{}, declared.mSlots);
//   limit.OnFirstToken(timeToFirstToken, load, now);
//   if (inFlight < limit.Limit()) { ... }
//
// Load pattern: an endpoint is sent more work than it can batch, because its
// declared slots are too many for the current workload, because it has become
// slow, or because other routers send to it as well. Without a limit the excess
// waits in the engine's queue, where it can no longer be reordered, refused or
// sent elsewhere, and every first token is late, including those of the highest
// tier.
//
// The limit starts at the declared slots and never exceeds them: the declared
// number is what the endpoint batches, and more requests only lengthen its
// queue. Responses are grouped into windows of `mWindowResponses`. The limit
// decreases when a window's mean time to first token, or its mean time per
// token, is more than twice the floor, which is the lowest recent window mean.
// Otherwise the limit increases by one per window while the requests in flight
// nearly reach it.
//
// Choice of constants:
// - Twice the floor: a full batch slows each step by some tens of per cent,
//   while a request that waits for a slot waits for a large fraction of another
//   request's run, many times the usual time to first token. A factor of two
//   separates the two cases.
// - A decrease is at most 30% per window, and the next one waits until requests
//   sent under the old limit have had time to respond. Latency lags behind the
//   limit, so a second decrease caused by the same queue would leave the
//   endpoint without work.
// - An increase is one per window of eight responses, which finds the capacity
//   without overshooting it by more than one request. Going from 1 to 16 takes
//   120 responses, a few seconds of an endpoint's work.
// - The floor grows by at most a quarter every thirty seconds, so that the
//   latency during an overload of minutes is not taken for the endpoint's
//   normal latency.
// - High latency of an endpoint below half of its limit does not decrease the
//   limit, because it is not caused by queueing.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_CONCURRENCY_LIMIT_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <optional>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct concurrency_limit_settings
{
  // If false, the concurrency limit stays at the endpoint's declared slots.
  bool mAdaptive = true;
  // A mean latency over a window of responses above this multiple of the floor
  // (the lowest recent window mean) indicates queueing at the endpoint.
  double mTolerance = 2;
  // Added to the bound on the time to first token, to allow for the jitter of
  // the network and of one engine step.
  duration mFirstTokenSlack = Milliseconds(500);
  // Minimum factor by which one window of responses changes the limit.
  double mMinDecreaseFactor = 0.7;
  std::uint32_t mWindowResponses = 8;
  duration mFloorPeriod = Seconds(30);
  double mFloorGrowth = 1.25;

  friend bool operator==(const concurrency_limit_settings&,
                         const concurrency_limit_settings&) = default;
};

// Latency floor of an endpoint: the lowest mean latency, in seconds, of a
// window of responses in the current and the previous floor period
// (`mFloorPeriod`). From one period to the next the floor grows at most by the
// factor `mFloorGrowth`.
class latency_floor
{
public:
  void Add(double aMean,
           time_point aNow,
           const concurrency_limit_settings& aSettings);
  // Lowest recent window mean, in seconds. Zero before the first `Add`.
  double Value() const;

private:
  double mCurrentMin = 0;
  double mPreviousMin = 0;
  std::optional<time_point> mPeriodStart;
};

class concurrency_limit
{
public:
  concurrency_limit(const concurrency_limit_settings& aSettings,
                    std::uint32_t aSlots);

  // Sets the declared slots and scales the current limit in proportion.
  void SetSlots(std::uint32_t aSlots);

  // Records that a first token arrived `aTimeToFirstToken` after its request
  // was sent. `aLoad` is the estimated number of requests in flight at the
  // endpoint, over all routers.
  void OnFirstToken(duration aTimeToFirstToken, double aLoad, time_point aNow);
  // Records a response's mean time per token.
  void OnTimePerToken(duration aTimePerToken);
  // Records that the endpoint declined a request as busy while it had
  // `aInFlight` requests of this router.
  void OnDeclined(std::uint32_t aInFlight, time_point aNow);

  // Maximum number of requests in flight at the endpoint, over all routers; at
  // least 1.
  std::uint32_t Limit() const;

private:
  struct window
  {
    double mFirstTokenSum = 0;
    std::uint32_t mFirstTokenCount = 0;
    double mTimePerTokenSum = 0;
    std::uint32_t mTimePerTokenCount = 0;
    double mMaxLoad = 0;
  };

  void CloseWindow(time_point aNow);
  void Decrease(double aFactor, duration aPause, time_point aNow);

  concurrency_limit_settings mSettings;
  std::uint32_t mSlots;
  double mLimit;
  window mWindow;
  latency_floor mFirstTokenFloor;
  latency_floor mTimePerTokenFloor;
  time_point mNoDecreaseUntil{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_CONCURRENCY_LIMIT_H_
