// One pool's endpoints and the choice among them for relayed requests.
//
//   relay_pool pool(relay_pool_settings{}, true, seed);
//   pool.Put(entry, lifetime, now);
//   if (const auto pick = pool.Choose(work, tried, now)) {
//     pool.OnSent(*pick, work, now);
//   }
//
// Load pattern: engines that read prompts at a fixed rate, between the steps of
// their streams; sessions whose prompts begin alike, each costly to read again;
// several instances that send to the same engines and see each other's work
// late.
//
// An engine's price for a request is the time until its first event: the
// prompt tokens that wait there, by this instance's count and by what others
// said they sent lately, and those that it has to read for the request itself.
// A prompt's shared parts are at the engine that was sent them before, and, as
// all instances rank the engines alike by the parts' hash, most likely at the
// first of that rank. To read them again elsewhere costs `mMissPenalty` times
// the time that it takes, since it is also time taken from all others. That
// alone would leave an engine with a popular session overloaded while others
// idle: the penalty is less for the next engines of the session's rank.
//
// Engines that run few requests at a time are out of slots before they are busy
// reading. Long prompts are then refused by the wait for a slot, as it follows
// from what is open over all instances and from how long an answer takes; else
// they wait at engines until their callers leave.
//
// On which side of the border an engine is follows from its name's hash, but
// slow ones are on the bulk side first.
//
// Endpoints of failure domains that seem out of reach are passed over as long
// as others are left, see policy/domain_reach.h.
//
// Plain services have places instead: the endpoint with the fewest requests of
// this instance is taken, one of its own failure domain before others.
#ifndef THORNHOLLOW_POLICY_RELAY_POOL_H_
#define THORNHOLLOW_POLICY_RELAY_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/domain_reachability.h"
#include "thornhollow/policy/endpoint_health.h"
#include "thornhollow/policy/engine_partition.h"
#include "thornhollow/policy/engine_sides.h"
#include "thornhollow/policy/known_prefixes.h"
#include "thornhollow/policy/popular_parts.h"
#include "thornhollow/policy/prefix_affinity.h"
#include "thornhollow/policy/read_pace.h"
#include "thornhollow/policy/read_rate.h"
#include "thornhollow/policy/relay_admission.h"
#include "thornhollow/policy/relay_work.h"
#include "thornhollow/policy/slot_hold.h"
#include "thornhollow/policy/workload_kind.h"

namespace thornhollow {

struct relay_pool_settings
{
  // Prompt tokens that an engine reads a second, while nothing is known of any:
  // the middle of 20 to 150 thousand, which is what present engines do.
  double mReadPerSecond = 55'000;
  // From a request's arrival at an idle engine to its first event, the reading
  // left out.
  duration mFirstEvent = Milliseconds(20);
  // See above.
  double mMissPenalty = 16;
  // The penalty of the engine next in rank after the session's first, twice
  // that for the one after, up to the whole. A session that one engine can't
  // serve thus spreads over the same few on every instance.
  double mMissStep = 8;
  // Of its target, what a request loses at an engine whose slots are all taken.
  double mCrowdPart = 0.1;
  // The queue for slots is uneven: where the mean engine has a short one, an
  // instance's request waits so many times as long at the one it is sent to.
  double mUnevenQueues = 4;
  // Shared parts of at least so many tokens are copied from an engine that is
  // believed to hold them, where the chosen one isn't; 0: never. A copy takes
  // less time than reading and none from streams; shorter parts are read in a
  // few milliseconds.
  std::uint32_t mCopyFromTokens = 256;
  // Bulk work passes over engines that still have interactive streams from
  // before they became bulk ones while the others would be busy reading for
  // less than this part of the time: a full site needs the room.
  double mClearBelow = 0.6;
  // Slow from this multiple of the pool's fastest pace on, and no more below
  // the other: engines differ by 1.3.
  double mSlowFrom = 1.17;
  double mSlowUntil = 1.10;
  // Before that long after its first prompt an engine isn't judged: the first
  // few waits hold other prompts' time. Not longer, as slow engines have
  // interactive streams until then, whose pauses break their promise.
  duration mJudgeAfter = Seconds(6);
  engine_partition_settings mBorder;
  engine_sides_settings mSides;
  relay_admission_settings mAdmission;
  prefix_affinity_settings mAffinity = { .mRemember = true,
                                         .mPrefixes = 1024,
                                         .mLife = Seconds(30) };

