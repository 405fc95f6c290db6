// Bounds that endpoints name for all instances together, and this instance's
// part of each; logs each bound's beginning, change and end.
//
//   bound_guard bounds(log, metrics, ownAddress);
//   bounds.OnListed(process, endpoint);
//   bounds.OnAnswer(process, marks, now);
//   bounds.SetInstances(pool, others, reachesPool, present, now);
//   const auto part = bounds.RefusalPart(process);
//
// Engines of a pool become brittle together. While some say so, one of the same
// pool that has not said a word yet, as it has just started again, counts as
// the most brittle of them: all instances would send to it at once. That holds
// also after all of them ended, until one says something else.
//
// What an endpoint takes while it warms up is such a bound as well: its pool
// declares it, and the endpoint's entry states how long it holds.
//
// An instance that has just started, or that stood still, has no part for a
// moment: others may believe that it is gone and have taken its parts.
#ifndef THORNHOLLOW_DAEMON_BOUND_GUARD_H_
#define THORNHOLLOW_DAEMON_BOUND_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/discovery/endpoint_roster.h"
#include "thornhollow/policy/endpoints/endpoint_bounds.h"
#include "thornhollow/policy/endpoints/endpoint_shares.h"
#include "thornhollow/policy/endpoints/refusal_gate.h"
#include "thornhollow/policy/endpoints/request_gate.h"
#include "thornhollow/policy/endpoints/warm_up.h"
#include "thornhollow/request/relay_headers.h"
#include "thornhollow/routing/routing_document.h"

namespace thornhollow {

class bound_guard
{
public:
  // `aLog` and `aMetrics` must outlive this object.
  bound_guard(json_log& aLog, metrics& aMetrics, std::string aOwnAddress);

  // `aListener` is called with each process whose bounds have changed.
  void OnNewWord(std::function<void(endpoint_process_hash)> aListener)
  {
    mOnNewWord = std::move(aListener);
  }

  // The process is used. Ended ones are forgotten.
  void Register(endpoint_process_hash aProcess,
                const endpoint_name& aEndpoint,
                const pool_name& aPool,
                std::uint32_t aSlots);
  // The process is listed, or its entry changed.
  void OnListed(endpoint_process_hash aProcess,
                const listed_endpoint& aEndpoint,
                time_point aNow);
  // Sets what the pool's endpoints take while they warm up.
  void SetWarmUp(const pool_name& aPool, const warm_up_spec& aSpec)
  {
    mWarmUpSpecs[aPool] = aSpec;
  }
  // The registered process reports how long it warms up as of `aMeasuredAt`.
  void OnWarmUpReported(endpoint_process_hash aProcess,
                        duration aLeft,
                        time_point aMeasuredAt,
                        time_point aNow);
  // The process is taken to be warming up from now on: it may have become cold
  // meanwhile, as nothing was sent to it. `aBy`: what tells so, for the log;
  // `aAge`: how long ago it may have begun to warm up.
  void PresumeCold(endpoint_process_hash aProcess,
                   std::string_view aBy,
                   time_point aNow,
                   duration aAge = {});
  // Returns the processes whose warm-up has ended since the last call.
  std::vector<endpoint_process_hash> TakeWarm(time_point aNow);
  // Number of processes that warm up.
  std::size_t WarmingUp() const { return mWarmUps.size(); }
  void Forget(endpoint_process_hash aProcess);

  // Takes what the process said with an answer to this instance. Returns
  // whether its bounds are others than before.
  bool OnAnswer(endpoint_process_hash aProcess,
                const answer_marks& aMarks,
                time_point aNow);
  // Takes what peers heard. Returns the pools with an endpoint whose bounds are
  // others than before.
  std::set<pool_name> OnReported(const std::vector<bounds_word>& aWords);

  // What peers are told.
  std::vector<bounds_word> Words(std::size_t aMaxCount, time_point aNow)
  {
    return mMemory.Words(aMaxCount, aNow);
  }
  std::optional<bounds_word> WordOf(endpoint_process_hash aProcess) const
  {
    return mMemory.WordOf(aProcess);
  }

  // Pools of which an endpoint names a bound.
  std::set<pool_name> PoolsWithBounds() const;
  // To be called every 100 ms. `aAny`: whether other instances are alive.
  void OnPeersHeard(bool aAny, time_point aNow);
  // Sets who may send to the pool's endpoints: `aOthers` and, if `aReaches`,
  // this instance. `aPresent`: the fraction of the instances of the last minute
  // that is alive. Returns whether parts may have changed.
  bool SetInstances(const pool_name& aPool,
                    const std::vector<std::string>& aOthers,
                    bool aReaches,
                    double aPresent,
                    time_point aNow);
  // To be called after this process stood still.
  void OnClockGap(time_point aNow);

  // This instance's part of each bound; unset if the endpoint names none.
  std::optional<refusal_part> RefusalPart(endpoint_process_hash aProcess) const;
  std::optional<double> RequestRate(endpoint_process_hash aProcess,
                                    time_point aNow) const;

private:
  // After a start, the time in which the others hear of this instance.
  static constexpr duration kJoinDelay = Milliseconds(1'500);
  // From this long after the start, an instance that has heard no other one is
  // taken to be the only one.
  static constexpr duration kAloneDelay = Seconds(2);
  // After a pause, the time in which the others' latest words arrive.
  static constexpr duration kGapDelay = Seconds(1);

  struct listed
  {
    endpoint_name mName;
    pool_name mPool;
    std::uint32_t mSlots = 0;
  };

  bool TakesPart(time_point aNow) const;
  // Requests a second that the process takes from all instances together.
  std::optional<double> RequestBound(endpoint_process_hash aProcess,
                                     time_point aNow) const;
  bool OnWord(const bounds_word& aWord, std::string_view aBy);
  void UpdatePool(const pool_name& aPool);
  std::optional<double> Refusals(endpoint_process_hash aProcess,
                                 const pool_name& aPool) const;
  void LogWarmUp(const endpoint_name& aEndpoint,
                 std::string_view aBy,
                 duration aLength);
  void LogUnreadable(endpoint_process_hash aProcess);
  void LogChange(const bounds_word& aWord, std::string_view aBy);

  json_log& mLog;
  metrics& mMetrics;
  std::string mOwnAddress;
  std::function<void(endpoint_process_hash)> mOnNewWord;
  endpoint_bounds_memory mMemory;
  std::map<endpoint_process_hash, listed> mListed;
  // Of the pools whose endpoints name how much they may turn away.
  std::map<pool_name, double> mLeastRefusals;
  std::set<pool_name> mPoolsWithRates;
  std::map<pool_name, warm_up_spec> mWarmUpSpecs;
  warm_up_memory mWarmUps;
  std::map<pool_name, endpoint_shares> mShares;
  std::optional<time_point> mStarted;
  std::optional<time_point> mOthersHeard;
  time_point mNotBefore{};
  // Processes that named a bound that can't be read, each logged once.
  std::set<endpoint_process_hash> mUnreadable;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_BOUND_GUARD_H_
