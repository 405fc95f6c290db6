// Open-loop load on daemons: arrivals keep their planned times whatever the
// answers do. Prints a table on standard error and JSON on standard output.
//
// Exit codes: 0 the run ended, 1 with --strict an answer was cut, mixed up or
// never came, 2 the flags or the workload are at fault.
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "thornhollow/tools/load_run.h"
#include "thornhollow/tools/load_workload.h"

DEFINE_string(workload, "", "YAML file with the classes to send");
DEFINE_string(targets, "", "daemons' addresses, separated by commas");
DEFINE_string(engines, "", "engine stand-ins' addresses, for wasted work");
DEFINE_double(rate_factor, 1, "multiplies every rate of the workload");
DEFINE_double(duration_s, 0, "length of the run; 0 for the workload's own");
DEFINE_int64(seed, -1, "seed of the arrivals; -1 for the workload's own");
DEFINE_double(silence_limit_s, 60, "time without progress that ends a request");
DEFINE_bool(verify_text, true, "compare tokens with the engine stand-in's");
DEFINE_bool(strict, false, "fail when an answer was cut or mixed up");

namespace {

constexpr int kUnsound = 1;
constexpr int kBadUse = 2;

std::vector<std::string>
Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

bool
ReadOptions(thornhollow::load_options& aOptions)
{
  for (const std::string& target : Split(FLAGS_targets)) {
    const auto address = thornhollow::ParseAddress(target);
    if (!address) {
      fmt::print(stderr, "--targets: not an IP number and port: {}\n", target);
      return false;
    }
    aOptions.mTargets.push_back(*address);
  }
  if (aOptions.mTargets.empty()) {
    fmt::print(stderr, "--targets: at least one address is needed\n");
    return false;
  }
  aOptions.mEngines = Split(FLAGS_engines);
  aOptions.mRateFactor = FLAGS_rate_factor;
  aOptions.mVerifyText = FLAGS_verify_text;
  aOptions.mSilenceLimit = thornhollow::FromSeconds(FLAGS_silence_limit_s);
  return true;
}

thornhollow::workload_verdict
ReadWorkloadFile()
{
  std::ifstream file(FLAGS_workload, std::ios::binary);
  if (!file) {
    return thornhollow::faults{
      { FLAGS_workload, 0, "", "no readable file", "a workload" }
    };
  }
  return thornhollow::ReadWorkload({ FLAGS_workload,
                                     { std::istreambuf_iterator<char>(file),
                                       std::istreambuf_iterator<char>() } });
}

} // namespace

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "thornhollow-load --workload=FILE --targets=IP:PORT,...");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  thornhollow::load_options options;
  if (!ReadOptions(options)) {
    return kBadUse;
  }
  auto verdict = ReadWorkloadFile();
  if (const auto* refused = std::get_if<thornhollow::faults>(&verdict)) {
    for (const auto& fault : *refused) {
      fmt::print(stderr, "{}\n", thornhollow::Text(fault));
    }
    return kBadUse;
  }
  auto& workload = std::get<thornhollow::workload>(verdict);
  if (FLAGS_duration_s > 0) {
    workload.mLength = thornhollow::FromSeconds(FLAGS_duration_s);
  }
  if (FLAGS_seed >= 0) {
    workload.mSeed = static_cast<std::uint64_t>(FLAGS_seed);
  }
  const auto finding = thornhollow::RunLoad(workload, options);
  const auto& report = finding.mReport;
  fmt::print(stderr, "{}", report.Table(finding.mElapsed, finding.mComputed));
  fmt::print("{}\n", report.Json(finding.mElapsed, finding.mComputed));
  return FLAGS_strict && !report.Sound() ? kUnsound : 0;
}
