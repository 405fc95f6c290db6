// A stand-in for a plain service; see docs/design/external_protocols.md.
#include <gflags/gflags.h>

#include "thornhollow/testing/fake_service.h"
#include "thornhollow/testing/stand_in.h"

DEFINE_string(listen, "127.0.0.1:0", "address for calls");
DEFINE_string(control, "127.0.0.1:0", "address that stays open for /test/");
DEFINE_uint32(work_ms, 5, "time that a call takes");

int
main(int argc, char** argv)
{
  using namespace thornhollow;
  gflags::SetUsageMessage("fake-service --listen=127.0.0.1:PORT");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  testing::event_loop loop;
  testing::fake_service service(loop, Milliseconds(FLAGS_work_ms));
  return testing::RunEndpoint(loop, service, FLAGS_listen, FLAGS_control);
}
