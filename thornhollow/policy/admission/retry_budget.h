// Limits retries to a fraction of the successful requests, both of the retried
// request's class and of the endpoint at which it failed, plus a small constant
// rate.
//
//   retry_budget budget(retry_budget_settings{});
//   budget.OnSuccess(item.mClass, endpoint, now);
//   if (budget.Spend(item.mClass, failedEndpoint, now)) { ... retry ... }
//
// Load pattern: endpoints fail because they are overloaded, or do not respond
// at all. Without a budget every failure causes another attempt, the attempts
// multiply the load that caused the failures, and the overload outlasts its
// cause. Budgets are also kept per class, so that the retries of one class
// cannot spend what the successes of another class earned.
//
// Default values: with a ratio of 0.1, retries add at most a tenth to the load
// in steady state. Endpoints with that much more load still meet the
// first-token target. The reserve is the number of requests that one endpoint
// may have in flight when it crashes (tens of slots): each of them needs one
// retry at once, and without a reserve a crash would cause rejections although
// the other endpoints have free slots. The minimum rate of one retry in ten
// seconds lets a class with hardly any traffic survive a broken connection.
#ifndef THORNHOLLOW_POLICY_ADMISSION_RETRY_BUDGET_H_
#define THORNHOLLOW_POLICY_ADMISSION_RETRY_BUDGET_H_

#include <cstddef>
#include <unordered_map>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/declarations.h"

namespace thornhollow {

struct retry_budget_settings
{
  // Number of retries that each successful request adds to a budget.
  double mRatio = 0.1;
  // Retries per second added to a budget even if no request succeeds.
  double mFloorPerSecond = 0.1;
  // Maximum number of unused retries that a budget can hold; also the initial
  // balance of a class or endpoint.
  double mReserve = 32;

  friend bool operator==(const retry_budget_settings&,
                         const retry_budget_settings&) = default;
};

class retry_budget
{
public:
  explicit retry_budget(const retry_budget_settings& aSettings);

  // Removes classes and endpoints that are no longer declared.
  void Configure(const declarations& aDeclared);

  // A request of `aClass` received its complete response from `aEndpoint`.
  void OnSuccess(const class_name& aClass,
                 const endpoint_name& aEndpoint,
                 time_point aNow);

  // Takes one retry for a request of `aClass` that failed at `aEndpoint`.
  // Returns false and takes nothing if the budget of the class or the endpoint
  // is exhausted.
  bool Spend(const class_name& aClass,
             const endpoint_name& aEndpoint,
             time_point aNow);

  // Number of budgets held, for metrics and memory accounting.
  std::size_t size() const { return mByClass.size() + mByEndpoint.size(); }

private:
  struct account
  {
    double mRetries = 0;
    time_point mUpdatedAt{};
  };

  account& Refill(account& aAccount, time_point aNow) const;
  account NewAccount(time_point aNow) const;

  retry_budget_settings mSettings;
  std::unordered_map<class_name, account> mByClass;
  std::unordered_map<endpoint_name, account> mByEndpoint;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_RETRY_BUDGET_H_
