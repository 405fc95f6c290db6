// Runs the scenarios under each policy and prints the resulting service levels.
//
//   thornhollow-scenarios --scenario overload --seeds 5
//   thornhollow-scenarios --json
//
#include <cstdio>

#include <gflags/gflags.h>

#include "thornhollow/policy/scenario/report.h"

DEFINE_bool(json, false, "Print JSON instead of the table.");
DEFINE_string(scenario,
              "",
              "Run only scenarios whose name contains this text.");
DEFINE_string(deployment,
              "",
              "Run only deployments whose name contains this text.");
DEFINE_string(policy, "", "Run only policies whose name contains this text.");
DEFINE_uint64(seeds,
              5,
              "Runs per scenario and policy, with seeds 1 to this number.");

int
main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  using namespace thornhollow::scenario;
  const table_options options{
    FLAGS_scenario, FLAGS_deployment, FLAGS_policy, FLAGS_seeds
  };
  const std::vector<report_row> rows = RunTable(options);
  const std::string text = FLAGS_json ? ToJson(rows) + "\n" : ToText(rows);
  std::fputs(text.c_str(), stdout);
  return rows.empty() ? 1 : 0;
}
