#include "thornhollow/fleet/copy_requests.h"

namespace thornhollow {

std::optional<better_copy>
copy_requests::Tick(const relay_peers& aPeers,
                    const known_revisions& aMine,
                    bool aReads,
                    time_point aNow)
{
  auto from = aPeers.WhoKnowsMore(aMine, mAttempt, aNow);
  if (!from) {
    mBehindSince.reset();
    mInVainSince.reset();
    return std::nullopt;
  }
  if (!mBehindSince) {
    mBehindSince = aNow;
  }
  const bool reached = aMine.mConfiguration >= mBehindOf.mConfiguration &&
                       aMine.mEndpoints >= mBehindOf.mEndpoints;
  if (!mInVainSince || reached) {
    mInVainSince = aNow;
    mBehindOf = from->mKnown;
  }
  const duration patience = aReads ? mSettings.mBehindFor : duration::zero();
  if (aNow - *mBehindSince < patience || aNow < mNextAsk) {
    return std::nullopt;
  }
  mNextAsk = aNow + mSettings.mAskEvery;
  ++mAttempt;
  return from;
}

bool
copy_requests::NeedsSource(time_point aNow) const
{
  return mInVainSince && aNow - *mInVainSince >= mSettings.mAskSourceAfter;
}

} // namespace thornhollow
