#include "thornhollow/policy/endpoints/run_time_estimate.h"

#include <algorithm>
#include <limits>

namespace thornhollow {

run_time_estimate::run_time_estimate(const run_time_settings& aSettings)
  : mSettings(aSettings)
{
}

void
run_time_estimate::Configure(const declarations& aDeclared)
{
  std::erase_if(mRuns, [&aDeclared](const auto& aEach) {
    return FindClass(aDeclared, aEach.first) == nullptr;
  });
}

void
run_time_estimate::Learn(const work_item& aItem, duration aRunTime)
{
  const auto milliseconds = std::clamp<std::int64_t>(
    ToMilliseconds(aRunTime), 1, std::numeric_limits<std::uint32_t>::max());
  mRuns[aItem.mClass][aItem.mPool].Add(
    static_cast<std::uint32_t>(milliseconds));
}

duration
run_time_estimate::LowerBound(const work_item& aItem) const
{
  const auto found = mRuns.find(aItem.mClass);
  if (found == mRuns.end() || mSettings.mQuantile <= 0) {
    return duration::zero();
  }
  const auto runs = found->second.find(aItem.mPool);
  if (runs == found->second.end() ||
      runs->second.Count() < mSettings.mMinRuns) {
    return duration::zero();
  }
  return FromSeconds(runs->second.Quantile(mSettings.mQuantile) / 1000);
}

} // namespace thornhollow
