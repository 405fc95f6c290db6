#include "thornhollow/policy/endpoint_states.h"

#include <algorithm>
#include <utility>

namespace thornhollow {

state_changes
endpoint_states::OnList(std::set<endpoint_name> aLeaving)
{
  const std::set<endpoint_name> before =
    std::exchange(mListed, std::move(aLeaving));
  state_changes changes;
  for (const endpoint_name& each : mListed) {
    if (!before.contains(each) && !mTold.contains(each)) {
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

state_changes
endpoint_states::OnTold(const endpoint_name& aEndpoint, time_point aUntil)
{
  const bool before = IsLeaving(aEndpoint);
  time_point& until = mTold[aEndpoint];
  until = std::max(until, aUntil);
  return before ? state_changes{}
                : state_changes{ { aEndpoint, endpoint_state::kLeaving } };
}

state_changes
endpoint_states::Advance(time_point aNow)
{
  state_changes changes;
  for (auto each = mTold.begin(); each != mTold.end();) {
    if (each->second > aNow) {
      ++each;
      continue;
    }
    if (!mListed.contains(each->first)) {
      changes.push_back({ each->first, endpoint_state::kLive });
    }
    each = mTold.erase(each);
  }
  return changes;
}

std::optional<time_point>
endpoint_states::NextDue() const
{
  const auto first = std::ranges::min_element(
    mTold, {}, [](const auto& aEntry) { return aEntry.second; });
  return first == mTold.end() ? std::nullopt : std::optional(first->second);
}

bool
endpoint_states::IsLeaving(const endpoint_name& aEndpoint) const
{
  return mListed.contains(aEndpoint) || mTold.contains(aEndpoint);
}

} // namespace thornhollow
