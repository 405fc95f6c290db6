// Limits the load that retries add to a pool over all instances together,
// without communication between them.
//
//   shared_retry_budget budget(settings);
//   budget.OnRequest(pool, now);
//   if (budget.Spend(pool, now)) { ... retry ... }
//
// Load pattern: endpoints fail because they are overloaded, or are all gone at
// once. Every instance then retries each request, and the load doubles when
// there is the least capacity for it.
//
// The limit for the fleet is a ratio of the requests plus a fixed number, in
// any window. Each instance keeps to the ratio of its own requests and to its
// fraction of the fixed number. The sums over all instances then keep the limit
// whatever number of instances each of them assumes, as long as none assumes
// fewer than there are. So the number used is the largest seen recently, and an
// instance that has not yet received a message from any peer takes a small
// fraction.
#ifndef THORNHOLLOW_POLICY_SHARED_RETRY_BUDGET_H_
#define THORNHOLLOW_POLICY_SHARED_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

struct shared_retry_budget_settings
{
  // Retries per request of a pool within the window.
  double mRatio = 0.2;
  // Retries in addition to these, over all instances.
  double mFixedRetries = 50;
  duration mWindow = Seconds(10);
  // Fraction of the limit that is used: an endpoint may count a request in the
  // next window, and a retry in this one.
  double mBoundFraction = 0.9;
  // Number of instances assumed until a message from a peer is received. A
  // large fleet has 38 in a failure domain.
  std::size_t mAssumedInstances = 38;

  friend bool operator==(const shared_retry_budget_settings&,
                         const shared_retry_budget_settings&) = default;
};

class shared_retry_budget
{
public:
  explicit shared_retry_budget(const shared_retry_budget_settings& aSettings);

  // A caller sent a request for this pool.
  void OnRequest(const pool_name& aPool, time_point aNow);

  // Takes one retry. Returns false and takes nothing if none is left.
  bool Spend(const pool_name& aPool, time_point aNow);

  // Number of running instances, including this one; 0 while no message from a
  // peer was received.
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
  std::size_t mInstances = 0;
  std::map<pool_name, slices> mPools;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_SHARED_RETRY_BUDGET_H_
