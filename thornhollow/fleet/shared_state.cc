#include "thornhollow/fleet/shared_state.h"

#include <algorithm>

namespace thornhollow {
namespace {

// Statements kept of each kind. Letter 1's site has 24 models and 850 endpoints
// of which a few leave at a time; the bound keeps a faulty peer from filling
// the memory.
constexpr std::size_t kMaxEntries = 256;

} // namespace

void
shared_state::SetOwn(const pool_pressure& aPressure, time_point aNow)
{
  mOwn[aPressure.mPool] = { aPressure, aNow - aPressure.mAge };
}

void
shared_state::TakePressure(const pool_pressure& aPressure, time_point aNow)
{
  const bool known = mPeers.contains(aPressure.mPool);
  if (aPressure.mAge < kPressureLife &&
      (known || mPeers.size() < kMaxEntries)) {
    Expire(aNow);
    Merge(mPeers, { aPressure, aNow - aPressure.mAge });
  }
}

std::vector<pool_pressure>
shared_state::OfPeers(time_point aNow) const
{
  return Fresh(mPeers, aNow);
}

std::vector<pool_pressure>
shared_state::ToTell(time_point aNow) const
{
  pressures all;
  for (const pressures* each : { &mOwn, &mPeers }) {
    for (const auto& [pool, timed] : *each) {
      if (aNow - timed.mMeasured < kPressureLife) {
        Merge(all, timed);
      }
    }
  }
  return Fresh(all, aNow);
}

leaving_endpoint
shared_state::AddLeaving(const endpoint_name& aEndpoint,
                         duration aFor,
                         time_point aNow)
{
  const auto found = mLeaving.find(aEndpoint);
  const std::uint64_t last = found == mLeaving.end() ? 0 : found->second.mStamp;
  leaving_endpoint out{ aEndpoint, last + 1, std::min(aFor, kLeavingLife) };
  TakeLeaving(out, aNow);
  return out;
}

bool
shared_state::TakeLeaving(const leaving_endpoint& aLeaving, time_point aNow)
{
  if (aLeaving.mRemaining <= duration::zero()) {
    return false;
  }
  const auto found = mLeaving.find(aLeaving.mEndpoint);
  if (found == mLeaving.end() && mLeaving.size() >= kMaxEntries) {
    return false;
  }
  if (found != mLeaving.end() && found->second.mStamp >= aLeaving.mStamp) {
    return false;
  }
  mLeaving[aLeaving.mEndpoint] = {
    aLeaving.mStamp, aNow + std::min(aLeaving.mRemaining, kLeavingLife)
  };
  return true;
}

std::vector<leaving_endpoint>
shared_state::Leaving(time_point aNow) const
{
  std::vector<leaving_endpoint> out;
  for (const auto& [endpoint, timed] : mLeaving) {
    if (timed.mUntil > aNow) {
      out.push_back({ endpoint, timed.mStamp, timed.mUntil - aNow });
    }
  }
  return out;
}

bool
shared_state::IsLeaving(const endpoint_name& aEndpoint, time_point aNow) const
{
  const auto found = mLeaving.find(aEndpoint);
  return found != mLeaving.end() && found->second.mUntil > aNow;
}

void
shared_state::Expire(time_point aNow)
{
  const auto old = [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mMeasured >= kPressureLife;
  };
  std::erase_if(mOwn, old);
  std::erase_if(mPeers, old);
  std::erase_if(mLeaving, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mUntil >= kLeavingLife;
  });
}

void
shared_state::Merge(pressures& aInto, const timed_pressure& aNew)
{
  const auto [at, added] = aInto.try_emplace(aNew.mPressure.mPool, aNew);
  if (added) {
    return;
  }
  const int known = at->second.mPressure.mLowestAdmitted;
  const int heard = aNew.mPressure.mLowestAdmitted;
  // A smaller number admits fewer tiers. Of equal ones the younger counts, else
  // a wait that has gone down would be kept at its old length.
  if (heard < known ||
      (heard == known && aNew.mMeasured > at->second.mMeasured)) {
    at->second = aNew;
  }
}

std::vector<pool_pressure>
shared_state::Fresh(const pressures& aFrom, time_point aNow)
{
  std::vector<pool_pressure> out;
  for (const auto& [pool, timed] : aFrom) {
    if (aNow - timed.mMeasured < kPressureLife) {
      out.push_back(timed.mPressure);
      out.back().mAge = aNow - timed.mMeasured;
    }
  }
  return out;
}

} // namespace thornhollow
