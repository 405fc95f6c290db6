#include "thornhollow/policy/endpoints/endpoint_states.h"

#include <algorithm>
#include <utility>

namespace thornhollow {

endpoint_state_changes
endpoint_states::OnPlatformList(std::set<endpoint_name> aLeaving)
{
  const std::set<endpoint_name> before =
    std::exchange(mListed, std::move(aLeaving));
  endpoint_state_changes changes;
  for (const endpoint_name& each : mListed) {
    if (!before.contains(each) && !mReported.contains(each)) {
      changes.push_back({ each, endpoint_state::kLeaving });
    }
  }
  for (const endpoint_name& each : before) {
    if (!IsLeaving(each)) {
      changes.push_back({ each, endpoint_state::kLive });
    }
  }
  return changes;
}

endpoint_state_changes
endpoint_states::OnLeavingReported(const endpoint_name& aEndpoint,
                                   time_point aUntil)
{
  const bool before = IsLeaving(aEndpoint);
  time_point& until = mReported[aEndpoint];
  until = std::max(until, aUntil);
  return before
           ? endpoint_state_changes{}
           : endpoint_state_changes{ { aEndpoint, endpoint_state::kLeaving } };
}

endpoint_state_changes
endpoint_states::Advance(time_point aNow)
{
  endpoint_state_changes changes;
  for (auto each = mReported.begin(); each != mReported.end();) {
    if (each->second > aNow) {
      ++each;
      continue;
    }
    if (!mListed.contains(each->first)) {
      changes.push_back({ each->first, endpoint_state::kLive });
    }
    each = mReported.erase(each);
  }
  return changes;
}

std::optional<time_point>
endpoint_states::NextDue() const
{
  const auto first = std::ranges::min_element(
    mReported, {}, [](const auto& aEntry) { return aEntry.second; });
  return first == mReported.end() ? std::nullopt : std::optional(first->second);
}

bool
endpoint_states::IsLeaving(const endpoint_name& aEndpoint) const
{
  return mListed.contains(aEndpoint) || mReported.contains(aEndpoint);
}

} // namespace thornhollow
