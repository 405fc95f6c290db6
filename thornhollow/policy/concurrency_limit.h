// How many requests an endpoint should have in flight, over all routers, learnt
// from its own latency.
//
//   concurrency_limit limit(concurrency_limit_settings{}, declared.mSlots);
//   limit.OnFirstToken(wait, busy, now);
//   if (inFlight < limit.Limit()) { ... }
//
// Load pattern: more work is sent to an endpoint than it can batch, because its
// declared slots are too many for its present work, because it became slow, or
// because other routers send to it as well. Without a limit the excess waits in
// the engine's queue, where it can no longer be reordered, refused or sent
// elsewhere; every first token there is late, also that of the highest tier.
//
// The limit starts at the declared slots and never exceeds them: the operator's
// figure is what the endpoint batches, more only lengthens its queue. It falls
// when a window's mean time to first token, or its mean time per token, is more
// than twice the endpoint's own recent floor, and rises by one a window else.
//
// Grounds for the figures:
// - Twice the floor: a full batch slows each step by some tens of per cent;
//   a request that waits for a place waits a good part of another's run, which
//   is many times the first token's time. Twice separates the two.
// - It falls by at most 30% a window, and not again before what was sent under
//   the old limit had time to answer: latency shows the past, and a second cut
//   for the same queue would empty the endpoint.
// - It rises by one a window of eight answers: a request more in each window
//   finds the edge without overshooting by more than one. From 1 to 16 takes
//   120 answers, a few seconds of an endpoint's work.
// - The floor may grow by a quarter in thirty seconds, so that an overload of
//   minutes isn't taken for the endpoint's normal speed.
// - A quiet endpoint (less than half of its limit used) isn't judged: what is
//   slow there is not a queue.
#ifndef THORNHOLLOW_POLICY_CONCURRENCY_LIMIT_H_
#define THORNHOLLOW_POLICY_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <optional>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct concurrency_limit_settings
{
  // False: the limit stays at the declared slots.
  bool mAdaptive = true;
  // A window's mean above this multiple of the floor is a queue.
  double mTolerance = 2;
  // Added to the first token's bound: jitter of the network and of one step.
  duration mFirstTokenSlack = Milliseconds(500);
  // Smallest factor that one window applies.
  double mMinDecreaseFactor = 0.7;
  std::uint32_t mWindowResponses = 8;
  duration mFloorPeriod = Seconds(30);
  double mFloorGrowth = 1.25;

  friend bool operator==(const concurrency_limit_settings&,
                         const concurrency_limit_settings&) = default;
};

// The lowest window mean of the last one to two floor lives.
class latency_floor
{
public:
  void Add(double aMean,
           time_point aNow,
           const concurrency_limit_settings& aSettings);
  // Zero where nothing was learnt.
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

  // The operator changed the slots: what was learnt is scaled.
  void SetSlots(std::uint32_t aSlots);

  // A first token came `aWait` after its request was sent; `aLoad` requests
  // were in flight there, over all routers as far as known.
  void OnFirstToken(duration aTimeToFirstToken, double aLoad, time_point aNow);
  // An answer took `aPerToken` for each token.
  void OnTimePerToken(duration aTimePerToken);
  // The endpoint said that it was busy, with `aInFlight` of this router there.
  void OnDeclined(std::uint32_t aInFlight, time_point aNow);

  // Requests to have in flight there at a time, at least 1.
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

#endif // THORNHOLLOW_POLICY_CONCURRENCY_LIMIT_H_
