// Runs a workload against daemons: sends each request at its planned time,
// whether or not earlier ones were answered.
//
//   const load_report report = RunLoad(workload, options);
#ifndef THORNHOLLOW_TOOLS_LOAD_RUN_H_
#define THORNHOLLOW_TOOLS_LOAD_RUN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/net/address.h"
#include "thornhollow/tools/load_report.h"
#include "thornhollow/tools/load_workload.h"

namespace thornhollow {

struct load_options
{
  // Daemons; each request begins with the next one in turn and goes on to the
  // one after it when a connection can't be made, as a balancer does. A further
  // submission begins with the daemon after the last one's.
  std::vector<socket_address> mTargets;
  // Engines whose counts of computed tokens are compared.
  std::vector<std::string> mEngines;
  double mRateFactor = 1;
  bool mVerifyText = true;
  duration mConnectLimit = Seconds(2);
  // A stream without a token for so long counts as unanswered; before the
  // first one, and for whole answers, the class's deadline is waited out.
  duration mSilenceLimit = Seconds(60);
};

struct load_finding
{
  load_report mReport;
  duration mElapsed{};
  // Tokens that the engines computed during the run; nothing where one of them
  // could not be asked, or none was named.
  std::optional<std::uint64_t> mComputed;
};

load_finding
RunLoad(const workload& aWorkload, const load_options& aOptions);

} // namespace thornhollow

#endif // THORNHOLLOW_TOOLS_LOAD_RUN_H_
