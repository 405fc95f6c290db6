// Measures what instances cost the platform's configuration service: calls a
// second at rest and on a change, and how long a change takes, by follower
// cores in virtual time (internal/follower_simulation.h).
//
//   build/bin/config-calls
//
// Prints the same figures on every run.

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "thornhollow/config/internal/follower_simulation.h"
#include "thornhollow/config/internal/sample_declarations.h"

namespace thornhollow {
namespace {

using internal::follower_simulation;

constexpr std::int64_t kRestSeconds = 60;
constexpr std::uint64_t kChanges = 20;
constexpr std::size_t kTeams = 20;

struct fleet_shape
{
  std::size_t mDomains = 1;
  std::size_t mInstancesOfDomain = 2;
  bool mAges = true;
  bool mPushes = true;
};

bundle
Sample(std::uint64_t aWeight)
{
  return MakeBundle(
    std::get<declarations>(ReadDeclarations(std::vector<source_file>{
      { "sample",
        internal::SampleWithoutTeams() + internal::SampleTeams(kTeams) +
          fmt::format("    weight: {}\n", aWeight) } })));
}

std::uint64_t
Calls(const follower_simulation& aFleet)
{
  std::uint64_t sum = 0;
  for (const auto& [second, calls] : aFleet.mPlatform.mCallsBySecond) {
    sum += calls;
  }
  return sum;
}

void
Measure(const fleet_shape& aShape)
{
  follower_simulation fleet(20261202);
  fleet.mAges = aShape.mAges;
  fleet.mPushes = aShape.mPushes;
  fleet.Publish(1, Sample(1));
  for (std::size_t each = 0; each < aShape.mDomains; ++each) {
    fleet.AddDomain("hall-" + std::to_string(each), aShape.mInstancesOfDomain);
  }
  const auto started = fleet.RunUntilInForce(1, Seconds(30));
  fleet.RunFor(Seconds(30));

  const time_point rest = fleet.Now();
  fleet.RunFor(Seconds(kRestSeconds));
  const double atRest = fleet.CallsPerSecond(rest, kRestSeconds);

  std::vector<double> took;
  double extra = 0;
  for (std::uint64_t change = 0; change < kChanges; ++change) {
    const std::uint64_t before = Calls(fleet);
    const time_point from = fleet.Now();
    fleet.Publish(2 + change, Sample(2 + change));
    const auto done = fleet.RunUntilInForce(2 + change, Seconds(30));
    took.push_back(done ? ToSeconds(*done) : 30);
    fleet.RunFor(Seconds(10));
    extra += static_cast<double>(Calls(fleet) - before) -
             atRest * ToSeconds(fleet.Now() - from);
  }
  std::ranges::sort(took);

  fleet.mPlatform.mDown = true;
  fleet.RunFor(Seconds(60));
  const time_point down = fleet.Now();
  fleet.RunFor(Seconds(kRestSeconds));

  fmt::print("{:>7} {:>9} {:<5} {:<5} {:>8.2f} {:>9.2f} {:>12.1f} {:>9.2f} "
             "{:>9.2f} {:>9.2f}\n",
             aShape.mDomains,
             fleet.size(),
             aShape.mAges ? "yes" : "no",
             aShape.mPushes ? "yes" : "no",
             started ? ToSeconds(*started) : 30,
             atRest,
             extra / static_cast<double>(kChanges),
             took[took.size() / 2],
             took.back(),
             fleet.CallsPerSecond(down, kRestSeconds));
}

} // namespace
} // namespace thornhollow

int
main()
{
  fmt::print("Virtual time, {} changes of one of {} teams, platform answers in "
             "3 ms, peers in 2 ms,\nverdict 50 ms, gossip once a second within "
             "the domain and by two links to each other one.\n\n",
             thornhollow::kChanges,
             thornhollow::kTeams);
  fmt::print("{:>7} {:>9} {:<5} {:<5} {:>8} {:>9} {:>12} {:>9} {:>9} {:>9}\n",
             "domains",
             "instances",
             "ages",
             "push",
             "start s",
             "calls/s",
             "calls/change",
             "median s",
             "worst s",
             "down /s");
  for (const std::size_t instances : { 2, 8, 32 }) {
    thornhollow::Measure({ 1, instances, true, true });
  }
  for (const std::size_t instances : { 2, 8, 32 }) {
    thornhollow::Measure({ 1, instances, false, true });
  }
  for (const std::size_t instances : { 2, 8, 32 }) {
    thornhollow::Measure({ 1, instances, true, false });
  }
  thornhollow::Measure({ 3, 2, true, true });
  thornhollow::Measure({ 11, 38, true, true });
  thornhollow::Measure({ 11, 38, false, true });
  return 0;
}
