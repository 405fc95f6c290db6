#include "thornhollow/fleet/relay_peers.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "thornhollow/base/hash.h"

namespace thornhollow {

std::uint32_t
WorkKey(const endpoint_name& aEndpoint)
{
  return static_cast<std::uint32_t>(Hash64(aEndpoint.Text()));
}

relay_peers::relay_peers(const relay_peer_settings& aSettings,
                         std::string aOwnAddress,
                         std::vector<std::string> aSeeds,
                         std::uint64_t aSeed)
  : mSettings(aSettings)
  , mOwnAddress(std::move(aOwnAddress))
  , mSeeds(std::move(aSeeds))
  , mRandom(aSeed)
{
  std::erase(mSeeds, mOwnAddress);
}

std::vector<std::string>
relay_peers::Tick(time_point aNow)
{
  Forget(aNow);
  std::vector<std::string> told;
  if (aNow >= mNextSeeds) {
    mNextSeeds = aNow + mSettings.mSeedInterval;
    for (const std::string& seed : mSeeds) {
      if (!mPeers.contains(seed)) {
        told.push_back(seed);
      }
    }
    for (const auto& [address, until] : mUnheard) {
      told.push_back(address);
    }
  }
  if (aNow >= mNextRound) {
    mNextRound = aNow + mSettings.mInterval;
    std::ranges::move(Draw(), std::back_inserter(told));
  }
  return told;
}

std::vector<std::string>
relay_peers::OnNews()
{
  return Draw();
}

std::optional<std::string>
relay_peers::OnHello(const relay_hello& aHello, time_point aNow)
{
  if (aHello.mAddress == mOwnAddress || aHello.mAddress.empty()) {
    return std::nullopt;
  }
  const bool known = mPeers.contains(aHello.mAddress);
  if (!known && mPeers.size() >= mSettings.mMaxPeers) {
    return std::nullopt;
  }
  mPeers[aHello.mAddress] = { aHello, aNow };
  mUnheard.erase(aHello.mAddress);
  for (const std::string& each : aHello.mPeers) {
    if (each != mOwnAddress && !mPeers.contains(each) &&
        mUnheard.size() < mSettings.mMaxPeers) {
      mUnheard.emplace(each, aNow + mSettings.mForgetAfter);
    }
  }
  if (mPeers.size() + 1 >= mMost) {
    mMost = mPeers.size() + 1;
    mMostAt = aNow;
  }
  return aHello.mWantsAnswer ? std::optional(aHello.mAddress) : std::nullopt;
}

std::vector<std::string>
relay_peers::SomePeers()
{
  std::vector<std::string> all;
  for (const auto& [address, each] : mPeers) {
    all.push_back(address);
  }
  std::ranges::shuffle(all, mRandom);
  all.resize(std::min(all.size(), mSettings.mTold));
  return all;
}

std::optional<std::string>
relay_peers::WhoKnowsMore(const known_revisions& aMine, time_point aNow) const
{
  const peer* best = nullptr;
  for (const auto& [address, each] : mPeers) {
    const known_revisions& its = each.mHello.mKnown;
    const bool more = its.mConfiguration > aMine.mConfiguration ||
                      its.mEndpoints > aMine.mEndpoints;
    const bool fresh = aNow - each.mHeard < mSettings.mFreshFor;
    if (more && fresh &&
        (best == nullptr || its.mConfiguration + its.mEndpoints >
                              best->mHello.mKnown.mConfiguration +
                                best->mHello.mKnown.mEndpoints)) {
      best = &each;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mHello.mAddress);
}

std::size_t
relay_peers::Count(time_point aNow) const
{
  if (mMost == 0) {
    return 0;
  }
  return aNow - mMostAt < mSettings.mCountFor ? mMost : mPeers.size() + 1;
}

std::map<std::uint32_t, endpoint_work>
relay_peers::OthersWork(time_point aNow) const
{
  std::map<std::uint32_t, endpoint_work> sum;
  for (const auto& [address, each] : mPeers) {
    if (aNow - each.mHeard >= mSettings.mFreshFor) {
      continue;
    }
    for (const endpoint_work& work : each.mHello.mWork) {
      endpoint_work& its = sum[work.mEndpoint];
      its.mToRead += work.mToRead;
      its.mPerSecond += work.mPerSecond;
      if (work.mPace > 0 && (its.mPace == 0 || work.mPace < its.mPace)) {
        its.mPace = work.mPace;
      }
    }
  }
  return sum;
}

std::map<pool_name, engine_demand>
relay_peers::OthersDemand(time_point aNow) const
{
  std::map<pool_name, engine_demand> sum;
  for (const auto& [address, each] : mPeers) {
    if (aNow - each.mHeard >= mSettings.mForgetAfter) {
      continue;
    }
    for (const pool_demand& one : each.mHello.mDemand) {
      sum[one.mPool].mPatient += one.mDemand.mPatient;
      sum[one.mPool].mUrgent += one.mDemand.mUrgent;
    }
  }
  return sum;
}

std::vector<std::string>
relay_peers::Draw()
{
  std::vector<std::string> all;
  for (const auto& [address, each] : mPeers) {
    all.push_back(address);
  }
  if (all.size() > mSettings.mFanout) {
    std::ranges::shuffle(all, mRandom);
    all.resize(mSettings.mFanout);
  }
  return all;
}

void
relay_peers::Forget(time_point aNow)
{
  std::erase_if(mPeers, [&](const auto& aOne) {
    return aNow - aOne.second.mHeard >= mSettings.mForgetAfter;
  });
  std::erase_if(mUnheard,
                [&](const auto& aOne) { return aNow >= aOne.second; });
}

} // namespace thornhollow
