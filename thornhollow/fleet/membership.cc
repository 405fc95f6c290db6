#include "thornhollow/fleet/membership.h"

#include <algorithm>
#include <bit>
#include <string_view>
#include <utility>

#include "thornhollow/base/hash.h"
#include "thornhollow/fleet/gossip_size.h"

namespace thornhollow {
namespace {

// Pings in other members' place at a time; each ends within a second.
constexpr std::size_t kMaxRelays = 64;
// Of what a datagram holds beside its head, the part that pressures may take.
constexpr std::size_t kPressureShare = 2;

// As many entries as fit, starting at a random one, so that none is left out
// of every message.
template<class entry>
void
FillFrom(std::vector<entry>& aOut,
         const std::vector<entry>& aAll,
         std::size_t& aRoom,
         std::mt19937_64& aRandom)
{
  const std::size_t first = aAll.empty() ? 0 : aRandom() % aAll.size();
  for (std::size_t count = 0; count < aAll.size(); ++count) {
    const entry& each = aAll[(first + count) % aAll.size()];
    const std::size_t bound = EntryBound(each);
    if (bound > aRoom || aOut.size() >= kMaxMessageEntries) {
      return;
    }
    aRoom -= bound;
    aOut.push_back(each);
  }
}

// What the step from one digest to the next means to others.
std::vector<member_change>
Changes(const member_digest& aOld, const member_digest& aNew, bool aFirst)
{
  std::vector<member_change> out;
  const bool wasRemoved = aOld.mStatus == member_status::kRemoved;
  if (aNew.mStatus == member_status::kRemoved) {
    if (!aFirst && !wasRemoved) {
      out.push_back(member_change::kRemoved);
    }
    return out;
  }
  if (aFirst) {
    out.push_back(member_change::kJoined);
  } else if (wasRemoved) {
    out.push_back(member_change::kReturned);
  } else if (aOld.mVersion.mEpoch != aNew.mVersion.mEpoch) {
    out.push_back(member_change::kRestarted);
  } else if (aOld.mStatus > aNew.mStatus) {
    out.push_back(member_change::kRecovered);
  }
  if (aNew.mStatus == member_status::kSuspect &&
      (aFirst || aOld.mStatus != member_status::kSuspect)) {
    out.push_back(member_change::kSuspected);
  }
  if (aNew.mDraining && (aFirst || !aOld.mDraining)) {
    out.push_back(member_change::kDraining);
  }
  return out;
}

} // namespace

membership::membership(const membership_settings& aSettings,
                       const listed_instance& aSelf,
                       std::uint64_t aEpoch,
                       std::uint64_t aSeed)
  : mSettings(aSettings)
  , mDomain(aSelf.mDomain)
  , mSelf{ aSelf.mName,
           aSelf.mAddress,
           { aEpoch, 0 },
           member_status::kAlive,
           false }
  , mRandom(aSeed)
  // A process doesn't take the answers to its predecessor's pings for its own.
  , mNextExchange(mRandom() >> 2)
{
}

membership_actions
membership::OnInstances(const instance_list& aList, time_point aNow)
{
  membership_actions out;
  Observe(aNow, out);
  if (aList.mVersion < mListVersion) {
    return out;
  }
  mListVersion = aList.mVersion;
  mOthers.clear();
  for (auto& [name, each] : mMembers) {
    each.mListed = false;
  }
  const bool first = mMembers.empty();
  for (const listed_instance& each : aList.mInstances) {
    if (each.mDomain != mDomain) {
      mOthers[each.mDomain].push_back(each);
    } else if (each.mName != mSelf.mName &&
               (mMembers.contains(each.mName) ||
                mMembers.size() < mSettings.mMaxMembers)) {
      member& listed = mMembers[each.mName];
      listed.mListed = true;
      listed.mDigest.mName = each.mName;
      listed.mDigest.mAddress = each.mAddress;
    }
  }
  Forget(aNow);
  for (std::size_t count = 0; first && count < mSettings.mFanout; ++count) {
    PingAbsent(aNow, out);
  }
  return out;
}

membership_actions
membership::OnMessage(const gossip_message& aMessage, time_point aNow)
{
  membership_actions out;
  Observe(aNow, out);
  if (mLeft || aMessage.mSender.mName == mSelf.mName) {
    return out;
  }
  if (aMessage.mDomain == mDomain) {
    TakeDigest(aMessage.mSender, aNow, out);
    for (const member_digest& each : aMessage.mMembers) {
      TakeDigest(each, aNow, out);
    }
    for (const pool_pressure& each : aMessage.mPressures) {
      mShared.TakePressure(each, aNow);
    }
  }
  TakeConfiguration(aMessage, aNow, out);
  TakeShared(aMessage, aNow, out);
  switch (aMessage.mKind) {
    case gossip_kind::kPing:
      Answer(aMessage, aNow, out);
      break;
    case gossip_kind::kAck:
      TakeAck(aMessage, aNow, out);
      break;
    case gossip_kind::kPingRequest:
      RelayPing(aMessage, aNow, out);
      break;
    case gossip_kind::kPush:
      break;
  }
  return out;
}

membership_actions
membership::Tick(time_point aNow)
{
  membership_actions out;
  Observe(aNow, out);
  if (mLeft) {
    return out;
  }
  mShared.Expire(aNow);
  EndSuspicions(aNow, out);
  AdvanceProbe(aNow, out);
  if (mRefreshUntil && aNow >= *mRefreshUntil) {
    EndRefresh(false, out);
  }
  if (aNow >= mNextProbe) {
    mNextProbe = aNow + mSettings.mProbeInterval;
    Forget(aNow);
    StartProbe(aNow, out);
    // One that sees nobody alive has no probes to spend, and is to be found
    // sooner: at one ping an interval, two members alone on one side of a
    // partition took more than fifteen seconds when two pings were lost.
    const std::size_t absent = mProbe ? 1 : mSettings.mFanout;
    for (std::size_t count = 0; count < absent; ++count) {
      PingAbsent(aNow, out);
    }
    PingLinks(gossip_kind::kPing, aNow, out);
  }
  return out;
}

membership_actions
membership::OnConfiguration(std::uint64_t aVersion, time_point aNow)
{
  membership_actions out;
  Observe(aNow, out);
  if (!mLeft && aVersion > mConfigurationVersion) {
    mConfigurationVersion = aVersion;
    PushNews(aNow, out);
    PingLinks(gossip_kind::kPush, aNow, out);
  }
  return out;
}

membership_actions
membership::OnEndpointLeaving(const endpoint_name& aEndpoint,
                              duration aFor,
                              time_point aNow)
{
  membership_actions out;
  Observe(aNow, out);
  // An endpoint repeats itself with each answer; the first time is news.
  if (!mLeft && !mShared.IsLeaving(aEndpoint, aNow)) {
    mShared.AddLeaving(aEndpoint, aFor, aNow);
    PushNews(aNow, out);
    PingLinks(gossip_kind::kPush, aNow, out);
  }
  return out;
}

void
membership::OnPressure(const pool_pressure& aPressure, time_point aNow)
{
  mShared.SetOwn(aPressure, aNow);
}

membership_actions
membership::Drain(time_point aNow)
{
  membership_actions out;
  Observe(aNow, out);
  mSelf.mDraining = true;
  RaiseRevision(aNow, out);
  return out;
}

membership_actions
membership::Leave(time_point aNow)
{
  membership_actions out;
  Observe(aNow, out);
  mSelf.mStatus = member_status::kRemoved;
  RaiseRevision(aNow, out);
  mLeft = true;
  return out;
}

std::vector<member_digest>
membership::Alive() const
{
  std::vector<member_digest> out;
  for (const auto& [name, each] : mMembers) {
    if (!each.mListedOnly && each.mDigest.mStatus != member_status::kRemoved) {
      out.push_back(each.mDigest);
    }
  }
  return out;
}

std::optional<member_digest>
membership::Find(const instance_name& aName) const
{
  const auto found = mMembers.find(aName);
  if (found == mMembers.end() || found->second.mListedOnly) {
    return std::nullopt;
  }
  return found->second.mDigest;
}

void
membership::Observe(time_point aNow, membership_actions& aOut)
{
  if (!mLastCall) {
    // Daemons that start together don't probe together for good.
    const auto phase = duration(static_cast<duration::rep>(
      mRandom() %
      static_cast<std::uint64_t>(mSettings.mProbeInterval.count())));
    mNextProbe = aNow + phase;
  } else if (aNow - *mLastCall > mSettings.mClockGap) {
    aOut.emplace_back(was_paused{ aNow - *mLastCall });
    StartRefresh(aNow, aOut);
  }
  mLastCall = aNow;
}

void
membership::StartRefresh(time_point aNow, membership_actions& aOut)
{
  mProbe.reset();
  mRelays.clear();
  for (auto& [name, each] : mMembers) {
    each.mSince = aNow;
  }
  mFirstFreshExchange = mNextExchange;
  mRefreshUntil = aNow + mSettings.mRefreshLimit;
  ++mSelf.mVersion.mRevision;
  for (const member* each : Sample(mSettings.mFanout, mSelf.mName)) {
    SendTo(each->mDigest.mName,
           Compose(gossip_kind::kPing, mNextExchange++, {}),
           aNow,
           aOut);
  }
}

void
membership::EndRefresh(bool aHeard, membership_actions& aOut)
{
  mRefreshUntil.reset();
  aOut.emplace_back(refreshed{ aHeard });
}

void
membership::TakeDigest(const member_digest& aDigest,
                       time_point aNow,
                       membership_actions& aOut)
{
  if (aDigest.mName == mSelf.mName) {
    TakeOwnDigest(aDigest, aNow, aOut);
    return;
  }
  const auto found = mMembers.find(aDigest.mName);
  if (found == mMembers.end()) {
    // An unknown member that is gone is of no use; it would only be spread.
    if (aDigest.mStatus != member_status::kRemoved &&
        mMembers.size() < mSettings.mMaxMembers) {
      Update(mMembers[aDigest.mName], aDigest, aNow, aOut);
    }
    return;
  }
  member& known = found->second;
  const bool newer = aDigest.mVersion > known.mDigest.mVersion;
  const bool worse = aDigest.mVersion == known.mDigest.mVersion &&
                     aDigest.mStatus > known.mDigest.mStatus;
  if (known.mListedOnly || newer || worse) {
    Update(known, aDigest, aNow, aOut);
  }
}

void
membership::TakeOwnDigest(const member_digest& aDigest,
                          time_point aNow,
                          membership_actions& aOut)
{
  if (aDigest.mVersion.mEpoch > mSelf.mVersion.mEpoch) {
    aOut.emplace_back(superseded{ aDigest.mVersion.mEpoch });
    return;
  }
  if (aDigest.mStatus != member_status::kAlive &&
      aDigest.mVersion >= mSelf.mVersion) {
    mSelf.mVersion.mRevision = aDigest.mVersion.mRevision;
    RaiseRevision(aNow, aOut);
  }
}

void
membership::Update(member& aMember,
                   const member_digest& aDigest,
                   time_point aNow,
                   membership_actions& aOut)
{
  const bool first = std::exchange(aMember.mListedOnly, false);
  const member_digest old = std::exchange(aMember.mDigest, aDigest);
  aMember.mToSpread = SpreadCount();
  if (first || old.mStatus != aDigest.mStatus) {
    aMember.mSince = aNow;
  }
  for (const member_change change : Changes(old, aDigest, first)) {
    aOut.emplace_back(member_changed{ aDigest.mName, change });
  }
}

void
membership::TakeConfiguration(const gossip_message& aMessage,
                              time_point aNow,
                              membership_actions& aOut)
{
  const std::uint64_t version = aMessage.mConfigurationVersion;
  if (version <= mConfigurationVersion) {
    return;
  }
  if (version > mHintedVersion || aNow >= mNextHint) {
    mHintedVersion = std::max(version, mHintedVersion);
    mNextHint = aNow + mSettings.mProbeInterval;
    aOut.emplace_back(newer_configuration{
      version, aMessage.mSender.mName, aMessage.mSender.mAddress });
  }
}

void
membership::TakeShared(const gossip_message& aMessage,
                       time_point aNow,
                       membership_actions& aOut)
{
  bool news = false;
  for (const leaving_endpoint& each : aMessage.mLeaving) {
    if (mShared.TakeLeaving(each, aNow)) {
      news = true;
      aOut.emplace_back(endpoint_leaves{
        each.mEndpoint, aNow + std::min(each.mRemaining, kLeavingLife) });
    }
  }
  if (news) {
    PushNews(aNow, aOut);
    PingLinks(gossip_kind::kPush, aNow, aOut);
  }
}

void
membership::TakeAck(const gossip_message& aMessage,
                    time_point aNow,
                    membership_actions& aOut)
{
  if (mProbe && mProbe->mExchange == aMessage.mExchange &&
      mProbe->mTarget == aMessage.mTarget) {
    mProbe.reset();
  }
  if (mRefreshUntil && aMessage.mExchange >= mFirstFreshExchange &&
      aMessage.mExchange < mNextExchange) {
    EndRefresh(true, aOut);
  }
  const auto relayed =
    std::ranges::find(mRelays, aMessage.mExchange, &relay::mExchange);
  if (relayed != mRelays.end() && relayed->mTarget == aMessage.mTarget) {
    SendTo(relayed->mFor,
           Compose(gossip_kind::kAck, relayed->mForExchange, relayed->mTarget),
           aNow,
           aOut);
    mRelays.erase(relayed);
  }
}

void
membership::RelayPing(const gossip_message& aMessage,
                      time_point aNow,
                      membership_actions& aOut)
{
  std::erase_if(mRelays,
                [aNow](const relay& aEach) { return aEach.mUntil <= aNow; });
  if (mRelays.size() >= kMaxRelays || !mMembers.contains(aMessage.mTarget)) {
    return;
  }
  mRelays.push_back({ mNextExchange,
                      aMessage.mSender.mName,
                      aMessage.mExchange,
                      aMessage.mTarget,
                      aNow + mSettings.mProbeTimeout });
  SendTo(aMessage.mTarget,
         Compose(gossip_kind::kPing, mNextExchange++, {}),
         aNow,
         aOut);
}

void
membership::Answer(const gossip_message& aPing,
                   time_point aNow,
                   membership_actions& aOut)
{
  gossip_message ack = Compose(gossip_kind::kAck, aPing.mExchange, mSelf.mName);
  if (aPing.mDomain == mDomain) {
    SendTo(aPing.mSender.mName, std::move(ack), aNow, aOut);
    return;
  }
  Fill(ack, aPing.mSender.mName, false, aNow);
  aOut.emplace_back(send_datagram{
    aPing.mSender.mName, aPing.mSender.mAddress, std::move(ack) });
}

void
membership::AdvanceProbe(time_point aNow, membership_actions& aOut)
{
  if (!mProbe) {
    return;
  }
  if (aNow - mProbe->mStarted >= mSettings.mProbeTimeout) {
    FailProbe(aNow, aOut);
    return;
  }
  if (!mProbe->mHelpersAsked &&
      aNow - mProbe->mStarted >= mSettings.mAckTimeout) {
    mProbe->mHelpersAsked = true;
    for (const member* each : Sample(mSettings.mHelpers, mProbe->mTarget)) {
      SendTo(
        each->mDigest.mName,
        Compose(gossip_kind::kPingRequest, mProbe->mExchange, mProbe->mTarget),
        aNow,
        aOut);
    }
  }
}

void
membership::FailProbe(time_point aNow, membership_actions& aOut)
{
  const probe failed = *std::exchange(mProbe, std::nullopt);
  const auto found = mMembers.find(failed.mTarget);
  if (found == mMembers.end() ||
      found->second.mDigest.mStatus != member_status::kAlive) {
    return;
  }
  member_digest suspect = found->second.mDigest;
  suspect.mStatus = member_status::kSuspect;
  Update(found->second, suspect, aNow, aOut);
  // One that runs hears of it at once and can contradict.
  SendTo(failed.mTarget,
         Compose(gossip_kind::kPing, mNextExchange++, {}),
         aNow,
         aOut);
  PushNews(aNow, aOut);
}

void
membership::StartProbe(time_point aNow, membership_actions& aOut)
{
  if (mProbe) {
    return;
  }
  if (const auto target = NextToProbe()) {
    mProbe = probe{ *target, mNextExchange, aNow, false };
    SendTo(
      *target, Compose(gossip_kind::kPing, mNextExchange++, {}), aNow, aOut);
  }
}

void
membership::PingAbsent(time_point aNow, membership_actions& aOut)
{
  const auto isAbsent = [](const auto& aEntry) {
    return aEntry.second.mListedOnly ||
           aEntry.second.mDigest.mStatus != member_status::kAlive;
  };
  // In turn: with random picks two members alone on one side of a partition
  // were seen to miss each other for longer than fifteen seconds.
  auto next =
    std::find_if(mMembers.upper_bound(mLastAbsent), mMembers.end(), isAbsent);
  if (next == mMembers.end()) {
    next = std::ranges::find_if(mMembers, isAbsent);
  }
  if (next != mMembers.end()) {
    mLastAbsent = next->first;
    SendTo(mLastAbsent,
           Compose(gossip_kind::kPing, mNextExchange++, {}),
           aNow,
           aOut);
  }
}

void
membership::PingLinks(gossip_kind aKind,
                      time_point aNow,
                      membership_actions& aOut)
{
  for (const auto& [domain, listed] : mOthers) {
    if (!HoldsLinkTo(domain)) {
      continue;
    }
    // A random one: a listed instance that is gone costs one interval.
    const listed_instance& to = listed[mRandom() % listed.size()];
    gossip_message message = Compose(aKind, mNextExchange++, {});
    Fill(message, to.mName, false, aNow);
    aOut.emplace_back(
      send_datagram{ to.mName, to.mAddress, std::move(message) });
  }
}

void
membership::EndSuspicions(time_point aNow, membership_actions& aOut)
{
  bool news = false;
  for (auto& [name, each] : mMembers) {
    if (each.mListedOnly || each.mDigest.mStatus != member_status::kSuspect ||
        aNow - each.mSince < mSettings.mSuspicion) {
      continue;
    }
    member_digest removed = each.mDigest;
    removed.mStatus = member_status::kRemoved;
    Update(each, removed, aNow, aOut);
    news = true;
  }
  if (news) {
    PushNews(aNow, aOut);
  }
}

void
membership::PushNews(time_point aNow, membership_actions& aOut)
{
  for (const member* each : Sample(mSettings.mFanout, mSelf.mName)) {
    SendTo(each->mDigest.mName, Compose(gossip_kind::kPush, 0, {}), aNow, aOut);
  }
}

void
membership::RaiseRevision(time_point aNow, membership_actions& aOut)
{
  ++mSelf.mVersion.mRevision;
  PushNews(aNow, aOut);
}

std::optional<instance_name>
membership::NextToProbe()
{
  // Each member once in a random order, then a new order: a dead one is found
  // within two rounds, where random picks could miss it for long.
  for (int round = 0; round < 2; ++round) {
    while (!mProbeOrder.empty()) {
      instance_name next = std::move(mProbeOrder.back());
      mProbeOrder.pop_back();
      const auto found = mMembers.find(next);
      if (found != mMembers.end() && !found->second.mListedOnly &&
          found->second.mDigest.mStatus == member_status::kAlive) {
        return next;
      }
    }
    for (const auto& [name, each] : mMembers) {
      mProbeOrder.push_back(name);
    }
    std::ranges::shuffle(mProbeOrder, mRandom);
  }
  return std::nullopt;
}

std::vector<const membership::member*>
membership::Sample(std::size_t aCount, const instance_name& aExcept)
{
  std::vector<const member*> all;
  for (const auto& [name, each] : mMembers) {
    if (!each.mListedOnly && name != aExcept &&
        each.mDigest.mStatus == member_status::kAlive) {
      all.push_back(&each);
    }
  }
  std::vector<const member*> out;
  std::ranges::sample(
    all, std::back_inserter(out), static_cast<std::ptrdiff_t>(aCount), mRandom);
  return out;
}

bool
membership::HoldsLinkTo(const domain_name& aDomain) const
{
  std::vector<std::string_view> names{ mSelf.mName.Text() };
  for (const auto& [name, each] : mMembers) {
    if (!each.mListedOnly && each.mDigest.mStatus == member_status::kAlive) {
      names.emplace_back(name.Text());
    }
  }
  const auto ranked = RankByRendezvous(Hash64(aDomain.Text()), names);
  const auto own = std::ranges::find(ranked, std::size_t{ 0 });
  return own - ranked.begin() <
         static_cast<std::ptrdiff_t>(mSettings.mLinkHolders);
}

std::uint32_t
membership::SpreadCount() const
{
  // Three times the number of rounds that gossip needs to reach all.
  return 3 * static_cast<std::uint32_t>(std::bit_width(mMembers.size() + 1));
}

gossip_message
membership::Compose(gossip_kind aKind,
                    std::uint64_t aExchange,
                    const instance_name& aTarget) const
{
  gossip_message out;
  out.mKind = aKind;
  out.mExchange = aExchange;
  out.mDomain = mDomain;
  out.mSender = mSelf;
  out.mTarget = aTarget;
  out.mConfigurationVersion = mConfigurationVersion;
  return out;
}

void
membership::Fill(gossip_message& aMessage,
                 const instance_name& aTo,
                 bool aSameDomain,
                 time_point aNow)
{
  std::size_t room = kMaxDatagramBytes - HeadBound(aMessage);
  FillFrom(aMessage.mLeaving, mShared.Leaving(aNow), room, mRandom);
  if (!aSameDomain) {
    return;
  }
  std::size_t forPressures = room / kPressureShare;
  room -= forPressures;
  FillFrom(aMessage.mPressures, mShared.ToTell(aNow), forPressures, mRandom);
  FillMembers(aMessage, aTo, room + forPressures);
}

void
membership::FillMembers(gossip_message& aMessage,
                        const instance_name& aTo,
                        std::size_t aRoom)
{
  const auto add = [&](const member& aEach) {
    const std::size_t bound = EntryBound(aEach.mDigest);
    if (aEach.mListedOnly || bound > aRoom ||
        aMessage.mMembers.size() >= kMaxMessageEntries ||
        std::ranges::find(aMessage.mMembers,
                          aEach.mDigest.mName,
                          &member_digest::mName) != aMessage.mMembers.end()) {
      return false;
    }
    aRoom -= bound;
    aMessage.mMembers.push_back(aEach.mDigest);
    return true;
  };
  // One that is suspected or removed must hear of it, or it can't contradict.
  if (const auto found = mMembers.find(aTo);
      found != mMembers.end() &&
      found->second.mDigest.mStatus != member_status::kAlive) {
    add(found->second);
  }
  for (auto& [name, each] : mMembers) {
    if (each.mToSpread > 0 && add(each)) {
      --each.mToSpread;
    }
  }
  auto next = mMembers.upper_bound(mLastRepeated);
  for (std::size_t count = 0;
       count < std::min(mSettings.mRepeatedMembers, mMembers.size());
       ++count) {
    next = next == mMembers.end() ? mMembers.begin() : next;
    add(next->second);
    mLastRepeated = next->first;
    ++next;
  }
}

void
membership::SendTo(const instance_name& aTo,
                   gossip_message aMessage,
                   time_point aNow,
                   membership_actions& aOut)
{
  if (const auto found = mMembers.find(aTo); found != mMembers.end()) {
    Fill(aMessage, aTo, true, aNow);
    aOut.emplace_back(send_datagram{
      aTo, found->second.mDigest.mAddress, std::move(aMessage) });
  }
}

void
membership::Forget(time_point aNow)
{
  std::erase_if(mMembers, [&](const auto& aEntry) {
    const member& each = aEntry.second;
    return !each.mListed && (each.mListedOnly ||
                             (each.mDigest.mStatus == member_status::kRemoved &&
                              aNow - each.mSince >= mSettings.mForgetAfter));
  });
}

} // namespace thornhollow
