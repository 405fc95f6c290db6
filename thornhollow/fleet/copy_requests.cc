#include "thornhollow/fleet/copy_requests.h"

namespace thornhollow {

std::optional<std::string>
copy_requests::Tick(const relay_peers& aPeers,
                    const known_revisions& aMine,
                    bool aReads,
                    time_point aNow)
{
  auto from = aPeers.WhoKnowsMore(aMine, aNow);
  if (!from) {
    mBehindSince.reset();
    return std::nullopt;
  }
  if (!mBehindSince) {
    mBehindSince = aNow;
  }
  const duration patience = aReads ? mSettings.mBehindFor : duration::zero();
  if (aNow - *mBehindSince < patience || aNow < mNextAsk) {
    return std::nullopt;
  }
  mNextAsk = aNow + mSettings.mAskEvery;
  return from;
}

} // namespace thornhollow
