// Which first parts of prompts all engines of a pool hold by now.
//
//   popular_prefix_blocks parts;
//   parts.OnRequested(work.mFirstBlock, now);
//   if (parts.CachedOnAll(work.mFirstBlock, engines, instances, now)) { ... }
//
// Load pattern: prompts that begin with one of a few texts, the same for all
// sessions, and go on with a session's own. Every engine reads each of the
// texts within a moment and keeps it, as it is used all the time. Counted as a
// part of the session, it is expected to be read again by whichever engine a
// session hasn't been sent to before.
#ifndef THORNHOLLOW_POLICY_POPULAR_PREFIX_BLOCKS_H_
#define THORNHOLLOW_POLICY_POPULAR_PREFIX_BLOCKS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

#include "thornhollow/base/time.h"
#include "thornhollow/policy/decaying_rate.h"

namespace thornhollow {

class popular_prefix_blocks
{
public:
  // Parts that are counted; what is as popular as this asks for is among the
  // first ones that come.
  static constexpr std::size_t kMaxBlocks = 64;

  // A request's prompt begins with `aBlock`; 0: with none of its own.
  void OnRequested(std::uint64_t aBlock, time_point aNow)
  {
    if (aBlock == 0) {
      return;
    }
    if (mBlocks.size() >= kMaxBlocks && !mBlocks.contains(aBlock)) {
      std::erase_if(mBlocks, [aNow](const auto& aEntry) {
        return aEntry.second.PerSecond(aNow) * kTimeConstantSeconds < 1;
      });
    }
    if (mBlocks.size() < kMaxBlocks || mBlocks.contains(aBlock)) {
      mBlocks.try_emplace(aBlock, kTimeConstantSeconds)
        .first->second.Add(1, aNow);
    }
  }

  // All instances are asked for about as many prompts as this one.
  bool CachedOnAll(std::uint64_t aBlock,
                   std::size_t aEngines,
                   std::size_t aInstances,
                   time_point aNow) const
  {
    const auto found = mBlocks.find(aBlock);
    if (found == mBlocks.end()) {
      return false;
    }
    const double requests =
      found->second.PerSecond(aNow) * kTimeConstantSeconds *
      static_cast<double>(std::max<std::size_t>(aInstances, 1));
    return requests >= kMinRequestsPerEngine * static_cast<double>(aEngines);
  }

private:
  // Engines forget what wasn't used for tens of seconds.
  static constexpr double kTimeConstantSeconds = 20;
  // Prompts spread unevenly: with three for each engine in the mean one in
  // twenty has had none.
  static constexpr double kMinRequestsPerEngine = 3;

  std::map<std::uint64_t, decaying_rate> mBlocks;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_POPULAR_PREFIX_BLOCKS_H_
