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
    return std::nullopt;
  }
  const bool reached = aMine.mConfiguration >= mBehindOf.mConfiguration &&
                       aMine.mEndpoints >= mBehindOf.mEndpoints;
  if (!mBehindSince || reached) {
    mBehindSince = aNow;
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
  return mBehindSince && aNow - *mBehindSince >= mSettings.mAskSourceAfter;
}

} // namespace thornhollow
