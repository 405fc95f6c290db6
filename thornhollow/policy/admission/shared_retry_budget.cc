#include "thornhollow/policy/admission/shared_retry_budget.h"

#include <numeric>

namespace thornhollow {
namespace {

// Number of time slices into which the window of the retry limit is divided. A
// slice counts in full until it has left the window, which errs towards fewer
// retries.
constexpr int kSlices = 20;

} // namespace

shared_retry_budget::shared_retry_budget(
  const shared_retry_budget_settings& aSettings)
  : mSettings(aSettings)
  , mSliceLength(aSettings.mWindow / kSlices)
{
}

void
shared_retry_budget::OnRequest(const pool_name& aPool, time_point aNow)
{
  ++CurrentSlice(aPool, aNow).mRequests;
}

retry_budget_use
shared_retry_budget::Use(const pool_name& aPool, time_point aNow)
{
  CurrentSlice(aPool, aNow);
  retry_budget_use use;
  for (const slice& each : mPools[aPool]) {
    use.mRetries += each.mRetries;
    // The oldest slice may lie partly outside the window: its retries count
    // towards the limit, but its requests do not raise the limit.
    if (each.mBegin >= aNow - mSettings.mWindow) {
      use.mRequests += each.mRequests;
    }
  }
  const std::size_t instances =
    mInstances == 0 ? mSettings.mAssumedInstances : mInstances;
  use.mByRatio = mSettings.mBoundFraction * mSettings.mRatio *
                 static_cast<double>(use.mRequests);
  if (aNow >= mFixedFrom) {
    use.mFixed = mSettings.mBoundFraction * mSettings.mFixedRetries /
                 static_cast<double>(instances);
  }
  return use;
}

bool
shared_retry_budget::MaySpend(const pool_name& aPool, time_point aNow)
{
  const retry_budget_use use = Use(aPool, aNow);
  return static_cast<double>(use.mRetries + 1) <= use.mByRatio + use.mFixed;
}

bool
shared_retry_budget::Spend(const pool_name& aPool, time_point aNow)
{
  if (!MaySpend(aPool, aNow)) {
    return false;
  }
  ++CurrentSlice(aPool, aNow).mRetries;
  return true;
}

shared_retry_budget::slice&
shared_retry_budget::CurrentSlice(const pool_name& aPool, time_point aNow)
{
  slices& held = mPools[aPool];
  while (!held.empty() &&
         held.front().mBegin + mSliceLength + mSettings.mWindow <= aNow) {
    held.pop_front();
  }
  if (held.empty() || aNow >= held.back().mBegin + mSliceLength) {
    held.push_back({ aNow, 0, 0 });
  }
  return held.back();
}

} // namespace thornhollow
