#include "thornhollow/fleet/copy_requests.h"

namespace thornhollow {

std::optional<newer_copy>
copy_requests::Tick(const relay_peers& aPeers,
                    const known_revisions& aOwn,
                    bool aReads,
                    time_point aNow)
{
  auto from = aPeers.FindNewerCopy(aOwn, mAttempt, aNow);
  if (!from) {
    mBehindSince.reset();
    mNoProgressSince.reset();
    return std::nullopt;
  }
  if (!mBehindSince) {
    mBehindSince = aNow;
  }
  const bool reached = aOwn.mConfiguration >= mTargetRevisions.mConfiguration &&
                       aOwn.mEndpoints >= mTargetRevisions.mEndpoints;
  const bool configurationInTransfer =
    IsInTransfer(copied_items::kConfiguration, aNow);
  const bool endpointsInTransfer = IsInTransfer(copied_items::kEndpoints, aNow);
  if (!mNoProgressSince || reached || configurationInTransfer ||
      endpointsInTransfer) {
    mNoProgressSince = aNow;
    mTargetRevisions = from->mRevisions;
  }
  const duration delay =
    aReads ? mSettings.mSourceGracePeriod : duration::zero();
  if (aNow - *mBehindSince < delay || aNow < mNextRequest) {
    return std::nullopt;
  }
  from->mConfiguration = from->mConfiguration && !configurationInTransfer;
  from->mEndpoints = from->mEndpoints && !endpointsInTransfer;
  if (!from->mConfiguration && !from->mEndpoints) {
    return std::nullopt;
  }
  mNextRequest = aNow + mSettings.mRequestInterval;
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
copy_requests::IsInTransfer(copied_items aWhich, time_point aNow) const
{
  const auto& last = mLastBytes.at(static_cast<std::size_t>(aWhich));
  return last && aNow - *last < mSettings.mTransferTimeout;
}

bool
copy_requests::NeedsSource(time_point aNow) const
{
  return mNoProgressSince &&
         aNow - *mNoProgressSince >= mSettings.mSourceFallbackDelay;
}

} // namespace thornhollow
