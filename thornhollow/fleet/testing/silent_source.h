// For tests: a source of two types of items in virtual time, with outages in
// which it is silent.
//
//   silent_source source;
//   source.Silence(from, until);
//   source.ScheduleChange(at, source_item_type::kEndpoints, "engine-7", true);
//   source.Publish(now);
//   const auto changes = source.ChangesAfter(source_item_type::kEndpoints, 3);
#ifndef THORNHOLLOW_FLEET_TESTING_SILENT_SOURCE_H_
#define THORNHOLLOW_FLEET_TESTING_SILENT_SOURCE_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/discovery/item_mirror.h"
#include "thornhollow/discovery/item_source.h"

namespace thornhollow {

enum class source_item_type : std::uint8_t
{
  kConfiguration,
  kEndpoints,
};

// A change of one item that the source has acknowledged.
struct source_change
{
  source_item_type mType{};
  std::string mKey;
  bool mRemoved = false;
  std::uint64_t mRevision = 0;
  time_point mAt{};
  // When every instance had applied the change; set by the observer of the
  // source.
  std::optional<time_point> mAppliedEverywhereAt = std::nullopt;
};

class silent_source
{
public:
  static constexpr std::uint64_t kNewest =
    std::numeric_limits<std::uint64_t>::max();

  void Silence(time_point aFrom, time_point aUntil)
  {
    mSilences.push_back({ aFrom, aUntil });
  }

  // Schedules a change. It is published at `aAt` or, if the source is silent at
  // that time, as soon as the source answers again.
  void ScheduleChange(time_point aAt,
                      source_item_type aType,
                      std::string aKey,
                      bool aRemoves)
  {
    const auto position =
      std::ranges::upper_bound(mScheduled, aAt, {}, &scheduled_change::mAt);
    mScheduled.insert(position, { aAt, aType, std::move(aKey), aRemoves });
  }

  // Publishes the scheduled changes whose time has come.
  void Publish(time_point aNow)
  {
    while (!mScheduled.empty() && mScheduled.front().mAt <= aNow &&
           !IsSilent(aNow, aNow)) {
      const scheduled_change& next = mScheduled.front();
      mChanges.push_back(
        { next.mType, next.mKey, next.mRemoved, ++mRevision, aNow });
      mScheduled.erase(mScheduled.begin());
    }
  }

  // Whether the source is silent at any time from `aFrom` to `aUntil`.
  bool IsSilent(time_point aFrom, time_point aUntil) const
  {
    return std::ranges::any_of(mSilences, [&](const time_range& aSilence) {
      return aSilence.mFrom <= aUntil && aFrom < aSilence.mUntil;
    });
  }

  std::uint64_t Revision() const { return mRevision; }
  const std::vector<source_change>& Changes() const { return mChanges; }
  std::vector<source_change>& Changes() { return mChanges; }

  // Returns the answer to a watch that starts after revision `aAt`, with the
  // changes up to revision `aUntil`.
  std::vector<item_change> ChangesAfter(source_item_type aType,
                                        std::uint64_t aAt,
                                        std::uint64_t aUntil = kNewest) const
  {
    std::vector<item_change> result;
    for (const source_change& each : mChanges) {
      if (each.mType == aType && each.mRevision > aAt &&
          each.mRevision <= aUntil) {
        item_change change{ each.mKey, std::nullopt, each.mRevision };
        if (!each.mRemoved) {
          change.mValue = std::to_string(each.mRevision);
        }
        result.push_back(change);
      }
    }
    return result;
  }

  source_listing Listing(source_item_type aType,
                         std::uint64_t aUntil = kNewest) const
  {
    std::map<std::string, source_item> items;
    for (const item_change& each : ChangesAfter(aType, 0, aUntil)) {
      items.erase(each.mKey);
      if (each.mValue) {
        items[each.mKey] = { each.mKey, *each.mValue, each.mRevision };
      }
    }
    source_listing listing{ {}, std::min(mRevision, aUntil) };
    for (const auto& [key, item] : items) {
      listing.mItems.push_back(item);
    }
    return listing;
  }

private:
  struct time_range
  {
    time_point mFrom{};
    time_point mUntil{};
  };
  struct scheduled_change
  {
    time_point mAt{};
    source_item_type mType{};
    std::string mKey;
    bool mRemoved = false;
  };

  std::vector<time_range> mSilences;
  std::vector<scheduled_change> mScheduled;
  std::vector<source_change> mChanges;
  std::uint64_t mRevision = 1;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_SILENT_SOURCE_H_
