#include "thornhollow/fleet/process_gossip.h"

#include <algorithm>
#include <iterator>

namespace thornhollow {

process_gossip::process_gossip(const process_gossip_settings& aSettings,
                               std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
{
}

void
process_gossip::OnNew(endpoint_process_hash aProcess)
{
  mNews.push_back({ aProcess, mSettings.mRounds });
}

std::vector<outgoing_processes>
process_gossip::Due(const std::vector<std::string>& aPeers, time_point aNow)
{
  std::vector<outgoing_processes> due;
  if (mNews.empty() || aNow < mNextAt) {
    return due;
  }
  mNextAt = aNow + mSettings.mMinInterval;
  for (std::size_t at = 0; at < mNews.size(); at += mSettings.mMaxProcesses) {
    outgoing_processes& message = due.emplace_back();
    std::ranges::sample(aPeers,
                        std::back_inserter(message.mTo),
                        static_cast<std::ptrdiff_t>(mSettings.mFanout),
                        mRandom);
    const std::size_t end =
      std::min(mNews.size(), at + mSettings.mMaxProcesses);
    for (std::size_t each = at; each < end; ++each) {
      message.mProcesses.push_back(mNews[each].mProcess);
      --mNews[each].mRoundsLeft;
    }
  }
  std::erase_if(mNews,
                [](const news& aNews) { return aNews.mRoundsLeft <= 0; });
  return due;
}

} // namespace thornhollow
