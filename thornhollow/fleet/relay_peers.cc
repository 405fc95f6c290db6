#include "thornhollow/fleet/relay_peers.h"

#include <algorithm>
#include <iterator>
#include <set>
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
                         domain_name aOwnDomain,
                         std::vector<std::string> aSeeds,
                         std::uint64_t aSeed)
  : mSettings(aSettings)
  , mOwnAddress(std::move(aOwnAddress))
  , mOwnDomain(std::move(aOwnDomain))
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
    mNextRound = aNow + Interval();
    std::ranges::move(Draw(), std::back_inserter(told));
  }
  if (mReads && mSettings.mReaders > 0 && aNow >= mNextAsReader) {
    mNextAsReader = aNow + mSettings.mReaderInterval;
    std::ranges::move(OwnDomain(), std::back_inserter(told));
  }
  std::ranges::sort(told);
  told.erase(std::unique(told.begin(), told.end()), told.end());
  return told;
}

bool
relay_peers::Reads(bool aFails, time_point aNow)
{
  std::size_t ranked = 0;
  std::size_t inDomain = 1;
  const std::uint64_t own = Hash64(mOwnAddress);
  for (const auto& [address, each] : mPeers) {
    if (each.mHello.mDomain != mOwnDomain) {
      continue;
    }
    ++inDomain;
    const bool fit =
      !each.mHello.mSourceFails && aNow - each.mHeard < mSettings.mForgetAfter;
    // One that the source answers goes before this one where it fails here.
    if (fit && (aFails || Hash64(address) > own)) {
      ++ranked;
    }
  }
  mReads = AllRead(inDomain) || ranked < mSettings.mReaders;
  return mReads;
}

watch_turn
relay_peers::Turn() const
{
  std::set<domain_name> domains{ mOwnDomain };
  std::size_t inDomain = 1;
  std::size_t before = 0;
  const std::uint64_t own = Hash64(mOwnAddress);
  for (const auto& [address, each] : mPeers) {
    domains.insert(each.mHello.mDomain);
    if (each.mHello.mDomain == mOwnDomain) {
      ++inDomain;
      before += Hash64(address) > own ? 1 : 0;
    }
  }
  const auto place = std::distance(domains.begin(), domains.find(mOwnDomain));
  watch_turn turn;
  turn.mOf = AllRead(inDomain) ? inDomain : mSettings.mReaders;
  turn.mPlace = before % turn.mOf;
  turn.mPhase =
    static_cast<double>(place + 1) / static_cast<double>(domains.size());
  return turn;
}

bool
relay_peers::AllRead(std::size_t aInDomain) const
{
  return mSettings.mReaders == 0 || aInDomain <= mSettings.mAllRead;
}

std::vector<std::string>
relay_peers::OwnDomain() const
{
  std::vector<std::string> found;
  for (const auto& [address, each] : mPeers) {
    if (each.mHello.mDomain == mOwnDomain) {
      found.push_back(address);
    }
  }
  return found;
}

duration
relay_peers::ForgetAfter() const
{
  return mSettings.mForgetAfter +
         mSettings.mForgetMore *
           static_cast<std::int64_t>(mPeers.size() / mSettings.mFanout);
}

std::vector<std::string>
relay_peers::OnNews()
{
  return mReads && mSettings.mReaders > 0 ? OwnDomain() : Draw();
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
    if (more && fresh && (best == nullptr || IsBetter(each, *best))) {
      best = &each;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mHello.mAddress);
}

// The nearer one first, then the one that knows more.
bool
relay_peers::IsBetter(const peer& aLeft, const peer& aRight) const
{
  const auto rank = [this](const peer& aOne) {
    return std::pair(aOne.mHello.mDomain == mOwnDomain,
                     aOne.mHello.mKnown.mConfiguration +
                       aOne.mHello.mKnown.mEndpoints);
  };
  return rank(aLeft) > rank(aRight);
}

std::size_t
relay_peers::Count(time_point aNow) const
{
  if (mMost == 0) {
    return 0;
  }
  return aNow - mMostAt < mSettings.mCountFor ? mMost : mPeers.size() + 1;
}

bool
relay_peers::Fresh(const peer& aPeer, time_point aNow) const
{
  return aNow - aPeer.mHeard < mSettings.mFreshFor;
}

bool
relay_peers::SourceFailsElsewhere(time_point aNow) const
{
  return std::ranges::any_of(mPeers, [&](const auto& aOne) {
    return Fresh(aOne.second, aNow) && aOne.second.mHello.mSourceFails;
  });
}

double
relay_peers::ForEachFresh(time_point aNow) const
{
  const auto fresh = std::ranges::count_if(
    mPeers, [&](const auto& aOne) { return Fresh(aOne.second, aNow); });
  return fresh == 0
           ? 0
           : static_cast<double>(mPeers.size()) / static_cast<double>(fresh);
}

duration
relay_peers::Interval() const
{
  return mPeers.size() >= mSettings.mCrowd ? 2 * mSettings.mInterval
                                           : mSettings.mInterval;
}

std::map<std::uint32_t, endpoint_work>
relay_peers::OthersWork(time_point aNow) const
{
  const double scale = ForEachFresh(aNow);
  std::map<std::uint32_t, endpoint_work> sum;
  for (const auto& [address, each] : mPeers) {
    if (!Fresh(each, aNow)) {
      continue;
    }
    for (const endpoint_work& work : each.mHello.mWork) {
      endpoint_work& its = sum[work.mEndpoint];
      its.mToRead += work.mToRead;
      its.mOpen += work.mOpen;
      if (work.mPace > 0 && (its.mPace == 0 || work.mPace < its.mPace)) {
        its.mPace = work.mPace;
      }
    }
  }
  for (auto& [endpoint, work] : sum) {
    work.mToRead =
      static_cast<std::uint64_t>(static_cast<double>(work.mToRead) * scale);
    work.mOpen =
      static_cast<std::uint32_t>(static_cast<double>(work.mOpen) * scale);
  }
  return sum;
}

std::map<pool_name, pool_view>
relay_peers::OthersViews(time_point aNow) const
{
  const double scale = ForEachFresh(aNow);
  std::map<pool_name, pool_view> sum;
  for (const auto& [address, each] : mPeers) {
    if (!Fresh(each, aNow)) {
      continue;
    }
    for (const pool_demand& one : each.mHello.mDemand) {
      AddView(sum[one.mPool], one.mView, scale);
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
  const duration after = ForgetAfter();
  std::erase_if(mPeers, [&](const auto& aOne) {
    return aNow - aOne.second.mHeard >= after;
  });
  std::erase_if(mUnheard,
                [&](const auto& aOne) { return aNow >= aOne.second; });
}

} // namespace thornhollow
