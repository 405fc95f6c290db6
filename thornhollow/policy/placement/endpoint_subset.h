// Chooses the endpoints of a pool that an entry instance works with.
//
//   const subset_context context{ own, routersOfOwnDomain, ownDomain };
//   const auto chosen =
//     ChooseSubset(candidates, context, endpoint_subset_settings{});
//
// Consider a deployment of 420 daemons (entry instances, also called routers
// here) and 850 endpoints. If every daemon used every endpoint, the number of
// connections, probes and measurements would be the product of both numbers.
// Each daemon, with 86 streams in flight, would get an answer from a given
// endpoint only every few minutes, too rarely to measure its latency.
//
// A pool of at most `mMaxPerPool` endpoints is used whole, as in today's
// deployments with 13 and 15 endpoints. In larger pools, endpoints of the own
// domain come first. If there are too many of them, each endpoint picks the
// same number of routers by rendezvous hashing, so that every endpoint is
// covered equally, whatever the routers' names. A router that joins or leaves
// then only affects the endpoints that pick it or had picked it. If the own
// domain has too few endpoints, endpoints of other domains are added; the
// router picks these by rendezvous hashing with its own name.
//
// Choice of the defaults: with 16 endpoints a random sample of a few has real
// alternatives, and at 86 streams per daemon each endpoint answers the daemon
// several times a second. With fewer than 8 endpoints, the loss of one would
// move a large fraction of the daemon's work to few others.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_SUBSET_H_
#define THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_SUBSET_H_

#include <cstddef>
#include <span>
#include <vector>

#include "thornhollow/base/ids.h"

namespace thornhollow {

struct endpoint_subset_settings
{
  std::size_t mMaxPerPool = 16;
  // For a large pool in the own domain: mean number of endpoints in a router's
  // subset (`mMeanPerPool`), and the minimum number in each subset.
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

// The router that the subset is chosen for.
struct subset_context
{
  instance_name mOwn;
  // Entry instances of the own domain. `mOwn` is counted whether listed or not.
  std::vector<instance_name> mRouters;
  domain_name mDomain;

  friend bool operator==(const subset_context&,
                         const subset_context&) = default;
};

// Returns the indices in `aPool` of the endpoints to work with, in ascending
// order. The same endpoints are chosen for the same arguments in every process,
// in whatever order the names are given.
std::vector<std::size_t>
ChooseSubset(std::span<const subset_candidate> aPool,
             const subset_context& aContext,
             const endpoint_subset_settings& aSettings);

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_SUBSET_H_