  friend bool operator==(const relay_pool_settings&,
                         const relay_pool_settings&) = default;
};

// An endpoint as placement knows it.
struct relay_endpoint
{
  endpoint_name mName;
  std::string mAddress;
  domain_name mDomain;
  std::uint64_t mLifetime = 0;
  bool mDraining = false;

  friend bool operator==(const relay_endpoint&,
                         const relay_endpoint&) = default;
};

// What this instance has at an endpoint.
struct relay_load
{
  endpoint_name mName;
  // Requests without an end yet.
  std::uint32_t mInFlight = 0;
  // Prompt tokens of those without a first event yet.
  std::uint64_t mToRead = 0;
  // Nanoseconds for which it reads a prompt token, at its best; 0: not known.
  double mPace = 0;
  bool mSlow = false;

  friend bool operator==(const relay_load&, const relay_load&) = default;
};

class relay_pool
{
public:
  relay_pool(const relay_pool_settings& aSettings,
             bool aEngines,
             domain_name aOwnDomain,
             std::uint64_t aSeed);

  // A new endpoint, or another state of one that is known. Another lifetime is
  // a new endpoint.
  void Put(const relay_endpoint& aEndpoint);
  void Remove(const endpoint_name& aName);
  std::size_t size() const { return mRecords.size(); }
  // Chooses by the rules for engines.
  bool OfEngines() const { return mEngines; }

  // Whether `aWork`, whose caller waits for `aTimeLeft` more, is taken; to be
  // asked before its first attempt, for which it returns where to send it:
  // choosing once more would double what a request costs. All but bulk work on
  // engines is taken; nothing is chosen where no endpoint takes new work.
  std::variant<std::optional<relay_pick>, admission_refusal>
  Admit(const relay_work& aWork, duration aTimeLeft, time_point aNow);

  // Where to send `aWork`, none of `aTried`; nothing where no endpoint takes
  // new work.
  std::optional<relay_pick> Choose(const relay_work& aWork,
                                   const std::vector<endpoint_name>& aTried,
                                   time_point aNow);

  void OnSent(const relay_pick& aPick,
              const relay_work& aWork,
              time_point aNow);
  // The first event or the whole answer begins.
  void OnFirstByte(const relay_pick& aPick,
                   const relay_work& aWork,
                   duration aWait,
                   time_point aNow);
  // `aBegun`: the first byte had come.
  void OnEnded(const relay_pick& aPick,
               const relay_work& aWork,
               attempt_end aHow,
               bool aBegun,
               duration aLength,
               time_point aNow);

  // The endpoint gave no sign, as if it were out of reach; `OnEnded` is called
  // as well. Returns whether its failure domain came into doubt by that.
  bool OnUnreached(const relay_pick& aPick, time_point aNow);
  // Another instance of the failure domain was heard.
  void OnPeerHeard(const domain_name& aDomain, time_point aNow);

  // What other instances said of it, in sums, and in the least of their paces,
  // 0 where they said none.
  void SetOthers(const relay_load& aLoad, time_point aNow);
  // What is known over all instances, this one included. To be called every
  // 100 ms.
  void SetView(const pool_view& aView, time_point aNow);
  // Requests that an engine runs at a time; 0: not stated.
  void SetSlots(std::size_t aSlots) { mSlots = aSlots; }
  // Instances that send to these endpoints, this one included.
  void SetInstances(std::size_t aInstances) { mInstances = aInstances; }
  // This process stood still.
  void OnClockGap(time_point aNow);

