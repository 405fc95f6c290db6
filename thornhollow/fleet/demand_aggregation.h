// Sums over all instances of what is asked for, which all of them know alike a
// second or two later.
//
//   demand_aggregation sums(demand_aggregation_settings{});
//   for (const outgoing_aggregation& each : sums.Round(own, ring, now)) {
//   Send(each); } sums.OnMessage(told, now); if (const aggregated_views all =
//   sums.All(own, 195, now); all.mInstances > 0)
//   {
//     ...
//   }
//
// Instances stand in a ring, in an order that all know. In each round each
// tells the one that stands 1, 2, 4, 8 and so on places after it the sum over
// as many instances as that, up to itself; what it was told by those before it
// makes up each sum. So a sum over all takes a number of messages that grows
// with the logarithm of the instances.
//
// Load this answers: a burst before hundreds of instances. Each heard a tenth
// of the others in a second, scaled that up, and drew the border between kinds
// of work where its tenth said; so a third of the engines had streams from some
// instances and long prompts from others.
//
// Nothing is agreed on: one that can't be reached leaves a gap, which the
// number of instances in each sum shows. Two that differ about who runs count a
// few instances twice or not at all.
#ifndef THORNHOLLOW_FLEET_DEMAND_AGGREGATION_H_
#define THORNHOLLOW_FLEET_DEMAND_AGGREGATION_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/workload_kind.h"

namespace thornhollow {

// Sums of what so many instances said.
struct aggregated_views
{
  std::size_t mInstances = 0;
  std::map<pool_name, pool_view> mViews;

  friend bool operator==(const aggregated_views&,
                         const aggregated_views&) = default;
};

// What an instance tells the one that stands 2^`mLevel` places after it.
struct aggregation_message
{
  std::size_t mLevel = 0;
  // Over 2^`mLevel` instances, up to the one that tells.
  aggregated_views mBlock;
  // Over as many as all instances are more than a multiple of that.
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

// All instances in the ring's order, and where this one stands.
struct instance_ring
{
  std::vector<std::string> mAddresses;
  std::size_t mOwn = 0;

  friend bool operator==(const instance_ring&, const instance_ring&) = default;
};

struct demand_aggregation_settings
{
  duration mInterval = Milliseconds(500);
  // What was told longer ago counts for nothing: three rounds.
  duration mMaxAge = Milliseconds(1'600);
  // Of 2^10 instances at the most.
  std::size_t mMaxLevels = 10;

  friend bool operator==(const demand_aggregation_settings&,
                         const demand_aggregation_settings&) = default;
};

class demand_aggregation
{
public:
  explicit demand_aggregation(const demand_aggregation_settings& aSettings);

  // Whether a round is due: the ring is needed only then.
  bool IsRoundDue(time_point aNow) const { return aNow >= mNextRound; }
  // What to tell now, nothing between two rounds. `aOwn`: this instance's part.
  std::vector<outgoing_aggregation> NextMessages(
    const std::map<pool_name, pool_view>& aOwn,
    const instance_ring& aRing,
    time_point aNow);
  void OnMessage(const aggregation_message& aSums, time_point aNow);

  // Over all of so many instances in the ring, this one included, as far as
  // they were told of.
  aggregated_views Total(const std::map<pool_name, pool_view>& aOwn,
                         std::size_t aInstances,
                         time_point aNow) const;

private:
  struct received_message
  {
    aggregation_message mMessage;
    time_point mAt{};
  };
  // What this instance would tell at each level, the last one past the ring's
  // end.
  std::vector<aggregation_message> ComputeLevels(
    const std::map<pool_name, pool_view>& aOwn,
    std::size_t aInstances,
    time_point aNow) const;
  const aggregation_message* FreshMessage(std::size_t aLevel,
                                          time_point aNow) const;

  demand_aggregation_settings mSettings;
  // By level.
  std::vector<std::optional<received_message>> mReceived;
  time_point mNextRound{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_DEMAND_AGGREGATION_H_
