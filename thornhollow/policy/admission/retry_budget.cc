#include "thornhollow/policy/admission/retry_budget.h"

#include <algorithm>
#include <unordered_set>

namespace thornhollow {

retry_budget::retry_budget(const retry_budget_settings& aSettings)
  : mSettings(aSettings)
{
}

void
retry_budget::Configure(const declarations& aDeclared)
{
  std::unordered_set<class_name> classes;
  for (const request_class& each : aDeclared.mClasses) {
    classes.insert(each.mName);
  }
  std::unordered_set<endpoint_name> endpoints;
  for (const endpoint& each : aDeclared.mEndpoints) {
    endpoints.insert(each.mName);
  }
  std::erase_if(mByClass, [&classes](const auto& aEach) {
    return !classes.contains(aEach.first);
  });
  std::erase_if(mByEndpoint, [&endpoints](const auto& aEach) {
    return !endpoints.contains(aEach.first);
  });
}

void
retry_budget::OnSuccess(const class_name& aClass,
                        const endpoint_name& aEndpoint,
                        time_point aNow)
{
  const auto earn = [this, aNow](account& aAccount) {
    double& retries = Refill(aAccount, aNow).mRetries;
    retries = std::min(mSettings.mReserve, retries + mSettings.mRatio);
  };
  earn(mByClass.try_emplace(aClass, NewAccount(aNow)).first->second);
  earn(mByEndpoint.try_emplace(aEndpoint, NewAccount(aNow)).first->second);
}

bool
retry_budget::Spend(const class_name& aClass,
                    const endpoint_name& aEndpoint,
                    time_point aNow)
{
  account& ofClass =
    Refill(mByClass.try_emplace(aClass, NewAccount(aNow)).first->second, aNow);
  account& ofEndpoint = Refill(
    mByEndpoint.try_emplace(aEndpoint, NewAccount(aNow)).first->second, aNow);
  if (ofClass.mRetries < 1 || ofEndpoint.mRetries < 1) {
    return false;
  }
  ofClass.mRetries -= 1;
  ofEndpoint.mRetries -= 1;
  return true;
}

retry_budget::account&
retry_budget::Refill(account& aAccount, time_point aNow) const
{
  const double passed = std::max(0.0, ToSeconds(aNow - aAccount.mUpdatedAt));
  aAccount.mRetries = std::min(
    mSettings.mReserve, aAccount.mRetries + passed * mSettings.mFloorPerSecond);
  aAccount.mUpdatedAt = std::max(aNow, aAccount.mUpdatedAt);
  return aAccount;
}

retry_budget::account
retry_budget::NewAccount(time_point aNow) const
{
  return account{ mSettings.mReserve, aNow };
}

} // namespace thornhollow
