// Estimates which first prefix blocks are cached on all engines of a pool.
//
//   popular_prefix_blocks blocks;
//   blocks.OnRequested(request.mFirstBlock, now);
//   if (blocks.CachedOnAll(request.mFirstBlock, engines, instances, now)) {
//     ...
//   }
//
// Load pattern: prompts begin with one of a few texts that all sessions share
// and continue with text of their own session. Every engine soon has each of
// the shared texts in its prefix cache and keeps it, because it is in constant
// use. If the shared text were counted as part of the session, every engine to
// which the session has not yet been sent would be expected to prefill it
// again.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_POPULAR_PREFIX_BLOCKS_H_
#define THORNHOLLOW_POLICY_PLACEMENT_POPULAR_PREFIX_BLOCKS_H_

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
  // Maximum number of blocks tracked. A block popular enough for `CachedOnAll`
  // arrives so often that it is among the first to be tracked. Blocks that
  // arrive while the table is full are ignored.
  static constexpr std::size_t kMaxBlocks = 64;

  // Counts a request whose prompt begins with `aBlock`. A request without a
  // separate first block has 0 and isn't counted.
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

  // Whether `aBlock` was requested often enough lately to be cached on each of
  // `aEngines` engines. Assumes that each of `aInstances` instances receives
  // about as many prompts as this one.
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
  // Time constant in which request counts decay: engines evict blocks that have
  // not been used for tens of seconds.
  static constexpr double kTimeConstantSeconds = 20;
  // Minimum average number of requests per engine for a block to count as
  // cached on all engines. Prompts are distributed unevenly: at an average of
  // three per engine, one engine in twenty has received none.
  static constexpr double kMinRequestsPerEngine = 3;

  std::map<std::uint64_t, decaying_rate> mBlocks;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_PLACEMENT_POPULAR_PREFIX_BLOCKS_H_
