#include "thornhollow/fleet/shared_sums.h"

#include <utility>

namespace thornhollow {
namespace {

void
Add(summed_views& aSums, const summed_views& aMore)
{
  aSums.mInstances += aMore.mInstances;
  for (const auto& [pool, view] : aMore.mViews) {
    AddView(aSums.mViews[pool], view);
  }
}

} // namespace

shared_sums::shared_sums(const shared_sums_settings& aSettings)
  : mSettings(aSettings)
  , mHeard(aSettings.mMostLevels)
{
}

const told_sums*
shared_sums::Fresh(std::size_t aLevel, time_point aNow) const
{
  const auto& its = mHeard[aLevel];
  const bool fresh = its && aNow - its->mAt < mSettings.mFreshFor;
  return fresh ? &its->mSums : nullptr;
}

std::vector<told_sums>
shared_sums::Levels(const std::map<pool_name, pool_view>& aOwn,
                    std::size_t aInstances,
                    time_point aNow) const
{
  std::vector<told_sums> levels;
  told_sums next{ 0, { 1, aOwn }, {} };
  for (std::size_t level = 0; level < mSettings.mMostLevels; ++level) {
    const std::size_t length = std::size_t{ 1 } << level;
    if (length > aInstances) {
      break;
    }
    levels.push_back(next);
    const told_sums* before = Fresh(level, aNow);
    if ((aInstances & length) != 0) {
      // The rest grows by this run, behind the rest of the one before it.
      next.mRest = next.mRun;
      if (before != nullptr) {
        Add(next.mRest, before->mRest);
      }
    }
    if (before != nullptr) {
      Add(next.mRun, before->mRun);
    }
    next.mLevel = level + 1;
  }
  levels.push_back(std::move(next));
  return levels;
}

std::vector<sums_to_tell>
shared_sums::Round(const std::map<pool_name, pool_view>& aOwn,
                   const instance_ring& aRing,
                   time_point aNow)
{
  const std::size_t instances = aRing.mAddresses.size();
  if (!Due(aNow) || instances < 2) {
    return {};
  }
  mNextRound = aNow + mSettings.mInterval;
  std::vector<told_sums> levels = Levels(aOwn, instances, aNow);
  levels.pop_back();
  std::vector<sums_to_tell> told;
  for (told_sums& each : levels) {
    const std::size_t to =
      (aRing.mOwn + (std::size_t{ 1 } << each.mLevel)) % instances;
    if (to != aRing.mOwn) {
      told.push_back({ aRing.mAddresses[to], std::move(each) });
    }
  }
  return told;
}

void
shared_sums::OnTold(const told_sums& aSums, time_point aNow)
{
  if (aSums.mLevel < mHeard.size()) {
    mHeard[aSums.mLevel] = heard{ aSums, aNow };
  }
}

summed_views
shared_sums::All(const std::map<pool_name, pool_view>& aOwn,
                 std::size_t aInstances,
                 time_point aNow) const
{
  return Levels(aOwn, aInstances, aNow).back().mRest;
}

} // namespace thornhollow
