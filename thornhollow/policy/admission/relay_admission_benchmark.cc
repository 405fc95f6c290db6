#include <string>

#include <benchmark/benchmark.h>

#include "thornhollow/policy/admission/relay_admission.h"

namespace thornhollow {
namespace {

// Time of one admission decision by the number of recently active teams: 10 as
// at a small site, 24 as at a larger site, and 11,000 on a single instance.
void
JudgePrompt(benchmark::State& aState)
{
  relay_admission admission{ relay_admission_settings{} };
  std::mt19937_64 random(1);
  const time_point now = time_point() + Seconds(100);
  admission.SetCapacity(40'000);
  const auto teams = aState.range(0);
  std::int64_t number = 0;
  for (auto _ : aState) {
    const admission_request request{
      .mTeam = team_name("team" + std::to_string(number++ % teams)),
      .mTokens = 8'000,
      .mTarget = Seconds(2),
      .mTimeLeft = Seconds(15),
      .mExpectedWait = Milliseconds(200)
    };
    benchmark::DoNotOptimize(admission.Decide(request, random, now));
    admission.OnSent({ 0, 8'000 });
    admission.OnStarted({ 0, 8'000 }, Milliseconds(200), now);
  }
}
BENCHMARK(JudgePrompt)->Arg(10)->Arg(24)->Arg(11'000);

} // namespace
} // namespace thornhollow
