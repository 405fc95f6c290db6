// Main program of the daemon that runs on every entry instance.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <typeinfo>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include "thornhollow/config/relay_settings.h"
#include "thornhollow/config/settings.h"
#include "thornhollow/daemon/daemon.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/log_output.h"
#include "thornhollow/daemon/relay_gateway.h"
#include "thornhollow/platform/adapter.h"
#include "thornhollow/platform/wire_names.h"

DEFINE_string(settings, "", "YAML file with this instance's settings (needed)");
DEFINE_bool(relay,
            false,
            "relays requests as they are, by the routes that a platform's "
            "store publishes; the settings are those of docs/PLATFORM.md");
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
constexpr int kExitForced = 4;
constexpr int kExitFailed = 5;

constexpr const char* kUsage =
  "thornhollowd: routes callers' requests to model engines and services.\n"
  "\n"
  "  thornhollowd --settings FILE [--name NAME] [--caller_address IP:PORT] "
  "...\n"
  "  thornhollowd --relay [--settings FILE]\n"
  "\n"
  "With --relay the settings' path may also stand in the environment; see\n"
  "docs/PLATFORM.md.\n"
  "\n"
  "Signals: SIGTERM or SIGINT stops gracefully: readiness goes off, new "
  "requests\n"
  "are answered as not run, those in progress get their whole answer. A second "
  "one\n"
  "stops at once and cuts what is left.\n"
  "Exit codes: 0 stopped with nothing cut, 1 settings refused, 2 wrong usage,\n"
  "3 an address can't be had, 4 stopped at once by a second signal, 5 failed\n"
  "(the log's last line says how).";

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

// Reads the settings. On failure, prints the faults and returns nullopt.
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
  if (const auto* error = std::get_if<faults>(&verdict)) {
    Print(*error);
    return std::nullopt;
  }
  auto settings = std::get<daemon_settings>(std::move(verdict));
  if (settings.mPeerKey.empty() && !settings.mPeerKeyFile.empty()) {
    const auto keyText = ReadFile(settings.mPeerKeyFile);
    auto key = ReadPeerKey({ settings.mPeerKeyFile, keyText.value_or("") });
    if (const auto* error = std::get_if<fault>(&key)) {
      Print({ *error });
      return std::nullopt;
    }
    settings.mPeerKey = std::get<std::string>(std::move(key));
  }
  return settings;
}

// Runs until the loop is stopped. An exception that no connection's own guard
// took may have left state in the middle of a step, so that the process ends
// and says why, and starts anew.
bool
RunLoop(boost::asio::io_context& aIo, json_log& aLog)
{
  try {
    aIo.run();
    return true;
  } catch (const std::exception& thrown) {
    aLog.Write(log_level::kError,
               "unexpected_exception",
               { { "type", std::string(typeid(thrown).name()) },
                 { "detail", std::string(thrown.what()) } });
    return false;
  }
}

// Runs one instance until it stops and returns the exit code. `instance` is
// `daemon` or `relay_gateway`.
template<class instance>
int
RunInstance(boost::asio::io_context& aIo, instance& aInstance, json_log& aLog)
{
  int exitCode = kExitStopped;
  boost::asio::signal_set signals(aIo, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& aError, int) {
    if (aError) {
      return;
    }
    aInstance.BeginStop();
    signals.async_wait([&](const boost::system::error_code& aSecondError, int) {
      if (!aSecondError) {
        exitCode = kExitForced;
        aIo.stop();
      }
    });
  });
  return boost::leaf::try_handle_all(
    [&]() -> result<int> {
      BOOST_LEAF_AUTO(addresses, aInstance.Start());
      fmt::print(R"({{"listening":"{}","operators":"{}"}})"
                 "\n",
                 addresses.mCaller,
                 addresses.mOperator);
      std::fflush(stdout);
      return RunLoop(aIo, aLog) ? exitCode : kExitFailed;
    },
    [&](const failure& aFailure) {
      aLog.Write(
        log_level::kError, "cannot_start", { { "detail", aFailure.mDetail } });
      return kExitCannotListen;
    },
    [] { return kExitCannotListen; });
}

int
RunDaemon(const daemon_settings& aSettings)
{
  json_log log(aSettings.mLogLevel, WriteToStandardError);
  boost::asio::io_context io(1);
  daemon instance(io, aSettings, log);
  return RunInstance(io, instance, log);
}

std::string
RelaySettingsPath()
{
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* path = std::getenv(platform::kSettingsVariable);
  return path == nullptr ? "" : path;
}

// Reads the settings. On failure, prints the faults and returns nullopt.
std::optional<relay_settings>
LoadRelaySettings(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    fmt::print(stderr, "{}: cannot be read\n", aPath);
    return std::nullopt;
  }
  auto verdict = ReadRelaySettings({ aPath, *text });
  if (const auto* error = std::get_if<faults>(&verdict)) {
    Print(*error);
    return std::nullopt;
  }
  return std::get<relay_settings>(std::move(verdict));
}

// On SIGHUP, logs whether the current settings file would be accepted. Changed
// settings take effect at the next start.
void
CheckSettingsOnHangUp(boost::asio::signal_set& aSignals,
                      const std::string& aPath,
                      json_log& aLog)
{
  aSignals.async_wait(
    [&aSignals, aPath, &aLog](const boost::system::error_code& aError, int) {
      if (aError) {
        return;
      }
      const bool accepted = LoadRelaySettings(aPath).has_value();
      aLog.Write(log_level::kInfo,
                 "settings_changed",
                 { { "accepted", std::int64_t{ accepted } } });
      CheckSettingsOnHangUp(aSignals, aPath, aLog);
    });
}

int
RunRelay(const std::string& aPath, const relay_settings& aSettings)
{
  log_output output(STDOUT_FILENO);
  json_log log(aSettings.mLogLevel,
               [&](std::string_view aLine) { output.Add(aLine); });
  boost::asio::io_context io(1);
  relay_gateway gateway(io,
                        aSettings,
                        platform::MakeAdapter(io, aSettings.mSourceAddress),
                        log,
                        [&] { output.Flush(); });
  boost::asio::signal_set hangUp(io, SIGHUP);
  CheckSettingsOnHangUp(hangUp, aPath, log);
  const int exitCode = RunInstance(io, gateway, log);
  output.Flush();
  return exitCode;
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
  if (FLAGS_relay && argc == 1 && !RelaySettingsPath().empty()) {
    const std::string path = RelaySettingsPath();
    const auto settings = LoadRelaySettings(path);
    return settings ? RunRelay(path, *settings) : kExitSettingsRefused;
  }
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
