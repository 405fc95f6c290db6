// What operators read from one instance: metrics, status, readiness.
//
//   const whole_reply page = OperatorsPage(request, state, counted);
//
#ifndef THORNHOLLOW_DAEMON_OPERATORS_PAGE_H_
#define THORNHOLLOW_DAEMON_OPERATORS_PAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/net/caller_server.h"

namespace thornhollow {

// What an instance believes of one prefix of its source.
struct held_items
{
  // "configuration", "endpoints".
  std::string mWhat;
  // The source's revision up to which they are known.
  std::uint64_t mAt = 0;
  std::size_t mCount = 0;
  // Since the source itself last answered; nothing where it never did and all
  // that is known comes from peers.
  std::optional<duration> mAge;
  // Its last answer was a failure.
  bool mFailing = false;

  friend bool operator==(const held_items&, const held_items&) = default;
};

// One instance's state as `GET /status` tells it.
struct instance_status
{
  instance_name mName;
  domain_name mDomain;
  // Takes new work: a configuration is in force and no drain has begun.
  bool mReady = false;
  bool mDraining = false;
  // Platform version of the manifest in force.
  std::optional<std::uint64_t> mRevision;
  // The latest refused manifest and why.
  std::optional<std::uint64_t> mRefusedRevision;
  std::vector<std::string> mRefusedFaults;
  std::size_t mInProgress = 0;
  std::size_t mPeersAlive = 0;
  // Empty where a bundle is followed.
  std::vector<held_items> mHeld;

  friend bool operator==(const instance_status&,
                         const instance_status&) = default;
};

// Bounds for listeners that only operators and balancers ask: short questions
// on a few connections.
server_limits
OperatorServerLimits();

// The status as JSON, in one object.
std::string
StatusJson(const instance_status& aStatus);

// Answers `/metrics`, `/status`, `/ready`; 404 for any other path, 405 for a
// method that doesn't read.
whole_reply
OperatorsPage(const caller_request& aRequest,
              const instance_status& aStatus,
              const metrics& aMetrics);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_OPERATORS_PAGE_H_
