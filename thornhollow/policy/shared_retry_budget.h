// Bounds what retries add to the work of a pool, over all instances together,
// without any of them asking another.
//
//   shared_retry_budget budget(settings);
//   budget.OnRequest(pool, now);
//   if (budget.Spend(pool, now)) { ... send it once more ... }
//
// Load pattern: endpoints fail because they are overloaded, or are all gone at
// once. Every instance then sends each request once more, and the load doubles
// when there is least room for it.
//
// The bound over the fleet is a ratio of the requests plus a fixed amount, in
// any window. Each instance keeps to the ratio of its own requests, and to its
// part of the fixed amount: the sums over all instances then keep to the bound
// whatever each of them believes of the others, as long as none believes in
// fewer instances than there are. So the number used is the largest seen
// lately, and an instance that has met no peer yet takes a small part.
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
  // Retries for each request of a pool within the window.
  double mRatio = 0.2;
  // Retries beside them, over all instances.
  double mFixedRetries = 50;
  duration mWindow = Seconds(10);
  // Part of the bound that is used: an endpoint may count a request into the
  // next window, and a retry into this one.
  double mBoundFraction = 0.9;
  // Assumed until a peer was heard: letter 1's size has 38 in a failure domain.
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

  // Takes one retry; false, and nothing taken, where none is left.
  bool Spend(const pool_name& aPool, time_point aNow);

  // Instances that run, this one included; 0 while no peer was heard.
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
