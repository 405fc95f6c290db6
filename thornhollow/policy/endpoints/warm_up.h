// Which endpoint processes are warming up, and until when. While an endpoint
// warms up it takes only so many requests a second, which its pool declares,
// from all instances together.
//
//   warm_up_memory warmUps;
//   if (warmUps.OnStated(process, Milliseconds(2'400), now)) { ... }
//   const bool limited = warmUps.IsWarmingUp(process, now);
//
// Guards against endpoints that fall over when they come back: a new process
// has no load, so that every instance prefers it, and all send to it in its
// first second. An endpoint states in its listed entry how long it still warms
// up, before any instance has sent it a request.
//
// An endpoint's own word is followed until the next one. Where it may have
// become cold without a word, as nothing was sent to it for a while, it is
// presumed to be: that holds for the whole time of a warm-up, because a word
// may have been written before.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_WARM_UP_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_WARM_UP_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

class warm_up_memory
{
public:
  // The process states that it warms up for `aLeft` from now on; zero: it does
  // not. Returns whether it begins or stops to warm up by that.
  bool OnStated(endpoint_process_hash aProcess, duration aLeft, time_point aNow)
  {
    const bool before = IsWarmingUp(aProcess, aNow);
    if (aLeft > duration::zero() || mProcesses.contains(aProcess)) {
      mProcesses[aProcess].mStatedUntil = aNow + aLeft;
    }
    return before != IsWarmingUp(aProcess, aNow);
  }

  // The same for a report of the process about its state at `aMeasuredAt`,
  // which ends a presumption that began before that.
  bool OnReported(endpoint_process_hash aProcess,
                  duration aLeft,
                  time_point aMeasuredAt,
                  time_point aNow)
  {
    const bool before = IsWarmingUp(aProcess, aNow);
    const auto found = mProcesses.find(aProcess);
    if (found != mProcesses.end() && found->second.mPresumedAt <= aMeasuredAt) {
      found->second.mPresumedUntil = time_point();
    }
    if (aMeasuredAt + aLeft > aNow || found != mProcesses.end()) {
      mProcesses[aProcess].mStatedUntil = aMeasuredAt + aLeft;
    }
    return before != IsWarmingUp(aProcess, aNow);
  }

  // The process may have become cold without a word, and warms up for `aLength`
  // from now on; nothing if that is over.
  void Presume(endpoint_process_hash aProcess,
               duration aLength,
               time_point aNow)
  {
    warm_up& presumed = mProcesses[aProcess];
    presumed.mPresumedAt = aNow;
    presumed.mPresumedUntil = std::max(presumed.mPresumedUntil, aNow + aLength);
  }

  bool IsWarmingUp(endpoint_process_hash aProcess, time_point aNow) const
  {
    const auto found = mProcesses.find(aProcess);
    return found != mProcesses.end() && aNow < found->second.Until();
  }

  // The same as of the last call of `TakeEnded`.
  bool Knows(endpoint_process_hash aProcess) const
  {
    return mProcesses.contains(aProcess);
  }

  // Forgets the processes whose warm-up has ended, and returns them.
  std::vector<endpoint_process_hash> TakeEnded(time_point aNow)
  {
    std::vector<endpoint_process_hash> ended;
    for (const auto& [process, each] : mProcesses) {
      if (aNow >= each.Until()) {
        ended.push_back(process);
      }
    }
    for (const endpoint_process_hash each : ended) {
      mProcesses.erase(each);
    }
    return ended;
  }

  // Forgets the process, which has ended.
  void Forget(endpoint_process_hash aProcess) { mProcesses.erase(aProcess); }

  // Processes that warm up, or did at the last call of `TakeEnded`.
  std::size_t size() const { return mProcesses.size(); }

private:
  struct warm_up
  {
    time_point mStatedUntil{};
    time_point mPresumedAt{};
    time_point mPresumedUntil{};

    time_point Until() const { return std::max(mStatedUntil, mPresumedUntil); }
  };

  std::map<endpoint_process_hash, warm_up> mProcesses;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_WARM_UP_H_
