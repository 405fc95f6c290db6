#include "thornhollow/policy/placement/internal/pool_index.h"

#include <algorithm>

namespace thornhollow::internal {
namespace {

constexpr double kMedianStep = 0.02;
// Maximum fraction of a pool's live endpoints that may be ejected as outliers.
constexpr double kMaxLostFraction = 1.0 / 3;

} // namespace

void
running_median::Add(double aValue)
{
  if (mValue == 0) {
    mValue = aValue;
    return;
  }
  if (aValue > mValue) {
    mValue = std::min(aValue, mValue * (1 + kMedianStep));
  } else {
    mValue = std::max(aValue, mValue * (1 - kMedianStep));
  }
}

void
pool_index::Clear()
{
  mMembers.clear();
  mLists = {};
  mSlots = 0;
  mLive = 0;
  mServing = 0;
  mLostFraction = 0;
}

std::uint32_t
pool_index::Add(std::uint32_t aEndpoint, domain_rank aRank)
{
  mMembers.push_back({ aEndpoint, aRank, 0, {} });
  return static_cast<std::uint32_t>(mMembers.size() - 1);
}

void
pool_index::Update(std::uint32_t aMember, const member_state& aState)
{
  member& changed = mMembers[aMember];
  if (changed.mState == aState) {
    return;
  }
  const member_state before = changed.mState;
  changed.mState = aState;
  mSlots += aState.mSlots - before.mSlots;
  mLive += static_cast<std::uint32_t>(aState.mLive) -
           static_cast<std::uint32_t>(before.mLive);
  mServing += static_cast<std::uint32_t>(aState.mServing) -
              static_cast<std::uint32_t>(before.mServing);
  mLostFraction =
    std::max(0.0, mLostFraction + aState.mLostFraction - before.mLostFraction);
  if (aState.mHasFreeSlot && !before.mHasFreeSlot) {
    Insert(aMember);
  } else if (!aState.mHasFreeSlot && before.mHasFreeSlot) {
    Erase(aMember);
  }
}

bool
pool_index::CanEject(std::uint32_t aMember) const
{
  if (mLive < 2) {
    return false;
  }
  const double maxLost = std::max(1.0, mLive * kMaxLostFraction);
  const double others = mLostFraction - mMembers[aMember].mState.mLostFraction;
  // The tolerance of 1e-6 allows for rounding errors in sums of fractions.
  return others + 1 <= maxLost + 1e-6;
}

void
pool_index::Insert(std::uint32_t aMember)
{
  member& added = mMembers[aMember];
  list& into = mLists[added.mRank];
  added.mPosition = static_cast<std::uint32_t>(into.mEndpoints.size());
  into.mEndpoints.push_back(added.mEndpoint);
  into.mMembers.push_back(aMember);
}

void
pool_index::Erase(std::uint32_t aMember)
{
  const member& erased = mMembers[aMember];
  list& from = mLists[erased.mRank];
  // The last entry of the list moves to the position of the erased entry.
  const std::uint32_t position = erased.mPosition;
  from.mEndpoints[position] = from.mEndpoints.back();
  from.mMembers[position] = from.mMembers.back();
  mMembers[from.mMembers[position]].mPosition = position;
  from.mEndpoints.pop_back();
  from.mMembers.pop_back();
}

} // namespace thornhollow::internal
