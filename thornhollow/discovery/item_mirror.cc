#include "thornhollow/discovery/item_mirror.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace thornhollow {

std::vector<item_change>
item_mirror::OnListing(const std::vector<source_item>& aItems,
                       std::uint64_t aRevision)
{
  if (mListed && aRevision < mRevision) {
    return {};
  }
  std::vector<item_change> changes;
  std::set<std::string> listedKeys;
  for (const source_item& each : aItems) {
    listedKeys.insert(each.mKey);
    const auto found = mItems.find(each.mKey);
    if (found == mItems.end() || found->second.mRevision < each.mRevision) {
      changes.push_back({ each.mKey, each.mValue, each.mRevision });
    }
  }
  for (const auto& [key, item] : mItems) {
    if (!listedKeys.contains(key)) {
      changes.push_back({ key, std::nullopt, aRevision });
    }
  }
  for (const item_change& each : changes) {
    if (each.mValue) {
      mItems[each.mKey] = { *each.mValue, each.mRevision };
    } else {
      mItems.erase(each.mKey);
    }
  }
  RecordHistory(changes, mListed ? mRevision : aRevision, aRevision, true);
  if (!mListed || !changes.empty()) {
    mLastChangeRevision = aRevision;
  }
  mListed = true;
  mRevision = aRevision;
  return changes;
}

std::vector<item_change>
item_mirror::OnChanges(const std::vector<item_change>& aChanges,
                       std::uint64_t aRevision)
{
  return Apply(aChanges, aRevision, false);
}

std::vector<item_change>
item_mirror::OnPeerChanges(const std::vector<item_change>& aChanges,
                           std::uint64_t aRequestedAfter,
                           std::uint64_t aRevision)
{
  if (aRequestedAfter != mRevision) {
    return {};
  }
  return Apply(aChanges, aRevision, true);
}

std::vector<item_change>
item_mirror::Apply(const std::vector<item_change>& aChanges,
                   std::uint64_t aRevision,
                   bool aIsUnresolved)
{
  std::vector<item_change> applied;
  // Unlike `applied`, includes deletions of items that this replica doesn't
  // hold, as a peer that requests changes may hold them.
  std::vector<item_change> recorded;
  for (const item_change& each : aChanges) {
    if (each.mRevision <= mRevision) {
      continue;
    }
    const auto found = mItems.find(each.mKey);
    if (found != mItems.end() && found->second.mRevision >= each.mRevision) {
      continue;
    }
    recorded.push_back(each);
    if (each.mValue) {
      mItems[each.mKey] = { *each.mValue, each.mRevision };
    } else if (mItems.erase(each.mKey) == 0) {
      continue;
    }
    applied.push_back(each);
  }
  RecordHistory(recorded, mRevision, aRevision, aIsUnresolved);
  mRevision = std::max(mRevision, aRevision);
  if (!recorded.empty()) {
    mLastChangeRevision = mRevision;
  }
  return applied;
}

std::optional<std::vector<item_change>>
item_mirror::ChangesSince(std::uint64_t aAfter) const
{
  if (!mListed || aAfter < mHistoryStart) {
    return std::nullopt;
  }
  const bool isInsideStep =
    std::ranges::any_of(mUnresolvedSteps, [aAfter](const auto& aStep) {
      return aStep.first < aAfter && aAfter < aStep.second;
    });
  if (isInsideStep) {
    return std::nullopt;
  }
  std::vector<item_change> changes;
  for (const item_change& each : mHistory) {
    if (each.mRevision > aAfter) {
      changes.push_back(each);
    }
  }
  return changes;
}

void
item_mirror::RecordHistory(const std::vector<item_change>& aChanges,
                           std::uint64_t aBefore,
                           std::uint64_t aAfter,
                           bool aIsUnresolved)
{
  if (mHistory.empty()) {
    mHistoryStart = aBefore;
  }
  if (aIsUnresolved && aBefore + 1 < aAfter) {
    mUnresolvedSteps.emplace_back(aBefore, aAfter);
  }
  std::set<std::string_view> changedKeys;
  std::vector<item_change> lastChanges;
  for (auto each = aChanges.rbegin(); each != aChanges.rend(); ++each) {
    if (changedKeys.insert(each->mKey).second) {
      lastChanges.push_back(*each);
    }
  }
  std::erase_if(mHistory, [&changedKeys](const item_change& aEarlier) {
    return changedKeys.contains(aEarlier.mKey);
  });
  mHistory.insert(mHistory.end(), lastChanges.rbegin(), lastChanges.rend());
  while (mHistory.size() > kMaxHistory) {
    mHistoryStart = std::max(mHistoryStart, mHistory.front().mRevision);
    mHistory.pop_front();
  }
  while (mUnresolvedSteps.size() > kMaxHistory ||
         (!mUnresolvedSteps.empty() &&
          mUnresolvedSteps.front().second <= mHistoryStart)) {
    mHistoryStart = std::max(mHistoryStart, mUnresolvedSteps.front().second);
    mUnresolvedSteps.pop_front();
  }
}

std::vector<source_item>
item_mirror::Items() const
{
  std::vector<source_item> items;
  items.reserve(mItems.size());
  for (const auto& [key, item] : mItems) {
    items.push_back({ key, item.mValue, item.mRevision });
  }
  return items;
}

} // namespace thornhollow
