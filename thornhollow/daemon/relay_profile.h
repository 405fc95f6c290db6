// What placement and metrics need to know of a relayed request.
//
//   const request_profile profile = ProfileOf(request, route, tier);
//   const class_name label = MetricsClass(route, tier);
//
#ifndef THORNHOLLOW_DAEMON_RELAY_PROFILE_H_
#define THORNHOLLOW_DAEMON_RELAY_PROFILE_H_

#include "thornhollow/base/ids.h"
#include "thornhollow/policy/placement/request_profile.h"
#include "thornhollow/request/relay_headers.h"
#include "thornhollow/routing/routing_document.h"

namespace thornhollow {

// Metrics are grouped by tier and kind instead of by route, since routes change
// with each configuration.
class_name
MetricsClass(const route& aRoute, tier_number aTier);

// Everything but the team and the deadline.
request_profile
ProfileOf(const relay_request& aRequest,
          const route& aRoute,
          tier_number aTier);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_RELAY_PROFILE_H_
