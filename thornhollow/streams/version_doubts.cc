#include "thornhollow/streams/version_doubts.h"

namespace thornhollow {

bool
version_doubts::OnSign(const endpoint_name& aEndpoint, time_point aNow)
{
  const auto [since, isNew] = mSince.try_emplace(aEndpoint, aNow);
  since->second = aNow;
  return isNew;
}

std::vector<endpoint_name>
version_doubts::TakeCleared(time_point aSourceAnswered)
{
  std::vector<endpoint_name> cleared;
  std::erase_if(mSince, [&](const auto& aEntry) {
    const bool isOver = aSourceAnswered - aEntry.second >= mListingDelay;
    if (isOver) {
      cleared.push_back(aEntry.first);
    }
    return isOver;
  });
  return cleared;
}

} // namespace thornhollow
