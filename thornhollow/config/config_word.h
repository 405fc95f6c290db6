// What an instance says to others about its configuration.
//
//   follower.OnHint(peer, config_hint{ version, age }, now);
//
#ifndef THORNHOLLOW_CONFIG_CONFIG_WORD_H_
#define THORNHOLLOW_CONFIG_CONFIG_WORD_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "thornhollow/base/time.h"
#include "thornhollow/config/revision.h"

namespace thornhollow {

// The age that an instance gives before it had any word of the platform's.
inline constexpr duration kUnknownAge = std::chrono::hours(24 * 365);

// What an instance lets all others know; rides on every gossip message.
struct config_hint
{
  // Version of the highest revision that it holds whole; 0 before the first.
  std::uint64_t mNewest = 0;
  // Since the platform last confirmed that there is nothing higher; nothing
  // where the message doesn't say. Without it, every instance has to read the
  // platform now and then for itself.
  std::optional<duration> mPlatformAge;

  friend bool operator==(const config_hint&, const config_hint&) = default;
};

// What an instance answers when it is asked.
struct config_word
{
  std::optional<revision> mInForce;
  // The highest revision that it holds whole, in force or refused.
  std::optional<revision> mNewest;
  duration mPlatformAge = kUnknownAge;

  friend bool operator==(const config_word&, const config_word&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_CONFIG_WORD_H_
