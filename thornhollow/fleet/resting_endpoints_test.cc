// Instances in virtual time before endpoints that refuse beyond their room and
// ask for rest. The pools, the words and their ends are production code;
// endpoints, callers and connections are modelled.

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/policy/endpoints/endpoint_notices.h"
#include "thornhollow/policy/placement/relay_pool.h"

namespace thornhollow {
namespace {

constexpr duration kWork = Milliseconds(200);
constexpr duration kRefusal = Milliseconds(2);
constexpr duration kRest = Seconds(3);
constexpr duration kDay = Seconds(20);
// The protocol leaves this time for what is on its way.
constexpr duration kGrace = Milliseconds(500);
constexpr time_point kStart{ Seconds(100) };
constexpr int kMaxAttempts = 3;

struct resting_shape
{
  int mInstances = 8;
  int mEndpoints = 12;
  // Endpoints that turn everything away from `mFrom` on, until `mUntil`.
  int mResting = 4;
  time_point mFrom = kStart + Seconds(4);
  time_point mUntil = kStart + Seconds(12);
  // Load, as a fraction of what the endpoints that don't rest can do, or of a
  // third of all.
  double mLoad = 0.6;
};

struct resting_result
{
  // Requests within one rest of an endpoint, from the instance that it asked,
  // at the most.
  int mMostWithinRest = 0;
  int mSent = 0;
  int mServed = 0;
  // First requests that reached an endpoint in the 10 ms after its rest, at the
  // most, over all instances.
  int mMostAtOnce = 0;
  // Requests that reached endpoints that rest for some instance.
  int mTurnedAway = 0;
};

class resting_fleet
{
public:
  resting_fleet(const resting_shape& aShape, std::uint64_t aSeed)
    : mShape(aShape)
    , mRandom(aSeed)
    , mEndpoints(static_cast<std::size_t>(aShape.mEndpoints))
  {
    for (int each = 0; each < aShape.mInstances; ++each) {
      auto one = std::make_unique<instance>(mRandom());
      for (int endpoint = 0; endpoint < aShape.mEndpoints; ++endpoint) {
        one->mPool.Put(Entry(endpoint, {}));
      }
      mInstances.push_back(std::move(one));
    }
  }

  resting_result Run()
  {
    const int awake =
      std::max(mShape.mEndpoints - mShape.mResting, mShape.mEndpoints / 3);
    const double perSecond = mShape.mLoad * awake * kRoom / ToSeconds(kWork);
    std::exponential_distribution<double> gap(perSecond);
    time_point arrival = kStart;
    while (arrival < kStart + kDay) {
      At(arrival, [this] { Arrive(); });
      arrival += FromSeconds(gap(mRandom));
    }
    while (!mTimeline.empty()) {
      const auto [when, number, run] = mTimeline.top();
      mTimeline.pop();
      mNow = when;
      run();
    }
    CountWithinRests();
    return mResult;
  }

private:
  // Requests that an endpoint runs at a time.
  static constexpr int kRoom = 4;

  struct instance
  {
    explicit instance(std::uint64_t aSeed)
      : mPool(relay_pool_settings{}, false, domain_name("hall"), aSeed)
    {
    }
    relay_pool mPool;
    endpoint_notices mNotices;
  };
  struct endpoint_model
  {
    int mRunning = 0;
    // By instance: when requests arrived, and when each rest was asked for.
    std::map<std::size_t, std::vector<time_point>> mArrivals;
    std::map<std::size_t, std::vector<time_point>> mAsked;
  };
  struct request
  {
    std::size_t mAt = 0;
    std::vector<endpoint_name> mTried;
  };
  struct step
  {
    time_point mWhen;
    std::uint64_t mNumber;
    std::function<void()> mRun;

    bool operator<(const step& aOther) const
    {
      return std::pair(mWhen, mNumber) >
             std::pair(aOther.mWhen, aOther.mNumber);
    }
  };

  void At(time_point aWhen, std::function<void()> aRun)
  {
    mTimeline.push({ aWhen, mNextNumber++, std::move(aRun) });
  }

  static relay_endpoint Entry(int aNumber, time_point aRestUntil)
  {
    return { endpoint_name("e" + std::to_string(aNumber)),
             std::to_string(aNumber),
             domain_name("hall"),
             1,
             false,
             aRestUntil };
  }

  void Arrive()
  {
    ++mResult.mSent;
    Attempt({ mRandom() % mInstances.size(), {} });
  }

  void Attempt(request aRequest)
  {
    instance& at = *mInstances[aRequest.mAt];
    const request_profile profile;
    const auto pick = at.mPool.Choose(profile, aRequest.mTried, mNow);
    if (!pick || aRequest.mTried.size() == kMaxAttempts) {
      return;
    }
    at.mPool.OnSent(*pick, profile, mNow);
    aRequest.mTried.push_back(pick->mEndpoint);
    const int number = std::stoi(pick->mAddress);
    endpoint_model& endpoint = mEndpoints[static_cast<std::size_t>(number)];
    endpoint.mArrivals[aRequest.mAt].push_back(mNow);
    if (!Refuses(number, endpoint)) {
      ++endpoint.mRunning;
      At(mNow + kWork, [this, number, aRequest, pick = *pick] {
        Answer(number, aRequest, pick);
      });
      return;
    }
    ++mResult.mTurnedAway;
    At(mNow + kRefusal, [this, number, aRequest, pick = *pick] {
      TurnAway(number, aRequest, pick);
    });
  }

