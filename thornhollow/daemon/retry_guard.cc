#include "thornhollow/daemon/retry_guard.h"

namespace thornhollow {
namespace {

constexpr duration kLogInterval = Seconds(1);

shared_retry_budget_settings
BudgetSettings(const shared_retry_settings& aSettings)
{
  shared_retry_budget_settings settings;
  settings.mRatio = aSettings.mRatio;
  settings.mFixedRetries = aSettings.mExtra;
  settings.mWindow = aSettings.mWindow;
  return settings;
}

} // namespace

retry_guard::retry_guard(const shared_retry_settings& aSettings,
                         json_log& aLog,
                         metrics& aMetrics,
                         time_point aNow)
  : mLog(aLog)
  , mMetrics(aMetrics)
  , mStartedAt(aNow)
  , mBudget(BudgetSettings(aSettings))
{
  if (aSettings.mSpentBefore) {
    mBudget.OnStart(aNow);
  }
}

void
retry_guard::OnRequest(const pool_name& aPool, time_point aNow)
{
  mBudget.OnRequest(aPool, aNow);
}

bool
retry_guard::Spend(const pool_name& aPool, time_point aNow)
{
  if (mBudget.Spend(aPool, aNow)) {
    mMetrics.OnEvent("retry_budget_spent");
    return true;
  }
  OnExhausted(aPool, aNow);
  return false;
}

bool
retry_guard::MaySpend(const pool_name& aPool, time_point aNow)
{
  if (mBudget.MaySpend(aPool, aNow)) {
    return true;
  }
  OnExhausted(aPool, aNow);
  return false;
}

void
retry_guard::SetInstances(std::size_t aCount)
{
  mInstances = aCount;
  mBudget.SetInstances(aCount);
}

void
retry_guard::OnExhausted(const pool_name& aPool, time_point aNow)
{
  mMetrics.OnEvent("retry_budget_exhausted");
  const auto [found, isFirst] = mLoggedAt.try_emplace(aPool, aNow);
  if (!isFirst && aNow < found->second + kLogInterval) {
    return;
  }
  found->second = aNow;
  const retry_budget_state state = mBudget.State(aPool, aNow);
  mLog.Write(log_level::kInfo,
             "retry_budget_exhausted",
             { { "pool", aPool.Text() },
               { "requests", static_cast<std::int64_t>(state.mRequests) },
               { "earned", state.mEarned },
               { "fixed", state.mFixed },
               { "instances", static_cast<std::int64_t>(mInstances) },
               { "started_ms", ToMilliseconds(aNow - mStartedAt) } });
}

} // namespace thornhollow
