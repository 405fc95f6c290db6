// The settings of one daemon that relays requests as they are, with routes and
// endpoints published by a source that can only be read. They come from one
// YAML file.
//
//   const auto verdict = ReadRelaySettings({ "relay.yaml", text });
//   if (const auto* refused = std::get_if<faults>(&verdict)) { ... }
//
#ifndef THORNHOLLOW_CONFIG_RELAY_SETTINGS_H_
#define THORNHOLLOW_CONFIG_RELAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/fault.h"
#include "thornhollow/config/settings.h"
#include "thornhollow/config/source_file.h"

namespace thornhollow {

// Bound on attempts beyond the first of each request, over all instances.
struct shared_retry_settings
{
  // Of the requests for a pool within the window.
  double mRatio = 0.2;
  // Free of charge within a window, over all instances.
  double mExtra = 50;
  duration mWindow = Seconds(10);
  // Whether an earlier process of this instance may have spent some within the
  // window before this one starts.
  bool mSpentBefore = true;

  friend bool operator==(const shared_retry_settings&,
                         const shared_retry_settings&) = default;
};

// How prompts are spread over the engines of a pool.
enum class engine_placement : std::uint8_t
{
  // Patient work apart from urgent streams, sessions where their parts are.
  kApart,
  // The engine with the fewest prompt tokens of this instance and its peers.
  kLeast,
  // Sessions by the hash of their shared parts, as far as load allows.
  kHash,
};

// "apart", "least" or "hash".
std::string_view
Name(engine_placement aPlacement);

// What is assumed of engines, and how work is spread over them. Each field's
// grounds stand where it is used: policy/placement/relay_pool.h,
// policy/placement/engine_partition.h.
struct engine_settings
{
  double mMissPenalty = 16;
  // Shared parts of at least so many tokens are copied; 0: never.
  std::uint32_t mCopyFromTokens = 256;
  // The others are there to be compared with.
  engine_placement mPlacement = engine_placement::kApart;
  // Whether long prompts are refused that would begin late.
  bool mAdmission = true;

  friend bool operator==(const engine_settings&,
                         const engine_settings&) = default;
};

struct relay_settings
{
  // Unique over all instances.
  instance_name mName;
  domain_name mDomain;
  // Each an IP number with a port.
  std::string mCallerAddress;
  // Where the balancer asks whether the instance takes connections.
  std::string mReadinessAddress;
  std::string mOperatorAddress;
  // UDP and TCP, the same number.
  std::string mPeerAddress;
  // Where requests come that other instances forward; empty: none are taken.
  std::string mForwardAddress;
  // The source of routes and endpoints.
  std::string mSourceAddress;
  // Peers to ask first; may be stale or down.
  std::vector<std::string> mPeerSeeds;
  // Instances of a failure domain that read the source for all of it; 0: every
  // instance reads it.
  std::uint32_t mSourceReaders = 2;
  // What the instance's link carries, in Mbit/s.
  double mLinkMegabits = 20;
  shared_retry_settings mRetries;
  // After SIGTERM, requests in progress are cut when this has passed.
  duration mDrainGrace = Seconds(30);
  // Open connections of callers.
  std::uint32_t mMaxConnections = 2'048;
  // What the process may use, in MB of 10^6 bytes; part of it bounds the bodies
  // and answers that it holds.
  std::uint32_t mMemoryMegabytes = 1'024;
  // Descriptors that the process may have open; 0: as many as the system
  // allows it, which holds in any case.
  std::uint32_t mFileDescriptors = 0;
  engine_settings mEngines;
  log_level mLogLevel = log_level::kInfo;

  friend bool operator==(const relay_settings&,
                         const relay_settings&) = default;
};

using relay_settings_verdict = std::variant<relay_settings, faults>;

relay_settings_verdict
ReadRelaySettings(const source_file& aFile);

} // namespace thornhollow

#endif // THORNHOLLOW_CONFIG_RELAY_SETTINGS_H_
