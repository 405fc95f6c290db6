#include "thornhollow/policy/endpoint_notices.h"

#include <algorithm>

namespace thornhollow {

bool
endpoint_notices::OnLeaving(endpoint_process_hash aProcess, time_point aNow)
{
  return mLeaving.insert_or_assign(aProcess, aNow).second;
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

time_point
endpoint_notices::RestUntil(endpoint_process_hash aProcess) const
{
  const auto found = mRests.find(aProcess);
  return found == mRests.end() ? time_point() : found->second;
}

void
endpoint_notices::Tick(time_point aNow)
{
  std::erase_if(mLeaving, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kLeavingRetention;
  });
  std::erase_if(mRests,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
}

} // namespace thornhollow
