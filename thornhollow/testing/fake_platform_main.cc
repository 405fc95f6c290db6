// A stand-in for the platform's configuration service and instance list; see
// docs/design/external_protocols.md.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <utility>

#include <gflags/gflags.h>

#include "thornhollow/testing/fake_platform.h"
#include "thornhollow/testing/stand_in.h"

DEFINE_string(listen, "127.0.0.1:0", "address for reads and watches");
DEFINE_string(control, "127.0.0.1:0", "address that stays open for /test/");
DEFINE_string(values_dir, "", "folder of values; a file's path is its key");
DEFINE_string(instances, "", "file with the first instance list");
DEFINE_uint32(list_lag_ms, 0, "delay until a new instance list can be read");

namespace {

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

void
LoadValues(thornhollow::testing::fake_platform& aPlatform)
{
  namespace fs = std::filesystem;
  for (const auto& entry : fs::recursive_directory_iterator(FLAGS_values_dir)) {
    if (entry.is_regular_file()) {
      aPlatform.SetValue(
        fs::relative(entry.path(), FLAGS_values_dir).generic_string(),
        ReadFile(entry.path()));
    }
  }
}

} // namespace

int
main(int argc, char** argv)
{
  using namespace thornhollow;
  gflags::SetUsageMessage("fake-platform --listen=127.0.0.1:PORT");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  testing::event_loop loop;
  testing::fake_platform platform(loop, Milliseconds(FLAGS_list_lag_ms));
  if (!FLAGS_values_dir.empty()) {
    LoadValues(platform);
  }
  if (!FLAGS_instances.empty()) {
    platform.SetInstances(ReadFile(FLAGS_instances));
  }
  return testing::ServeStandIn(
    loop,
    platform.Handler(),
    [&platform](testing::listener_control aListener) {
      platform.OnRefuse(std::move(aListener.mRefuse));
    },
    FLAGS_listen,
    FLAGS_control);
}
