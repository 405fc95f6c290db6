// The daemon that every entry instance runs.
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include "thornhollow/config/settings.h"
#include "thornhollow/daemon/daemon.h"
#include "thornhollow/daemon/json_log.h"

DEFINE_string(settings, "", "YAML file with this instance's settings (needed)");
DEFINE_string(name, "", "replaces the settings' name");
DEFINE_string(domain, "", "replaces the settings' domain");
DEFINE_string(caller_address, "", "replaces the settings' caller_address");
DEFINE_string(operator_address, "", "replaces the settings' operator_address");
DEFINE_string(peer_address, "", "replaces the settings' peer_address");
DEFINE_string(platform_address, "", "replaces the settings' platform_address");

namespace thornhollow {
namespace {

constexpr int kExitStopped = 0;
constexpr int kExitSettingsRefused = 1;
constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;
constexpr int kExitCutShort = 4;

constexpr const char* kUsage =
  "thornhollowd: routes callers' requests to model engines and services.\n"
  "\n"
  "  thornhollowd --settings FILE [--name NAME] [--caller_address IP:PORT] "
  "...\n"
  "\n"
  "Signals: SIGTERM or SIGINT stops gracefully: readiness goes off, new "
  "requests\n"
  "are answered as not run, those in progress get their whole answer. A second "
  "one\n"
  "stops at once and cuts what is left.\n"
  "Exit codes: 0 stopped with nothing cut, 1 settings refused, 2 wrong usage,\n"
  "3 an address can't be had, 4 stopped at once by a second signal.";

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

settings_overrides
OverridesFromFlags()
{
  return { FLAGS_name,           FLAGS_domain,
           FLAGS_caller_address, FLAGS_operator_address,
           FLAGS_peer_address,   FLAGS_platform_address };
}

void
Print(const faults& aFaults)
{
  for (const fault& each : aFaults) {
    fmt::print(stderr, "{}\n", Text(each));
  }
}

// The settings, or nothing after the faults were printed.
std::optional<daemon_settings>
LoadSettings()
{
  const auto text = ReadFile(FLAGS_settings);
  if (!text) {
    fmt::print(stderr, "{}: cannot be read\n", FLAGS_settings);
    return std::nullopt;
  }
  settings_verdict verdict =
    ReadSettings({ FLAGS_settings, *text }, OverridesFromFlags());
  if (const auto* wrong = std::get_if<faults>(&verdict)) {
    Print(*wrong);
    return std::nullopt;
  }
  auto settings = std::get<daemon_settings>(std::move(verdict));
  if (settings.mPeerKey.empty() && !settings.mPeerKeyFile.empty()) {
    const auto keyText = ReadFile(settings.mPeerKeyFile);
    auto key = ReadPeerKey({ settings.mPeerKeyFile, keyText.value_or("") });
    if (const auto* wrong = std::get_if<fault>(&key)) {
      Print({ *wrong });
      return std::nullopt;
    }
    settings.mPeerKey = std::get<std::string>(std::move(key));
  }
  return settings;
}

int
RunDaemon(const daemon_settings& aSettings)
{
  json_log log(aSettings.mLogLevel, WriteToStandardError);
  boost::asio::io_context io(1);
  daemon instance(io, aSettings, log);
  int exitCode = kExitStopped;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& aWrong, int) {
    if (aWrong) {
      return;
    }
    instance.BeginStop();
    signals.async_wait([&](const boost::system::error_code& aAgain, int) {
      if (!aAgain) {
        exitCode = kExitCutShort;
        io.stop();
      }
    });
  });
  return boost::leaf::try_handle_all(
    [&]() -> result<int> {
      BOOST_LEAF_AUTO(where, instance.Start());
      fmt::print(R"({{"listening":"{}","operators":"{}"}})"
                 "\n",
                 where.mCaller,
                 where.mOperator);
      std::fflush(stdout);
      io.run();
      return exitCode;
    },
    [&](const failure& aFailure) {
      log.Write(
        log_level::kError, "cannot_start", { { "detail", aFailure.mDetail } });
      return kExitCannotListen;
    },
    [] { return kExitCannotListen; });
}

} // namespace
} // namespace thornhollow

int
main(int argc, char** argv)
{
  using namespace thornhollow;
  std::signal(SIGPIPE, SIG_IGN);
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty() || argc != 1) {
    fmt::print(stderr, "{}\n", kUsage);
    return kExitUsage;
  }
  const auto settings = LoadSettings();
  if (!settings) {
    return kExitSettingsRefused;
  }
  return RunDaemon(*settings);
}
