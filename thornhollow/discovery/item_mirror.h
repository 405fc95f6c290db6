// A local replica of the items that a read-only source publishes under one
// prefix. It is updated by listings and changes of the source, or by a copy
// from a peer.
//
//   item_mirror mirror;
//   for (const item_change& each : mirror.OnListing(items, 412)) { ... }
//   for (const item_change& each : mirror.OnChanges(changes, 415)) { ... }
//
// Guards against reverting to older state: the source, its lagging replicas and
// peers may answer late, and an older answer applied after a newer one would
// restore a removed endpoint or a revoked token. Every update carries the
// source's revision, and updates older than the replica's revision are ignored.
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
  // The source's revision at the last change of the item.
  std::uint64_t mRevision = 0;

  friend bool operator==(const source_item&, const source_item&) = default;
};

// A change of one item: the item was written, or deleted if there is no value.
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
  // Applies a complete listing as of `aRevision`. Returns the changes that it
  // made to the replica; none if the replica is newer. A listing at the
  // replica's own revision is still applied and corrects differences.
  std::vector<item_change> OnListing(const std::vector<source_item>& aItems,
                                     std::uint64_t aRevision);

  // Applies all changes of the source after the replica's revision, up to
  // `aRevision`. Returns the changes that altered the replica.
  std::vector<item_change> OnChanges(const std::vector<item_change>& aChanges,
                                     std::uint64_t aRevision);

  // Applies a peer's answer to `ChangesSince(aRequestedAfter)`. The answer may
  // omit items that were created and deleted between the two revisions, so it
  // is applied only if the replica is still at the requested revision: a
  // replica that has advanced since may hold such an item and would never
  // delete it.
  std::vector<item_change> OnPeerChanges(
    const std::vector<item_change>& aChanges,
    std::uint64_t aRequestedAfter,
    std::uint64_t aRevision);

  // Whether a complete listing of the source or of a peer has been applied.
  bool Listed() const { return mListed; }
  // The source's revision up to which the replica is complete; 0 initially.
  std::uint64_t Revision() const { return mRevision; }
  // The mirror's revision after the last update that contained a change. A peer
  // whose replica is complete up to this revision has all changes that this
  // replica has.
  std::uint64_t LastChangeRevision() const { return mLastChangeRevision; }
  std::size_t size() const { return mItems.size(); }
  std::vector<source_item> Items() const;

  // The last change of each item that changed after revision `aAfter`, oldest
  // first; intermediate versions are omitted, as an item may be a configuration
  // of hundreds of kilobytes. Nothing if the history doesn't reach back that
  // far, or if `aAfter` lies within an update of which only the first and last
  // revisions are known. A peer at such a revision may hold an item that was
  // created and deleted within the update; it would never delete the item and
  // would keep sending requests to an engine that no longer exists.
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

  // Maximum number of changes in the history: several minutes of changes at a
  // large site.
  static constexpr std::size_t kMaxHistory = 256;
  // Adds an update from revision `aBefore` to revision `aAfter` to the history.
  // `aIsUnresolved` means that `aChanges` has only the last change of each
  // item, so that the state at revisions between `aBefore` and `aAfter` is not
  // known.
  void RecordHistory(const std::vector<item_change>& aChanges,
                     std::uint64_t aBefore,
                     std::uint64_t aAfter,
                     bool aIsUnresolved);
  std::vector<item_change> Apply(const std::vector<item_change>& aChanges,
                                 std::uint64_t aRevision,
                                 bool aIsUnresolved);

  // The last change of each item, oldest first.
  std::deque<item_change> mHistory;
  // The history contains all changes after this revision.
  std::uint64_t mHistoryStart = 0;
  // Updates for which the state between their first and last revision is not
  // known, as pairs of the first and the last revision.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> mUnresolvedSteps;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_ITEM_MIRROR_H_
