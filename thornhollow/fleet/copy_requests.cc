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
  const bool configurationComes = Coming(copied_items::kConfiguration, aNow);
  const bool endpointsCome = Coming(copied_items::kEndpoints, aNow);
  if (!mInVainSince || reached || configurationComes || endpointsCome) {
    mInVainSince = aNow;
    mBehindOf = from->mKnown;
  }
  const duration patience = aReads ? mSettings.mBehindFor : duration::zero();
  if (aNow - *mBehindSince < patience || aNow < mNextAsk) {
    return std::nullopt;
  }
  from->mConfiguration = from->mConfiguration && !configurationComes;
  from->mEndpoints = from->mEndpoints && !endpointsCome;
  if (!from->mConfiguration && !from->mEndpoints) {
    return std::nullopt;
  }
  mNextAsk = aNow + mSettings.mAskEvery;
  ++mAttempt;
  return from;
}

void
copy_requests::OnBytes(copied_items aWhich, time_point aNow)
{
  mLastBytes.at(static_cast<std::size_t>(aWhich)) = aNow;
}

void
copy_requests::OnEnded(copied_items aWhich)
{
  mLastBytes.at(static_cast<std::size_t>(aWhich)).reset();
}

bool
copy_requests::Coming(copied_items aWhich, time_point aNow) const
{
  const auto& last = mLastBytes.at(static_cast<std::size_t>(aWhich));
  return last && aNow - *last < mSettings.mMostPause;
}

bool
copy_requests::NeedsSource(time_point aNow) const
{
  return mInVainSince && aNow - *mInVainSince >= mSettings.mAskSourceAfter;
}

} // namespace thornhollow
