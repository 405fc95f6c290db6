// Measures the time of one decision for different numbers of endpoints.
// docs/design/endpoint_choice.md has the results and the commands.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "thornhollow/policy/placement/endpoint_subset.h"
#include "thornhollow/policy/placement/endpoint_table.h"

namespace thornhollow {
namespace {

constexpr std::uint32_t kSlots = 8;
constexpr std::int64_t kSizes[] = { 8, 77, 850 };

struct benchmark_table
{
  // If `aAllEndpoints`, the table uses every endpoint, which shows how the time
  // grows with their number. If not, the table uses a subset of the default
  // size.
  benchmark_table(std::int64_t aEndpoints, bool aAllEndpoints)
    : mTable(Settings(aAllEndpoints), 1)
  {
    declarations declared;
    for (std::int64_t i = 0; i < aEndpoints; ++i) {
      declared.mEndpoints.push_back(
        { endpoint_name("engine-" + std::to_string(i)),
          domain_name("d" + std::to_string(i % 3)),
          "127.0.0.1:1",
          { pool_name("m") },
          kSlots });
    }
    mTable.Configure(declared, domain_name("d0"), mNow);
    mItem.mPool = pool_name("m");
    mItem.mClass = class_name("c");
    mItem.mPromptTokens = 500;
  }

  static endpoint_table_settings Settings(bool aAllEndpoints)
  {
    endpoint_table_settings settings;
    settings.mSubset.mMaxPerPool = aAllEndpoints ? 1000 : 16;
    return settings;
  }

  std::optional<endpoint_name> Send()
  {
    ++mItem.mTicket;
    mItem.mPrefix = mItem.mTicket % 1000;
    mNow += Milliseconds(1);
    auto chosen = mTable.Choose(mItem, {}, mNow);
    if (chosen) {
      mTable.OnSent(*chosen, mItem, mNow);
    }
    return chosen;
  }

  void Answer(const endpoint_name& aEndpoint)
  {
    mTable.OnFirstToken(aEndpoint, mItem, Milliseconds(1), mNow);
    mTable.OnEnded(
      aEndpoint, mItem, attempt_end::kCompleted, 100, Milliseconds(600), mNow);
  }

  time_point mNow{ Seconds(100) };
  work_item mItem;
  endpoint_table mTable;
};

// Measures the processing of one request from the decision to the end of the
// answer, with no other requests in flight.
void
ServeOne(benchmark::State& aState)
{
  benchmark_table table(aState.range(0), aState.range(1) != 0);
  for (auto _ : aState) {
    table.Answer(*table.Send());
  }
}

// Measures a decision while every slot is taken, as for each event under
// overload.
void
ChooseWhileFull(benchmark::State& aState)
{
  benchmark_table table(aState.range(0), aState.range(1) != 0);
  while (table.Send()) {
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.Send());
  }
}

// Measures a decision while only one slot is free.
void
ChooseLastPlace(benchmark::State& aState)
{
  benchmark_table table(aState.range(0), aState.range(1) != 0);
  const endpoint_name freed = *table.Send();
  while (table.Send()) {
  }
  for (auto _ : aState) {
    table.Answer(freed);
    benchmark::DoNotOptimize(table.Send());
  }
}

void
TakeReport(benchmark::State& aState)
{
  benchmark_table table(aState.range(0), aState.range(1) != 0);
  const endpoint_name reporting = *table.Send();
  load_report report;
  report.mRunning = 4;
  for (auto _ : aState) {
    table.mNow += Milliseconds(1);
    report.mMeasuredAt = table.mNow;
    table.mTable.OnLoadReport(reporting, report, table.mNow);
  }
}

// Measures a configuration change.
void
Configure(benchmark::State& aState)
{
  for (auto _ : aState) {
    benchmark_table table(aState.range(0), aState.range(1) != 0);
    benchmark::DoNotOptimize(table.mTable.Slots(pool_name("m")));
  }
}

void
Sizes(benchmark::internal::Benchmark* aBenchmark)
{
  aBenchmark->ArgNames({ "endpoints", "whole" });
  for (const std::int64_t size : kSizes) {
    aBenchmark->Args({ size, 1 });
    aBenchmark->Args({ size, 0 });
  }
}

BENCHMARK(ServeOne)->Apply(Sizes);
BENCHMARK(ChooseWhileFull)->Apply(Sizes);
BENCHMARK(ChooseLastPlace)->Apply(Sizes);
BENCHMARK(TakeReport)->Apply(Sizes);
BENCHMARK(Configure)->Apply(Sizes);

// Measures the choice of the subset of one of 38 routers from a pool of 850
// endpoints in 11 domains.
void
ChooseSubsetAt850(benchmark::State& aState)
{
  std::vector<subset_candidate> pool;
  pool.reserve(850);
  for (int i = 0; i < 850; ++i) {
    pool.push_back({ endpoint_name("engine-" + std::to_string(i)),
                     domain_name("d" + std::to_string(i % 11)) });
  }
  subset_context view{ instance_name("router-0"), {}, domain_name("d0") };
  for (int i = 0; i < 38; ++i) {
    view.mRouters.emplace_back("router-" + std::to_string(i));
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      ChooseSubset(pool, view, endpoint_subset_settings{}));
  }
}

BENCHMARK(ChooseSubsetAt850);

} // namespace
} // namespace thornhollow
