// Index of the endpoints that serve one pool and of those with a free slot,
// updated on every change, so that a decision needs to consider only a few
// endpoints.
#ifndef THORNHOLLOW_POLICY_PLACEMENT_INTERNAL_POOL_INDEX_H_
#define THORNHOLLOW_POLICY_PLACEMENT_INTERNAL_POOL_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace thornhollow::internal {

// The part of an endpoint's state that the index of its pool uses.
struct member_state
{
  // Whether the endpoint accepts new work, even if only probes.
  bool mLive = false;
  // Whether the endpoint accepts more work than probes.
  bool mServing = false;
  bool mHasFreeSlot = false;
  // Number of slots that this router may use at the endpoint, taken or free.
  std::uint32_t mSlots = 0;
  // Fraction of the endpoint's capacity, 0 to 1, that may not be used at
  // present because of the endpoint's health (endpoint_health.h).
  double mLostFraction = 0;

  friend bool operator==(const member_state&, const member_state&) = default;
};

// An estimate of the median of a stream of values in constant memory: each
// value moves the estimate towards itself by at most a fiftieth of the
// estimate, so that a few outliers change it little.
class running_median
{
public:
  void Add(double aValue);
  // Current estimate of the median; zero if no values were added.
  double Value() const { return mValue; }

private:
  double mValue = 0;
};

class pool_index
{
public:
  // Whether an endpoint is in this router's own failure domain, which is
  // preferred, or in another one.
  enum domain_rank : std::uint8_t
  {
    kOwnDomain,
    kOtherDomain,
  };
  static constexpr std::size_t kRanks = 2;

  // Removes all member endpoints, but keeps the pool's latency medians.
  void Clear();
  // Adds an endpoint and returns its member number in this pool.
  std::uint32_t Add(std::uint32_t aEndpoint, domain_rank aRank);
  // Replaces the state of the member number `aMember`. Takes constant time.
  void Update(std::uint32_t aMember, const member_state& aState);

  // Endpoint numbers of the members with a free slot, in unspecified order.
  const std::vector<std::uint32_t>& WithFreeSlot(domain_rank aRank) const
  {
    return mLists[aRank].mEndpoints;
  }
  domain_rank RankOf(std::uint32_t aMember) const
  {
    return mMembers[aMember].mRank;
  }
  // Number of member endpoints of the pool, with or without a free slot.
  std::size_t size() const { return mMembers.size(); }
  std::uint32_t EndpointOf(std::uint32_t aMember) const
  {
    return mMembers[aMember].mEndpoint;
  }
  std::uint32_t Slots() const { return mSlots; }
  std::uint32_t Live() const { return mLive; }
  std::uint32_t Serving() const { return mServing; }
  // Whether `aMember` may be ejected. At most a third of the live members may
  // be ejected at a time, or one if a third is less than one, but never the
  // only live member.
  bool CanEject(std::uint32_t aMember) const;

  running_median mTimeToFirstToken;
  running_median mTimePerToken;

private:
  struct member
  {
    std::uint32_t mEndpoint = 0;
    domain_rank mRank = kOwnDomain;
    // Position of the member in the list of endpoints with a free slot of its
    // domain rank; valid only while the member has a free slot.
    std::uint32_t mPosition = 0;
    member_state mState;
  };
  struct list
  {
    std::vector<std::uint32_t> mEndpoints;
    // Member numbers of the endpoints in `mEndpoints`, in the same order.
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

#endif // THORNHOLLOW_POLICY_PLACEMENT_INTERNAL_POOL_INDEX_H_
