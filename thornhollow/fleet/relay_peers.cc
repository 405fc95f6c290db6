#include "thornhollow/fleet/relay_peers.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "thornhollow/base/hash.h"

namespace thornhollow {

namespace {

void
KeepOneOfEach(std::vector<std::string>& aAddresses)
{
  std::ranges::sort(aAddresses);
  aAddresses.erase(std::unique(aAddresses.begin(), aAddresses.end()),
                   aAddresses.end());
}

} // namespace

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
  , mSums(aSettings.mSums)
{
  std::erase(mSeeds, mOwnAddress);
}

hello_round
relay_peers::Tick(time_point aNow)
{
  Forget(aNow);
  hello_round round;
  std::vector<std::string>& told = round.mWhole;
  if (aNow >= mNextSeeds) {
    mNextSeeds = aNow + mSettings.mSeedInterval;
    for (const std::string& seed : mSeeds) {
      if (!mPeers.contains(seed)) {
        told.push_back(seed);
      }
    }
    for (const auto& [address, until] : mUnheard) {
      round.mAsked.push_back(address);
    }
  }
  if (aNow >= mNextRound) {
    mNextRound = aNow + Interval();
    std::ranges::move(Draw(), std::back_inserter(told));
  }
  if (mReadsForAll && aNow >= mNextAsReader) {
    mNextAsReader = aNow + mSettings.mReaderInterval;
    round.mBrief = OwnDomain();
  }
  KeepOneOfEach(told);
  std::erase_if(round.mBrief, [&](const std::string& aOne) {
    return std::ranges::binary_search(told, aOne);
  });
  return round;
}

relay_peers::above
relay_peers::Above(time_point aNow) const
{
  above found;
  const reader_rank own = RankOf(mSettings.mLinkMegabits, mOwnAddress);
  for (const auto& [address, each] : mPeers) {
    if (each.mHello.mDomain != mOwnDomain) {
      continue;
    }
    ++found.mInDomain;
    if (RankOf(each.mHello.mLinkMegabits, address) <= own) {
      continue;
    }
    ++found.mKnown;
    if (aNow - each.mHeard < mSettings.mReaderSilent) {
      ++found.mHeard;
      found.mAnswered += each.mHello.mSourceFails ? 0 : 1;
    }
  }
  return found;
}

relay_peers::reader_rank
relay_peers::RankOf(std::uint32_t aLinkMegabits, const std::string& aAddress)
{
  return { aLinkMegabits, Hash64(aAddress) };
}

bool
relay_peers::Reads(time_point aNow)
{
  const above found = Above(aNow);
  const bool all = AllRead(found.mInDomain);
  const bool missed = all || (found.mAnswered < mSettings.mReaders &&
                              found.mHeard < mSettings.mMostReaders);
  if (!missed) {
    mMissedSince.reset();
    mReads = false;
    mReadsForAll = false;
    return mReads;
  }
  if (!mMissedSince) {
    mMissedSince = aNow;
  }
  const duration stagger =
    std::min(mSettings.mStagger * static_cast<std::int64_t>(found.mKnown),
             mSettings.mMostStagger);
  mReads = mReads || all || aNow - *mMissedSince >= stagger;
  mReadsForAll = mReads && !all;
  return mReads;
}

watch_stagger
relay_peers::Turn(time_point aNow) const
{
  std::set<domain_name> domains{ mOwnDomain };
  for (const auto& [address, each] : mPeers) {
    domains.insert(each.mHello.mDomain);
  }
  const above found = Above(aNow);
  const auto place = std::distance(domains.begin(), domains.find(mOwnDomain));
  watch_stagger turn;
  const bool all = AllRead(found.mInDomain);
  turn.mCount = all ? found.mInDomain : mSettings.mReaders;
  turn.mIndex = (all ? found.mKnown : found.mHeard) % turn.mCount;
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
  std::vector<std::string> told = Draw();
  if (mReadsForAll) {
    std::ranges::move(OwnDomain(), std::back_inserter(told));
    KeepOneOfEach(told);
  }
  return told;
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
  Hear(mPeers[aHello.mAddress], aHello, aNow);
  if (aHello.mSourceAnswerAge) {
    const time_point then = aNow - *aHello.mSourceAnswerAge;
    mSourceAnswered = std::max(mSourceAnswered.value_or(then), then);
  }
  if (aHello.mSums) {
    mSums.OnTold(*aHello.mSums, aNow);
  }
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

void
relay_peers::Hear(peer& aPeer, const relay_hello& aHello, time_point aNow)
{
  aPeer.mHeard = aNow;
  if (!aHello.mBrief) {
    aPeer.mHello = aHello;
    aPeer.mToldWork = aNow;
    return;
  }
  aPeer.mHello.mAddress = aHello.mAddress;
  aPeer.mHello.mDomain = aHello.mDomain;
  aPeer.mHello.mKnown = aHello.mKnown;
  aPeer.mHello.mSourceFails = aHello.mSourceFails;
  aPeer.mHello.mSourceAnswerAge = aHello.mSourceAnswerAge;
  aPeer.mHello.mLinkMegabits = aHello.mLinkMegabits;
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

std::optional<better_copy>
relay_peers::WhoKnowsMore(const known_revisions& aMine,
                          std::uint64_t aAttempt,
                          time_point aNow) const
{
  const peer* best = nullptr;
  for (const auto& [address, each] : mPeers) {
    const known_revisions& its = each.mHello.mKnown;
    const bool more = its.mConfiguration > aMine.mConfiguration ||
                      its.mEndpoints > aMine.mEndpoints;
    const bool fresh = aNow - each.mHeard < mSettings.mFreshFor;
    if (more && fresh && (best == nullptr || IsBetter(each, *best, aAttempt))) {
      best = &each;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const known_revisions& its = best->mHello.mKnown;
  return better_copy{ best->mHello.mAddress,
                      its,
                      its.mConfiguration > aMine.mConfiguration,
                      its.mEndpoints > aMine.mEndpoints };
}

// The nearer one first, then the one that knows more, then another one for each
// that asks and each time: a reader's news is told to its whole domain at once.
bool
relay_peers::IsBetter(const peer& aLeft,
                      const peer& aRight,
                      std::uint64_t aAttempt) const
{
  const std::uint64_t turn = CombineHash(Hash64(mOwnAddress), aAttempt);
  const auto rank = [&](const peer& aOne) {
    return std::tuple(aOne.mHello.mDomain == mOwnDomain,
                      aOne.mHello.mKnown.mConfiguration +
                        aOne.mHello.mKnown.mEndpoints,
                      CombineHash(turn, Hash64(aOne.mHello.mAddress)));
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
  return aPeer.mToldWork && aNow - *aPeer.mToldWork < mSettings.mFreshFor;
}

bool
relay_peers::SourceFailsElsewhere(time_point aNow) const
{
  return std::ranges::any_of(mPeers, [&](const auto& aOne) {
    const peer& its = aOne.second;
    return aNow - its.mHeard < mSettings.mFreshFor && its.mHello.mSourceFails;
  });
}

std::size_t
relay_peers::CountFresh(time_point aNow) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mPeers, [&](const auto& aOne) { return Fresh(aOne.second, aNow); }));
}

double
relay_peers::ForEachFresh(time_point aNow) const
{
  const std::size_t fresh = CountFresh(aNow);
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
relay_peers::AllViews(const std::map<pool_name, pool_view>& aOwn,
                      time_point aNow) const
{
  if (mPeers.size() >= mSettings.mSumsFrom) {
    const summed_views all = mSums.All(aOwn, mPeers.size() + 1, aNow);
    if (all.mInstances > CountFresh(aNow)) {
      return Scaled(all);
    }
  }
  const double scale = ForEachFresh(aNow);
  std::map<pool_name, pool_view> sum = aOwn;
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

std::map<pool_name, pool_view>
relay_peers::Scaled(const summed_views& aSums) const
{
  const double scale = static_cast<double>(mPeers.size() + 1) /
                       static_cast<double>(aSums.mInstances);
  std::map<pool_name, pool_view> scaled;
  for (const auto& [pool, view] : aSums.mViews) {
    AddView(scaled[pool], view, scale);
  }
  return scaled;
}

std::vector<sums_to_tell>
relay_peers::SumsToTell(const std::map<pool_name, pool_view>& aOwn,
                        time_point aNow)
{
  if (mPeers.size() < mSettings.mSumsFrom || !mSums.Due(aNow)) {
    return {};
  }
  return mSums.Round(aOwn, Ring(), aNow);
}

instance_ring
relay_peers::Ring() const
{
  std::vector<std::pair<domain_name, std::string>> all;
  all.reserve(mPeers.size() + 1);
  all.emplace_back(mOwnDomain, mOwnAddress);
  for (const auto& [address, each] : mPeers) {
    all.emplace_back(each.mHello.mDomain, address);
  }
  std::ranges::sort(all);
  instance_ring ring;
  for (auto& [domain, address] : all) {
    if (address == mOwnAddress) {
      ring.mOwn = ring.mAddresses.size();
    }
    ring.mAddresses.push_back(std::move(address));
  }
  return ring;
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
