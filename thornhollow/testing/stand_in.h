// What the stand-ins' programs have in common: a listener for requests that a
// fault may close, and a listener for control that stays open.
#ifndef THORNHOLLOW_TESTING_STAND_IN_H_
#define THORNHOLLOW_TESTING_STAND_IN_H_

#include <functional>
#include <string>
#include <utility>

#include "thornhollow/testing/fault_switch.h"
#include "thornhollow/testing/http_server.h"

namespace thornhollow::testing {

// Serves `aHandler` on both addresses until the process ends; prints the ready
// line first. `aBind` receives the control of the listener for requests.
// Returns an exit code when an address can't be had.
int
ServeStandIn(event_loop& aLoop,
             const http_handler& aHandler,
             const std::function<void(listener_control)>& aBind,
             const std::string& aListen,
             const std::string& aControl);

// The same for a stand-in for an endpoint, with `Handler()` and `Faults()`.
template<class endpoint>
int
RunEndpoint(event_loop& aLoop,
            endpoint& aEndpoint,
            const std::string& aListen,
            const std::string& aControl)
{
  return ServeStandIn(
    aLoop,
    aEndpoint.Handler(),
    [&aEndpoint](listener_control aListener) {
      aEndpoint.Faults().SetListener(std::move(aListener));
    },
    aListen,
    aControl);
}

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_STAND_IN_H_
