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
// of the requests plus a fixed number.
//
// Each request adds its part of a retry to a bucket of its instance, which
// holds little more than the requests of a moment add. What is spent within a
// window was therefore earned by requests of that window. A sum over the
// requests of the last window wouldn't do: an instance would spend at once what
// the requests of a whole window have earned, and when its process ends, or its
// callers go to other instances, those earn again from the first request on,
// and the window holds both.
//
// The fixed number is divided by the number of instances that each one knows,
// which keeps the limit as long as every instance assumes at least as many
// instances as there are. The caller therefore sets the largest number of
// instances seen recently, and an instance that has not yet received a message
// from any peer assumes `mAssumedInstances`. What a predecessor spent isn't
// known, so a process that has just started uses its part once a window has
// passed.
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
  // Retries allowed for each request of a pool within `mWindow`.
  double mRatio = 0.2;
  // Retries of all instances together that are allowed within `mWindow` in
  // addition to those allowed by `mRatio`.
  double mFixedRetries = 50;
  duration mWindow = Seconds(10);
  // Fraction of the retry limit that instances use. The rest allows for what
  // buckets hold, and for delays on the way to an endpoint: as counted at the
  // endpoint, a request may fall into the next window while a retry still falls
  // into the current window.
  double mBoundFraction = 0.9;
  // A bucket holds what the requests of this time add.
  duration mMaxCredit = Milliseconds(500);
  // Number of instances assumed until a message from a peer is received. In a
  // large fleet, a failure domain has 38 instances.
  std::size_t mAssumedInstances = 38;

  friend bool operator==(const shared_retry_budget_settings&,
                         const shared_retry_budget_settings&) = default;
};

// What this instance's budget for a pool holds at a moment.
struct retry_budget_state
{
  // Within the window.
  std::uint64_t mRequests = 0;
  // Retries that may be spent now: earned by requests, and of the fixed ones.
  double mEarned = 0;
  double mFixed = 0;

  friend bool operator==(const retry_budget_state&,
                         const retry_budget_state&) = default;
};

class shared_retry_budget
{
public:
  explicit shared_retry_budget(const shared_retry_budget_settings& aSettings);

  // The process starts now, and an earlier one may have spent retries within
  // the window.
  void OnStart(time_point aNow) { mFixedFrom = aNow + mSettings.mWindow; }

  // A caller sent a request for this pool.
  void OnRequest(const pool_name& aPool, time_point aNow);

  // Takes one retry from the pool's budget. Returns false and takes nothing if
  // the budget is exhausted.
  bool Spend(const pool_name& aPool, time_point aNow);

  // Whether `Spend` would take one.
  bool MaySpend(const pool_name& aPool, time_point aNow);

  retry_budget_state State(const pool_name& aPool, time_point aNow);

  // Sets the number of running instances, including this one; 0 while no
  // message from a peer has been received.
  void SetInstances(std::size_t aCount) { mInstances = aCount; }

private:
  struct slice
  {
    time_point mBegin{};
    std::uint32_t mRequests = 0;
    // Fixed retries that were spent.
    double mFixedSpent = 0;
  };
  struct account
  {
    // Retries in the bucket.
    double mEarned = 0;
    // Slices of the last window, the oldest first; never empty.
    std::deque<slice> mSlices;
  };

  account& Update(const pool_name& aPool, time_point aNow);
  retry_budget_state StateOf(const account& aAccount, time_point aNow) const;
  // What a bucket holds at most, with that many requests within the window, and
  // how much of it they add in `mMaxCredit`.
  double MaxEarned(std::uint64_t aRequests) const;
  double Credit(std::uint64_t aRequests) const;
  double EarnedByOne() const
  {
    return mSettings.mBoundFraction * mSettings.mRatio;
  }
  // This instance's part of the fixed retries.
  double FixedShare() const;

  shared_retry_budget_settings mSettings;
  duration mSliceLength;
  // From when the fixed retries may be used.
  time_point mFixedFrom = time_point::min();
  std::size_t mInstances = 0;
  std::map<pool_name, account> mPools;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_SHARED_RETRY_BUDGET_H_
