#include "thornhollow/policy/admission/shared_retry_budget.h"

#include <algorithm>

namespace thornhollow {
namespace {

// Number of time slices into which the window of the retry limit is divided. A
// slice counts in full until it has left the window, which errs towards fewer
// retries.
constexpr int kSlices = 20;

// Parts of retries add up to a whole one but for this.
constexpr double kRoundingError = 1e-6;

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
  account& updated = Update(aPool, aNow);
  ++updated.mSlices.back().mRequests;
  const retry_budget_state state = StateOf(updated, aNow);
  updated.mEarned =
    std::min(updated.mEarned + EarnedByOne(), MaxEarned(state.mRequests));
}

bool
shared_retry_budget::MaySpend(const pool_name& aPool, time_point aNow)
{
  const retry_budget_state state = State(aPool, aNow);
  return state.mEarned + state.mFixed >= 1 - kRoundingError;
}

bool
shared_retry_budget::Spend(const pool_name& aPool, time_point aNow)
{
  if (!MaySpend(aPool, aNow)) {
    return false;
  }
  account& charged = mPools[aPool];
  const double earned = std::min(charged.mEarned, 1.0);
  charged.mEarned -= earned;
  charged.mSlices.back().mFixedSpent += 1 - earned;
  return true;
}

retry_budget_state
shared_retry_budget::State(const pool_name& aPool, time_point aNow)
{
  return StateOf(Update(aPool, aNow), aNow);
}

retry_budget_state
shared_retry_budget::StateOf(const account& aAccount, time_point aNow) const
{
  retry_budget_state state;
  double fixedSpent = 0;
  for (const slice& each : aAccount.mSlices) {
    fixedSpent += each.mFixedSpent;
    // The oldest slice may lie partly outside the window: what was spent in it
    // counts towards the limit, but its requests do not raise the limit.
    if (each.mBegin >= aNow - mSettings.mWindow) {
      state.mRequests += each.mRequests;
    }
  }
  state.mEarned = aAccount.mEarned;
  if (aNow >= mFixedFrom) {
    const double reserved =
      MaxEarned(state.mRequests) - Credit(state.mRequests);
    state.mFixed = std::max(0.0, FixedShare() - reserved - fixedSpent);
  }
  return state;
}

// A bucket that could hold no whole retry would never pay for one. What it
// holds beyond its credit is a part of the fixed retries.
double
shared_retry_budget::MaxEarned(std::uint64_t aRequests) const
{
  return std::max(Credit(aRequests), std::min(1 + EarnedByOne(), FixedShare()));
}

double
shared_retry_budget::Credit(std::uint64_t aRequests) const
{
  return EarnedByOne() * static_cast<double>(aRequests) *
         ToSeconds(mSettings.mMaxCredit) / ToSeconds(mSettings.mWindow);
}

double
shared_retry_budget::FixedShare() const
{
  const std::size_t instances =
    mInstances == 0 ? mSettings.mAssumedInstances : mInstances;
  return mSettings.mBoundFraction * mSettings.mFixedRetries /
         static_cast<double>(instances);
}

shared_retry_budget::account&
shared_retry_budget::Update(const pool_name& aPool, time_point aNow)
{
  const auto [found, isNew] = mPools.try_emplace(aPool);
  account& updated = found->second;
  if (isNew && aNow >= mFixedFrom) {
    updated.mEarned = MaxEarned(0);
  }
  auto& slices = updated.mSlices;
  while (!slices.empty() &&
         slices.front().mBegin + mSliceLength + mSettings.mWindow <= aNow) {
    slices.pop_front();
  }
  if (slices.empty() || aNow >= slices.back().mBegin + mSliceLength) {
    slices.push_back({ aNow, 0, 0 });
  }
  return updated;
}

} // namespace thornhollow
