// Sums over all instances of what is asked for, which all of them know alike a
// second or two later.
//
//   shared_sums sums(shared_sums_settings{});
//   for (const sums_to_tell& each : sums.Round(own, ring, now)) { Send(each); }
//   sums.OnTold(told, now);
//   if (const summed_views all = sums.All(own, 195, now); all.mInstances > 0)
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
#ifndef THORNHOLLOW_FLEET_SHARED_SUMS_H_
#define THORNHOLLOW_FLEET_SHARED_SUMS_H_

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
struct summed_views
{
  std::size_t mInstances = 0;
  std::map<pool_name, pool_view> mViews;

  friend bool operator==(const summed_views&, const summed_views&) = default;
};

// What an instance tells the one that stands 2^`mLevel` places after it.
struct told_sums
{
  std::size_t mLevel = 0;
  // Over 2^`mLevel` instances, up to the one that tells.
  summed_views mRun;
  // Over as many as all instances are more than a multiple of that.
  summed_views mRest;

  friend bool operator==(const told_sums&, const told_sums&) = default;
};

struct sums_to_tell
{
  std::string mAddress;
  told_sums mSums;

  friend bool operator==(const sums_to_tell&, const sums_to_tell&) = default;
};

// All instances in the ring's order, and where this one stands.
struct instance_ring
{
  std::vector<std::string> mAddresses;
  std::size_t mOwn = 0;

  friend bool operator==(const instance_ring&, const instance_ring&) = default;
};

struct shared_sums_settings
{
  duration mInterval = Milliseconds(500);
  // What was told longer ago counts for nothing: three rounds.
  duration mFreshFor = Milliseconds(1'600);
  // Of 2^10 instances at the most.
  std::size_t mMostLevels = 10;

  friend bool operator==(const shared_sums_settings&,
                         const shared_sums_settings&) = default;
};

class shared_sums
{
public:
  explicit shared_sums(const shared_sums_settings& aSettings);

  // Whether a round is due: the ring is needed only then.
  bool Due(time_point aNow) const { return aNow >= mNextRound; }
  // What to tell now, nothing between two rounds. `aOwn`: this instance's part.
  std::vector<sums_to_tell> Round(const std::map<pool_name, pool_view>& aOwn,
                                  const instance_ring& aRing,
                                  time_point aNow);
  void OnTold(const told_sums& aSums, time_point aNow);

  // Over all of so many instances in the ring, this one included, as far as
  // they were told of.
  summed_views All(const std::map<pool_name, pool_view>& aOwn,
                   std::size_t aInstances,
                   time_point aNow) const;

private:
  struct heard
  {
    told_sums mSums;
    time_point mAt{};
  };
  // What this instance would tell at each level, the last one past the ring's
  // end.
  std::vector<told_sums> Levels(const std::map<pool_name, pool_view>& aOwn,
                                std::size_t aInstances,
                                time_point aNow) const;
  const told_sums* Fresh(std::size_t aLevel, time_point aNow) const;

  shared_sums_settings mSettings;
  // By level.
  std::vector<std::optional<heard>> mHeard;
  time_point mNextRound{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_SHARED_SUMS_H_
