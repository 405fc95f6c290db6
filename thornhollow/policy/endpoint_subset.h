// Which endpoints of a pool an entry instance works with.
//
//   const subset_context view{ own, routersOfOwnDomain, ownDomain };
//   const auto mine = ChooseSubset(candidates, view,
//   endpoint_subset_settings{});
//
// Load pattern: 420 daemons before 850 endpoints. Were each daemon to work with
// each endpoint, connections, probes and learnt state would grow with their
// product, every endpoint would be seen by all 420, and each daemon, with 86
// streams in flight, would learn the latency of an endpoint from one answer in
// minutes.
//
// A pool of at most `mMaxPerPool` endpoints is taken whole: today's 13 and 15
// endpoints always are. Of more, the own domain's come first. There each
// endpoint picks the same number of routers by rendezvous hash, so that every
// endpoint is covered equally, whatever the routers' names; a router that
// comes or goes changes only the endpoints that it is, or was, picked by.
// Others fill what is left, picked by the router's own rendezvous hash.
//
// Grounds for the figures: 16 endpoints let a random sample of a few choose
// among real alternatives, and at 86 streams a daemon each endpoint answers the
// daemon several times a second. Below 8, the loss of one would push a large
// part of the daemon's work onto few others.
#ifndef THORNHOLLOW_POLICY_ENDPOINT_SUBSET_H_
#define THORNHOLLOW_POLICY_ENDPOINT_SUBSET_H_

#include <cstddef>
#include <span>
#include <vector>

#include "thornhollow/base/ids.h"

namespace thornhollow {

struct endpoint_subset_settings
{
  std::size_t mMaxPerPool = 16;
  // Of a large pool in the own domain: what the mean router gets, and the least
  // that each gets.
  std::size_t mMeanPerPool = 12;
  std::size_t mMinPerPool = 8;

  friend bool operator==(const endpoint_subset_settings&,
                         const endpoint_subset_settings&) = default;
};

// An endpoint of the pool and its failure domain.
struct subset_candidate
{
  endpoint_name mName;
  domain_name mDomain;

  friend bool operator==(const subset_candidate&,
                         const subset_candidate&) = default;
};

// From where the subset is chosen.
struct subset_context
{
  instance_name mOwn;
  // Entry instances of the own domain; `mOwn` counts whether listed or not.
  std::vector<instance_name> mRouters;
  domain_name mDomain;

  friend bool operator==(const subset_context&,
                         const subset_context&) = default;
};

// Indices in `aPool` of the endpoints to work with, ascending. The same for the
// same arguments in every process, in whatever order names are given.
std::vector<std::size_t>
ChooseSubset(std::span<const subset_candidate> aPool,
             const subset_context& aContext,
             const endpoint_subset_settings& aSettings);

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINT_SUBSET_H_