  bool Refuses(int aNumber, const endpoint_model& aEndpoint) const
  {
    const bool sheds =
      aNumber < mShape.mResting && mNow >= mShape.mFrom && mNow < mShape.mUntil;
    return sheds || aEndpoint.mRunning >= 4 * kRoom;
  }

  void Answer(int aNumber, const request& aRequest, const relay_pick& aPick)
  {
    --mEndpoints[static_cast<std::size_t>(aNumber)].mRunning;
    ++mResult.mServed;
    relay_pool& pool = mInstances[aRequest.mAt]->mPool;
    pool.OnFirstByte(aPick, {}, kWork, mNow);
    pool.OnEnded(aPick, {}, attempt_end::kCompleted, true, kWork, mNow);
  }

  void TurnAway(int aNumber, const request& aRequest, const relay_pick& aPick)
  {
    instance& at = *mInstances[aRequest.mAt];
    const auto process = static_cast<endpoint_process_hash>(aNumber);
    at.mNotices.OnRest(process, kRest, mNow);
    mEndpoints[static_cast<std::size_t>(aNumber)]
      .mAsked[aRequest.mAt]
      .push_back(mNow);
    at.mPool.Put(Entry(aNumber, at.mNotices.RestUntil(process)));
    at.mPool.OnEnded(aPick, {}, attempt_end::kDeclined, false, kRefusal, mNow);
    Attempt(aRequest);
  }

  void CountWithinRests()
  {
    for (const endpoint_model& each : mEndpoints) {
      for (const auto& [at, asked] : each.mAsked) {
        for (const time_point when : asked) {
          const auto within = static_cast<int>(std::ranges::count_if(
            each.mArrivals.at(at), [when](time_point aArrival) {
              return aArrival > when + kGrace && aArrival < when + kRest;
            }));
          mResult.mMostWithinRest = std::max(mResult.mMostWithinRest, within);
        }
      }
      CountReturns(each);
    }
  }

  // The most arrivals within 10 ms from when the first rest is over.
  void CountReturns(const endpoint_model& aEndpoint)
  {
    std::vector<time_point> returns;
    for (const auto& [at, asked] : aEndpoint.mAsked) {
      const time_point over = asked.back() + kRest;
      const auto& arrivals = aEndpoint.mArrivals.at(at);
      const auto next = std::ranges::lower_bound(arrivals, over);
      if (next != arrivals.end()) {
        returns.push_back(*next);
      }
    }
    std::ranges::sort(returns);
    for (std::size_t from = 0; from < returns.size(); ++from) {
      const auto end =
        std::ranges::upper_bound(returns, returns[from] + Milliseconds(10));
      mResult.mMostAtOnce = std::max(mResult.mMostAtOnce,
                                     static_cast<int>(end - returns.begin()) -
                                       static_cast<int>(from));
    }
  }

  resting_shape mShape;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<instance>> mInstances;
  std::vector<endpoint_model> mEndpoints;
  std::priority_queue<step> mTimeline;
  std::uint64_t mNextNumber = 0;
  time_point mNow = kStart;
  resting_result mResult;
};

struct fleet_size
{
  int mInstances;
  int mEndpoints;
};
// By hand also 420 and 850, which take a minute and a half.
constexpr fleet_size kSizes[] = { { 3, 9 },
                                  { 8, 12 },
                                  { 30, 60 },
                                  { 120, 240 } };

// An endpoint that asked for rest got more requests than any other, as it
// refuses faster than others answer.
TEST_CASE("resting_endpoints/any_share_rests/one_request_within_a_rest_at_most")
{
  for (const fleet_size& size : kSizes) {
    const int instances = size.mInstances;
    const int endpoints = size.mEndpoints;
    for (const int resting : { 1, endpoints / 3, endpoints }) {
      CAPTURE(instances);
      CAPTURE(resting);
      const resting_result result = resting_fleet({ .mInstances = instances,
                                                    .mEndpoints = endpoints,
                                                    .mResting = resting },
                                                  1)
                                      .Run();
      CHECK(result.mMostWithinRest <= 1);
    }
  }
}

TEST_CASE("resting_endpoints/a_third_rests/the_others_serve_what_they_can")
{
  for (const fleet_size& size : kSizes) {
    const int instances = size.mInstances;
    const int endpoints = size.mEndpoints;
    CAPTURE(instances);
    const resting_result result = resting_fleet({ .mInstances = instances,
                                                  .mEndpoints = endpoints,
                                                  .mResting = endpoints / 3 },
                                                1)
                                    .Run();
    MESSAGE(instances,
            " instances: served ",
            result.mServed,
            " of ",
            result.mSent,
            ", turned away ",
            result.mTurnedAway,
            ", most within a rest ",
            result.mMostWithinRest,
            ", most at once ",
            result.mMostAtOnce);
    CHECK(result.mServed >= 0.95 * result.mSent);
  }
}

// All instances were asked for the same seconds, and came back together.
TEST_CASE("resting_endpoints/all_rests_end_at_once/instances_return_spread")
{
  const resting_result result =
    resting_fleet({ .mInstances = 120, .mEndpoints = 240, .mResting = 80 }, 1)
      .Run();
  CHECK(result.mMostAtOnce <= 120 / 4);
}

} // namespace
} // namespace thornhollow