  // This instance's own part of it.
  pool_view OwnView(time_point aNow) const;
  std::vector<relay_load> Loads(time_point aNow) const;
  std::size_t BulkEngines() const { return mBorder.BulkEngines(); }
  // Prompt tokens that one engine reads in a second, in the mean.
  double ReadPerSecond() const { return mReadPerSecond; }

private:
  struct record
  {
    relay_endpoint mEndpoint;
    std::uint32_t mNumber = 0;
    // Rank for the border: the same on every instance.
    std::uint64_t mRank = 0;
    endpoint_health mHealth;
    std::uint32_t mInFlight = 0;
    std::uint64_t mToRead = 0;
    std::uint64_t mOthersToRead = 0;
    std::uint32_t mOthersInFlight = 0;
    read_pace mPace = {};
    // When a pace of it was known first.
    std::optional<time_point> mPaceKnown = std::nullopt;
    // Reads prompts so slowly that it is left to bulk work first.
    bool mSlow = false;
  };

  record* Find(const relay_pick& aPick);
  bool TakesNewWork(const record& aRecord, time_point aNow) const;
  std::vector<record*> Candidates(const relay_work& aWork,
                                  const std::vector<endpoint_name>& aTried,
                                  time_point aNow);
  std::vector<record*> WithinReach(std::vector<record*> aSound,
                                   time_point aNow) const;
  void JudgePaces(time_point aNow);
  void MeasurePaces(time_point aNow);
  std::size_t SlowEngines() const;
  double SecondsPerToken(const record& aRecord, time_point aNow) const;
  engine_side SideOf(const relay_work& aWork) const;
  void AssignSides(const demand_by_kind& aDemand, time_point aNow);
  std::vector<record*> OfSide(const relay_work& aWork,
                              const std::vector<record*>& aSound,
                              time_point aNow) const;
  record* ChoosePlain(const std::vector<record*>& aCandidates);
  record* ChooseEngine(const relay_work& aWork,
                       const std::vector<record*>& aCandidates,
                       time_point aNow,
                       relay_pick& aPick);
  double Absent(bool aSentThere, std::size_t aRank) const;
  double CrowdSeconds(const record& aRecord, const relay_work& aWork) const;
  duration SlotWait() const;
  const record* Holder(const relay_work& aWork,
                       const prefix_affinity::holders& aHolders,
                       const record& aChosen,
                       time_point aNow) const;
  const record* EarlierHome(const relay_work& aWork, time_point aNow) const;
  static bool MayGive(const record& aRecord);
  const record* ByNumber(std::uint32_t aNumber) const;
  static std::vector<const record*> FirstInOrder(
    const relay_work& aWork,
    const std::vector<record*>& aCandidates,
    std::size_t aMost);
  relay_pool_settings mSettings;
  bool mEngines;
  domain_name mOwnDomain;
  domain_reachability mReach;
  std::mt19937_64 mRandom;
  std::map<endpoint_name, record> mRecords;
  std::uint32_t mNextNumber = 0;
  prefix_affinity mAffinity;
  engine_partition mBorder;
  engine_sides mSides;
  relay_admission mAdmission;
  std::size_t mInstances = 1;
  // Prompt tokens a second for bulk work, over all instances.
  double mBulkDemand = 0;
  // Engines that take it and are sound.
  std::size_t mBulkSound = 0;
  // Requests of it at engines, over all instances.
  double mBulkOpen = 0;
  slot_hold mBulkHold;
  // Nanoseconds for a token, in the mean over engines; 0: not known.
  double mMeanPace = 0;
  known_prefixes mSentByAny;
  popular_parts mPopular;
  read_rate mReadRate;
  // The same over all instances.
  double mReadPerSecond;
  std::size_t mSlots = 0;
  workload_meter mMeter;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_RELAY_POOL_H_
