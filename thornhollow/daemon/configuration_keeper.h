// Executes the actions of config_follower: reads the platform, queries peers,
// validates bundles on a separate thread, and publishes each configuration that
// takes effect.
//
//   configuration_keeper keeper(io, settings, peers, listener);
//   keeper.Start(peerNames);
//
// Validating 11,000 teams takes long enough to delay streams noticeably, so it
// never runs on the io_context's thread.
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

// Functions for communicating with peers. Each callback passed to them is
// called exactly once.
struct keeper_peers
{
  std::function<void(const instance_name&,
                     std::function<void(std::optional<config_word>)>)>
    mQueryStatus;
  std::function<void(const instance_name&,
                     const std::string& aDigest,
                     std::function<void(std::optional<std::string>)>)>
    mFetchPart;
  // Notifies all peers immediately that this instance holds configuration
  // version `aVersion`.
  std::function<void(std::uint64_t aVersion)> mAnnounce;
};

struct keeper_listener
{
  std::function<void(catalog_ptr, const revision&)> mInForce;
  std::function<void(const revision&, const faults&)> mRefused;
  // Called when the platform returned a configuration version lower than the
  // one in force.
  std::function<void(std::uint64_t aVersion, const revision& aInForce)>
    mLowerVersion;
  // Receives the number of bytes of each exchange with the platform, request
  // and response together.
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

  // The configuration state that this instance sends to all peers (`Hint`) and
  // in response to a query (`Status`).
  config_hint Hint() const;
  config_word Status() const;
  // Returns the bytes that this instance holds under a digest, to answer a
  // peer's query; null if it holds none.
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
