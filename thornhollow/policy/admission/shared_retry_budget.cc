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

bool
shared_retry_budget::MaySpend(const pool_name& aPool, time_point aNow)
{
  CurrentSlice(aPool, aNow);
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (const slice& each : mPools[aPool]) {
    retries += each.mRetries;
    // The oldest slice may lie partly outside the window: its retries count
    // towards the limit, but its requests do not raise the limit.
    if (each.mBegin >= aNow - mSettings.mWindow) {
      requests += each.mRequests;
    }
  }
  const std::size_t instances =
    mInstances == 0 ? mSettings.mAssumedInstances : mInstances;
  const double fixed = aNow >= mFixedFrom ? mSettings.mFixedRetries /
                                              static_cast<double>(instances)
                                          : 0;
  const double bound =
    mSettings.mBoundFraction *
    (mSettings.mRatio * static_cast<double>(requests) + fixed);
  return static_cast<double>(retries + 1) <= bound;
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
