// The settings of one daemon process: its name, addresses, limits and time
// limits. They come from one YAML file; flags of the command line may replace
// the name, the failure domain and each address. What all instances share
// (classes, teams, endpoints) is no setting; see declarations.h.
//
//   const auto verdict = ReadSettings({ "daemon.yaml", text }, overrides);
//   if (const auto* refused = std::get_if<faults>(&verdict)) { ... }
//
#ifndef THORNHOLLOW_CONFIG_SETTINGS_H_
#define THORNHOLLOW_CONFIG_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/fault.h"
#include "thornhollow/config/source_file.h"

namespace thornhollow {

// The least length of the key that authenticates messages between instances.
inline constexpr std::size_t kMinPeerKeyBytes = 32;

// What one instance takes from callers.
struct caller_limits
{
  // Bytes of a request's header.
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  // Bytes of a request's body.
  std::uint32_t mMaxBodyBytes = 4 * 1024 * 1024;
  // Open connections of callers.
  std::uint32_t mMaxConnections = 4096;
  // From a request's first byte to its last one, and the longest time that a
  // caller may take no byte of an answer.
  duration mSendTimeout = Seconds(15);

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

// Time limits of the stages of an attempt at an endpoint, and of a caller's
// idle connection.
struct stage_timeouts
{
  duration mConnect = Milliseconds(500);
  // From the request's last byte to the answer's first one.
  duration mFirstByte = Seconds(30);
  duration mBetweenTokens = Seconds(5);
  // A caller's connection without a request for this long is closed. Longer
  // than balancers keep theirs, or a request may meet a closing connection.
  duration mIdleConnection = Seconds(60);

  friend bool operator==(const stage_timeouts&,
                         const stage_timeouts&) = default;
};

// Times of idempotency keys. Every instance must have the same: a witness that
// forgets earlier than the holder expects grants a used key.
struct key_times
{
  // After this a key may be used again. Longer than the longest deadline of a
  // class that is not idempotent. For as long, and twice the lag more, keys are
  // refused after all instances of a domain started at once.
  duration mLifetime = Seconds(600);
  // Bound on how far an instance's view of the list lags behind the platform.
  duration mViewLag = Seconds(30);

  friend bool operator==(const key_times&, const key_times&) = default;
};

enum class log_level : std::uint8_t
{
  kError,
  kWarning,
  kInfo,
  kDebug,
};

// "error", "warning", "info" or "debug".
std::string_view
Name(log_level aLevel);

struct daemon_settings
{
  // Unique over all instances; the platform's list has the same name.
  instance_name mName;
  domain_name mDomain;
  // Each an IP number with a port.
  std::string mCallerAddress;
  std::string mOperatorAddress;
  // UDP and TCP, the same number.
  std::string mPeerAddress;
  std::string mPlatformAddress;
  // Path of a file that holds the peer key in hex; empty where the settings
  // hold the key itself. Whoever reads the file hands it to `ReadPeerKey`.
  std::string mPeerKeyFile;
  // The key's bytes; empty while it is still in `mPeerKeyFile`.
  std::string mPeerKey;
  // Peer addresses to ask first, besides those of the platform's list.
  std::vector<std::string> mPeerSeeds;
  caller_limits mLimits;
  // What the process may use, in MB of 10^6 bytes; part of it bounds the bodies
  // and answers that it holds.
  std::uint32_t mMemoryMegabytes = 1'024;
  // Descriptors that the process may have open; 0: as many as the system
  // allows it, which holds in any case.
  std::uint32_t mFileDescriptors = 0;
  stage_timeouts mTimeouts;
  key_times mKeys;
  // After SIGTERM, requests in progress are cut only when this has passed.
  // Longer than the longest deadline of any level, a stop cuts none.
  duration mDrainGrace = Seconds(900);
  log_level mLogLevel = log_level::kInfo;

  friend bool operator==(const daemon_settings&,
                         const daemon_settings&) = default;
};

// What the command line replaces; an empty text replaces nothing. Faults name
// the flag in place of a file.
struct settings_overrides
{
  std::string mName;
  std::string mDomain;
  std::string mCallerAddress;
  std::string mOperatorAddress;
  std::string mPeerAddress;
  std::string mPlatformAddress;

  friend bool operator==(const settings_overrides&,
                         const settings_overrides&) = default;
};

// Settings, or at least one fault.
using settings_verdict = std::variant<daemon_settings, faults>;

settings_verdict
ReadSettings(const source_file& aFile,
             const settings_overrides& aOverrides = {});

// The bytes of a peer key that stands in hex in `aFile` (white space around it
// is skipped), or the fault. The fault never repeats the text.
std::variant<std::string, fault>
ReadPeerKey(const source_file& aFile);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_SETTINGS_H_
