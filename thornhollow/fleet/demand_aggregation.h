// Aggregates the demand over all instances, so that all of them arrive at the
// same totals within a second or two.
//
//   demand_aggregation aggregation(demand_aggregation_settings{});
//   for (const outgoing_aggregation& each :
//        aggregation.NextMessages(own, ring, now)) { Send(each); }
//   aggregation.OnMessage(message, now);
//   const aggregated_views all = aggregation.Total(own, 195, now);
//
// Instances form a ring in an order known to all. In each round an instance
// sends one message to each of the instances 1, 2, 4, 8, ... positions after
// it. The message to the instance n positions further on has the sum over the n
// instances that end with the sender, which the sender computes from the sums
// received from its predecessors. The number of messages per instance and round
// thus grows with the logarithm of the number of instances.
//
// Guards against diverging estimates when a burst arrives at hundreds of
// instances. When each instance extrapolated from the messages of only a tenth
// of the fleet, which were those that reached it within a second, the instances
// divided the engines differently between the workload kinds, and a third of
// the engines received streams from some instances and long prompts from other
// instances.
//
// There is no consensus. An unreachable instance leaves a gap in the sums,
// which the instance count of each sum shows. Instances that disagree about the
// membership of the ring count a few instances twice or not at all.
#ifndef THORNHOLLOW_FLEET_DEMAND_AGGREGATION_H_
#define THORNHOLLOW_FLEET_DEMAND_AGGREGATION_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/placement/workload_kind.h"

namespace thornhollow {

// Sums, by pool, of the demand and the prefill rates that `mInstances`
// instances measured for the pool.
struct aggregated_views
{
  std::size_t mInstances = 0;
  std::map<pool_name, pool_view> mViews;

  friend bool operator==(const aggregated_views&,
                         const aggregated_views&) = default;
};

// Message to the instance 2^`mLevel` positions further on the ring than the
// sender.
struct aggregation_message
{
  std::size_t mLevel = 0;
  // Sum over the 2^`mLevel` instances that end with the sender in ring order.
  aggregated_views mBlock;
  // Sum of the views of the sender and its predecessors on the ring, N mod
  // 2^`mLevel` instances in total, where N is the number of all instances.
  aggregated_views mRemainder;

  friend bool operator==(const aggregation_message&,
                         const aggregation_message&) = default;
};

struct outgoing_aggregation
{
  std::string mAddress;
  aggregation_message mMessage;

  friend bool operator==(const outgoing_aggregation&,
                         const outgoing_aggregation&) = default;
};

// Addresses of all instances in ring order, and the position of this instance
// among them.
struct instance_ring
{
  std::vector<std::string> mAddresses;
  std::size_t mOwn = 0;

  friend bool operator==(const instance_ring&, const instance_ring&) = default;
};

struct demand_aggregation_settings
{
  duration mInterval = Milliseconds(500);
  // Maximum age of a received message, about three rounds; older messages are
  // ignored.
  duration mMaxAge = Milliseconds(1'600);
  // Maximum number of levels, enough for rings of up to 2^10 instances.
  std::size_t mMaxLevels = 10;

  friend bool operator==(const demand_aggregation_settings&,
                         const demand_aggregation_settings&) = default;
};

class demand_aggregation
{
public:
  explicit demand_aggregation(const demand_aggregation_settings& aSettings);

  // Whether a round of messages is due. The caller needs to build the ring only
  // if so.
  bool IsRoundDue(time_point aNow) const { return aNow >= mNextRound; }
  // Returns the messages to send now; empty between rounds. `aOwn` is this
  // instance's own demand.
  std::vector<outgoing_aggregation> NextMessages(
    const std::map<pool_name, pool_view>& aOwn,
    const instance_ring& aRing,
    time_point aNow);
  void OnMessage(const aggregation_message& aSums, time_point aNow);

  // Sum of the views over a ring of `aInstances` instances including this one,
  // as far as messages covered them; `mInstances` of the result is the number
  // of covered instances.
  aggregated_views Total(const std::map<pool_name, pool_view>& aOwn,
                         std::size_t aInstances,
                         time_point aNow) const;

private:
  struct received_message
  {
    aggregation_message mMessage;
    time_point mAt{};
  };
  // Messages of this instance, indexed by level, followed by one message past
  // the last level, whose remainder is the sum over all instances.
  std::vector<aggregation_message> ComputeLevels(
    const std::map<pool_name, pool_view>& aOwn,
    std::size_t aInstances,
    time_point aNow) const;
  const aggregation_message* FreshMessage(std::size_t aLevel,
                                          time_point aNow) const;

  demand_aggregation_settings mSettings;
  std::vector<std::optional<received_message>> mReceived;
  time_point mNextRound{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_DEMAND_AGGREGATION_H_
