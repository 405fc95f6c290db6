#include "thornhollow/fleet/demand_aggregation.h"

#include <utility>

namespace thornhollow {
namespace {

void
AddViews(aggregated_views& aSums, const aggregated_views& aOthers)
{
  aSums.mInstances += aOthers.mInstances;
  for (const auto& [pool, view] : aOthers.mViews) {
    AddView(aSums.mViews[pool], view);
  }
}

} // namespace

demand_aggregation::demand_aggregation(
  const demand_aggregation_settings& aSettings)
  : mSettings(aSettings)
  , mReceived(aSettings.mMaxLevels)
{
}

const aggregation_message*
demand_aggregation::FreshMessage(std::size_t aLevel, time_point aNow) const
{
  const auto& received = mReceived[aLevel];
  const bool fresh = received && aNow - received->mAt < mSettings.mMaxAge;
  return fresh ? &received->mMessage : nullptr;
}

std::vector<aggregation_message>
demand_aggregation::ComputeLevels(const std::map<pool_name, pool_view>& aOwn,
                                  std::size_t aInstances,
                                  time_point aNow) const
{
  std::vector<aggregation_message> levels;
  aggregation_message next{ 0, { 1, aOwn }, {} };
  for (std::size_t level = 0; level < mSettings.mMaxLevels; ++level) {
    const std::size_t blockSize = std::size_t{ 1 } << level;
    if (blockSize > aInstances) {
      break;
    }
    levels.push_back(next);
    const aggregation_message* preceding = FreshMessage(level, aNow);
    if ((aInstances & blockSize) != 0) {
      // The bit of this level is set in the instance count, so the remainder of
      // the next level covers the block of this level and, before that block in
      // ring order, the remainder that was received at this level.
      next.mRemainder = next.mBlock;
      if (preceding != nullptr) {
        AddViews(next.mRemainder, preceding->mRemainder);
      }
    }
    if (preceding != nullptr) {
      AddViews(next.mBlock, preceding->mBlock);
    }
    next.mLevel = level + 1;
  }
  levels.push_back(std::move(next));
  return levels;
}

std::vector<outgoing_aggregation>
demand_aggregation::NextMessages(const std::map<pool_name, pool_view>& aOwn,
                                 const instance_ring& aRing,
                                 time_point aNow)
{
  const std::size_t instances = aRing.mAddresses.size();
  if (!IsRoundDue(aNow) || instances < 2) {
    return {};
  }
  mNextRound = aNow + mSettings.mInterval;
  std::vector<aggregation_message> levels =
    ComputeLevels(aOwn, instances, aNow);
  levels.pop_back();
  std::vector<outgoing_aggregation> messages;
  for (aggregation_message& each : levels) {
    const std::size_t to =
      (aRing.mOwn + (std::size_t{ 1 } << each.mLevel)) % instances;
    if (to != aRing.mOwn) {
      messages.push_back({ aRing.mAddresses[to], std::move(each) });
    }
  }
  return messages;
}

void
demand_aggregation::OnMessage(const aggregation_message& aSums, time_point aNow)
{
  if (aSums.mLevel < mReceived.size()) {
    mReceived[aSums.mLevel] = received_message{ aSums, aNow };
  }
}

aggregated_views
demand_aggregation::Total(const std::map<pool_name, pool_view>& aOwn,
                          std::size_t aInstances,
                          time_point aNow) const
{
  return ComputeLevels(aOwn, aInstances, aNow).back().mRemainder;
}

} // namespace thornhollow
