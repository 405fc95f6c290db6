#include <map>
#include <random>

#include <doctest/doctest.h>

#include "thornhollow/discovery/item_mirror.h"

namespace thornhollow {
namespace {

struct mirror_with_two_items
{
  item_mirror mMirror;

  mirror_with_two_items()
  {
    mMirror.OnListing({ { "a", "1", 5 }, { "b", "2", 7 } }, 10);
  }
};

TEST_CASE_FIXTURE(mirror_with_two_items,
                  "item_mirror/listing_without_an_item/removes_it")
{
  const auto changes = mMirror.OnListing({ { "a", "1", 5 } }, 12);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0] == item_change{ "b", std::nullopt, 12 });
  CHECK(mMirror.Revision() == 12);
}

TEST_CASE_FIXTURE(mirror_with_two_items,
                  "item_mirror/older_listing/changes_nothing")
{
  // Guards against accepting a revoked token again: a partitioned instance
  // requests a copy from a peer, and the copy, which is older than the
  // revocation, arrives after the source's own answer.
  CHECK(mMirror.OnListing({ { "a", "old", 4 } }, 9).empty());
  CHECK(mMirror.Items().size() == 2);
  CHECK(mMirror.Revision() == 10);
}

TEST_CASE_FIXTURE(mirror_with_two_items,
                  "item_mirror/changes_seen_before/are_left_out")
{
  CHECK(mMirror.OnChanges({ { "a", "0", 9 } }, 10).empty());
  const auto changes =
    mMirror.OnChanges({ { "a", "3", 11 }, { "b", std::nullopt, 12 } }, 12);
  CHECK(changes.size() == 2);
  CHECK(mMirror.Items() == std::vector<source_item>{ { "a", "3", 11 } });
}

// Guards against an item that a peer never deletes: the item was created and
// deleted within one update of this replica, and the peer has received only the
// creation.
TEST_CASE_FIXTURE(mirror_with_two_items,
                  "item_mirror/removal_of_what_is_not_held/is_told_to_peers")
{
  item_mirror peer;
  peer.OnListing({ { "a", "1", 5 }, { "b", "2", 7 }, { "c", "4", 11 } }, 11);
  CHECK(mMirror.OnChanges({ { "c", std::nullopt, 12 } }, 12).empty());
  CHECK(mMirror.LastChangeRevision() == 12);
  const auto since = mMirror.ChangesSince(peer.Revision());
  REQUIRE(since.has_value());
  CHECK(peer.OnPeerChanges(*since, 11, mMirror.Revision()).size() == 1);
  CHECK(peer.Items() == mMirror.Items());
}

// Guards against peers requesting copies without changes each time that a
// reader's watch ends.
TEST_CASE_FIXTURE(mirror_with_two_items,
                  "item_mirror/source_moves_on_without_news/last_change_stays")
{
  CHECK(mMirror.LastChangeRevision() == 10);
  mMirror.OnChanges({}, 20);
  mMirror.OnListing({ { "a", "1", 5 }, { "b", "2", 7 } }, 25);
  CHECK(mMirror.Revision() == 25);
  CHECK(mMirror.LastChangeRevision() == 10);
  mMirror.OnChanges({ { "a", "3", 30 } }, 31);
  CHECK(mMirror.LastChangeRevision() == 31);
}

TEST_CASE_FIXTURE(mirror_with_two_items,
                  "item_mirror/changes_since/make_another_copy_equal")
{
  item_mirror other;
  other.OnListing({ { "a", "1", 5 }, { "b", "2", 7 } }, 10);
  mMirror.OnChanges({ { "a", "3", 11 } }, 11);
  mMirror.OnListing({ { "a", "3", 11 }, { "c", "4", 13 } }, 14);
  const auto since = mMirror.ChangesSince(10);
  REQUIRE(since.has_value());
  other.OnChanges(*since, mMirror.Revision());
  CHECK(other.Items() == mMirror.Items());
  CHECK(other.Revision() == 14);
  CHECK_FALSE(mMirror.ChangesSince(9).has_value());
  CHECK_FALSE(item_mirror().ChangesSince(0).has_value());
}

TEST_CASE_FIXTURE(mirror_with_two_items,
                  "item_mirror/more_changes_than_remembered/gives_none")
{
  for (std::uint64_t revision = 11; revision < 400; ++revision) {
    mMirror.OnChanges({ { "item-" + std::to_string(revision), "", revision } },
                      revision);
  }
  CHECK_FALSE(mMirror.ChangesSince(20).has_value());
  CHECK(mMirror.ChangesSince(390)->size() == 9);
}

// Guards against sending a peer every version of a large document that it
// missed, and against a history that grows with each version.
TEST_CASE_FIXTURE(mirror_with_two_items,
                  "item_mirror/item_changed_often/its_last_change_is_told")
{
  for (std::uint64_t revision = 11; revision < 400; ++revision) {
    mMirror.OnChanges({ { "a", std::to_string(revision), revision } },
                      revision);
  }
  const std::vector<item_change> result{ { "a", "399", 399 } };
  CHECK(mMirror.ChangesSince(10) == result);
  CHECK(mMirror.ChangesSince(390) == result);
  CHECK(mMirror.ChangesSince(399)->empty());
}

TEST_CASE("item_mirror/random_answers/never_go_back_and_end_equal")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    std::map<std::string, source_item> sourceItems;
    std::vector<std::pair<std::vector<source_item>, std::uint64_t>> history;
    item_mirror mirror;
    std::map<std::string, std::uint64_t> newestRevisions;
    for (std::uint64_t revision = 1; revision <= 60; ++revision) {
      const std::string key(1, static_cast<char>('a' + random() % 5));
      if (random() % 3 == 0) {
        sourceItems.erase(key);
      } else {
        sourceItems[key] = { key, std::to_string(revision), revision };
      }
      std::vector<source_item> all;
      all.reserve(sourceItems.size());
      for (const auto& [name, item] : sourceItems) {
        all.push_back(item);
      }
      history.emplace_back(all, revision);
      // A randomly chosen earlier or current listing arrives.
      const auto& [items, at] = history[random() % history.size()];
      for (const item_change& each : mirror.OnListing(items, at)) {
        CHECK(each.mRevision >= newestRevisions[each.mKey]);
        newestRevisions[each.mKey] = each.mRevision;
      }
    }
    mirror.OnListing(history.back().first, history.back().second);
    CHECK(mirror.Items() == history.back().first);
  }
}

} // namespace
} // namespace thornhollow
