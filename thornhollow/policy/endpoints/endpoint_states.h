// Tracks which endpoints are leaving, from three sources that may disagree: the
// platform's list, which lags; the endpoint's own report; and peers that relay
// such a report.
//
//   const auto changes = states.OnLeavingReported(endpoint, until);
//   for (const auto& [name, state] : changes) {
//     Apply(scheduler.OnEndpointState(name, state, now));
//   }
//
// An endpoint may report that it is leaving while the list still shows it as
// live. If the latest information took precedence, the endpoint would get new
// work after the next copy of the list arrived, and this work would be cut off
// when the endpoint stops. So an endpoint counts as leaving while any source
// says so. Reports expire after some time, since they are never withdrawn.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_STATES_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_STATES_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

struct endpoint_state_change
{
  endpoint_name mEndpoint;
  endpoint_state mState = endpoint_state::kLive;

  friend bool operator==(const endpoint_state_change&,
                         const endpoint_state_change&) = default;
};
using endpoint_state_changes = std::vector<endpoint_state_change>;

class endpoint_states
{
public:
  // The platform's list was received; it shows exactly `aLeaving` as leaving.
  // Returns the endpoints whose state changes.
  endpoint_state_changes OnPlatformList(std::set<endpoint_name> aLeaving);

  // The endpoint reported that it is leaving, or a peer relayed such a report.
  // The report is valid until `aUntil`, or longer if an earlier report was.
  // Returns the endpoints whose state changes.
  endpoint_state_changes OnLeavingReported(const endpoint_name& aEndpoint,
                                           time_point aUntil);

  // Drops expired reports. Returns the endpoints whose state changes.
  endpoint_state_changes Advance(time_point aNow);
  // When the next report of a leaving endpoint expires; empty if no report is
  // valid.
  std::optional<time_point> NextDue() const;

private:
  bool IsLeaving(const endpoint_name& aEndpoint) const;

  std::set<endpoint_name> mListed;
  std::map<endpoint_name, time_point> mReported;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_ENDPOINT_STATES_H_
