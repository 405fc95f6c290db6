#include "thornhollow/fleet/membership.h"

#include <algorithm>
#include <bit>
#include <string_view>
#include <utility>

#include "thornhollow/base/hash.h"
#include "thornhollow/fleet/gossip_size.h"

namespace thornhollow {
namespace {

// Maximum number of concurrent indirect pings; each ends within a second.
constexpr std::size_t kMaxIndirectPings = 64;
// Pool pressures, which tell peers the tiers that an instance still admits to a
// pool (shared_state.h), may take 1 / `kPressureDivisor` of the space that the
// header and the leaving endpoints leave free in a datagram.
constexpr std::size_t kPressureDivisor = 2;

// Appends as many entries of `aAll` as fit into `aRoom` bytes, starting at a
// random entry, so that over time every entry is sent.
template<class entry>
void
AppendWhileFits(std::vector<entry>& aOut,
                const std::vector<entry>& aAll,
                std::size_t& aRoom,
                std::mt19937_64& aRandom)
{
  const std::size_t first = aAll.empty() ? 0 : aRandom() % aAll.size();
  for (std::size_t count = 0; count < aAll.size(); ++count) {
    const entry& each = aAll[(first + count) % aAll.size()];
    const std::size_t bound = MaxEntrySize(each);
    if (bound > aRoom || aOut.size() >= kMaxMessageEntries) {
      return;
    }
    aRoom -= bound;
    aOut.push_back(each);
  }
}

// Returns the changes to report when the digest of a member changes from `aOld`
// to `aNew`. `aFirst`: whether this is the first digest received.
std::vector<member_change>
ChangesBetween(const member_digest& aOld,
               const member_digest& aNew,
               bool aFirst)
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
    out.push_back(member_change::kRejoined);
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
  // A random first exchange number keeps a process from accepting acks to the
  // pings of an earlier process of the same name.
  , mNextExchange(mRandom() >> 2)
{
}

membership_actions
membership::OnInstances(const instance_list& aList, time_point aNow)
{
  membership_actions out;
  DetectPause(aNow, out);
  if (aList.mVersion < mListVersion) {
    return out;
  }
  mListVersion = aList.mVersion;
  mOtherDomains.clear();
  for (auto& [name, each] : mMembers) {
    each.mListed = false;
  }
  const bool first = mMembers.empty();
  for (const listed_instance& each : aList.mInstances) {
    if (each.mDomain != mDomain) {
      mOtherDomains[each.mDomain].push_back(each);
    } else if (each.mName != mSelf.mName &&
               (mMembers.contains(each.mName) ||
                mMembers.size() < mSettings.mMaxMembers)) {
      member& listed = mMembers[each.mName];
      listed.mListed = true;
      listed.mDigest.mName = each.mName;
      listed.mDigest.mAddress = each.mAddress;
    }
  }
  PurgeMembers(aNow);
  for (std::size_t count = 0; first && count < mSettings.mFanout; ++count) {
    PingNotAlive(aNow, out);
  }
  return out;
}

membership_actions
membership::OnMessage(const gossip_message& aMessage, time_point aNow)
{
  membership_actions out;
  DetectPause(aNow, out);
  if (mLeft || aMessage.mSender.mName == mSelf.mName) {
    return out;
  }
  if (aMessage.mDomain == mDomain) {
    MergeDigest(aMessage.mSender, aNow, out);
    for (const member_digest& each : aMessage.mMembers) {
      MergeDigest(each, aNow, out);
    }
    for (const pool_pressure& each : aMessage.mPressures) {
      mShared.MergePressure(each, aNow);
    }
  }
  CheckConfigurationVersion(aMessage, aNow, out);
  MergeLeavingEndpoints(aMessage, aNow, out);
  switch (aMessage.mKind) {
    case gossip_kind::kPing:
      SendAck(aMessage, aNow, out);
      break;
    case gossip_kind::kAck:
      HandleAck(aMessage, aNow, out);
      break;
    case gossip_kind::kPingRequest:
      ForwardPing(aMessage, aNow, out);
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
  DetectPause(aNow, out);
  if (mLeft) {
    return out;
  }
  mShared.Expire(aNow);
  ExpireSuspicions(aNow, out);
  AdvanceProbe(aNow, out);
  if (mRefreshUntil && aNow >= *mRefreshUntil) {
    EndRefresh(false, out);
  }
  if (aNow >= mNextProbe) {
    mNextProbe = aNow + mSettings.mProbeInterval;
    PurgeMembers(aNow);
    StartProbe(aNow, out);
    // An instance that considers no other member alive has none to probe. It
    // therefore pings several of the members that it does not consider alive:
    // with one such ping per interval, two members alone on one side of a
    // partition took more than 15 s to find each other when two pings were
    // lost.
    const std::size_t pingCount = mProbe ? 1 : mSettings.mFanout;
    for (std::size_t count = 0; count < pingCount; ++count) {
      PingNotAlive(aNow, out);
    }
    SendToOtherDomains(gossip_kind::kPing, aNow, out);
  }
  return out;
}

membership_actions
membership::OnConfiguration(std::uint64_t aVersion, time_point aNow)
{
  membership_actions out;
  DetectPause(aNow, out);
  if (!mLeft && aVersion > mConfigurationVersion) {
    mConfigurationVersion = aVersion;
    PushUpdates(aNow, out);
    SendToOtherDomains(gossip_kind::kPush, aNow, out);
  }
  return out;
}

membership_actions
membership::OnEndpointLeaving(const endpoint_name& aEndpoint,
                              duration aFor,
                              time_point aNow)
{
  membership_actions out;
  DetectPause(aNow, out);
  // An endpoint repeats the report that it is leaving with each answer; only
  // the first report is new.
  if (!mLeft && !mShared.IsLeaving(aEndpoint, aNow)) {
    mShared.AddLeaving(aEndpoint, aFor, aNow);
    PushUpdates(aNow, out);
    SendToOtherDomains(gossip_kind::kPush, aNow, out);
  }
  return out;
}

void
membership::OnPressure(const pool_pressure& aPressure, time_point aNow)
{
  mShared.SetOwnPressure(aPressure, aNow);
}

membership_actions
membership::Drain(time_point aNow)
{
  membership_actions out;
  DetectPause(aNow, out);
  mSelf.mDraining = true;
  RaiseIncarnation(aNow, out);
  return out;
}

membership_actions
membership::Leave(time_point aNow)
{
  membership_actions out;
  DetectPause(aNow, out);
  mSelf.mStatus = member_status::kRemoved;
  RaiseIncarnation(aNow, out);
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
membership::DetectPause(time_point aNow, membership_actions& aOut)
{
  if (!mLastCall) {
    // A random time of the first probe keeps instances that start together from
    // probing in lockstep.
    const auto phase = duration(static_cast<duration::rep>(
      mRandom() %
      static_cast<std::uint64_t>(mSettings.mProbeInterval.count())));
    mNextProbe = aNow + phase;
  } else if (aNow - *mLastCall > mSettings.mClockGap) {
    aOut.emplace_back(process_paused{ aNow - *mLastCall });
    StartRefresh(aNow, aOut);
  }
  mLastCall = aNow;
}

void
membership::StartRefresh(time_point aNow, membership_actions& aOut)
{
  mProbe.reset();
  mIndirectPings.clear();
  for (auto& [name, each] : mMembers) {
    each.mStatusSince = aNow;
  }
  mFirstExchangeAfterPause = mNextExchange;
  mRefreshUntil = aNow + mSettings.mRefreshTimeout;
  ++mSelf.mVersion.mIncarnation;
  for (const member* each : SampleAlive(mSettings.mFanout, mSelf.mName)) {
    SendTo(each->mDigest.mName,
           Compose(gossip_kind::kPing, mNextExchange++, {}),
           aNow,
           aOut);
  }
}

void
membership::EndRefresh(bool aPeerResponded, membership_actions& aOut)
{
  mRefreshUntil.reset();
  aOut.emplace_back(refresh_finished{ aPeerResponded });
}

void
membership::MergeDigest(const member_digest& aDigest,
                        time_point aNow,
                        membership_actions& aOut)
{
  if (aDigest.mName == mSelf.mName) {
    HandleOwnDigest(aDigest, aNow, aOut);
    return;
  }
  const auto found = mMembers.find(aDigest.mName);
  if (found == mMembers.end()) {
    // A removed member that this instance does not know is of no use and would
    // only be disseminated further.
    if (aDigest.mStatus != member_status::kRemoved &&
        mMembers.size() < mSettings.mMaxMembers) {
      ApplyDigest(mMembers[aDigest.mName], aDigest, aNow, aOut);
    }
    return;
  }
  member& known = found->second;
  const bool newer = aDigest.mVersion > known.mDigest.mVersion;
  const bool worse = aDigest.mVersion == known.mDigest.mVersion &&
                     aDigest.mStatus > known.mDigest.mStatus;
  if (known.mListedOnly || newer || worse) {
    ApplyDigest(known, aDigest, aNow, aOut);
  }
}

void
membership::HandleOwnDigest(const member_digest& aDigest,
                            time_point aNow,
                            membership_actions& aOut)
{
  if (aDigest.mVersion.mEpoch > mSelf.mVersion.mEpoch) {
    aOut.emplace_back(superseded{ aDigest.mVersion.mEpoch });
    return;
  }
  if (aDigest.mStatus != member_status::kAlive &&
      aDigest.mVersion >= mSelf.mVersion) {
    mSelf.mVersion.mIncarnation = aDigest.mVersion.mIncarnation;
    RaiseIncarnation(aNow, aOut);
  }
}

void
membership::ApplyDigest(member& aMember,
                        const member_digest& aDigest,
                        time_point aNow,
                        membership_actions& aOut)
{
  const bool first = std::exchange(aMember.mListedOnly, false);
  const member_digest old = std::exchange(aMember.mDigest, aDigest);
  aMember.mTransmissionsLeft = MaxTransmissions();
  if (first || old.mStatus != aDigest.mStatus) {
    aMember.mStatusSince = aNow;
  }
  for (const member_change change : ChangesBetween(old, aDigest, first)) {
    aOut.emplace_back(member_changed{ aDigest.mName, change });
  }
}

void
membership::CheckConfigurationVersion(const gossip_message& aMessage,
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
membership::MergeLeavingEndpoints(const gossip_message& aMessage,
                                  time_point aNow,
                                  membership_actions& aOut)
{
  bool hasUpdates = false;
  for (const leaving_endpoint& each : aMessage.mLeaving) {
    if (mShared.MergeLeaving(each, aNow)) {
      hasUpdates = true;
      aOut.emplace_back(endpoint_leave_reported{
        each.mEndpoint, aNow + std::min(each.mRemaining, kLeavingLifetime) });
    }
  }
  if (hasUpdates) {
    PushUpdates(aNow, aOut);
    SendToOtherDomains(gossip_kind::kPush, aNow, aOut);
  }
}

void
membership::HandleAck(const gossip_message& aMessage,
                      time_point aNow,
                      membership_actions& aOut)
{
  if (mProbe && mProbe->mExchange == aMessage.mExchange &&
      mProbe->mTarget == aMessage.mTarget) {
    mProbe.reset();
  }
  if (mRefreshUntil && aMessage.mExchange >= mFirstExchangeAfterPause &&
      aMessage.mExchange < mNextExchange) {
    EndRefresh(true, aOut);
  }
  const auto forwarded = std::ranges::find(
    mIndirectPings, aMessage.mExchange, &indirect_ping::mExchange);
  if (forwarded != mIndirectPings.end() &&
      forwarded->mTarget == aMessage.mTarget) {
    SendTo(forwarded->mRequester,
           Compose(gossip_kind::kAck,
                   forwarded->mRequesterExchange,
                   forwarded->mTarget),
           aNow,
           aOut);
    mIndirectPings.erase(forwarded);
  }
}

void
membership::ForwardPing(const gossip_message& aMessage,
                        time_point aNow,
                        membership_actions& aOut)
{
  std::erase_if(mIndirectPings, [aNow](const indirect_ping& aEach) {
    return aEach.mUntil <= aNow;
  });
  if (mIndirectPings.size() >= kMaxIndirectPings ||
      !mMembers.contains(aMessage.mTarget)) {
    return;
  }
  mIndirectPings.push_back({ mNextExchange,
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
membership::SendAck(const gossip_message& aPing,
                    time_point aNow,
                    membership_actions& aOut)
{
  gossip_message ack = Compose(gossip_kind::kAck, aPing.mExchange, mSelf.mName);
  if (aPing.mDomain == mDomain) {
    SendTo(aPing.mSender.mName, std::move(ack), aNow, aOut);
    return;
  }
  Piggyback(ack, aPing.mSender.mName, false, aNow);
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
  if (!mProbe->mIndirectProbesSent &&
      aNow - mProbe->mStarted >= mSettings.mAckTimeout) {
    mProbe->mIndirectProbesSent = true;
    for (const member* each :
         SampleAlive(mSettings.mIndirectProbers, mProbe->mTarget)) {
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
  ApplyDigest(found->second, suspect, aNow, aOut);
  // Tells the member that it is suspected, so that it can refute the suspicion
  // at once if it is alive.
  SendTo(failed.mTarget,
         Compose(gossip_kind::kPing, mNextExchange++, {}),
         aNow,
         aOut);
  PushUpdates(aNow, aOut);
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
membership::PingNotAlive(time_point aNow, membership_actions& aOut)
{
  const auto isNotAlive = [](const auto& aEntry) {
    return aEntry.second.mListedOnly ||
           aEntry.second.mDigest.mStatus != member_status::kAlive;
  };
  // Visits the members that are not alive in order of their names: with random
  // picks, two members alone on one side of a partition did not ping each other
  // for more than 15 s.
  auto next = std::find_if(
    mMembers.upper_bound(mLastNotAlive), mMembers.end(), isNotAlive);
  if (next == mMembers.end()) {
    next = std::ranges::find_if(mMembers, isNotAlive);
  }
  if (next != mMembers.end()) {
    mLastNotAlive = next->first;
    SendTo(mLastNotAlive,
           Compose(gossip_kind::kPing, mNextExchange++, {}),
           aNow,
           aOut);
  }
}

void
membership::SendToOtherDomains(gossip_kind aKind,
                               time_point aNow,
                               membership_actions& aOut)
{
  for (const auto& [domain, listed] : mOtherDomains) {
    if (!IsBridgeTo(domain)) {
      continue;
    }
    // The recipient is chosen at random for each interval, so that a listed
    // instance that no longer runs costs only one interval.
    const listed_instance& to = listed[mRandom() % listed.size()];
    gossip_message message = Compose(aKind, mNextExchange++, {});
    Piggyback(message, to.mName, false, aNow);
    aOut.emplace_back(
      send_datagram{ to.mName, to.mAddress, std::move(message) });
  }
}

void
membership::ExpireSuspicions(time_point aNow, membership_actions& aOut)
{
  bool hasUpdates = false;
  for (auto& [name, each] : mMembers) {
    if (each.mListedOnly || each.mDigest.mStatus != member_status::kSuspect ||
        aNow - each.mStatusSince < mSettings.mSuspicionTimeout) {
      continue;
    }
    member_digest removed = each.mDigest;
    removed.mStatus = member_status::kRemoved;
    ApplyDigest(each, removed, aNow, aOut);
    hasUpdates = true;
  }
  if (hasUpdates) {
    PushUpdates(aNow, aOut);
  }
}

void
membership::PushUpdates(time_point aNow, membership_actions& aOut)
{
  for (const member* each : SampleAlive(mSettings.mFanout, mSelf.mName)) {
    SendTo(each->mDigest.mName, Compose(gossip_kind::kPush, 0, {}), aNow, aOut);
  }
}

void
membership::RaiseIncarnation(time_point aNow, membership_actions& aOut)
{
  ++mSelf.mVersion.mIncarnation;
  PushUpdates(aNow, aOut);
}

std::optional<instance_name>
membership::NextToProbe()
{
  // Visits each member once in random order, then reshuffles: a dead member is
  // found within two passes over all members, whereas random picks could miss
  // the member for long.
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
membership::SampleAlive(std::size_t aCount, const instance_name& aExcept)
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
membership::IsBridgeTo(const domain_name& aDomain) const
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
         static_cast<std::ptrdiff_t>(mSettings.mBridgesPerDomain);
}

std::uint32_t
membership::MaxTransmissions() const
{
  // Three times the number of gossip rounds that it takes to reach all members,
  // which is about the binary logarithm of the number of members.
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
membership::Piggyback(gossip_message& aMessage,
                      const instance_name& aTo,
                      bool aSameDomain,
                      time_point aNow)
{
  std::size_t room = kMaxDatagramBytes - MaxHeaderSize(aMessage);
  AppendWhileFits(aMessage.mLeaving, mShared.Leaving(aNow), room, mRandom);
  if (!aSameDomain) {
    return;
  }
  std::size_t pressureRoom = room / kPressureDivisor;
  room -= pressureRoom;
  AppendWhileFits(
    aMessage.mPressures, mShared.PressuresToSend(aNow), pressureRoom, mRandom);
  PiggybackMembers(aMessage, aTo, room + pressureRoom);
}

void
membership::PiggybackMembers(gossip_message& aMessage,
                             const instance_name& aTo,
                             std::size_t aRoom)
{
  const auto add = [&](const member& aEach) {
    const std::size_t bound = MaxEntrySize(aEach.mDigest);
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
  // A suspected or removed recipient must learn of its status to be able to
  // refute it.
  if (const auto found = mMembers.find(aTo);
      found != mMembers.end() &&
      found->second.mDigest.mStatus != member_status::kAlive) {
    add(found->second);
  }
  for (auto& [name, each] : mMembers) {
    if (each.mTransmissionsLeft > 0 && add(each)) {
      --each.mTransmissionsLeft;
    }
  }
  auto next = mMembers.upper_bound(mLastAntiEntropyMember);
  for (std::size_t count = 0;
       count < std::min(mSettings.mAntiEntropyMembers, mMembers.size());
       ++count) {
    next = next == mMembers.end() ? mMembers.begin() : next;
    add(next->second);
    mLastAntiEntropyMember = next->first;
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
    Piggyback(aMessage, aTo, true, aNow);
    aOut.emplace_back(send_datagram{
      aTo, found->second.mDigest.mAddress, std::move(aMessage) });
  }
}

void
membership::PurgeMembers(time_point aNow)
{
  std::erase_if(mMembers, [&](const auto& aEntry) {
    const member& each = aEntry.second;
    return !each.mListed &&
           (each.mListedOnly ||
            (each.mDigest.mStatus == member_status::kRemoved &&
             aNow - each.mStatusSince >= mSettings.mTombstoneLifetime));
  });
}

} // namespace thornhollow
