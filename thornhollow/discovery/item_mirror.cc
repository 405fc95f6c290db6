#include "thornhollow/discovery/item_mirror.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace thornhollow {

std::vector<item_change>
item_mirror::OnListing(const std::vector<source_item>& aItems,
                       std::uint64_t aAt)
{
  if (mListed && aAt < mAt) {
    return {};
  }
  std::vector<item_change> changes;
  std::set<std::string> present;
  for (const source_item& each : aItems) {
    present.insert(each.mKey);
    const auto found = mItems.find(each.mKey);
    if (found == mItems.end() || found->second.mRevision < each.mRevision) {
      changes.push_back({ each.mKey, each.mValue, each.mRevision });
    }
  }
  for (const auto& [key, item] : mItems) {
    if (!present.contains(key)) {
      changes.push_back({ key, std::nullopt, aAt });
    }
  }
  for (const item_change& each : changes) {
    if (each.mValue) {
      mItems[each.mKey] = { *each.mValue, each.mRevision };
    } else {
      mItems.erase(each.mKey);
    }
  }
  Remember(changes, mListed ? mAt : aAt, aAt, true);
  if (!mListed || !changes.empty()) {
    mChangedAt = aAt;
  }
  mListed = true;
  mAt = aAt;
  return changes;
}

std::vector<item_change>
item_mirror::OnChanges(const std::vector<item_change>& aChanges,
                       std::uint64_t aAt)
{
  return Take(aChanges, aAt, false);
}

std::vector<item_change>
item_mirror::OnPeerChanges(const std::vector<item_change>& aChanges,
                           std::uint64_t aAsked,
                           std::uint64_t aAt)
{
  if (aAsked != mAt) {
    return {};
  }
  return Take(aChanges, aAt, true);
}

std::vector<item_change>
item_mirror::Take(const std::vector<item_change>& aChanges,
                  std::uint64_t aAt,
                  bool aEndsOnly)
{
  std::vector<item_change> news;
  // With removals of what wasn't held here: a peer may hold it.
  std::vector<item_change> told;
  for (const item_change& each : aChanges) {
    if (each.mRevision <= mAt) {
      continue;
    }
    const auto found = mItems.find(each.mKey);
    if (found != mItems.end() && found->second.mRevision >= each.mRevision) {
      continue;
    }
    told.push_back(each);
    if (each.mValue) {
      mItems[each.mKey] = { *each.mValue, each.mRevision };
    } else if (mItems.erase(each.mKey) == 0) {
      continue;
    }
    news.push_back(each);
  }
  Remember(told, mAt, aAt, aEndsOnly);
  mAt = std::max(mAt, aAt);
  if (!told.empty()) {
    mChangedAt = mAt;
  }
  return news;
}

std::optional<std::vector<item_change>>
item_mirror::Since(std::uint64_t aAfter) const
{
  if (!mListed || aAfter < mLatelyAfter) {
    return std::nullopt;
  }
  const bool inside = std::ranges::any_of(mJumps, [aAfter](const auto& aJump) {
    return aJump.first < aAfter && aAfter < aJump.second;
  });
  if (inside) {
    return std::nullopt;
  }
  std::vector<item_change> changes;
  for (const item_change& each : mLately) {
    if (each.mRevision > aAfter) {
      changes.push_back(each);
    }
  }
  return changes;
}

void
item_mirror::Remember(const std::vector<item_change>& aChanges,
                      std::uint64_t aBefore,
                      std::uint64_t aAfter,
                      bool aEndsOnly)
{
  if (mLately.empty()) {
    mLatelyAfter = aBefore;
  }
  if (aEndsOnly && aBefore + 1 < aAfter) {
    mJumps.emplace_back(aBefore, aAfter);
  }
  std::set<std::string_view> changed;
  std::vector<item_change> last;
  for (auto each = aChanges.rbegin(); each != aChanges.rend(); ++each) {
    if (changed.insert(each->mKey).second) {
      last.push_back(*each);
    }
  }
  std::erase_if(mLately, [&changed](const item_change& aEarlier) {
    return changed.contains(aEarlier.mKey);
  });
  mLately.insert(mLately.end(), last.rbegin(), last.rend());
  while (mLately.size() > kRemembered) {
    mLatelyAfter = std::max(mLatelyAfter, mLately.front().mRevision);
    mLately.pop_front();
  }
  while (mJumps.size() > kRemembered ||
         (!mJumps.empty() && mJumps.front().second <= mLatelyAfter)) {
    mLatelyAfter = std::max(mLatelyAfter, mJumps.front().second);
    mJumps.pop_front();
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
