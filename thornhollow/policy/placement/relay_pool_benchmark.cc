#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "thornhollow/policy/placement/relay_pool.h"

namespace thornhollow {
namespace {

// Time of one choice of an engine with the sessions and load of a busy hour, by
// the number of engines: as at a small site, at a larger site, and in a
// deployment of 850 engines.
void
ChooseEngine(benchmark::State& aState)
{
  relay_pool pool(relay_pool_settings{}, true, domain_name("hall"), 1);
  time_point now = time_point() + Seconds(100);
  for (std::int64_t each = 0; each < aState.range(0); ++each) {
    pool.Put({ endpoint_name("i-" + std::to_string(each)),
               "10.0.0.1:80",
               domain_name("hall"),
               1,
               false });
  }
  const workload_kind plan{ Seconds(2), Milliseconds(800) };
  const workload_kind note{ Milliseconds(300), Milliseconds(200) };
  pool.SetView({ { { note, 28, 20'000, 14e6 }, { plan, 5, 50'000, 600e6 } } },
               now);
  std::uint64_t number = 0;
  for (auto _ : aState) {
    request_profile work;
    const bool isLong = number % 3 == 0;
    work.mTarget = isLong ? plan.mTarget : note.mTarget;
    work.mPause = isLong ? plan.mPause : note.mPause;
    work.mPromptTokens = isLong ? 12'000 : 800;
    work.mSharedTokens = isLong ? 5'400 : 200;
    work.mSharedPrefix = number++ % 450 + 1;
    const auto pick = pool.Choose(work, {}, now);
    pool.OnSent(*pick, work, now);
    pool.OnFirstByte(*pick, work, Milliseconds(200), now);
    pool.OnEnded(
      *pick, work, attempt_end::kCompleted, true, Milliseconds(900), now);
    now += Milliseconds(1);
  }
}
BENCHMARK(ChooseEngine)->Arg(12)->Arg(112)->Arg(850);

} // namespace
} // namespace thornhollow
