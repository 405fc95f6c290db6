// The endpoints that serve one pool, and which of them have a free place, kept
// up to date so that a decision looks at a few only.
#ifndef THORNHOLLOW_POLICY_INTERNAL_POOL_INDEX_H_
#define THORNHOLLOW_POLICY_INTERNAL_POOL_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace thornhollow::internal {

// What a pool needs to know of a member.
struct member_state
{
  // May take new work by its state, if only probes.
  bool mLive = false;
  // Gets more than probes.
  bool mServing = false;
  bool mHasFreeSlot = false;
  // Places that this router may use there, taken or free.
  std::uint32_t mSlots = 0;
  // Part of its share that it lost as an outlier, 0 to 1.
  double mLostFraction = 0;

  friend bool operator==(const member_state&, const member_state&) = default;
};

// A running median of values that arrive one at a time, in constant memory:
// each value moves it by a fiftieth towards itself. Robust against stragglers.
class running_median
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
  enum domain_rank : std::uint8_t
  {
    kOwnDomain,
    kOtherDomain,
  };
  static constexpr std::size_t kRanks = 2;

  // Forgets the members, keeps what was learnt about the pool.
  void Clear();
  // Adds an endpoint; returns its member number here.
  std::uint32_t Add(std::uint32_t aEndpoint, domain_rank aRank);
  // Constant time.
  void Update(std::uint32_t aMember, const member_state& aState);

  // Endpoint numbers of members with a free place, in no order.
  const std::vector<std::uint32_t>& WithFreeSlot(domain_rank aRank) const
  {
    return mLists[aRank].mEndpoints;
  }
  domain_rank RankOf(std::uint32_t aMember) const
  {
    return mMembers[aMember].mRank;
  }
  // Members, with or without a place.
  std::size_t size() const { return mMembers.size(); }
  std::uint32_t EndpointOf(std::uint32_t aMember) const
  {
    return mMembers[aMember].mEndpoint;
  }
  std::uint32_t Slots() const { return mSlots; }
  std::uint32_t Live() const { return mLive; }
  std::uint32_t Serving() const { return mServing; }
  // Whether one more member may lose its share: a third of the live ones at
  // most, one where that is less, and never the only one.
  bool CanEject(std::uint32_t aMember) const;

  running_median mTimeToFirstToken;
  running_median mTimePerToken;

private:
  struct member
  {
    std::uint32_t mEndpoint = 0;
    domain_rank mRank = kOwnDomain;
    // Where it stands in the list, while it has a place.
    std::uint32_t mPosition = 0;
    member_state mState;
  };
  struct list
  {
    std::vector<std::uint32_t> mEndpoints;
    // Member numbers, in step with `mEndpoints`.
    std::vector<std::uint32_t> mMembers;
  };

  void Insert(std::uint32_t aMember);
  void Erase(std::uint32_t aMember);

  std::vector<member> mMembers;
  std::array<list, kRanks> mLists;
  std::uint32_t mSlots = 0;
  std::uint32_t mLive = 0;
  std::uint32_t mServing = 0;
  double mLostFraction = 0;
};

} // namespace thornhollow::internal

#endif // THORNHOLLOW_POLICY_INTERNAL_POOL_INDEX_H_
