// Which first parts of prompts all engines of a pool hold by now.
//
//   popular_parts parts;
//   parts.OnAsked(work.mFirstPart, now);
//   if (parts.HeldByAll(work.mFirstPart, engines, instances, now)) { ... }
//
// Load pattern: prompts that begin with one of a few texts, the same for all
// sessions, and go on with a session's own. Every engine reads each of the
// texts within a moment and keeps it, as it is used all the time. Counted as a
// part of the session, it is expected to be read again by whichever engine a
// session hasn't been sent to before.
#ifndef THORNHOLLOW_POLICY_POPULAR_PARTS_H_
#define THORNHOLLOW_POLICY_POPULAR_PARTS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/faded_rate.h"

namespace thornhollow {

class popular_parts
{
public:
  // Parts that are counted; what is as popular as this asks for is among the
  // first ones that come.
  static constexpr std::size_t kMaxParts = 64;

  // A request's prompt begins with `aPart`; 0: with none of its own.
  void OnAsked(std::uint64_t aPart, time_point aNow)
  {
    if (aPart == 0) {
      return;
    }
    if (mParts.size() >= kMaxParts && !mParts.contains(aPart)) {
      std::erase_if(mParts, [aNow](const auto& aOne) {
        return aOne.second.PerSecond(aNow) * kMemorySeconds < 1;
      });
    }
    if (mParts.size() < kMaxParts || mParts.contains(aPart)) {
      mParts.try_emplace(aPart, kMemorySeconds).first->second.Add(1, aNow);
    }
  }

  // All instances are asked for about as many prompts as this one.
  bool HeldByAll(std::uint64_t aPart,
                 std::size_t aEngines,
                 std::size_t aInstances,
                 time_point aNow) const
  {
    const auto found = mParts.find(aPart);
    if (found == mParts.end()) {
      return false;
    }
    const double asked =
      found->second.PerSecond(aNow) * kMemorySeconds *
      static_cast<double>(std::max<std::size_t>(aInstances, 1));
    return asked >= kForEachEngine * static_cast<double>(aEngines);
  }

private:
  // Engines forget what wasn't used for tens of seconds.
  static constexpr double kMemorySeconds = 20;
  // Prompts spread unevenly: with three for each engine in the mean one in
  // twenty has had none.
  static constexpr double kForEachEngine = 3;

  std::map<std::uint64_t, faded_rate> mParts;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_POPULAR_PARTS_H_
