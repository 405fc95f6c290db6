// What operators declare: the whole of a configuration as immutable values.
//
// `declarations` holds only values that passed every check (see check.h), so
// code that reads it needs no further validation: every name refers to
// something declared, every figure lies within its bounds.
//
//   if (const team* found = FindTeamByToken(declared, digest)) { ... }
//
#ifndef THORNHOLLOW_CONFIG_DECLARATIONS_H_
#define THORNHOLLOW_CONFIG_DECLARATIONS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/base/warm_up_spec.h"

namespace thornhollow {

// Tiers run from `kHighestTier` to `kLowestTier`; a smaller number goes first.
inline constexpr int kHighestTier = 1;
inline constexpr int kLowestTier = 4;

// What a class of requests is promised.
struct service_level
{
  level_name mName;
  // Priority: 1 (highest) to 4.
  int mTier = kLowestTier;
  // Arrival to the first token (for plain services: to the answer's head).
  duration mFirstTokenTarget{};
  // Between two tokens of a stream; zero where the level has no such target.
  duration mBetweenTokensTarget{};
  // Arrival to the last byte; a request that can't meet it is refused.
  duration mDeadline{};

  friend bool operator==(const service_level&, const service_level&) = default;
};

// A kind of request that callers may name.
struct request_class
{
  class_name mName;
  level_name mLevel;
  // Share of every pool's capacity that the class is sure to get while it has
  // requests waiting: 0 to 1; the sum over classes is checked to be at most 1.
  double mMinimumShare = 0;
  // Whether running a request of this class twice does no harm.
  bool mIdempotent = false;
  // Models that requests of this class may ask for.
  std::vector<model_name> mModels;

  friend bool operator==(const request_class&, const request_class&) = default;
};

// A caller's organisation.
struct team
{
  team_name mName;
  // SHA-256 digests of the team's bearer tokens, 64 lower-case hex digits.
  std::vector<std::string> mTokenDigests;
  // Classes that the team may use; the first is taken where none is named.
  std::vector<class_name> mClasses;
  // Share of a class relative to other teams.
  double mWeight = 1;
  // Requests of a tier and higher ones that one entry instance holds for the
  // team at a time.
  std::uint32_t mMaxInFlight = 0;

  friend bool operator==(const team&, const team&) = default;
};

struct model
{
  model_name mName;
  // How the model's engines warm up.
  warm_up_spec mWarmUp = {};

  friend bool operator==(const model&, const model&) = default;
};

// One process that answers requests: a model engine, or an instance of a plain
// service.
struct endpoint
{
  endpoint_name mName;
  domain_name mDomain;
  // IP number and port, such as "127.0.0.1:9001" or "[::1]:9001".
  std::string mAddress;
  // Pools that the endpoint serves: models for an engine, one service else.
  std::vector<pool_name> mPools;
  // Requests that the endpoint works on at a time, as its operator states it.
  std::uint32_t mSlots = 1;

  friend bool operator==(const endpoint&, const endpoint&) = default;
};

// A service beside the model engines.
struct plain_service
{
  service_name mName;
  // Exact path that callers use, such as "/crew-tags".
  std::string mPath;
  // Upper-case HTTP methods.
  std::vector<std::string> mMethods;
  class_name mClass;
  // Whether a call may be repeated; overrides nothing when true but the class
  // is not idempotent: both must hold.
  bool mIdempotent = false;

  friend bool operator==(const plain_service&, const plain_service&) = default;
};

// A failure domain of endpoints. One of which there is nothing to say needs no
// declaration.
struct failure_domain
{
  domain_name mName;
  // Whether its endpoints get no new requests.
  bool mOutOfService = false;

  friend bool operator==(const failure_domain&,
                         const failure_domain&) = default;
};

// A whole configuration.
struct declarations
{
  std::vector<service_level> mLevels;
  std::vector<request_class> mClasses;
  std::vector<team> mTeams;
  std::vector<model> mModels;
  std::vector<endpoint> mEndpoints;
  std::vector<plain_service> mServices;
  std::vector<failure_domain> mDomains = {};

  friend bool operator==(const declarations&, const declarations&) = default;
};

// The pool in which requests for `aModel` wait.
inline pool_name
PoolOf(const model_name& aModel)
{
  return pool_name(aModel.Text());
}

// The pool in which requests for `aService` wait.
inline pool_name
PoolOf(const service_name& aService)
{
  return pool_name(aService.Text());
}

// The class, level, service of this name, or null. Linear; for indexed look-up
// on the request path see catalog.h.
const request_class*
FindClass(const declarations& aDeclared, const class_name& aName);
const service_level*
FindLevel(const declarations& aDeclared, const level_name& aName);
const team*
FindTeam(const declarations& aDeclared, const team_name& aName);

// The failure domains that are out of service.
std::set<domain_name>
DomainsOutOfService(const declarations& aDeclared);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_DECLARATIONS_H_
