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
// the endpoint that has a hot prefix cached. Both send work to a slow endpoint
// that seems idle because reports of its load arrive late.
//
// The endpoint table compares the cost over a small random sample of endpoints
// with a free slot, so the time of a decision doesn't depend on the number of
// endpoints.
//
// Load here means this router's own requests at each endpoint. Load reports are
// left out: they lag, and all routers receive the same ones, so all would
// choose the same endpoint at once (docs/design/endpoint_choice.md has the
// measurements). Reports are used only to limit how many requests an endpoint
// is sent; see endpoint_load.h.
//
// Choice of the defaults:
// - Eight random endpoints of the own domain and eight of the other domains
//   cover nearly all of a subset of 16 endpoints (endpoint_subset.h). Because
//   each router's own load differs, a large sample doesn't make all routers
//   choose the same endpoint.
// - Prefill takes about 0.03 ms per prompt token: an engine step of 8 ms
//   computes 256 of them. A cached prompt of 2,000 tokens therefore saves 60
//   ms. That is about what one more occupied slot of eight adds to the cost of
//   an answer of 100 tokens at 5 ms each (500 ms / 8). Requests with a hot
//   prefix are thus sent to the endpoint that has the prefix cached while that
//   endpoint has free slots, and to others as it fills up.
// - Another domain is at most 1.5 ms away but costs 20 ms here, so that it is
//   chosen only when its endpoints are clearly less loaded. A network failure
//   between domains then affects little traffic.
// - A failed attempt costs about as much as the attempt itself plus the wait
//   before the retry, hence the weight of the failure rate.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_CHOICE_H_
#define THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_CHOICE_H_

#include <cstddef>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct endpoint_choice_settings
{
  // Number of endpoints sampled per request from the router's own domain, and
  // again from the other domains, in addition to the endpoints with the prefix
  // cached.
  std::size_t mSampleSize = 8;
  // Engine time to prefill one uncached prompt token. Zero ignores cached
  // prefixes.
  duration mPrefillTimePerToken = std::chrono::microseconds(30);
  double mFailureWeight = 4;
  // Time added to the cost of an endpoint in another failure domain.
  duration mCrossDomainCost = Milliseconds(20);
  // An endpoint's measured latency decays towards the pool's median with this
  // half-life, so that an endpoint that was sent no work because it was slow is
  // tried again.
  duration mLatencyHalfLife = Seconds(10);

  friend bool operator==(const endpoint_choice_settings&,
                         const endpoint_choice_settings&) = default;
};

// Properties of an endpoint that determine the cost of sending it a request.
struct endpoint_cost_inputs
{
  // This router's requests in flight at the endpoint as a fraction of the
  // endpoint's concurrency limit.
  double mUtilization = 0;
  // Mean time to first token at the endpoint, in seconds. Only used when
  // `mTimePerToken` is zero.
  double mTimeToFirstToken = 0;
  // Mean time per output token at the endpoint, in seconds; zero if its answers
  // have no tokens.
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

#endif // THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_CHOICE_H_
