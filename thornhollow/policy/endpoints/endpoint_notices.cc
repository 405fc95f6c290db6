#include "thornhollow/policy/endpoints/endpoint_notices.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace thornhollow {

bool
endpoint_notices::OnLeaving(endpoint_process_hash aProcess, time_point aNow)
{
  return mLeaving.size() < kMaxLeaving &&
         mLeaving.try_emplace(aProcess, aNow).second;
}

bool
endpoint_notices::OnRest(endpoint_process_hash aProcess,
                         duration aFor,
                         time_point aNow)
{
  time_point& until = mRests[aProcess];
  const bool begins = until <= aNow;
  until = std::max(until, aNow + aFor);
  return begins && until > aNow;
}

std::vector<endpoint_process_hash>
endpoint_notices::LatelyLeaving(std::size_t aMaxCount, time_point aNow) const
{
  std::vector<std::pair<time_point, endpoint_process_hash>> lately;
  for (const auto& [process, since] : mLeaving) {
    if (aNow - since < kToldFor) {
      lately.emplace_back(since, process);
    }
  }
  std::ranges::sort(lately, std::greater());
  lately.resize(std::min(lately.size(), aMaxCount));
  std::vector<endpoint_process_hash> processes;
  processes.reserve(lately.size());
  for (const auto& [since, process] : lately) {
    processes.push_back(process);
  }
  return processes;
}

time_point
endpoint_notices::RestUntil(endpoint_process_hash aProcess) const
{
  const auto found = mRests.find(aProcess);
  return found == mRests.end() ? time_point() : found->second;
}

std::vector<endpoint_process_hash>
endpoint_notices::Tick(time_point aNow)
{
  std::erase_if(mLeaving, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kLeavingRetention;
  });
  std::vector<endpoint_process_hash> over;
  std::erase_if(mRests, [&](const auto& aEntry) {
    if (aEntry.second > aNow) {
      return false;
    }
    over.push_back(aEntry.first);
    return true;
  });
  return over;
}

} // namespace thornhollow
