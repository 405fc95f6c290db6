// A TCP proxy that breaks connections on command; see fault_proxy.h.
#include <cstdio>

#include <gflags/gflags.h>

#include "thornhollow/testing/fault_proxy.h"

DEFINE_string(listen, "127.0.0.1:0", "address that is passed on");
DEFINE_string(target, "", "address to pass connections on to");
DEFINE_string(control, "127.0.0.1:0", "address for /test/");

int
main(int argc, char** argv)
{
  using namespace thornhollow;
  gflags::SetUsageMessage("fault-proxy --target=127.0.0.1:PORT");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  testing::event_loop loop;
  testing::fault_proxy proxy(loop, FLAGS_target);
  testing::http_server control(loop, proxy.ControlHandler());
  const result<std::string> listening = proxy.Listen(FLAGS_listen);
  const result<std::string> controlled = control.Listen(FLAGS_control);
  if (!listening || !controlled) {
    std::fprintf(stderr, "can't listen, or no usable --target\n");
    return 1;
  }
  testing::PrintListening(*listening, *controlled);
  loop.Run();
  return 0;
}
