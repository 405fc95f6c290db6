// What an instance says to others about its configuration; small enough to ride
// on every gossip datagram.
//
//   follower.OnPeerSaid(peer, word, now);
//
#ifndef THORNHOLLOW_CONFIG_CONFIG_WORD_H_
#define THORNHOLLOW_CONFIG_CONFIG_WORD_H_

#include <chrono>
#include <optional>

#include "thornhollow/base/time.h"
#include "thornhollow/config/revision.h"

namespace thornhollow {

// The age that an instance gives before it had any word of the platform's.
inline constexpr duration kUnknownAge = std::chrono::hours(24 * 365);

struct config_word
{
  std::optional<revision> mInForce;
  // The highest revision that it holds whole, in force or refused.
  std::optional<revision> mNewest;
  // Since the platform last confirmed that there is nothing higher.
  duration mPlatformAge = kUnknownAge;

  friend bool operator==(const config_word&, const config_word&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_CONFIG_WORD_H_
