// Which other instances offer to serve requests to a pool whose endpoints this
// instance can't reach.
//
//   forward_offers offers(forward_offers_settings{}, seed);
//   for (const auto& each : offers.TakeQuestions(pool, others, now)) {
//   Ask(each); } offers.OnOffer(pool, "entry-2", offer, now); const
//   std::vector<forward_peer> peers = offers.Peers(pool, now);
//
// Instances are asked only while contact is lost, a few at a time, so that the
// cost doesn't depend on the size of the fleet and is nothing on a calm day.
#ifndef THORNHOLLOW_FLEET_FORWARD_OFFERS_H_
#define THORNHOLLOW_FLEET_FORWARD_OFFERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/fleet/peer_messages.h"
#include "thornhollow/fleet/relay_peers.h"

namespace thornhollow {

// An instance that may be asked.
struct forward_candidate
{
  instance_name mName;
  bool mInOwnDomain = false;

  friend bool operator==(const forward_candidate&,
                         const forward_candidate&) = default;
};

struct forward_offers_settings
{
  // Between two rounds of questions about one pool.
  duration mInterval = Milliseconds(250);
  // Instances asked in a round, half of them in the own failure domain if there
  // are enough.
  std::size_t mAskedAtOnce = 4;
  // An offer holds for this long.
  duration mLifetime = Seconds(1);

  friend bool operator==(const forward_offers_settings&,
                         const forward_offers_settings&) = default;
};

class forward_offers
{
public:
  forward_offers(const forward_offers_settings& aSettings, std::uint64_t aSeed)
    : mSettings(aSettings)
    , mRandom(aSeed)
  {
  }

  // Those of `aOthers` that are to be asked about the pool now. To be called
  // every 100 ms while the pool can't be reached.
  std::vector<forward_candidate> TakeQuestions(
    const pool_name& aPool,
    std::vector<forward_candidate> aOthers,
    time_point aNow);
  // What one that was asked has answered.
  void OnOffer(const pool_name& aPool,
               const forward_candidate& aFrom,
               const forward_offer& aOffer,
               time_point aNow);
  // Instances that take requests to the pool.
  std::vector<forward_peer> Peers(const pool_name& aPool,
                                  time_point aNow) const;

private:
  struct known_offer
  {
    forward_peer mPeer;
    time_point mAt{};
  };
  struct pool_offers
  {
    time_point mNextRound{};
    std::map<instance_name, known_offer> mByInstance;
  };

  forward_offers_settings mSettings;
  std::mt19937_64 mRandom;
  std::map<pool_name, pool_offers> mPools;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_FORWARD_OFFERS_H_
