// Estimates the cost of sending a request to an endpoint, as the expected
// number of seconds until its answer is complete.
//
//   const endpoint_cost_inputs inputs{ .mUtilization = 0.5 };
//   const request_size size{ .mPromptTokens = 2000, .mOutputTokens = 100 };
//   const double cost = EstimateCost(inputs, size, endpoint_choice_settings{});
//
// Load, speed and cached prefixes differ between engines at any moment, so a
// choice needs one measure for all of them. Choosing by load alone recomputes
// prefixes that another endpoint has cached. Choosing by prefix alone overloads
// the endpoint that has a hot prefix cached. Both send work to a straggler that
// looks idle because its load shows late.
//
// The endpoint table compares the cost over a small random sample of endpoints
// with a free slot, so the time of a decision doesn't depend on the number of
// endpoints.
//
// Load here means this router's own requests at each endpoint. Load reports are
// left out: they lag, and all routers receive the same ones, so all would turn
// to the same endpoint at once (docs/design/endpoint_choice.md has the
// measurements). Reports limit how much an endpoint is sent instead; see
// endpoint_load.h.
//
// Choice of the defaults:
// - Taking the best of eight random endpoints in each domain covers nearly all
//   of a subset of 16. Because each router's own load differs, a large sample
//   doesn't cause herding.
// - Prefill takes about 0.03 ms per prompt token: an engine step of 8 ms
//   computes 256 of them. A cached prompt of 2,000 tokens therefore saves 60
//   ms, as much as one of eight slots costs for an answer of 100 tokens at 5 ms
//   each. A hot prefix thus stays at its endpoint while that has room, and
//   spreads as it fills.
// - Another domain is at most 1.5 ms away but costs 20 ms here, so that it is
//   chosen only when its endpoints are clearly less loaded. A partition between
//   domains then affects little traffic.
// - A failed attempt costs about as much as the attempt itself plus the wait
//   before the retry, hence the weight of the failure rate.
#ifndef THORNHOLLOW_POLICY_ENDPOINT_CHOICE_H_
#define THORNHOLLOW_POLICY_ENDPOINT_CHOICE_H_

#include <cstddef>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct endpoint_choice_settings
{
  // Endpoints sampled per request from the router's own domain, and again from
  // the other domains, in addition to those with the prefix cached.
  std::size_t mSampleSize = 8;
  // Engine time to prefill one uncached prompt token. Zero ignores cached
  // prefixes.
  duration mPrefillTimePerToken = std::chrono::microseconds(30);
  double mFailureWeight = 4;
  // Added to the cost of an endpoint in another failure domain.
  duration mCrossDomainCost = Milliseconds(20);
  // An endpoint's measured latency decays towards the pool's with this
  // half-life, so that an endpoint that got no work is tried again.
  duration mLatencyHalfLife = Seconds(10);

  friend bool operator==(const endpoint_choice_settings&,
                         const endpoint_choice_settings&) = default;
};

// Properties of an endpoint that determine the cost of sending a request there.
struct endpoint_cost_inputs
{
  // This router's requests in flight there as a fraction of its concurrency
  // limit.
  double mUtilization = 0;
  // Seconds. Only used when `mTimePerToken` is zero.
  double mTimeToFirstToken = 0;
  // Seconds per output token; zero if answers have no tokens.
  double mTimePerToken = 0;
  double mFailureRate = 0;
  bool mHasCachedPrefix = false;
  bool mInOtherDomain = false;

  friend bool operator==(const endpoint_cost_inputs&,
                         const endpoint_cost_inputs&) = default;
};

// Properties of a request that determine its cost.
struct request_size
{
  double mPromptTokens = 0;
  double mOutputTokens = 0;

  friend bool operator==(const request_size&, const request_size&) = default;
};

// Returns the seconds that `aRequest` is expected to take at `aEndpoint`.
double
EstimateCost(const endpoint_cost_inputs& aEndpoint,
             const request_size& aRequest,
             const endpoint_choice_settings& aSettings);

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINT_CHOICE_H_
