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
SortUnique(std::vector<std::string>& aAddresses)
{
  std::ranges::sort(aAddresses);
  aAddresses.erase(std::unique(aAddresses.begin(), aAddresses.end()),
                   aAddresses.end());
}

// "ip:port" with another port.
std::string
WithPort(const std::string& aAddress, std::uint16_t aPort)
{
  return aAddress.substr(0, aAddress.rfind(':') + 1) + std::to_string(aPort);
}

bool
Reports(const forwarding_report& aReport, pool_hash aPool, bool aReached)
{
  return std::ranges::count(aReport.mContacts,
                            pool_contact{ aPool, aReached }) > 0;
}

} // namespace

pool_hash
PoolHash(const pool_name& aPool)
{
  return static_cast<pool_hash>(Hash64(aPool.Text()));
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
  , mAggregation(aSettings.mAggregation)
  , mPeakCount(aSettings.mCountRetention)
{
  std::erase(mSeeds, mOwnAddress);
}

hello_round
relay_peers::Tick(time_point aNow)
{
  RemoveExpired(aNow);
  hello_round round;
  std::vector<std::string>& recipients = round.mFull;
  if (aNow >= mNextSeeds) {
    mNextSeeds = aNow + mSettings.mSeedInterval;
    for (const std::string& seed : mSeeds) {
      if (!mPeers.contains(seed)) {
        recipients.push_back(seed);
      }
    }
    for (const auto& [address, until] : mUnconfirmed) {
      round.mProbed.push_back(address);
    }
  }
  if (aNow >= mNextRound) {
    mNextRound = aNow + Interval();
    std::ranges::move(DrawRecipients(), std::back_inserter(recipients));
  }
  if (mReadsForDomain && aNow >= mNextReaderHello) {
    mNextReaderHello = aNow + mSettings.mReaderInterval;
    mNextStandbyHello = aNow + mSettings.mStandbyInterval;
    round.mBrief = DomainPeers();
  }
  if (aNow >= mNextStandbyHello) {
    mNextStandbyHello = aNow + mSettings.mStandbyInterval;
    round.mBrief = LowerStandbys();
  }
  SortUnique(recipients);
  std::erase_if(round.mBrief, [&](const std::string& aEntry) {
    return std::ranges::binary_search(recipients, aEntry);
  });
  return round;
}

relay_peers::higher_ranked
relay_peers::HigherRanked(time_point aNow) const
{
  higher_ranked found;
  const reader_rank own = RankOf(mSettings.mLinkMegabits, mOwnAddress);
  std::vector<const peer*> higher;
  for (const auto& [address, each] : mPeers) {
    if (each.mHello.mDomain != mOwnDomain) {
      continue;
    }
    ++found.mInDomain;
    if (RankOf(each.mHello.mLinkMegabits, address) > own) {
      higher.push_back(&each);
    }
  }
  found.mCount = higher.size();
  const duration timeout = IsInStandbyGroup(found) ? mSettings.mStandbyTimeout
                                                   : mSettings.mReaderTimeout;
  for (const peer* each : higher) {
    if (aNow - each->mLastMessage < timeout) {
      ++found.mActive;
      found.mServed += each->mHello.mSourceFails ? 0 : 1;
    }
  }
  return found;
}

duration
relay_peers::Stagger(const higher_ranked& aFound) const
{
  const std::size_t before =
    IsInStandbyGroup(aFound) ? aFound.mServed : aFound.mCount;
  return std::min(mSettings.mStagger * static_cast<std::int64_t>(before),
                  mSettings.mMaxStagger);
}

relay_peers::reader_rank
relay_peers::RankOf(std::uint32_t aLinkMegabits, const std::string& aAddress)
{
  return { aLinkMegabits, Hash64(aAddress) };
}

bool
relay_peers::Reads(time_point aNow)
{
  const higher_ranked found = HigherRanked(aNow);
  const bool all = AllRead(found.mInDomain);
  const bool tooFewReaders = all || (found.mServed < mSettings.mReaders &&
                                     found.mActive < mSettings.mMaxReaders);
  if (!tooFewReaders) {
    mReadersMissingSince.reset();
    mReads = false;
    mReadsForDomain = false;
    return mReads;
  }
  if (!mReadersMissingSince) {
    mReadersMissingSince = aNow;
  }
  mReads = mReads || all || aNow - *mReadersMissingSince >= Stagger(found);
  mReadsForDomain = mReads && !all;
  return mReads;
}

watch_stagger
relay_peers::Turn(time_point aNow) const
{
  std::set<domain_name> domains{ mOwnDomain };
  for (const auto& [address, each] : mPeers) {
    domains.insert(each.mHello.mDomain);
  }
  const higher_ranked found = HigherRanked(aNow);
  const auto domainIndex =
    std::distance(domains.begin(), domains.find(mOwnDomain));
  watch_stagger turn;
  const bool all = AllRead(found.mInDomain);
  turn.mCount = all ? found.mInDomain : mSettings.mReaders;
  turn.mIndex = (all ? found.mCount : found.mActive) % turn.mCount;
  turn.mPhase =
    static_cast<double>(domainIndex + 1) / static_cast<double>(domains.size());
  return turn;
}

bool
relay_peers::AllRead(std::size_t aDomainSize) const
{
  return mSettings.mReaders == 0 || aDomainSize <= mSettings.mAllReadUpTo;
}

std::vector<std::string>
relay_peers::DomainPeers() const
{
  std::vector<std::string> found;
  for (const auto& [address, each] : mPeers) {
    if (each.mHello.mDomain == mOwnDomain) {
      found.push_back(address);
    }
  }
  return found;
}

std::vector<std::string>
relay_peers::LowerStandbys() const
{
  const reader_rank own = RankOf(mSettings.mLinkMegabits, mOwnAddress);
  std::vector<std::pair<reader_rank, std::string>> ranked{ { own,
                                                             mOwnAddress } };
  for (const auto& [address, each] : mPeers) {
    if (each.mHello.mDomain == mOwnDomain) {
      ranked.emplace_back(RankOf(each.mHello.mLinkMegabits, address), address);
    }
  }
  if (AllRead(ranked.size())) {
    return {};
  }
  std::ranges::sort(ranked, std::ranges::greater());
  const auto position = static_cast<std::size_t>(std::distance(
    ranked.begin(), std::ranges::find(ranked, std::pair(own, mOwnAddress))));
  std::vector<std::string> found;
  if (position < StandbyGroup()) {
    const std::size_t end =
      std::min(ranked.size(), StandbyGroup() + mSettings.mStandbyMargin);
    for (std::size_t each = position + 1; each < end; ++each) {
      found.push_back(ranked[each].second);
    }
  }
  return found;
}

duration
relay_peers::PeerTimeout() const
{
  return mSettings.mPeerTimeout +
         mSettings.mPeerTimeoutStep *
           static_cast<std::int64_t>(mPeers.size() / mSettings.mFanout);
}

std::vector<std::string>
relay_peers::OnNewRevision()
{
  std::vector<std::string> recipients = DrawRecipients();
  if (mReadsForDomain) {
    std::ranges::move(DomainPeers(), std::back_inserter(recipients));
    SortUnique(recipients);
  }
  return recipients;
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
  UpdatePeer(mPeers[aHello.mAddress], aHello, aNow);
  if (aHello.mSourceAnswerAge) {
    const time_point answeredAt = aNow - *aHello.mSourceAnswerAge;
    mSourceAnswered =
      std::max(mSourceAnswered.value_or(answeredAt), answeredAt);
  }
  if (aHello.mAggregation) {
    mAggregation.OnMessage(*aHello.mAggregation, aNow);
  }
  mUnconfirmed.erase(aHello.mAddress);
  for (const std::string& each : aHello.mPeers) {
    if (each != mOwnAddress && !mPeers.contains(each) &&
        mUnconfirmed.size() < mSettings.mMaxPeers) {
      mUnconfirmed.emplace(each, aNow + mSettings.mPeerTimeout);
    }
  }
  mPeakCount.Observe(mPeers.size() + 1, aNow);
  return aHello.mWantsAnswer ? std::optional(aHello.mAddress) : std::nullopt;
}

void
relay_peers::UpdatePeer(peer& aPeer, const relay_hello& aHello, time_point aNow)
{
  aPeer.mLastMessage = aNow;
  if (!aHello.mBrief) {
    aPeer.mHello = aHello;
    aPeer.mLastFullHello = aNow;
    return;
  }
  aPeer.mHello.mAddress = aHello.mAddress;
  aPeer.mHello.mDomain = aHello.mDomain;
  aPeer.mHello.mRevisions = aHello.mRevisions;
  aPeer.mHello.mSourceFails = aHello.mSourceFails;
  aPeer.mHello.mSourceAnswerAge = aHello.mSourceAnswerAge;
  aPeer.mHello.mLinkMegabits = aHello.mLinkMegabits;
}

std::vector<known_instance>
relay_peers::Instances() const
{
  std::vector<known_instance> all;
  all.reserve(mPeers.size());
  for (const auto& [address, each] : mPeers) {
    all.push_back({ address, each.mHello.mDomain });
  }
  return all;
}

std::vector<std::string>
relay_peers::Addresses() const
{
  std::vector<std::string> all;
  all.reserve(mPeers.size());
  for (const auto& [address, each] : mPeers) {
    all.push_back(address);
  }
  return all;
}

std::vector<std::string>
relay_peers::SamplePeers()
{
  std::vector<std::string> all = Addresses();
  std::ranges::shuffle(all, mRandom);
  all.resize(std::min(all.size(), mSettings.mAddressesPerHello));
  return all;
}

std::optional<newer_copy>
relay_peers::FindNewerCopy(const known_revisions& aOwn,
                           std::uint64_t aAttempt,
                           time_point aNow) const
{
  const peer* best = nullptr;
  for (const auto& [address, each] : mPeers) {
    const known_revisions& other = each.mHello.mRevisions;
    const bool isNewer = other.mConfiguration > aOwn.mConfiguration ||
                         other.mEndpoints > aOwn.mEndpoints;
    const bool fresh = aNow - each.mLastMessage < mSettings.mMaxAge;
    if (isNewer && fresh &&
        (best == nullptr || IsBetter(each, *best, aAttempt))) {
      best = &each;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const known_revisions& other = best->mHello.mRevisions;
  return newer_copy{ best->mHello.mAddress,
                     other,
                     other.mConfiguration > aOwn.mConfiguration,
                     other.mEndpoints > aOwn.mEndpoints };
}

// Prefers peers of this instance's domain, then peers with later revisions.
// Ties are broken by a hash that differs for each requesting instance and
// attempt: a reader announces a new revision to its whole domain at once, so
// many instances choose at the same time.
bool
relay_peers::IsBetter(const peer& aLeft,
                      const peer& aRight,
                      std::uint64_t aAttempt) const
{
  const std::uint64_t seed = CombineHash(Hash64(mOwnAddress), aAttempt);
  const auto rank = [&](const peer& aEntry) {
    return std::tuple(aEntry.mHello.mDomain == mOwnDomain,
                      aEntry.mHello.mRevisions.mConfiguration +
                        aEntry.mHello.mRevisions.mEndpoints,
                      CombineHash(seed, Hash64(aEntry.mHello.mAddress)));
  };
  return rank(aLeft) > rank(aRight);
}

std::size_t
relay_peers::Count(time_point aNow) const
{
  return mPeakCount.Value(mPeers.size() + 1, aNow);
}

bool
relay_peers::HasFreshLoad(const peer& aPeer, time_point aNow) const
{
  return aPeer.mLastFullHello &&
         aNow - *aPeer.mLastFullHello < mSettings.mMaxAge;
}

std::vector<forward_peer>
relay_peers::ForwardPeers(const pool_name& aPool, time_point aNow) const
{
  const pool_hash pool = PoolHash(aPool);
  std::vector<forward_peer> found;
  for (const auto& [address, each] : mPeers) {
    const forwarding_report& report = each.mHello.mForwarding;
    if (report.mPort == 0 || !HasFreshLoad(each, aNow) ||
        Reports(report, pool, false)) {
      continue;
    }
    found.push_back({ WithPort(address, report.mPort),
                      each.mHello.mDomain == mOwnDomain,
                      report.mInProgress,
                      Reports(report, pool, true),
                      std::ranges::count(report.mPoolsAtBound, pool) > 0 });
  }
  return found;
}

std::size_t
relay_peers::CutOffPeers(const pool_name& aPool, time_point aNow) const
{
  const pool_hash pool = PoolHash(aPool);
  const auto reported = std::ranges::count_if(mPeers, [&](const auto& aEntry) {
    const peer& other = aEntry.second;
    return HasFreshLoad(other, aNow) &&
           Reports(other.mHello.mForwarding, pool, false);
  });
  if (reported == 0) {
    return 0;
  }
  return static_cast<std::size_t>(static_cast<double>(reported) *
                                  FreshLoadScale(aNow));
}

std::vector<std::string>
relay_peers::PeersInContact(const pool_name& aPool, time_point aNow) const
{
  const pool_hash pool = PoolHash(aPool);
  std::vector<std::string> addresses;
  for (const auto& [address, each] : mPeers) {
    if (!HasFreshLoad(each, aNow) ||
        !Reports(each.mHello.mForwarding, pool, false)) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

bool
relay_peers::SourceFailsElsewhere(time_point aNow) const
{
  return std::ranges::any_of(mPeers, [&](const auto& aEntry) {
    const peer& other = aEntry.second;
    return aNow - other.mLastMessage < mSettings.mMaxAge &&
           other.mHello.mSourceFails;
  });
}

std::size_t
relay_peers::CountFreshLoads(time_point aNow) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mPeers, [&](const auto& aEntry) {
      return HasFreshLoad(aEntry.second, aNow);
    }));
}

double
relay_peers::FreshLoadScale(time_point aNow) const
{
  const std::size_t fresh = CountFreshLoads(aNow);
  return fresh == 0
           ? 0
           : static_cast<double>(mPeers.size()) / static_cast<double>(fresh);
}

duration
relay_peers::Interval() const
{
  return mPeers.size() >= mSettings.mHalfRateFrom ? 2 * mSettings.mInterval
                                                  : mSettings.mInterval;
}

std::map<std::uint32_t, reported_load>
relay_peers::RemoteLoad(time_point aNow) const
{
  const double scale = FreshLoadScale(aNow);
  std::map<std::uint32_t, reported_load> sum;
  for (const auto& [address, each] : mPeers) {
    if (!HasFreshLoad(each, aNow)) {
      continue;
    }
    for (const reported_load& work : each.mHello.mLoads) {
      reported_load& other = sum[work.mEndpoint];
      other.mPrefillTokens += work.mPrefillTokens;
      other.mInFlight += work.mInFlight;
      if (work.mPrefillNanoseconds > 0 &&
          (other.mPrefillNanoseconds == 0 ||
           work.mPrefillNanoseconds < other.mPrefillNanoseconds)) {
        other.mPrefillNanoseconds = work.mPrefillNanoseconds;
      }
    }
  }
  for (auto& [endpoint, work] : sum) {
    work.mPrefillTokens = static_cast<std::uint64_t>(
      static_cast<double>(work.mPrefillTokens) * scale);
    work.mInFlight =
      static_cast<std::uint32_t>(static_cast<double>(work.mInFlight) * scale);
  }
  return sum;
}

std::map<pool_name, pool_view>
relay_peers::FleetViews(const std::map<pool_name, pool_view>& aOwn,
                        time_point aNow) const
{
  if (mPeers.size() >= mSettings.mAggregateFrom) {
    const aggregated_views all =
      mAggregation.Total(aOwn, mPeers.size() + 1, aNow);
    if (all.mInstances > CountFreshLoads(aNow)) {
      return ScaleToFleet(all);
    }
  }
  const double scale = FreshLoadScale(aNow);
  std::map<pool_name, pool_view> sum = aOwn;
  for (const auto& [address, each] : mPeers) {
    if (!HasFreshLoad(each, aNow)) {
      continue;
    }
    for (const pool_demand& one : each.mHello.mDemand) {
      AddView(sum[one.mPool], one.mView, scale);
    }
  }
  return sum;
}

std::map<pool_name, pool_view>
relay_peers::ScaleToFleet(const aggregated_views& aSums) const
{
  const double scale = static_cast<double>(mPeers.size() + 1) /
                       static_cast<double>(aSums.mInstances);
  std::map<pool_name, pool_view> scaled;
  for (const auto& [pool, view] : aSums.mViews) {
    AddView(scaled[pool], view, scale);
  }
  return scaled;
}

std::vector<outgoing_aggregation>
relay_peers::AggregationMessages(const std::map<pool_name, pool_view>& aOwn,
                                 time_point aNow)
{
  if (mPeers.size() < mSettings.mAggregateFrom ||
      !mAggregation.IsRoundDue(aNow)) {
    return {};
  }
  return mAggregation.NextMessages(aOwn, Ring(), aNow);
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
relay_peers::DrawRecipients()
{
  std::vector<std::string> all = Addresses();
  if (all.size() > mSettings.mFanout) {
    std::ranges::shuffle(all, mRandom);
    all.resize(mSettings.mFanout);
  }
  return all;
}

void
relay_peers::RemoveExpired(time_point aNow)
{
  const duration after = PeerTimeout();
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastMessage >= after;
  });
  std::erase_if(mUnconfirmed,
                [&](const auto& aEntry) { return aNow >= aEntry.second; });
}

} // namespace thornhollow
