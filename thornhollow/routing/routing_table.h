// Looks up the route, team and pool of a request. Built once from a document
// and shared by all requests that began under it.
//
//   const routing_table_ptr table = MakeRoutingTable(document);
//   if (const route* found = table->Match("dispatch.example", "/plans/3")) {
//     const pool_name* pool = table->SelectPool(*found, Hash64(requestId));
//   }
//
#ifndef THORNHOLLOW_ROUTING_ROUTING_TABLE_H_
#define THORNHOLLOW_ROUTING_ROUTING_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/routing/routing_document.h"

namespace thornhollow {

class routing_table
  : public boost::intrusive_ref_counter<routing_table,
                                        boost::thread_unsafe_counter>
{
public:
  explicit routing_table(routing_document aDocument);

  const routing_document& Document() const { return mDocument; }

  // Returns the route of host `aHost` with the longest path prefix that matches
  // `aPath`, or null. `aHost` is compared ignoring case and port. Costs one
  // hash look-up per slash in the path, independent of the number of routes.
  const route* Match(std::string_view aHost, std::string_view aPath) const;

  // Returns the team to which this token belongs, or null.
  const routed_team* TeamForToken(std::string_view aToken) const;

  // Returns the pool of this name, or null if the document declares no such
  // pool.
  const routed_pool* Pool(const pool_name& aName) const;

  // Selects one of the route's pools by hash in proportion to the pools'
  // weights. The same hash selects the same pool on every instance. Returns
  // null if no pool has a weight above 0.
  static const pool_name* SelectPool(const route& aRoute, std::uint64_t aHash);

private:
  routing_document mDocument;
  // Indices of the routes, keyed by host and path prefix concatenated, which is
  // unambiguous as a host contains no slash.
  std::unordered_map<std::string, std::size_t> mRoutes;
  std::unordered_map<std::string, std::size_t> mTokens;
  std::unordered_map<pool_name, std::size_t> mPools;
};

using routing_table_ptr = boost::intrusive_ptr<const routing_table>;

routing_table_ptr
MakeRoutingTable(routing_document aDocument);

// Returns the effective tier, at which a request is served: the team's tier if
// the team has one, otherwise the route's.
tier_number
EffectiveTier(const route& aRoute, const routed_team* aTeam);

// Priority of a request for an engine, from 0 (most urgent) to 9: by its
// route's tier first, then by its effective tier.
//
// The route's tier comes first because an engine that runs out of slots or
// memory preempts the newest of its least urgent requests. If the effective
// tier, which may be the team's, came first, a driver's note or a short tag
// would be preempted while another team's plan of many pages, which can wait,
// continues.
std::uint32_t
EnginePriority(const route& aRoute, tier_number aTier);

} // namespace thornhollow

#endif // THORNHOLLOW_ROUTING_ROUTING_TABLE_H_
