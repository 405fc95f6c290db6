// What it costs a request to go to one endpoint rather than another, in seconds
// until its answer is whole.
//
//   const double cost = EstimateCost(figures, work,
//   endpoint_choice_settings{});
//
// Load pattern: engines differ in load, speed and cached prefixes at any
// moment. Without one common measure a choice by load alone computes a prefix
// again that another endpoint holds, a choice by prefix alone piles a hot
// prefix onto one endpoint, and both send work to a straggler that looks idle
// because it is slow to show its load.
//
// The endpoint table compares the cost over a small random sample of endpoints
// with a free place, so that a decision costs the same however many there are.
//
// The load that counts here is this router's own work at each endpoint. Load
// reports are left out: they lag, and they tell all routers the same, so that
// each of them would turn to the same endpoint (docs/design/endpoint_choice.md
// has the figures). They bound what an endpoint gets, see endpoint_load.h.
//
// Grounds for the figures: eight random ones of each domain, of which the best
// is taken, are nearly all of a subset of 16; own work differs from router to
// router, so that a look at more of it makes no herd. A prompt token costs
// about 0.03 ms: a step of 8 ms computes 256 of them. A cached prompt of 2,000
// tokens is then worth 60 ms, as much as a place of eight on an answer of 100
// tokens at 5 ms: so a hot prefix stays while its endpoint has room and spreads
// as it fills. Another domain is 1.5 ms away at most; it costs 20 ms here, so
// that it is taken when its endpoints are clearly freer, and a partition
// between domains touches little. A failed attempt costs about the attempt
// again and its wait, hence the weight of the failure share.
#ifndef THORNHOLLOW_POLICY_ENDPOINT_CHOICE_H_
#define THORNHOLLOW_POLICY_ENDPOINT_CHOICE_H_

#include <cstddef>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct endpoint_choice_settings
{
  // Endpoints compared for one request, of the own domain and of the others
  // each, besides those that hold its prefix.
  std::size_t mSampleSize = 8;
  // Engine time for a prompt token that isn't cached; zero: prefixes ignored.
  duration mPrefillTimePerToken = std::chrono::microseconds(30);
  double mFailureWeight = 4;
  // Added for an endpoint of another failure domain.
  duration mCrossDomainCost = Milliseconds(20);
  // A learnt latency loses half of its difference to the pool's in this time,
  // so that an endpoint that got no work is tried again.
  duration mLatencyHalfLife = Seconds(10);

  friend bool operator==(const endpoint_choice_settings&,
                         const endpoint_choice_settings&) = default;
};

// An endpoint as one decision sees it.
struct endpoint_cost_inputs
{
  // Requests in flight there as a share of what it may hold.
  double mUtilization = 0;
  // Seconds to the first token, which counts only where answers have no more.
  double mTimeToFirstToken = 0;
  // Seconds for each token; zero where answers have none.
  double mTimePerToken = 0;
  double mFailureRate = 0;
  bool mHasCachedPrefix = false;
  bool mInOtherDomain = false;

  friend bool operator==(const endpoint_cost_inputs&,
                         const endpoint_cost_inputs&) = default;
};

// What matters of a request for the cost.
struct request_size
{
  double mPromptTokens = 0;
  double mOutputTokens = 0;

  friend bool operator==(const request_size&, const request_size&) = default;
};

// Seconds that the request may be expected to take there.
double
EstimateCost(const endpoint_cost_inputs& aEndpoint,
             const request_size& aRequest,
             const endpoint_choice_settings& aSettings);

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINT_CHOICE_H_
