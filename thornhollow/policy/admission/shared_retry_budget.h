// Limits the load that retries add to a pool over all instances together,
// without communication between them.
//
//   shared_retry_budget budget(settings);
//   budget.OnRequest(pool, now);
//   if (budget.Spend(pool, now)) { ... retry ... }
//
// Load pattern: endpoints fail because they are overloaded, or all endpoints of
// a pool disappear at once. Every instance then retries each request, and the
// load doubles when there is the least capacity for it.
//
// The retries of all instances together are limited, in any window, to a ratio
// of the requests plus a fixed number. Each instance applies the ratio to its
// own requests and uses the fixed number divided by the number of instances
// that it knows. The sum over all instances then keeps the limit as long as
// every instance assumes at least as many instances as there are. The caller
// therefore sets the largest number of instances seen recently, and an instance
// that has not yet received a message from any peer assumes
// `mAssumedInstances`.
//
// A process that has just started doesn't know what its predecessor spent
// within the window, and after the end of all processes nobody does. The limit
// then holds because a new process uses the ratio of its own requests only,
// which the predecessor has no part in, until a window has passed.
#ifndef THORNHOLLOW_POLICY_ADMISSION_SHARED_RETRY_BUDGET_H_
#define THORNHOLLOW_POLICY_ADMISSION_SHARED_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

struct shared_retry_budget_settings
{
  // Retries allowed for each request of a pool within the last `mWindow`.
  double mRatio = 0.2;
  // Retries of all instances together that are allowed within `mWindow` in
  // addition to those allowed by `mRatio`.
  double mFixedRetries = 50;
  duration mWindow = Seconds(10);
  // Fraction of the retry limit that instances use. The rest allows for delays
  // on the way to an endpoint: as counted at the endpoint, a request may fall
  // into the next window while a retry still falls into the current window.
  double mBoundFraction = 0.9;
  // Number of instances assumed until a message from a peer is received. In a
  // large fleet, a failure domain has 38 instances.
  std::size_t mAssumedInstances = 38;

  friend bool operator==(const shared_retry_budget_settings&,
                         const shared_retry_budget_settings&) = default;
};

// What a pool's budget holds at a moment, of this instance.
struct retry_budget_use
{
  // Requests and retries within the window.
  std::uint64_t mRequests = 0;
  std::uint64_t mRetries = 0;
  // Retries that the requests allow, and those allowed besides.
  double mByRatio = 0;
  double mFixed = 0;

  friend bool operator==(const retry_budget_use&,
                         const retry_budget_use&) = default;
};

class shared_retry_budget
{
public:
  explicit shared_retry_budget(const shared_retry_budget_settings& aSettings);

  // The process starts now, and an earlier one may have spent retries within
  // the window: the fixed retries are not used until a window has passed.
  void OnStart(time_point aNow) { mFixedFrom = aNow + mSettings.mWindow; }

  // A caller sent a request for this pool.
  void OnRequest(const pool_name& aPool, time_point aNow);

  // Takes one retry from the pool's budget. Returns false and takes nothing if
  // the budget is exhausted.
  bool Spend(const pool_name& aPool, time_point aNow);

  // Whether `Spend` would take one.
  bool MaySpend(const pool_name& aPool, time_point aNow);

  retry_budget_use Use(const pool_name& aPool, time_point aNow);

  // Sets the number of running instances, including this one; 0 while no
  // message from a peer has been received.
  void SetInstances(std::size_t aCount) { mInstances = aCount; }

private:
  struct slice
  {
    time_point mBegin{};
    std::uint32_t mRequests = 0;
    std::uint32_t mRetries = 0;
  };
  using slices = std::deque<slice>;

  slice& CurrentSlice(const pool_name& aPool, time_point aNow);

  shared_retry_budget_settings mSettings;
  duration mSliceLength;
  // From when the fixed retries may be used.
  time_point mFixedFrom = time_point::min();
  std::size_t mInstances = 0;
  std::map<pool_name, slices> mPools;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_SHARED_RETRY_BUDGET_H_
