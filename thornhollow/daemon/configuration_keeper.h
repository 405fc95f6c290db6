// Carries out what config_follower decides: reads the platform, asks peers,
// judges bundles on a thread of its own, and hands on what comes into force.
//
//   configuration_keeper keeper(io, settings, peers, listener);
//   keeper.Start(peerNames);
//
// Judging 11,000 teams takes long enough to be felt by streams, so it never
// runs on the io_context's thread.
#ifndef THORNHOLLOW_DAEMON_CONFIGURATION_KEEPER_H_
#define THORNHOLLOW_DAEMON_CONFIGURATION_KEEPER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/config/catalog.h"
#include "thornhollow/config/config_follower.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct keeper_settings
{
  instance_name mName;
  domain_name mDomain;
  std::string mPlatformAddress;
  follower_settings mFollower;
};

// How peers are reached. Each handed-in callback is called exactly once.
struct keeper_peers
{
  std::function<void(const instance_name&,
                     std::function<void(std::optional<config_word>)>)>
    mAsk;
  std::function<void(const instance_name&,
                     const std::string& aDigest,
                     std::function<void(std::optional<std::string>)>)>
    mFetch;
  // Lets all peers know this version at once.
  std::function<void(std::uint64_t aVersion)> mAnnounce;
};

struct keeper_listener
{
  std::function<void(catalog_ptr, const revision&)> mInForce;
  std::function<void(const revision&, const faults&)> mRefused;
  // The platform answered a version below the one in force.
  std::function<void(std::uint64_t aVersion, const revision& aInForce)> mLower;
  // Bytes of each answer of the platform, request included.
  std::function<void(std::size_t)> mPlatformBytes;
};

class configuration_keeper
{
public:
  configuration_keeper(boost::asio::io_context& aIo,
                       keeper_settings aSettings,
                       keeper_peers aPeers,
                       keeper_listener aListener);
  configuration_keeper(const configuration_keeper&) = delete;
  configuration_keeper& operator=(const configuration_keeper&) = delete;
  ~configuration_keeper();

  void Start(const std::vector<instance_name>& aPeers);
  void SetMembers(std::vector<follower_member> aMembers);
  void OnHint(const instance_name& aPeer, const config_hint& aHint);

  // What this instance tells all peers, and one that asks.
  config_hint Hint() const;
  config_word Word() const;
  // Bytes for a peer that asks, or null.
  bytes_ptr Held(std::string_view aDigest) const;

  std::optional<revision> InForce() const;
  const std::optional<refused_state>& Refused() const;
  const follower_counts& Counts() const;

private:
  class core;
  std::shared_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_CONFIGURATION_KEEPER_H_
