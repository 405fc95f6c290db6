// A local copy of the items that a read-only source publishes under one prefix,
// kept in step by listings and changes, or by what a peer holds.
//
//   item_mirror mirror;
//   for (const item_change& each : mirror.OnListing(items, 412)) { ... }
//   for (const item_change& each : mirror.OnChanges(changes, 415)) { ... }
//
// Guards against going back: the source, a lagging replica of it and peers may
// answer late, and an older answer taken after a newer one would bring back a
// removed endpoint or a revoked token. Every step carries the source's revision
// counter, and nothing at or below the one already held is taken.
#ifndef THORNHOLLOW_DISCOVERY_ITEM_MIRROR_H_
#define THORNHOLLOW_DISCOVERY_ITEM_MIRROR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace thornhollow {

struct source_item
{
  std::string mKey;
  std::string mValue;
  // The source's counter at the item's last change.
  std::uint64_t mRevision = 0;

  friend bool operator==(const source_item&, const source_item&) = default;
};

// One item written, or removed where there is no value.
struct item_change
{
  std::string mKey;
  std::optional<std::string> mValue;
  std::uint64_t mRevision = 0;

  friend bool operator==(const item_change&, const item_change&) = default;
};

class item_mirror
{
public:
  // All items as of revision `aAt`. Returns what differs from the copy; nothing
  // where the copy is newer. A listing at the copy's own revision repairs it.
  std::vector<item_change> OnListing(const std::vector<source_item>& aItems,
                                     std::uint64_t aRevision);

  // All that the source changed after the copy's revision, up to `aAt`. Returns
  // what is news here: a change that was seen already is left out.
  std::vector<item_change> OnChanges(const std::vector<item_change>& aChanges,
                                     std::uint64_t aRevision);

  // The same of what a peer answered with `Since(aAsked)`: it may lack items
  // that came and went meanwhile. So it is taken only where the copy is still
  // at the revision that it was asked for: one that has moved on may hold such
  // an item, and would keep it.
  std::vector<item_change> OnPeerChanges(
    const std::vector<item_change>& aChanges,
    std::uint64_t aRequestedAfter,
    std::uint64_t aRevision);

  // True once a listing was taken.
  bool Listed() const { return mListed; }
  // The source's revision up to which the copy is complete; 0 before.
  std::uint64_t Revision() const { return mRevision; }
  // The same as of the last change that the copy took: a peer whose copy is
  // complete up to there lacks nothing that is here.
  std::uint64_t LastChangeRevision() const { return mLastChangeRevision; }
  std::size_t size() const { return mItems.size(); }
  std::vector<source_item> Items() const;

  // What changed after revision `aAfter`, of each item only the last change,
  // the latest last: a configuration of hundreds of kilobytes of which three
  // versions were missed is told once. Nothing where that is longer ago than
  // the copy remembers, or lies inside a step of which it knows both ends only.
  // A peer at such a revision may hold an item that had come and was gone again
  // in that step: it kept it for good, and sent requests to an engine that no
  // longer was.
  std::optional<std::vector<item_change>> ChangesSince(
    std::uint64_t aAfter) const;

private:
  struct stored_item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
  };

  bool mListed = false;
  std::uint64_t mRevision = 0;
  std::uint64_t mLastChangeRevision = 0;
  std::map<std::string, stored_item> mItems;

  // Changes remembered: minutes of those of a large site.
  static constexpr std::size_t kMaxHistory = 256;
  // Of a step from `aBefore` of which both ends are known only, or each change.
  void RecordHistory(const std::vector<item_change>& aChanges,
                     std::uint64_t aBefore,
                     std::uint64_t aAfter,
                     bool aIsUnresolved);
  std::vector<item_change> Apply(const std::vector<item_change>& aChanges,
                                 std::uint64_t aRevision,
                                 bool aIsUnresolved);

  // Of each item the last change, the latest last.
  std::deque<item_change> mHistory;
  // All changes after this revision are remembered.
  std::uint64_t mHistoryStart = 0;
  // Steps of which both ends are known only: from, to.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> mUnresolvedSteps;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_ITEM_MIRROR_H_
