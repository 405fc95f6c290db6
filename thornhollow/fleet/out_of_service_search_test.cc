// Instances in virtual time while an operator takes failure domains out of
// service and back, and instances and endpoints end and start again. The pools,
// the parts of the bounds and the memories of warm-ups and domains are
// production code; endpoints, callers and when an instance learns of a change
// are modelled.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/most_within.h"
#include "thornhollow/fleet/testing/event_timeline.h"
#include "thornhollow/policy/endpoints/endpoint_shares.h"
#include "thornhollow/policy/endpoints/out_of_service.h"
#include "thornhollow/policy/endpoints/request_gate.h"
#include "thornhollow/policy/endpoints/warm_up.h"
#include "thornhollow/policy/placement/relay_pool.h"

namespace thornhollow {
namespace {

constexpr time_point kStart{ Seconds(100) };
constexpr duration kDay = Seconds(30);
constexpr std::size_t kDomains = 3;
// What endpoints take while they warm up, from all instances together, and
// what is allowed of it in any second.
constexpr double kColdRate = 7.6;
constexpr double kAllowedInASecond = 1.5 * kColdRate + 5;
constexpr duration kWarmUp = Seconds(3);
// Changes must be in force within this long of their confirmation.
constexpr duration kInForceWithin = Seconds(1);
constexpr duration kSlowestWord = Milliseconds(900);
// Entries say later what has become of an endpoint.
constexpr duration kSlowestEntry = Seconds(2);
// Between two messages of the others.
constexpr duration kHelloInterval = Milliseconds(200);
// Instances learn of another one's end or start at different times.
constexpr duration kDeathKnownAfter = Seconds(4);
constexpr duration kJoinDelay = Milliseconds(1'500);
// How long a request waits for room at endpoints, and how often it asks.
constexpr duration kMaxRoomWait = Milliseconds(500);
constexpr duration kRoomInterval = Milliseconds(25);
constexpr duration kWork = Milliseconds(50);
constexpr duration kTickInterval = Milliseconds(100);
constexpr double kRequestsPerEndpoint = 3;

struct search_result
{
  // Latest request to an endpoint of a domain that is out, after the
  // confirmation.
  duration mLatestAfterConfirmed{};
  std::size_t mMostColdInASecond = 0;
  // Part of the callers' requests that found an endpoint in time.
  double mPlaced = 0;
};

class domain_fleet
{
public:
  domain_fleet(std::size_t aInstances,
               std::size_t aEndpoints,
               std::uint64_t aSeed)
    : mRandom(aSeed)
    , mEndpoints(aEndpoints)
  {
    for (std::size_t each = 0; each < aInstances; ++each) {
      mInstances.push_back(std::make_unique<instance>(mRandom()));
      mInstances.back()->mStartedAt = kStart - Seconds(100);
    }
    for (std::size_t each = 0; each < aInstances; ++each) {
      ReadEntries(*mInstances[each]);
      UpdateView(each);
    }
  }

  search_result Run()
  {
    ScheduleDomains();
    ScheduleEnds();
    ScheduleArrivals();
    for (std::size_t each = 0; each < mInstances.size(); ++each) {
      mTimeline.At(kStart, [this, each] { Tick(each); });
    }
    mTimeline.RunAll();
    return Result();
  }

private:
  struct endpoint_model
  {
    // Names the process; increases with each start.
    std::uint64_t mLifetime = 1;
    time_point mColdUntil{};
    // As its entry says.
    time_point mStatedColdUntil{};
    bool mIsDown = false;
    std::vector<time_point> mColdArrivals;
  };
  struct domain_model
  {
    bool mIsOut = false;
    time_point mOutSince{};
  };
  struct domain_change
  {
    std::size_t mDomain = 0;
    bool mIsOut = false;
  };
  struct instance
  {
    explicit instance(std::uint64_t aSeed)
      : mPool(relay_pool_settings{}, false, domain_name("domain-0"), aSeed)
    {
    }
    relay_pool mPool;
    out_of_service_domains mOut;
    warm_up_memory mWarmUps;
    // The endpoints' processes, as listed.
    std::vector<std::uint64_t> mLifetimes;
    // Number of changes of domains that it has heard of.
    std::size_t mChangesHeard = 0;
    bool mIsDown = false;
    time_point mStartedAt{};
    time_point mEndedAt = kStart - Seconds(100);
  };

  static domain_name DomainName(std::size_t aDomain)
  {
    return domain_name("domain-" + std::to_string(aDomain));
  }
  static std::size_t DomainOf(std::size_t aEndpoint)
  {
    return aEndpoint % kDomains;
  }
  static endpoint_name NameOf(std::size_t aEndpoint)
  {
    return endpoint_name("e" + std::to_string(aEndpoint));
  }
  static endpoint_process_hash ProcessOf(const instance& aOwn,
                                         std::size_t aEndpoint)
  {
    return EndpointProcessHash(
      NameOf(aEndpoint), static_cast<std::int64_t>(aOwn.mLifetimes[aEndpoint]));
  }
  static std::string Address(std::size_t aInstance)
  {
    return "10.0.0." + std::to_string(aInstance) + ":7";
  }

  duration Between(duration aLeast, duration aMost)
  {
    return FromSeconds(std::uniform_real_distribution<double>(
      ToSeconds(aLeast), ToSeconds(aMost))(mRandom));
  }

  // ---- What happens

  void ScheduleDomains()
  {
    time_point at = kStart + Seconds(5);
    while (at < kStart + kDay - Seconds(8)) {
      const std::size_t domain = mRandom() % kDomains;
      const duration length = Between(Milliseconds(300), Seconds(8));
      mTimeline.At(at, [this, domain] { SetOut(domain, true); });
      mTimeline.At(at + length, [this, domain] { SetOut(domain, false); });
      at += Between(Seconds(1), Seconds(6));
    }
  }

  void ScheduleEnds()
  {
    for (time_point at = kStart + Seconds(4); at < kStart + kDay;
         at += Between(Seconds(1), Seconds(5))) {
      mTimeline.At(at, [this] { EndInstance(mRandom() % mInstances.size()); });
      mTimeline.At(at, [this] { EndEndpoint(mRandom() % mEndpoints.size()); });
    }
  }

  void ScheduleArrivals()
  {
    const double perSecond =
      kRequestsPerEndpoint * static_cast<double>(mEndpoints.size());
    std::exponential_distribution<double> gap(perSecond);
    for (time_point at = kStart + Seconds(4); at < kStart + kDay;
         at += FromSeconds(gap(mRandom))) {
      mTimeline.At(at, [this] { Arrive(); });
    }
  }

  void SetOut(std::size_t aDomain, bool aIsOut)
  {
    domain_model& domain = mDomains[aDomain];
    if (domain.mIsOut == aIsOut) {
      return;
    }
    domain = { aIsOut, mTimeline.Now() };
    if (!aIsOut) {
      // They became cold while nobody looked.
      for (std::size_t each = 0; each < mEndpoints.size(); ++each) {
        if (DomainOf(each) == aDomain) {
          mEndpoints[each].mColdUntil = mTimeline.Now() + kWarmUp;
          mTimeline.At(mTimeline.Now() + Between({}, kSlowestEntry),
                       [this, each] { WriteEntry(each); });
        }
      }
    }
    mChanges.push_back({ aDomain, aIsOut });
    for (std::size_t each = 0; each < mInstances.size(); ++each) {
      mTimeline.At(
        mTimeline.Now() + Between({}, kSlowestWord),
        [this, each, count = mChanges.size()] { HearChanges(each, count); });
    }
  }

  void EndInstance(std::size_t aInstance)
  {
    auto next = std::make_unique<instance>(mRandom());
    next->mIsDown = true;
    next->mEndedAt = mTimeline.Now();
    mInstances[aInstance] = std::move(next);
    UpdateViewsSoon(kDeathKnownAfter);
    mTimeline.At(mTimeline.Now() + Between(Milliseconds(200), Seconds(6)),
                 [this, aInstance] { StartInstance(aInstance); });
  }

  // An instance is ready once it has the domains' state, from the source or
  // from its peers.
  void StartInstance(std::size_t aInstance)
  {
    instance& own = *mInstances[aInstance];
    if (!own.mIsDown) {
      return;
    }
    own.mIsDown = false;
    own.mStartedAt = mTimeline.Now();
    ReadEntries(own);
    for (std::size_t each = 0; each < kDomains; ++each) {
      if (mDomains[each].mIsOut) {
        own.mOut.Take(DomainName(each), mTimeline.Now());
      }
    }
    own.mChangesHeard = mChanges.size();
    UpdateView(aInstance);
    HearReturns(aInstance);
    Tick(aInstance);
    UpdateViewsSoon({});
  }

  void EndEndpoint(std::size_t aEndpoint)
  {
    mEndpoints[aEndpoint].mIsDown = true;
    mTimeline.At(mTimeline.Now() + Between(Milliseconds(500), Seconds(4)),
                 [this, aEndpoint] {
                   endpoint_model& endpoint = mEndpoints[aEndpoint];
                   endpoint.mIsDown = false;
                   ++endpoint.mLifetime;
                   endpoint.mColdUntil = mTimeline.Now() + kWarmUp;
                   WriteEntry(aEndpoint);
                 });
  }

  void WriteEntry(std::size_t aEndpoint)
  {
    mEndpoints[aEndpoint].mStatedColdUntil = mEndpoints[aEndpoint].mColdUntil;
    for (std::size_t each = 0; each < mInstances.size(); ++each) {
      mTimeline.At(mTimeline.Now() + Between({}, Milliseconds(400)),
                   [this, each, aEndpoint] { List(each, aEndpoint); });
    }
  }

  void Arrive()
  {
    const std::size_t at = mRandom() % mInstances.size();
    if (mInstances[at]->mIsDown || !AnyIsWarm()) {
      return;
    }
    ++mArrived;
    PlaceWithin(at, kMaxRoomWait);
  }

  // Waits for room at endpoints for at most that long.
  void PlaceWithin(std::size_t aInstance, duration aLeft)
  {
    relay_pool& pool = mInstances[aInstance]->mPool;
    const request_profile profile;
    const auto pick = pool.Choose(profile, {}, mTimeline.Now());
    if (!pick && aLeft > duration::zero()) {
      mTimeline.At(mTimeline.Now() + kRoomInterval, [this, aInstance, aLeft] {
        PlaceWithin(aInstance, aLeft - kRoomInterval);
      });
    }
    if (!pick) {
      return;
    }
    ++mPlaced;
    pool.OnSent(*pick, profile, mTimeline.Now());
    const std::size_t number = std::stoul(pick->mAddress);
    const bool isDown = mEndpoints[number].mIsDown;
    if (!isDown) {
      RecordArrival(number);
    }
    mTimeline.At(mTimeline.Now() + (isDown ? Milliseconds(1) : kWork),
                 [this, aInstance, isDown, pick = *pick] {
                   const attempt_end how = isDown
                                             ? attempt_end::kConnectionRefused
                                             : attempt_end::kCompleted;
                   mInstances[aInstance]->mPool.OnEnded(
                     pick, {}, how, true, kWork, mTimeline.Now());
                 });
  }

  // Whether an endpoint could take what comes.
  bool AnyIsWarm() const
  {
    for (std::size_t each = 0; each < mEndpoints.size(); ++each) {
      const endpoint_model& endpoint = mEndpoints[each];
      if (!mDomains[DomainOf(each)].mIsOut && !endpoint.mIsDown &&
          mTimeline.Now() >= endpoint.mColdUntil) {
        return true;
      }
    }
    return false;
  }

  void RecordArrival(std::size_t aEndpoint)
  {
    const time_point now = mTimeline.Now();
    endpoint_model& endpoint = mEndpoints[aEndpoint];
    if (now < endpoint.mColdUntil) {
      endpoint.mColdArrivals.push_back(now);
    }
    const domain_model& domain = mDomains[DomainOf(aEndpoint)];
    if (domain.mIsOut) {
      mLatestAfterConfirmed =
        std::max(mLatestAfterConfirmed, now - domain.mOutSince);
    }
  }

  // ---- What an instance knows

  // The instance hears of the first `aCount` changes, in their order.
  void HearChanges(std::size_t aInstance, std::size_t aCount)
  {
    instance& own = *mInstances[aInstance];
    if (own.mIsDown) {
      return;
    }
    for (; own.mChangesHeard < aCount; ++own.mChangesHeard) {
      const domain_change& change = mChanges[own.mChangesHeard];
      const domain_name name = DomainName(change.mDomain);
      if (change.mIsOut) {
        own.mOut.Take(name, mTimeline.Now());
      } else {
        own.mOut.Return(name, mTimeline.Now());
        PresumeCold(own, name, kWarmUp);
      }
    }
    UpdateView(aInstance);
  }

  // The instance reads the endpoint's entry.
  void List(std::size_t aInstance, std::size_t aEndpoint)
  {
    instance& own = *mInstances[aInstance];
    if (own.mIsDown) {
      return;
    }
    ReadEntry(own, aEndpoint);
    Put(own, aEndpoint, SharesOf(aInstance));
  }

  void ReadEntry(instance& aOwn, std::size_t aEndpoint)
  {
    const endpoint_model& listed = mEndpoints[aEndpoint];
    aOwn.mLifetimes[aEndpoint] = listed.mLifetime;
    const duration left = std::max<duration>(
      listed.mStatedColdUntil - mTimeline.Now(), duration::zero());
    aOwn.mWarmUps.OnStated(ProcessOf(aOwn, aEndpoint), left, mTimeline.Now());
  }

  void ReadEntries(instance& aOwn)
  {
    aOwn.mLifetimes.resize(mEndpoints.size());
    for (std::size_t each = 0; each < mEndpoints.size(); ++each) {
      ReadEntry(aOwn, each);
    }
  }

  // The others' messages tell which domains came back lately.
  void HearReturns(std::size_t aInstance)
  {
    instance& own = *mInstances[aInstance];
    const time_point now = mTimeline.Now();
    for (std::size_t other = 0; other < mInstances.size(); ++other) {
      if (other == aInstance || own.mIsDown || mInstances[other]->mIsDown) {
        continue;
      }
      for (const returned_domain& each :
           mInstances[other]->mOut.LatelyReturned(now)) {
        if (own.mOut.OnReturnReported(each, now)) {
          PresumeCold(own, each.mDomain, kWarmUp - each.mAge);
        }
      }
    }
    UpdateView(aInstance);
    if (!own.mIsDown && now - own.mStartedAt < kWarmUp) {
      mTimeline.At(now + kHelloInterval,
                   [this, aInstance] { HearReturns(aInstance); });
    }
  }

  void PresumeCold(instance& aOwn, const domain_name& aDomain, duration aLeft)
  {
    for (std::size_t each = 0; each < mEndpoints.size(); ++each) {
      if (DomainName(DomainOf(each)) == aDomain && aLeft > duration::zero()) {
        aOwn.mWarmUps.Presume(ProcessOf(aOwn, each), aLeft, mTimeline.Now());
      }
    }
  }

  bool Sees(std::size_t aOther) const
  {
    const instance& other = *mInstances[aOther];
    return !other.mIsDown ||
           mTimeline.Now() - other.mEndedAt < kDeathKnownAfter;
  }

  endpoint_shares SharesOf(std::size_t aInstance) const
  {
    std::vector<std::string> others;
    for (std::size_t each = 0; each < mInstances.size(); ++each) {
      if (each != aInstance && Sees(each)) {
        others.push_back(Address(each));
      }
    }
    const double present = static_cast<double>(others.size() + 1) /
                           static_cast<double>(mInstances.size());
    endpoint_shares shares(Address(aInstance));
    shares.SetInstances(others,
                        mTimeline.Now() - mInstances[aInstance]->mStartedAt >=
                          kJoinDelay,
                        present);
    return shares;
  }

  void Put(instance& aOwn, std::size_t aEndpoint, const endpoint_shares& aOf)
  {
    relay_endpoint entry;
    entry.mName = NameOf(aEndpoint);
    entry.mAddress = std::to_string(aEndpoint);
    entry.mDomain = DomainName(DomainOf(aEndpoint));
    entry.mLifetime = aOwn.mLifetimes[aEndpoint];
    entry.mOutOfService = aOwn.mOut.Contains(entry.mDomain);
    if (aOwn.mWarmUps.IsWarmingUp(ProcessOf(aOwn, aEndpoint),
                                  mTimeline.Now())) {
      entry.mRequestRate = RateOfRequests(aOf, entry.mName, kColdRate);
    }
    aOwn.mPool.Put(entry, mTimeline.Now());
  }

  void UpdateView(std::size_t aInstance)
  {
    instance& own = *mInstances[aInstance];
    if (own.mIsDown) {
      return;
    }
    const endpoint_shares shares = SharesOf(aInstance);
    for (std::size_t each = 0; each < mEndpoints.size(); ++each) {
      Put(own, each, shares);
    }
  }

  void UpdateViewsSoon(duration aAfter)
  {
    for (std::size_t each = 0; each < mInstances.size(); ++each) {
      mTimeline.At(mTimeline.Now() + aAfter + Between({}, Seconds(1)),
                   [this, each] { UpdateView(each); });
    }
  }

  void Tick(std::size_t aInstance)
  {
    instance& own = *mInstances[aInstance];
    if (own.mIsDown || mTimeline.Now() >= kStart + kDay) {
      return;
    }
    const bool joins =
      mTimeline.Now() - own.mStartedAt < kJoinDelay + 2 * kTickInterval;
    if (!own.mWarmUps.TakeEnded(mTimeline.Now()).empty() || joins) {
      UpdateView(aInstance);
    }
    mTimeline.At(mTimeline.Now() + kTickInterval,
                 [this, aInstance] { Tick(aInstance); });
  }

  search_result Result() const
  {
    search_result result;
    result.mLatestAfterConfirmed = mLatestAfterConfirmed;
    for (const endpoint_model& each : mEndpoints) {
      result.mMostColdInASecond = std::max(
        result.mMostColdInASecond, MostWithin(each.mColdArrivals, Seconds(1)));
    }
    result.mPlaced =
      static_cast<double>(mPlaced) / static_cast<double>(mArrived);
    return result;
  }

  std::mt19937_64 mRandom;
  event_timeline mTimeline{ kStart };
  std::vector<std::unique_ptr<instance>> mInstances;
  std::vector<endpoint_model> mEndpoints;
  std::vector<domain_model> mDomains{ kDomains };
  std::vector<domain_change> mChanges;
  duration mLatestAfterConfirmed{};
  std::uint64_t mArrived = 0;
  std::uint64_t mPlaced = 0;
};

struct fleet_size
{
  std::size_t mInstances;
  std::size_t mEndpoints;
};

void
Check(const fleet_size& aSize, std::uint64_t aSeed)
{
  CAPTURE(aSize.mInstances);
  CAPTURE(aSeed);
  const search_result result =
    domain_fleet(aSize.mInstances, aSize.mEndpoints, aSeed).Run();
  MESSAGE(aSize.mInstances,
          " instances, seed ",
          aSeed,
          ": ",
          ToSeconds(result.mLatestAfterConfirmed),
          " s after the confirmation, ",
          result.mMostColdInASecond,
          " in a second, placed ",
          result.mPlaced);
  CHECK(result.mLatestAfterConfirmed <= kInForceWithin);
  CHECK(result.mMostColdInASecond <= kAllowedInASecond);
  CHECK(result.mPlaced >= 0.95);
}

// Guards against requests to domains that are out of service, and against
// endpoints that fall over when their domain, or they, come back.
TEST_CASE("out_of_service_search/domains_and_processes_go_and_return/kept")
{
  for (const fleet_size& size :
       { fleet_size{ 3, 9 }, { 8, 24 }, { 83, 140 } }) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Check(size, seed);
    }
  }
}

// By hand, with --no-skip.
TEST_CASE("out_of_service_search/many_seeds/kept" * doctest::skip())
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    for (const fleet_size& size : { fleet_size{ 3, 9 }, { 8, 24 } }) {
      Check(size, seed);
    }
    if (seed % 10 == 0) {
      Check({ 83, 140 }, seed);
    }
  }
  Check({ 420, 850 }, 1);
}

} // namespace
} // namespace thornhollow
