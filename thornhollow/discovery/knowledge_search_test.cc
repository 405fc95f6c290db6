#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "thornhollow/discovery/item_mirror.h"

namespace thornhollow {
namespace {

using state = std::map<std::string, std::pair<std::string, std::uint64_t>>;

// A source with all that it ever held.
class source
{
public:
  std::uint64_t At() const { return mStates.size() - 1; }
  const state& Then(std::uint64_t aAt) const { return mStates.at(aAt); }

  void Change(std::mt19937_64& aRandom)
  {
    const std::string key(1, static_cast<char>('a' + aRandom() % 6));
    state next = mStates.back();
    const std::uint64_t revision = mStates.size();
    item_change change{ key, std::nullopt, revision };
    if (aRandom() % 3 == 0) {
      next.erase(key);
    } else {
      change.mValue = std::to_string(aRandom() % 1'000);
      next[key] = { *change.mValue, revision };
    }
    mStates.push_back(std::move(next));
    mChanges.push_back(std::move(change));
  }

  std::vector<item_change> After(std::uint64_t aAt) const
  {
    return { mChanges.begin() + static_cast<std::ptrdiff_t>(aAt),
             mChanges.end() };
  }

private:
  std::vector<state> mStates = { {} };
  std::vector<item_change> mChanges;
};

struct whole
{
  std::vector<source_item> mItems;
};
struct part
{
  std::vector<item_change> mChanges;
  // The revision that a peer was asked for; nothing for the source's own.
  std::optional<std::uint64_t> mAsked = std::nullopt;
};

// An answer of the source or of a peer, on its way to an instance.
struct message
{
  std::size_t mTo = 0;
  std::variant<whole, part> mWhat;
  std::uint64_t mAt = 0;
};

// Instances that ask a source, of which any may be cut off, and each other;
// answers overtake each other and come late.
class condition
{
public:
  explicit condition(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mSubjects(2 + mRandom() % 4)
    , mCutOff(mSubjects.size(), false)
  {
  }

  void Run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      Step();
      CheckAll();
    }
  }

  // All cuts end; whoever asks is answered.
  void Heal()
  {
    mCutOff.assign(mSubjects.size(), false);
    for (std::size_t each = 0; each < mSubjects.size(); ++each) {
      AskSource(each);
    }
    while (!mOnTheWay.empty()) {
      Deliver();
      CheckAll();
    }
    for (const item_mirror& each : mSubjects) {
      CHECK(each.At() == mSource.At());
    }
  }

private:
  void Step()
  {
    const std::size_t who = mRandom() % mSubjects.size();
    switch (mRandom() % 8) {
      case 0:
      case 1:
        mSource.Change(mRandom);
        break;
      case 2:
        mCutOff[who] = !mCutOff[who];
        break;
      case 3:
        AskSource(who);
        break;
      case 4:
      case 5:
        AskPeer(who, mRandom() % mSubjects.size());
        break;
      default:
        Deliver();
    }
  }

  void AskSource(std::size_t aWho)
  {
    if (mCutOff[aWho]) {
      return;
    }
    const item_mirror& its = mSubjects[aWho];
    if (its.Listed() && mRandom() % 3 != 0) {
      mOnTheWay.push_back(
        { aWho, part{ mSource.After(its.At()) }, mSource.At() });
      return;
    }
    whole listing;
    for (const auto& [key, item] : mSource.Then(mSource.At())) {
      listing.mItems.push_back({ key, item.first, item.second });
    }
    mOnTheWay.push_back({ aWho, std::move(listing), mSource.At() });
  }

  void AskPeer(std::size_t aWho, std::size_t aPeer)
  {
    const item_mirror& peer = mSubjects[aPeer];
    const item_mirror& its = mSubjects[aWho];
    if (!peer.Listed() || peer.At() <= its.At()) {
      return;
    }
    const auto since = its.Listed() ? peer.Since(its.At()) : std::nullopt;
    if (since) {
      mOnTheWay.push_back({ aWho, part{ *since, its.At() }, peer.At() });
    } else {
      mOnTheWay.push_back({ aWho, whole{ peer.Items() }, peer.At() });
    }
  }

  void Deliver()
  {
    if (mOnTheWay.empty()) {
      return;
    }
    const std::size_t which = mRandom() % mOnTheWay.size();
    const message taken = mOnTheWay[which];
    mOnTheWay.erase(mOnTheWay.begin() + static_cast<std::ptrdiff_t>(which));
    item_mirror& its = mSubjects[taken.mTo];
    const std::uint64_t before = its.At();
    if (const auto* listing = std::get_if<whole>(&taken.mWhat)) {
      its.OnListing(listing->mItems, taken.mAt);
    } else {
      const part& changes = std::get<part>(taken.mWhat);
      if (changes.mAsked) {
        its.OnPeerChanges(changes.mChanges, *changes.mAsked, taken.mAt);
      } else {
        its.OnChanges(changes.mChanges, taken.mAt);
      }
    }
    CHECK(its.At() >= before);
  }

  // Each copy is what the source held at the copy's revision, all of it.
  void CheckAll() const
  {
    for (const item_mirror& each : mSubjects) {
      if (!each.Listed()) {
        continue;
      }
      state held;
      for (const source_item& item : each.Items()) {
        held[item.mKey] = { item.mValue, item.mRevision };
      }
      CHECK(held == mSource.Then(each.At()));
    }
  }

  std::mt19937_64 mRandom;
  source mSource;
  std::vector<item_mirror> mSubjects;
  std::vector<bool> mCutOff;
  std::vector<message> mOnTheWay;
};

std::uint64_t
Seeds()
{
  const char* more = std::getenv("THORNHOLLOW_SEARCH_SEEDS");
  return more != nullptr ? std::strtoull(more, nullptr, 10) : 150;
}

// An instance that the source turns away lives by what its peers hold, which
// may be older or newer than its own: a removed endpoint came back, or a change
// between two answers was lost for good.
TEST_CASE("knowledge_search/cuts and late answers/never back, never a gap")
{
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    CAPTURE(seed);
    condition subject(seed);
    subject.Run(300);
    subject.Heal();
  }
}

} // namespace
} // namespace thornhollow
