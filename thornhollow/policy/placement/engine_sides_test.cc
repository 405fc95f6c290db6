#include <algorithm>
#include <set>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/placement/engine_sides.h"

namespace thornhollow {
namespace {

struct condition
{
  engine_sides mSubject{ engine_sides_settings{} };
  std::vector<side_candidate> mEngines;
  time_point mNow = time_point() + Seconds(100);

  condition()
  {
    for (std::uint32_t each = 0; each < 9; ++each) {
      mEngines.push_back({ each, false, each });
    }
    mSubject.Observe(mEngines, 5, true, mNow);
  }

  void Observe(std::size_t aBulk)
  {
    mSubject.Observe(mEngines, aBulk, false, mNow);
  }

  std::set<std::uint32_t> Bulk() const
  {
    std::set<std::uint32_t> result;
    for (const side_candidate& each : mEngines) {
      if (mSubject.SideOf(each.mId) == engine_side::kBulk) {
        result.insert(each.mId);
      }
    }
    return result;
  }

  std::set<std::uint32_t> Clearing() const
  {
    std::set<std::uint32_t> result;
    for (const side_candidate& each : mEngines) {
      if (mSubject.IsDraining(each.mId, mNow)) {
        result.insert(each.mId);
      }
    }
    return result;
  }
};

using numbers = std::set<std::uint32_t>;

TEST_CASE_FIXTURE(condition, "engine_sides/first_in_order/are_bulk")
{
  CHECK(Bulk() == numbers{ 0, 1, 2, 3, 4 });
  CHECK(Clearing().empty());
}

// An engine that becomes a bulk engine still runs interactive streams. If long
// prompts are sent to it at once, each of these streams pauses too long.
TEST_CASE_FIXTURE(condition, "engine_sides/border_moves/engine_clears_first")
{
  Observe(6);
  CHECK(Bulk() == numbers{ 0, 1, 2, 3, 4, 5 });
  CHECK(Clearing() == numbers{ 5 });
  mNow += Seconds(3);
  Observe(6);
  CHECK(Clearing().empty());
}

TEST_CASE_FIXTURE(condition,
                  "engine_sides/border_moves_back/last_is_interactive")
{
  Observe(4);
  CHECK(Bulk() == numbers{ 0, 1, 2, 3 });
  CHECK(Clearing().empty());
}

// Three engines are found slow within two seconds. If all three are exchanged
// at once, three fifths of the sessions lose the engine that caches their
// prompts.
TEST_CASE_FIXTURE(condition, "engine_sides/several_are_slow/one_at_a_time")
{
  for (const std::uint32_t slow : { 6U, 7U, 8U }) {
    mEngines[slow].mSlow = true;
  }
  std::size_t most = 0;
  for (int tick = 0; tick < 100; ++tick) {
    Observe(5);
    most = std::max(most, Clearing().size());
    CHECK(Bulk().size() == 5);
    mNow += Milliseconds(100);
  }
  CHECK(most == 1);
  CHECK(Bulk() == numbers{ 0, 1, 6, 7, 8 });
}

TEST_CASE("engine_sides/ninety_engines/a_ninth_is_exchanged_at_a_time")
{
  engine_sides subject{ engine_sides_settings{} };
  std::vector<side_candidate> engines;
  for (std::uint32_t each = 0; each < 90; ++each) {
    engines.push_back({ each, false, each });
  }
  const time_point now = time_point() + Seconds(100);
  subject.Observe(engines, 60, true, now);
  for (std::uint32_t slow = 60; slow < 90; ++slow) {
    engines[slow].mSlow = true;
  }
  subject.Observe(engines, 60, false, now + Milliseconds(100));
  const auto result = std::ranges::count_if(engines, [&](const auto& aOne) {
    return subject.IsDraining(aOne.mId, now + Milliseconds(100));
  });
  CHECK(result == 10);
}

TEST_CASE_FIXTURE(condition, "engine_sides/engine_leaves/count_is_met_at_once")
{
  mEngines.erase(mEngines.begin());
  Observe(5);
  CHECK(Bulk() == numbers{ 1, 2, 3, 4, 5 });
  CHECK(mSubject.SideOf(0) == std::nullopt);
}

// Instances that started at different times or observed different moves of the
// partition must converge to the same sides.
TEST_CASE_FIXTURE(condition, "engine_sides/other_past/same_sides_in_the_end")
{
  engine_sides other{ engine_sides_settings{} };
  Observe(7);
  mNow += Seconds(1);
  mEngines[8].mSlow = true;
  Observe(3);
  for (int tick = 0; tick < 300; ++tick) {
    Observe(5);
    other.Observe(mEngines, 5, tick == 0, mNow);
    mNow += Milliseconds(100);
  }
  for (const side_candidate& each : mEngines) {
    CHECK(mSubject.SideOf(each.mId) == other.SideOf(each.mId));
  }
}

} // namespace
} // namespace thornhollow
