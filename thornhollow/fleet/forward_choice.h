// Chooses the instance to which a request is forwarded by one that cannot reach
// the endpoints itself.
//
//   forward_choice choice(seed);
//   if (const auto peer = choice.Choose(peers, tried)) {
//     choice.OnSent(*peer);
//     ...
//     choice.OnEnded(*peer);
//   }
//
// Load pattern: many instances may be cut off at once, and the few others carry
// everything. Their reports are a quarter of a second old, so that instances
// that all chose the least loaded one would overload it together. Each
// therefore takes the less loaded one of two drawn at random, counting its own
// forwarded requests at once.
#ifndef THORNHOLLOW_FLEET_FORWARD_CHOICE_H_
#define THORNHOLLOW_FLEET_FORWARD_CHOICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "thornhollow/fleet/relay_peers.h"

namespace thornhollow {

class forward_choice
{
public:
  explicit forward_choice(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  // Returns the address of one of `aPeers` that is not in `aTried`, if possible
  // one that is in contact with the endpoints; nullopt if there is none. The
  // only one in contact may have ended a moment ago.
  std::optional<std::string> Choose(const std::vector<forward_peer>& aPeers,
                                    const std::vector<std::string>& aTried);
  // A request was forwarded to the address, and has ended there.
  void OnSent(const std::string& aAddress) { ++mInFlight[aAddress]; }
  void OnEnded(const std::string& aAddress);

  // Requests that are forwarded now.
  std::size_t InFlight() const;

private:
  double Cost(const forward_peer& aPeer) const;

  std::mt19937_64 mRandom;
  std::map<std::string, std::uint32_t> mInFlight;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_FORWARD_CHOICE_H_
