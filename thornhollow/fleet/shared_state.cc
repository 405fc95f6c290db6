#include "thornhollow/fleet/shared_state.h"

#include <algorithm>

namespace thornhollow {
namespace {

// Maximum number of peer pressures, and of leaving endpoints. The largest
// deployment has 24 models and 850 endpoints, a few of which leave at a time;
// the limit keeps a faulty peer from exhausting memory.
constexpr std::size_t kMaxEntries = 256;

} // namespace

void
shared_state::SetOwnPressure(const pool_pressure& aPressure, time_point aNow)
{
  mOwnPressures[aPressure.mPool] = { aPressure, aNow - aPressure.mAge };
}

void
shared_state::MergePressure(const pool_pressure& aPressure, time_point aNow)
{
  const bool known = mPeerPressures.contains(aPressure.mPool);
  if (aPressure.mAge < kPressureLifetime &&
      (known || mPeerPressures.size() < kMaxEntries)) {
    Expire(aNow);
    KeepTightest(mPeerPressures, { aPressure, aNow - aPressure.mAge });
  }
}

std::vector<pool_pressure>
shared_state::PeerPressures(time_point aNow) const
{
  return Unexpired(mPeerPressures, aNow);
}

std::vector<pool_pressure>
shared_state::PressuresToSend(time_point aNow) const
{
  pressures all;
  for (const pressures* each : { &mOwnPressures, &mPeerPressures }) {
    for (const auto& [pool, timed] : *each) {
      if (aNow - timed.mMeasuredAt < kPressureLifetime) {
        KeepTightest(all, timed);
      }
    }
  }
  return Unexpired(all, aNow);
}

leaving_endpoint
shared_state::AddLeaving(const endpoint_name& aEndpoint,
                         duration aFor,
                         time_point aNow)
{
  const auto found = mLeaving.find(aEndpoint);
  const std::uint64_t last =
    found == mLeaving.end() ? 0 : found->second.mVersion;
  leaving_endpoint out{ aEndpoint, last + 1, std::min(aFor, kLeavingLifetime) };
  MergeLeaving(out, aNow);
  return out;
}

bool
shared_state::MergeLeaving(const leaving_endpoint& aLeaving, time_point aNow)
{
  if (aLeaving.mRemaining <= duration::zero()) {
    return false;
  }
  const auto found = mLeaving.find(aLeaving.mEndpoint);
  if (found == mLeaving.end() && mLeaving.size() >= kMaxEntries) {
    return false;
  }
  if (found != mLeaving.end() && found->second.mVersion >= aLeaving.mVersion) {
    return false;
  }
  mLeaving[aLeaving.mEndpoint] = {
    aLeaving.mVersion, aNow + std::min(aLeaving.mRemaining, kLeavingLifetime)
  };
  return true;
}

std::vector<leaving_endpoint>
shared_state::Leaving(time_point aNow) const
{
  std::vector<leaving_endpoint> out;
  for (const auto& [endpoint, timed] : mLeaving) {
    if (timed.mExpiresAt > aNow) {
      out.push_back({ endpoint, timed.mVersion, timed.mExpiresAt - aNow });
    }
  }
  return out;
}

bool
shared_state::IsLeaving(const endpoint_name& aEndpoint, time_point aNow) const
{
  const auto found = mLeaving.find(aEndpoint);
  return found != mLeaving.end() && found->second.mExpiresAt > aNow;
}

void
shared_state::Expire(time_point aNow)
{
  const auto isExpired = [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mMeasuredAt >= kPressureLifetime;
  };
  std::erase_if(mOwnPressures, isExpired);
  std::erase_if(mPeerPressures, isExpired);
  std::erase_if(mLeaving, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mExpiresAt >= kLeavingLifetime;
  });
}

void
shared_state::KeepTightest(pressures& aInto, const timed_pressure& aNew)
{
  const auto [at, added] = aInto.try_emplace(aNew.mPressure.mPool, aNew);
  if (added) {
    return;
  }
  const int known = at->second.mPressure.mLowestAdmitted;
  const int received = aNew.mPressure.mLowestAdmitted;
  // Keeps the pressure that admits fewer tiers. Of two pressures that admit the
  // same tiers the more recent one is kept, because a reported wait that has
  // become shorter would keep its old value if the older one were kept.
  if (received < known ||
      (received == known && aNew.mMeasuredAt > at->second.mMeasuredAt)) {
    at->second = aNew;
  }
}

std::vector<pool_pressure>
shared_state::Unexpired(const pressures& aFrom, time_point aNow)
{
  std::vector<pool_pressure> out;
  for (const auto& [pool, timed] : aFrom) {
    if (aNow - timed.mMeasuredAt < kPressureLifetime) {
      out.push_back(timed.mPressure);
      out.back().mAge = aNow - timed.mMeasuredAt;
    }
  }
  return out;
}

} // namespace thornhollow
