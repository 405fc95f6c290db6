// The endpoints of one entry instance: which may take new work, how much they
// hold, and which one a request goes to.
//
//   endpoint_table table(endpoint_table_settings{}, 1);
//   table.Configure(declared, ownDomain, now);
//   if (const auto chosen = table.Choose(item, tried, now)) { ... }
//
#ifndef THORNHOLLOW_POLICY_ENDPOINT_TABLE_H_
#define THORNHOLLOW_POLICY_ENDPOINT_TABLE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "thornhollow/policy/work.h"

namespace thornhollow {

struct endpoint_table_settings
{
  friend bool operator==(const endpoint_table_settings&,
                         const endpoint_table_settings&) = default;
};

class endpoint_table
{
public:
  endpoint_table(const endpoint_table_settings& aSettings, std::uint64_t aSeed);

  // Takes the declared endpoints. What was learnt about one that stays is kept.
  void Configure(const declarations& aDeclared,
                 const domain_name& aOwnDomain,
                 time_point aNow);

  // The endpoint for `aItem`, or nothing where none has a free place. Endpoints
  // in `aTried` are taken only when no other one serves the pool. Takes no
  // place yet.
  std::optional<endpoint_name> Choose(const work_item& aItem,
                                      std::span<const endpoint_name> aTried,
                                      time_point aNow);

  // An attempt goes to `aEndpoint`: takes one place there.
  void OnSent(const endpoint_name& aEndpoint,
              const work_item& aItem,
              time_point aNow);
  // The first token came `aWait` after the attempt was sent.
  void OnFirstToken(const endpoint_name& aEndpoint,
                    const work_item& aItem,
                    duration aWait,
                    time_point aNow);
  // The attempt ended: frees its place.
  void OnEnded(const endpoint_name& aEndpoint,
               const work_item& aItem,
               attempt_end aHow,
               std::uint32_t aTokens,
               duration aLength,
               time_point aNow);

  void OnLoadReport(const endpoint_name& aEndpoint,
                    const load_report& aReport,
                    time_point aNow);
  void SetState(const endpoint_name& aEndpoint,
                endpoint_state aState,
                time_point aNow);

  // Whether any endpoint that may take new work serves `aPool`.
  bool Serves(const pool_name& aPool) const;

  // Places of `aPool` over all endpoints in service, taken or free.
  std::uint32_t Places(const pool_name& aPool) const;

private:
  struct entry
  {
    endpoint mDeclared;
    endpoint_state mState = endpoint_state::kLive;
    std::uint32_t mInFlight = 0;
  };

  std::unordered_map<endpoint_name, entry> mEntries;
  std::unordered_map<pool_name, std::vector<endpoint_name>> mByPool;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINT_TABLE_H_
