// Answers, for one request, which route, team and pool apply. Built once from a
// document and shared by every request that began under it.
//
//   const routing_table_ptr table = MakeRoutingTable(document);
//   if (const route* found = table->Match("dispatch.example", "/plans/3")) {
//     const pool_name& pool = table->SelectPool(*found, Hash64(requestId));
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

  // The route of this host with the longest prefix that begins `aPath`, or
  // null. `aHost` is compared without its case and port. Costs one look-up for
  // each slash in the path, whatever the number of routes.
  const route* Match(std::string_view aHost, std::string_view aPath) const;

  // The team that holds this token, or null.
  const routed_team* TeamForToken(std::string_view aToken) const;

  // Null for a pool that no document declares.
  const routed_pool* Pool(const pool_name& aName) const;

  // The pool for the request with this hash, by the weights. The same hash
  // gives the same pool on every instance. Null where no pool has weight.
  static const pool_name* SelectPool(const route& aRoute, std::uint64_t aHash);

private:
  routing_document mDocument;
  // Host and prefix, one after the other: a host holds no slash.
  std::unordered_map<std::string, std::size_t> mRoutes;
  std::unordered_map<std::string, std::size_t> mTokens;
  std::unordered_map<pool_name, std::size_t> mPools;
};

using routing_table_ptr = boost::intrusive_ptr<const routing_table>;

routing_table_ptr
MakeRoutingTable(routing_document aDocument);

// The tier at which a request is served: the team's where it has one.
tier_number
EffectiveTier(const route& aRoute, const routed_team* aTeam);

// How urgent a request is to an engine, 0 (most) to 9: by its route's tier
// first, and among equal ones by its effective tier.
//
// Load pattern: an engine out of places or memory interrupts the newest of the
// least urgent requests. Where the rank is the team's tier, also with the route
// second, a driver's note or a short tag is interrupted while another team's
// plan of many pages, which may wait, runs on.
std::uint32_t
EnginePriority(const route& aRoute, tier_number aTier);

} // namespace thornhollow

#endif // THORNHOLLOW_ROUTING_ROUTING_TABLE_H_
