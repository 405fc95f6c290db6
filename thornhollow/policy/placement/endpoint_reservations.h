// Combines the states of endpoints with the reservations of trials (see
// policy/suspects/crash_suspects.h): a reserved endpoint is treated as leaving,
// so that it receives no new requests.
//
//   endpoint_reservations reservations;
//   Apply(reservations.OnState(name, state));
//   Apply(reservations.SetReserved(names));
//
#ifndef THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_RESERVATIONS_H_
#define THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_RESERVATIONS_H_

#include <set>
#include <utility>

#include "thornhollow/base/ids.h"
#include "thornhollow/policy/endpoints/endpoint_states.h"

namespace thornhollow {

class endpoint_reservations
{
public:
  // The endpoint's own state changed. Returns the resulting changes.
  endpoint_state_changes OnState(const endpoint_name& aEndpoint,
                                 endpoint_state aState)
  {
    if (aState == endpoint_state::kLive) {
      mNotLive.erase(aEndpoint);
    } else {
      mNotLive.insert(aEndpoint);
    }
    const bool isHeldBack =
      aState == endpoint_state::kLive && mReserved.contains(aEndpoint);
    return { { aEndpoint, isHeldBack ? endpoint_state::kLeaving : aState } };
  }

  // Replaces the reserved endpoints. Returns the resulting changes.
  endpoint_state_changes SetReserved(std::set<endpoint_name> aReserved)
  {
    endpoint_state_changes changes;
    for (const endpoint_name& each : mReserved) {
      if (!aReserved.contains(each) && IsLive(each)) {
        changes.push_back({ each, endpoint_state::kLive });
      }
    }
    for (const endpoint_name& each : aReserved) {
      if (!mReserved.contains(each) && IsLive(each)) {
        changes.push_back({ each, endpoint_state::kLeaving });
      }
    }
    mReserved = std::move(aReserved);
    return changes;
  }

  // Whether the endpoint's own state is live.
  bool IsLive(const endpoint_name& aEndpoint) const
  {
    return !mNotLive.contains(aEndpoint);
  }

private:
  std::set<endpoint_name> mNotLive;
  std::set<endpoint_name> mReserved;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PLACEMENT_ENDPOINT_RESERVATIONS_H_
