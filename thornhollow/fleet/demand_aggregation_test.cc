#include <cstdint>
#include <memory>
#include <random>

#include <doctest/doctest.h>

#include "thornhollow/fleet/demand_aggregation.h"

namespace thornhollow {
namespace {

const pool_name kPool("engines");
const workload_kind kKind{ Seconds(2), Seconds(1) };

// Instances that exchange aggregation messages in virtual time. The demand at
// an instance is unrelated to the position of the instance on the ring.
struct simulated_ring
{
  instance_ring mRing;
  std::vector<demand_aggregation> mAggregations;
  std::vector<bool> mStopped;
  std::mt19937_64 mRandom{ 1 };
  double mLoss = 0;
  double mDemandFactor = 1;
  std::size_t mMessages = 0;
  time_point mNow = time_point() + Seconds(100);

  void AddInstances(std::size_t aInstances)
  {
    for (std::size_t each = 0; each < aInstances; ++each) {
      mRing.mAddresses.push_back(std::to_string(each));
      mAggregations.emplace_back(demand_aggregation_settings{});
    }
    mStopped.assign(aInstances, false);
  }

  std::map<pool_name, pool_view> Own(std::size_t aInstance) const
  {
    const double requests =
      static_cast<double>(aInstance * 37 % 101) * mDemandFactor;
    return { { kPool, { { { kKind, requests, 0, 0, 0 } } } } };
  }

  instance_ring RingOf(std::size_t aInstance) const
  {
    return { mRing.mAddresses, aInstance };
  }

  void Run(duration aDuration)
  {
    std::uniform_real_distribution<double> chance(0, 1);
    for (const time_point end = mNow + aDuration; mNow < end;
         mNow += Milliseconds(100)) {
      for (std::size_t each = 0; each < mAggregations.size(); ++each) {
        if (mStopped[each]) {
          continue;
        }
        for (const outgoing_aggregation& message :
             mAggregations[each].NextMessages(Own(each), RingOf(each), mNow)) {
          const auto to = std::stoul(message.mAddress);
          ++mMessages;
          if (!mStopped[to] && chance(mRandom) >= mLoss) {
            mAggregations[to].OnMessage(message.mMessage, mNow);
          }
        }
      }
    }
  }

  aggregated_views TotalOf(std::size_t aInstance) const
  {
    return mAggregations[aInstance].Total(
      Own(aInstance), mAggregations.size(), mNow);
  }

  static double Requests(const aggregated_views& aSums)
  {
    const auto found = aSums.mViews.find(kPool);
    return found == aSums.mViews.end() ? 0
                                       : found->second.mDemand.at(0).mRequests;
  }
};

TEST_CASE("demand_aggregation/any_number/all_know_the_sum")
{
  for (const std::size_t instances : { 2, 3, 7, 8, 23, 64, 90, 195, 420 }) {
    CAPTURE(instances);
    simulated_ring subject;
    subject.AddInstances(instances);
    subject.Run(Seconds(5));
    double sum = 0;
    for (std::size_t each = 0; each < instances; ++each) {
      sum += static_cast<double>(each * 37 % 101);
    }
    for (std::size_t each = 0; each < instances; ++each) {
      const aggregated_views result = subject.TotalOf(each);
      CHECK(result.mInstances == instances);
      CHECK(simulated_ring::Requests(result) == doctest::Approx(sum));
    }
  }
}

// Guards against too much control traffic: an instance sends the aggregation
// messages in addition to up to 18 KB of hellos per second.
TEST_CASE_FIXTURE(simulated_ring,
                  "demand_aggregation/420_instances/few_messages")
{
  AddInstances(420);
  Run(Seconds(10));
  CHECK(mMessages <= 420 * 10 * 2 * 9);
}

// Guards against partitions of the engines between workload kinds that follow a
// burst too late because its demand becomes known only after many seconds.
TEST_CASE_FIXTURE(simulated_ring,
                  "demand_aggregation/burst/is_known_in_three_seconds")
{
  AddInstances(195);
  Run(Seconds(5));
  const double before = Requests(TotalOf(0));
  mDemandFactor = 3;
  Run(Seconds(3));
  for (std::size_t each = 0; each < 195; ++each) {
    CHECK(Requests(TotalOf(each)) >= before * 2.4);
  }
}

// Guards against taking partial sums for totals when some instances have
// stopped.
TEST_CASE_FIXTURE(simulated_ring,
                  "demand_aggregation/a_quarter_stops/most_are_heard")
{
  AddInstances(195);
  mLoss = 0.02;
  Run(Seconds(5));
  for (std::size_t each = 0; each < 195; each += 4) {
    mStopped[each] = true;
  }
  Run(Seconds(5));
  for (std::size_t each = 1; each < 195; each += 4) {
    const aggregated_views result = TotalOf(each);
    CHECK(result.mInstances <= 150);
    // A sum over fewer than 20 instances is not used: the recent full hellos
    // cover more instances than such a sum.
    if (result.mInstances < 20) {
      continue;
    }
    // Extrapolated, the sum is close to the actual demand.
    const double mean =
      Requests(result) / static_cast<double>(result.mInstances);
    CHECK(mean > 30);
    CHECK(mean < 70);
  }
}

// Guards against out-of-range access by a message with a level beyond any ring.
TEST_CASE_FIXTURE(simulated_ring,
                  "demand_aggregation/forged_level/is_without_effect")
{
  AddInstances(8);
  Run(Seconds(3));
  const aggregated_views before = TotalOf(3);
  aggregation_message forged;
  forged.mLevel = 1'000'000;
  forged.mBlock.mInstances = 1'000'000;
  mAggregations[3].OnMessage(forged, mNow);
  CHECK(TotalOf(3) == before);
}

} // namespace
} // namespace thornhollow
