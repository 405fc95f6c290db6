#include "thornhollow/policy/placement/engine_sides.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace thornhollow {

engine_sides::engine_sides(const engine_sides_settings& aSettings)
  : mSettings(aSettings)
{
}

void
engine_sides::Observe(std::vector<side_candidate> aEngines,
                      std::size_t aBulk,
                      bool aIdle,
                      time_point aNow)
{
  std::ranges::sort(aEngines, {}, [](const side_candidate& aOne) {
    return std::tuple(!aOne.mSlow, aOne.mRank, aOne.mId);
  });
  if (aIdle) {
    mAssignments.clear();
  }
  SyncEngines(aEngines, aBulk);
  if (CountBulk() != aBulk) {
    AdjustCount(aEngines, aBulk, aNow);
  } else if (!mLastExchange ||
             aNow - *mLastExchange >= mSettings.mExchangeInterval) {
    ExchangeMisplaced(aEngines, aBulk, aNow);
  }
}

std::optional<engine_side>
engine_sides::SideOf(std::uint32_t aId) const
{
  const auto found = mAssignments.find(aId);
  return found == mAssignments.end() ? std::nullopt
                                     : std::optional(found->second.mSide);
}

std::optional<engine_side>
engine_sides::PreviousSide(std::uint32_t aId, time_point aNow) const
{
  const auto found = mAssignments.find(aId);
  if (found == mAssignments.end()) {
    return std::nullopt;
  }
  const auto& [side, changedAt] = found->second;
  if (!changedAt || aNow - *changedAt >= mSettings.mPreviousSideRetention) {
    return side;
  }
  return side == engine_side::kBulk ? engine_side::kInteractive
                                    : engine_side::kBulk;
}

bool
engine_sides::IsDraining(std::uint32_t aId, time_point aNow) const
{
  const auto found = mAssignments.find(aId);
  return found != mAssignments.end() &&
         found->second.mSide == engine_side::kBulk &&
         found->second.mChangedAt &&
         aNow - *found->second.mChangedAt < mSettings.mDrainTime;
}

// Removes engines that have left the pool. New engines, which have no streams,
// are assigned directly: to the bulk side if they are among the first `aBulk`
// of `aOrder`, otherwise to the interactive side.
void
engine_sides::SyncEngines(const std::vector<side_candidate>& aOrder,
                          std::size_t aBulk)
{
  std::map<std::uint32_t, assignment> kept;
  for (std::size_t at = 0; at < aOrder.size(); ++at) {
    const std::uint32_t id = aOrder[at].mId;
    const auto found = mAssignments.find(id);
    kept[id] = found != mAssignments.end()
                 ? found->second
                 : assignment{ at < aBulk ? engine_side::kBulk
                                          : engine_side::kInteractive };
  }
  mAssignments = std::move(kept);
}

// Moves engines between the bulk and the interactive side until `aBulk` engines
// are on the bulk side. Engines are moved to the bulk side starting at the
// front of `aOrder`, and to the interactive side starting at its end.
void
engine_sides::AdjustCount(const std::vector<side_candidate>& aOrder,
                          std::size_t aBulk,
                          time_point aNow)
{
  std::size_t count = CountBulk();
  for (std::size_t at = 0; at < aOrder.size() && count < aBulk; ++at) {
    if (SideOf(aOrder[at].mId) == engine_side::kInteractive) {
      ChangeSide(aOrder[at].mId, engine_side::kBulk, aNow);
      ++count;
    }
  }
  for (std::size_t at = aOrder.size(); at > 0 && count > aBulk; --at) {
    if (SideOf(aOrder[at - 1].mId) == engine_side::kBulk) {
      ChangeSide(aOrder[at - 1].mId, engine_side::kInteractive, aNow);
      --count;
    }
  }
}

void
engine_sides::ExchangeMisplaced(const std::vector<side_candidate>& aOrder,
                                std::size_t aBulk,
                                time_point aNow)
{
  const auto maxExchanges =
    std::max<std::int64_t>(std::lround(mSettings.mExchangeFraction *
                                       static_cast<double>(aOrder.size())),
                           1);
  std::int64_t count = 0;
  while (count < maxExchanges && ExchangePair(aOrder, aBulk, aNow)) {
    ++count;
  }
  if (count > 0) {
    mLastExchange = aNow;
  }
}

// Exchanges an interactive engine among the first `aBulk` of `aOrder` with a
// bulk engine among the rest. Returns false if there is no such pair.
bool
engine_sides::ExchangePair(const std::vector<side_candidate>& aOrder,
                           std::size_t aBulk,
                           time_point aNow)
{
  const auto begin = aOrder.begin();
  const auto boundary =
    begin + static_cast<std::ptrdiff_t>(std::min(aBulk, aOrder.size()));
  const auto toBulk = std::find_if(begin, boundary, [&](const auto& aOne) {
    return SideOf(aOne.mId) == engine_side::kInteractive;
  });
  const auto toInteractive = std::find_if(
    aOrder.rbegin(),
    std::make_reverse_iterator(boundary),
    [&](const auto& aOne) { return SideOf(aOne.mId) == engine_side::kBulk; });
  if (toBulk == boundary ||
      toInteractive == std::make_reverse_iterator(boundary)) {
    return false;
  }
  ChangeSide(toBulk->mId, engine_side::kBulk, aNow);
  ChangeSide(toInteractive->mId, engine_side::kInteractive, aNow);
  return true;
}

void
engine_sides::ChangeSide(std::uint32_t aId, engine_side aSide, time_point aNow)
{
  mAssignments[aId] = { aSide, aNow };
}

std::size_t
engine_sides::CountBulk() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mAssignments, [](const auto& aOne) {
      return aOne.second.mSide == engine_side::kBulk;
    }));
}

} // namespace thornhollow
