#include <cstdint>

#include <doctest/doctest.h>

#include "thornhollow/fleet/testing/leaving_series.h"
#include "thornhollow/fleet/testing/silent_source_fleet.h"

namespace thornhollow {
namespace {

// Time after the start at which all instances know each other.
constexpr duration kSettled = Seconds(15);
// Maximum time until a change is in force everywhere if the transfer of the
// answer of the source alone takes most of a second.
constexpr duration kMaxChangeDelayOnNarrowLinks = Seconds(3);

// Guards against a configuration that stays outdated because the answers to
// requests for it arrive slowly: each answer is abandoned and requested again
// while the previous answer is still being transferred.
TEST_CASE("knowledge_spread/readers_and_documents_on_narrow_links/"
          "they_are_in_force_in_time")
{
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    silent_source_fleet condition({ .mDomains = 3,
                                    .mPerDomain = 28,
                                    .mReaders = 2,
                                    .mLossRate = 0.02,
                                    .mDocumentBytes = 800'000,
                                    .mLinkBytesPerSecond = 1'250'000 },
                                  seed);
    ScheduleLeaves(condition, kSettled, seed);
    for (const duration after :
         { Seconds(0), Milliseconds(1'500), Seconds(4), Milliseconds(4'600) }) {
      condition.Change(kSettled + after, source_item_type::kConfiguration);
    }
    condition.Run(kSettled + Seconds(25));
    CHECK(ToSeconds(condition.WorstDelay().mDelay) <=
          ToSeconds(kMaxChangeDelayOnNarrowLinks));
    CHECK(ToSeconds(condition.WorstLeaveDelay().mDelay) <=
          ToSeconds(silent_source_fleet::kMaxChangeDelay));
  }
}

// Guards against sending work to endpoints for seconds after they left. This
// fault came about when the source did not answer one instance: other instances
// assumed an outage, and took the endpoints that had left for endpoints whose
// leases lapsed in the outage.
TEST_CASE("knowledge_spread/source_fails_one_reader/leaving_is_known_in_time")
{
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    silent_source_fleet condition(
      { .mDomains = 3, .mPerDomain = 28, .mReaders = 2, .mLossRate = 0.02 },
      seed);
    ScheduleLeaves(condition, kSettled, seed);
    condition.Run(kSettled - Seconds(1));
    condition.BlockSource(condition.Readers().front(),
                          kSettled - Seconds(1),
                          kSettled + Seconds(3));
    condition.Run(kSettled + Seconds(12));
    CHECK(ToSeconds(condition.WorstLeaveDelay().mDelay) <=
          ToSeconds(silent_source_fleet::kMaxChangeDelay));
  }
}

} // namespace
} // namespace thornhollow
