// Cost of a configuration by its number of teams:
//
//   build/bin/config_benchmark
//
// Counters: bytes of the whole bundle and of its manifest, parts, bytes that
// one changed team moves (its part and the manifest), and bytes of heap that
// the catalog of a daemon holds.

#include <cstddef>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "thornhollow/config/bundle.h"
#include "thornhollow/config/catalog.h"
#include "thornhollow/config/internal/sample_declarations.h"

namespace thornhollow {
namespace {

declarations
Sample(std::size_t aTeams)
{
  return std::get<declarations>(ReadDeclarations(
    std::vector<source_file>{ { "a", internal::SampleWithoutTeams() },
                              { "b", internal::SampleTeams(aTeams) } }));
}

std::size_t
Bytes(const bundle& aBundle)
{
  std::size_t sum = aBundle.mManifest.size();
  for (const bundle_part& part : aBundle.mParts) {
    sum += part.mText.size();
  }
  return sum;
}

// Bytes that a daemon with `aOld` fetches to have `aNew`.
std::size_t
Moved(const bundle& aOld, const bundle& aNew)
{
  std::set<std::string> held;
  for (const bundle_part& part : aOld.mParts) {
    held.insert(part.mDigest);
  }
  std::size_t sum = aNew.mManifest.size();
  for (const bundle_part& part : aNew.mParts) {
    sum += held.contains(part.mDigest) ? 0 : part.mText.size();
  }
  return sum;
}

double
AsCounter(std::size_t aCount)
{
  return static_cast<double>(aCount);
}

// Reading and checking a bundle that is held whole, digests included: what a
// daemon does for each revision, off its data path.
void
ReadWholeBundle(benchmark::State& aState)
{
  declarations declared = Sample(static_cast<std::size_t>(aState.range(0)));
  const bundle made = MakeBundle(declared);
  declared.mTeams[declared.mTeams.size() / 2].mWeight = 7;
  const bundle changed = MakeBundle(declared);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ReadBundle(made));
  }
  aState.counters["bundle_bytes"] = AsCounter(Bytes(made));
  aState.counters["manifest_bytes"] = AsCounter(made.mManifest.size());
  aState.counters["parts"] = AsCounter(made.mParts.size());
  aState.counters["moved_bytes"] = AsCounter(Moved(made, changed));
}

// Reading an operator's files.
void
ReadOperatorsFiles(benchmark::State& aState)
{
  const std::vector<source_file> files = {
    { "a", internal::SampleWithoutTeams() },
    { "b", internal::SampleTeams(static_cast<std::size_t>(aState.range(0))) }
  };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ReadDeclarations(files));
  }
}

// Indexing accepted declarations.
void
IndexDeclarations(benchmark::State& aState)
{
  const declarations declared =
    Sample(static_cast<std::size_t>(aState.range(0)));
  const std::size_t before = mallinfo2().uordblks;
  const catalog_ptr held = MakeCatalog(declared);
  aState.counters["heap_bytes"] = AsCounter(mallinfo2().uordblks - before);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(MakeCatalog(declared));
  }
}

// One look-up on the request path.
void
FindTeamByToken(benchmark::State& aState)
{
  const auto teams = static_cast<std::size_t>(aState.range(0));
  const catalog_ptr held = MakeCatalog(Sample(teams));
  const std::string digest = TokenDigest("team-" + std::to_string(teams / 2));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(held->TeamByTokenDigest(digest));
  }
}

#define THORNHOLLOW_TEAMS ->Arg(10)->Arg(1000)->Arg(11000)
BENCHMARK(ReadWholeBundle) THORNHOLLOW_TEAMS->Unit(benchmark::kMillisecond);
BENCHMARK(ReadOperatorsFiles) THORNHOLLOW_TEAMS->Unit(benchmark::kMillisecond);
BENCHMARK(IndexDeclarations) THORNHOLLOW_TEAMS->Unit(benchmark::kMillisecond);
BENCHMARK(FindTeamByToken) THORNHOLLOW_TEAMS;

} // namespace
} // namespace thornhollow
