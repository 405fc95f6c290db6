// Which endpoints are leaving, from three sources that disagree: the platform's
// list, which lags; the endpoint's own word; and peers that heard that word.
//
//   for (const auto& [name, state] : states.OnLeavingReported(endpoint, until,
//   now)) {
//     Apply(scheduler.OnEndpointState(name, state, now));
//   }
//
// Failure: an endpoint says that it leaves and the list still has it as live.
// Were the latest source believed, the next copy of the list would send new
// work there, which is cut when it stops. So an endpoint counts as leaving
// while any source says so; what was told ends by itself, since nothing takes
// it back.
#ifndef THORNHOLLOW_POLICY_ENDPOINT_STATES_H_
#define THORNHOLLOW_POLICY_ENDPOINT_STATES_H_

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
  // The platform's list has these as leaving, and no others.
  endpoint_state_changes OnPlatformList(std::set<endpoint_name> aLeaving);

  // The endpoint, or a peer for it, said that it leaves; holds until `aUntil`
  // at least.
  endpoint_state_changes OnLeavingReported(const endpoint_name& aEndpoint,
                                           time_point aUntil);

  // Ends what was told and not told again.
  endpoint_state_changes Advance(time_point aNow);
  // When `Advance` has something to do next.
  std::optional<time_point> NextDue() const;

private:
  bool IsLeaving(const endpoint_name& aEndpoint) const;

  std::set<endpoint_name> mListed;
  std::map<endpoint_name, time_point> mReported;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINT_STATES_H_
