// The requests of one entry instance that wait for a place at an endpoint, and
// the order in which they get one.
//
//   request_queue queue(request_queue_settings{});
//   queue.Push(item, now);
//   if (const work_item* next = queue.Next(pool, now)) { ... queue.Remove(...);
//   }
//
#ifndef THORNHOLLOW_POLICY_REQUEST_QUEUE_H_
#define THORNHOLLOW_POLICY_REQUEST_QUEUE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "thornhollow/policy/work.h"

namespace thornhollow {

struct request_queue_settings
{
  // Requests that wait for one pool at a time; one more displaces another.
  std::size_t mMaxWaiting = 1024;

  friend bool operator==(const request_queue_settings&,
                         const request_queue_settings&) = default;
};

class request_queue
{
public:
  explicit request_queue(const request_queue_settings& aSettings);

  // Takes the declared classes, shares and teams.
  void Configure(const declarations& aDeclared, time_point aNow);

  // Queues `aItem`. Returns the refusals that this causes: of `aItem` itself,
  // or of a request of a lower tier whose place it takes.
  std::vector<refuse> Push(const work_item& aItem, time_point aNow);

  // The request of `aPool` that gets the next place, or null. Stays queued.
  const work_item* Next(const pool_name& aPool, time_point aNow);

  // The request got a place, or its caller left. Unknown tickets are ignored.
  void Remove(ticket aTicket);

  // Refuses what waits beyond its deadline.
  std::vector<refuse> Expire(time_point aNow);

  // Pools for which something waits.
  std::vector<pool_name> WaitingPools() const;

  // The first deadline of a waiting request.
  std::optional<time_point> NextDeadline() const;

  std::size_t size() const { return mWhere.size(); }

private:
  struct rank
  {
    int mTier = kLowestTier;
    std::uint64_t mOrder = 0;
    // clang-tidy 14 takes the 0 in the generated code for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend std::strong_ordering operator<=>(const rank&, const rank&) = default;
  };
  struct place
  {
    pool_name mPool;
    rank mRank;
  };

  request_queue_settings mSettings;
  std::uint64_t mNextOrder = 0;
  std::unordered_map<pool_name, std::map<rank, work_item>> mPools;
  std::unordered_map<ticket, place> mWhere;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_REQUEST_QUEUE_H_
