// What it costs a request to go to one endpoint rather than another, in seconds
// until its answer is whole.
//
//   const double cost = CostOf(figures, work, endpoint_choice_settings{});
//
// Load pattern: engines differ in load, speed and cached prefixes at any
// moment. Without one common measure a choice by load alone computes a prefix
// again that another endpoint holds, a choice by prefix alone piles a hot
// prefix onto one endpoint, and both send work to a straggler that looks idle
// because it is slow to show its load.
//
// The endpoint table compares the cost over a small random sample of endpoints
// with a free place, never over all: eight routers with the same lagging view
// that each took the best of all would all take the same one.
//
// Grounds for the figures: three random choices of which the best is taken
// bound the spread of load nearly as well as a look at all, and two already
// break the herd. A prompt token costs about 0.1 ms of an engine (10,000 tokens
// a second); a cached prompt of 2,000 tokens is then worth 0.2 s, as much as a
// fifth of the load on an answer of 200 tokens at 5 ms: so a hot prefix stays
// while its endpoint has room and spreads as it fills. A failed attempt costs
// about the attempt again and its wait, hence the weight of the failure share.
#ifndef THORNHOLLOW_POLICY_ENDPOINT_CHOICE_H_
#define THORNHOLLOW_POLICY_ENDPOINT_CHOICE_H_

#include <cstddef>

#include "thornhollow/base/time.h"

namespace thornhollow {

struct endpoint_choice_settings
{
  // Endpoints compared for one request, besides those that hold its prefix.
  std::size_t mSample = 3;
  // Engine time for a prompt token that isn't cached; zero: prefixes ignored.
  duration mPerPromptToken = std::chrono::microseconds(100);
  double mFailureWeight = 4;
  // A learnt latency loses half of its difference to the pool's in this time,
  // so that an endpoint that got no work is tried again.
  duration mForgetHalf = Seconds(10);

  friend bool operator==(const endpoint_choice_settings&,
                         const endpoint_choice_settings&) = default;
};

// An endpoint as one decision sees it.
struct endpoint_figures
{
  // Requests in flight there as a share of what it may hold.
  double mLoad = 0;
  // Seconds to the first token and for each token.
  double mFirstToken = 0;
  double mPerToken = 0;
  double mFailureShare = 0;
  bool mHasPrefix = false;

  friend bool operator==(const endpoint_figures&,
                         const endpoint_figures&) = default;
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
CostOf(const endpoint_figures& aEndpoint,
       const request_size& aRequest,
       const endpoint_choice_settings& aSettings);

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINT_CHOICE_H_
