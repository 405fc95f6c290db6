// The endpoints that serve one pool, and which of them have a free place, kept
// up to date so that a decision looks at a few only.
#ifndef THORNHOLLOW_POLICY_INTERNAL_POOL_INDEX_H_
#define THORNHOLLOW_POLICY_INTERNAL_POOL_INDEX_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "thornhollow/config/declarations.h"

namespace thornhollow::internal {

// What a pool needs to know of a member.
struct member_state
{
  // May take new work by its state, if only probes.
  bool mLive = false;
  // Gets more than probes.
  bool mServing = false;
  // The lowest tier that finds a place there, and with it all higher ones; zero
  // where none does.
  int mLowestTier = 0;
  // Places that this router may use there, taken or free.
  std::uint32_t mPlaces = 0;
  // Part of its share that it lost as an outlier, 0 to 1.
  double mLost = 0;

  friend bool operator==(const member_state&, const member_state&) = default;
};

// A running median of values that arrive one at a time, in constant memory:
// each value moves it by a fiftieth towards itself. Robust against stragglers.
class typical_value
{
public:
  void Add(double aValue);
  // Zero where nothing was added.
  double Value() const { return mValue; }

private:
  double mValue = 0;
};

class pool_index
{
public:
  // Domains by preference.
  enum rank : std::uint8_t
  {
    kOwnDomain,
    kOtherDomain,
  };
  static constexpr std::size_t kRanks = 2;

  // Forgets the members, keeps what was learnt about the pool.
  void Clear();
  // Adds an endpoint; returns its member number here.
  std::uint32_t Add(std::uint32_t aEndpoint, rank aRank);
  // Constant time.
  void Update(std::uint32_t aMember, const member_state& aState);

  // Endpoint numbers of members with a free place for `aTier`, in no order.
  const std::vector<std::uint32_t>& WithPlace(rank aRank, int aTier) const
  {
    return mLists[aRank][ListOf(aTier)].mEndpoints;
  }
  rank RankOf(std::uint32_t aMember) const { return mMembers[aMember].mRank; }
  // Members, with or without a place.
  std::size_t size() const { return mMembers.size(); }
  std::uint32_t EndpointOf(std::uint32_t aMember) const
  {
    return mMembers[aMember].mEndpoint;
  }
  std::uint32_t Places() const { return mPlaces; }
  std::uint32_t Live() const { return mLive; }
  std::uint32_t Serving() const { return mServing; }
  // Whether one more member may lose its share: a third of the live ones at
  // most, one where that is less, and never the only one.
  bool MayLose(std::uint32_t aMember) const;

  typical_value mFirstToken;
  typical_value mPerToken;

private:
  static constexpr std::size_t kTiers = kLowestTier - kHighestTier + 1;

  // Tiers outside the declared range count as the nearest one in it.
  static std::size_t ListOf(int aTier)
  {
    return static_cast<std::size_t>(
      std::clamp(aTier, kHighestTier, kLowestTier) - kHighestTier);
  }

  struct member
  {
    std::uint32_t mEndpoint = 0;
    rank mRank = kOwnDomain;
    // Where it stands in the list of each tier that finds a place there.
    std::array<std::uint32_t, kTiers> mPosition{};
    member_state mState;
  };
  struct list
  {
    std::vector<std::uint32_t> mEndpoints;
    // Member numbers, in step with `mEndpoints`.
    std::vector<std::uint32_t> mMembers;
  };

  void Insert(std::uint32_t aMember, int aTier);
  void Erase(std::uint32_t aMember, int aTier);

  std::vector<member> mMembers;
  std::array<std::array<list, kTiers>, kRanks> mLists;
  std::uint32_t mPlaces = 0;
  std::uint32_t mLive = 0;
  std::uint32_t mServing = 0;
  double mLost = 0;
};

} // namespace thornhollow::internal

#endif // THORNHOLLOW_POLICY_INTERNAL_POOL_INDEX_H_
