#include "thornhollow/testing/stand_in.h"

#include <cstdio>

namespace thornhollow::testing {

int
ServeStandIn(event_loop& aLoop,
             const http_handler& aHandler,
             const std::function<void(listener_control)>& aBind,
             const std::string& aListen,
             const std::string& aControl)
{
  http_server requests(aLoop, aHandler);
  http_server control(aLoop, aHandler);
  const result<std::string> listening = requests.Listen(aListen);
  const result<std::string> controlled = control.Listen(aControl);
  if (!listening || !controlled) {
    std::fprintf(
      stderr, "can't listen on %s\n", (listening ? aControl : aListen).c_str());
    return 1;
  }
  const auto refuse = [&requests](bool aRefuse) {
    if (aRefuse) {
      requests.StopListening();
    } else if (!requests.ListenAgain()) {
      std::fprintf(stderr, "can't listen again\n");
    }
  };
  aBind({ refuse, [&aLoop, &requests, refuse](duration aBackAfter) {
           requests.StopListening();
           requests.ResetConnections();
           aLoop.After(aBackAfter, [refuse] { refuse(false); });
         } });
  PrintListening(*listening, *controlled);
  aLoop.Run();
  return 0;
}

} // namespace thornhollow::testing
