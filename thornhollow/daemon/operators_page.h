// Pages for the operators of one instance: metrics, status, readiness.
//
//   const whole_reply page = OperatorsPage(request, status, metrics);
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

// The state of an instance's mirror of one prefix of its source.
struct held_items
{
  // "configuration" or "endpoints".
  std::string mWhat;
  // The source revision up to which the items are known.
  std::uint64_t mAt = 0;
  std::size_t mCount = 0;
  // Time since the source itself last answered; unset if the source never
  // answered and all items were copied from peers.
  std::optional<duration> mAge;
  // Whether the last call to the source failed, or two responses of the source
  // in a row were overdue.
  bool mFailing = false;

  friend bool operator==(const held_items&, const held_items&) = default;
};

// One instance's state as returned by `GET /status`.
struct instance_status
{
  instance_name mName;
  domain_name mDomain;
  // Whether new work is accepted: a configuration is in force and no drain has
  // begun.
  bool mReady = false;
  bool mDraining = false;
  // Platform version of the manifest in force.
  std::optional<std::uint64_t> mRevision;
  // Platform version of the latest refused manifest, and the reasons for the
  // refusal.
  std::optional<std::uint64_t> mRefusedRevision;
  std::vector<std::string> mRefusedFaults;
  std::size_t mInProgress = 0;
  std::size_t mPeersAlive = 0;
  // State of each mirrored prefix of the source; empty if the instance follows
  // a bundle.
  std::vector<held_items> mHeld;

  friend bool operator==(const instance_status&,
                         const instance_status&) = default;
};

// Limits for listeners that only operators and balancers use: short requests on
// so many connections.
server_limits
OperatorServerLimits(std::size_t aConnections);

// Returns the status as one JSON object.
std::string
StatusJson(const instance_status& aStatus);

// Answers `/metrics`, `/status` and `/ready`; 404 for any other path, 405 for
// methods other than GET and HEAD.
whole_reply
OperatorsPage(const caller_request& aRequest,
              const instance_status& aStatus,
              const metrics& aMetrics);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_OPERATORS_PAGE_H_
