// Bounds how much work retries add: a share of the successes of the request's
// class and of the endpoint that failed it, with a small floor.
//
//   retry_budget budget(retry_budget_settings{});
//   budget.OnSuccess(item.mClass, endpoint, now);
//   if (budget.Spend(item.mClass, failedEndpoint, now)) { ... run again ... }
//
// Load pattern: endpoints fail because they are overloaded, or answer nothing
// at all. Without a budget every failure becomes one more attempt, the attempts
// multiply the load that caused the failures, and the overload outlasts its
// cause. The budget is kept for the class too, so that one class's retries
// can't spend what another class's successes earned.
//
// Grounds for the figures: with a share of 0.1 retries add at most a tenth to
// the load in steady state, which is less than the headroom at which the first
// token's target still holds. The reserve is what one endpoint may hold in
// flight when it crashes (tens of slots): each of those requests needs one
// retry at once, and without a reserve a crash would be answered with refusals
// although the other endpoints have places. The floor of one retry in ten
// seconds lets a class with hardly any traffic survive a broken connection.
#ifndef THORNHOLLOW_POLICY_RETRY_BUDGET_H_
#define THORNHOLLOW_POLICY_RETRY_BUDGET_H_

#include <cstddef>
#include <unordered_map>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/declarations.h"

namespace thornhollow {

struct retry_budget_settings
{
  // Retries that one success earns.
  double mRatio = 0.1;
  // Retries a second that are free of charge.
  double mFloorPerSecond = 0.1;
  // Most retries saved up; also what a class or endpoint starts with.
  double mReserve = 32;

  friend bool operator==(const retry_budget_settings&,
                         const retry_budget_settings&) = default;
};

class retry_budget
{
public:
  explicit retry_budget(const retry_budget_settings& aSettings);

  // Forgets classes and endpoints that are no longer declared.
  void Configure(const declarations& aDeclared);

  // A request of `aClass` got its whole answer from `aEndpoint`.
  void OnSuccess(const class_name& aClass,
                 const endpoint_name& aEndpoint,
                 time_point aNow);

  // Takes one retry for a request of `aClass` that `aEndpoint` failed. False,
  // and nothing taken, where the class's or the endpoint's budget is spent.
  bool Spend(const class_name& aClass,
             const endpoint_name& aEndpoint,
             time_point aNow);

  // Budgets held, for metrics and memory figures.
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

#endif // THORNHOLLOW_POLICY_RETRY_BUDGET_H_
