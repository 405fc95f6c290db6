// Which entry instances of the own failure domain run, and the small state that
// they share: configuration version, pool pressures, endpoints that leave.
//
//   membership members(membership_settings{}, self, epoch, seed);
//   Apply(members.OnInstances(list, now));
//   Apply(members.Tick(now));               // every 100 ms
//   Apply(members.OnMessage(message, now)); // for each opened datagram
//
// Failure detection by probes, as in SWIM: once a probe interval each daemon
// pings one other, in an order that visits all; without an answer it has two
// others ping in its place; without an answer to those it suspects the member
// and says so. A suspected member that runs contradicts by raising its
// revision; else it is removed when the suspicion ends. Every message carries
// the latest changes, so that each reaches all within a few intervals, and a
// few other members in turn, so that a lost one is made good.
//
// The load that this answers: a fleet of any size. Each daemon sends and gets a
// constant number of datagrams an interval, each of bounded size, and holds the
// members of its own domain only; other domains are reached by two members of
// each domain, the link holders, which ping one instance of the other domain an
// interval.
//
// Guards against a paused process: one that was stopped for a while wakes up
// with a view that others have long left, and old messages in its socket. It
// shows as a gap between two calls. The members then restarts its timers, takes
// no answer to an old probe, contradicts any removal, and reports itself as
// refreshing until a peer answered (or nobody did for a second, so that an
// instance that is cut off serves on).
#ifndef THORNHOLLOW_FLEET_MEMBERSHIP_H_
#define THORNHOLLOW_FLEET_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/fleet/instance_list.h"
#include "thornhollow/fleet/peer_messages.h"
#include "thornhollow/fleet/shared_state.h"

namespace thornhollow {

struct membership_settings
{
  // One member is probed each interval. A second keeps the cost at about four
  // datagrams a second and finds a dead member within a few seconds.
  duration mProbeInterval = Seconds(1);
  // An answer takes a few milliseconds; an engine step or a busy loop may add
  // tens. After this, others are asked to probe.
  duration mAckTimeout = Milliseconds(250);
  // After this without an answer to any probe the member is suspected.
  duration mProbeTimeout = Milliseconds(750);
  // How long a suspected member has to contradict: news reaches all 38 of a
  // domain within one to two intervals, so three leave room for loss.
  duration mSuspicionTimeout = Seconds(3);
  // A longer time between two calls is a pause of this process.
  duration mClockGap = Seconds(2);
  // How long a daemon waits for a peer after a pause.
  duration mRefreshTimeout = Seconds(1);
  // Removed members are kept this long, so that late news of them is known as
  // such, and probed as long as they are listed.
  duration mTombstoneLifetime = Seconds(60);
  std::size_t mIndirectProbers = 2;
  // Members that hear of news at once.
  std::size_t mFanout = 4;
  // Members of a domain that hold links to each other domain.
  std::size_t mBridgesPerDomain = 2;
  // Members that a message repeats in turn beside the changes.
  std::size_t mAntiEntropyMembers = 8;
  // Members held; more are ignored. Letter 1's domains have 38.
  std::size_t mMaxMembers = 256;

  friend bool operator==(const membership_settings&,
                         const membership_settings&) = default;
};

// Send this datagram.
struct send_datagram
{
  instance_name mTo;
  std::string mAddress;
  gossip_message mMessage;

  friend bool operator==(const send_datagram&, const send_datagram&) = default;
};

enum class member_change : std::uint8_t
{
  // Heard of as alive for the first time.
  kJoined,
  kSuspected,
  // Contradicted the suspicion.
  kRecovered,
  kRemoved,
  // Alive again after its removal.
  kRejoined,
  // Another process runs under the name.
  kRestarted,
  kDraining,
};

struct member_changed
{
  instance_name mName;
  member_change mChange = member_change::kJoined;

  friend bool operator==(const member_changed&,
                         const member_changed&) = default;
};

// A peer has a newer configuration in force and can be asked for it. Repeated
// at most once an interval while it stays so.
struct newer_configuration
{
  std::uint64_t mVersion = 0;
  instance_name mFrom;
  std::string mAddress;

  friend bool operator==(const newer_configuration&,
                         const newer_configuration&) = default;
};

// A peer said that this endpoint leaves: no new work may go there until then.
struct endpoint_leave_reported
{
  endpoint_name mEndpoint;
  time_point mUntil{};

  friend bool operator==(const endpoint_leave_reported&,
                         const endpoint_leave_reported&) = default;
};

// This process was paused for `mLength`: views, leases and deadlines from
// before count as expired.
struct process_paused
{
  duration mLength{};

  friend bool operator==(const process_paused&,
                         const process_paused&) = default;
};

// The refresh after a pause is over; `mPeerResponded` tells whether a peer
// answered.
struct refresh_finished
{
  bool mPeerResponded = false;

  friend bool operator==(const refresh_finished&,
                         const refresh_finished&) = default;
};

// Peers know a later process of this name. This one must stop, or start again
// with an epoch above `mEpoch`.
struct superseded
{
  std::uint64_t mEpoch = 0;

  friend bool operator==(const superseded&, const superseded&) = default;
};

using membership_action = std::variant<send_datagram,
                                       member_changed,
                                       newer_configuration,
                                       endpoint_leave_reported,
                                       process_paused,
                                       refresh_finished,
                                       superseded>;
using membership_actions = std::vector<membership_action>;

class membership
{
public:
  // `aSelf` is this instance as the platform lists it. `aEpoch` must be higher
  // than at the last start under the same name; `aSeed` drives every random
  // choice.
  membership(const membership_settings& aSettings,
             const listed_instance& aSelf,
             std::uint64_t aEpoch,
             std::uint64_t aSeed);

  // Takes the platform's list. A lower version than the last one is ignored.
  membership_actions OnInstances(const instance_list& aList, time_point aNow);

  membership_actions OnMessage(const gossip_message& aMessage, time_point aNow);

  // Does what falls due. To be called every 100 ms.
  membership_actions Tick(time_point aNow);

  // This daemon has another configuration in force; peers hear at once.
  membership_actions OnConfiguration(std::uint64_t aVersion, time_point aNow);

  // An endpoint told this daemon that it leaves; peers hear at once.
  membership_actions OnEndpointLeaving(const endpoint_name& aEndpoint,
                                       duration aFor,
                                       time_point aNow);

  // This daemon's own pressure for a pool, to be repeated while it lasts (see
  // shared_state.h).
  void OnPressure(const pool_pressure& aPressure, time_point aNow);

  // This daemon takes no new requests.
  membership_actions Drain(time_point aNow);

  // This daemon stops now: peers remove it without suspecting it first.
  membership_actions Leave(time_point aNow);

  // Members believed alive, this one left out, in order of name.
  std::vector<member_digest> Alive() const;
  // What is held about one member of the own domain.
  std::optional<member_digest> Find(const instance_name& aName) const;

  const shared_state& Shared() const { return mShared; }
  std::uint64_t ConfigurationVersion() const { return mConfigurationVersion; }
  bool IsRefreshing() const { return mRefreshUntil.has_value(); }
  const member_digest& Self() const { return mSelf; }

private:
  struct member
  {
    member_digest mDigest;
    // No message proved yet that it runs: known from the list alone.
    bool mListedOnly = true;
    bool mListed = false;
    // When it got its present status.
    time_point mStatusSince{};
    // Messages that still repeat its last change.
    std::uint32_t mTransmissionsLeft = 0;
  };

  struct probe
  {
    instance_name mTarget;
    std::uint64_t mExchange = 0;
    time_point mStarted{};
    bool mIndirectProbesSent = false;
  };

  // A ping sent in another member's place.
  struct indirect_ping
  {
    std::uint64_t mExchange = 0;
    instance_name mRequester;
    std::uint64_t mRequesterExchange = 0;
    instance_name mTarget;
    time_point mUntil{};
  };

  // Notes the present, and whether this process was paused.
  void DetectPause(time_point aNow, membership_actions& aOut);
  void StartRefresh(time_point aNow, membership_actions& aOut);
  void EndRefresh(bool aPeerResponded, membership_actions& aOut);

  void MergeDigest(const member_digest& aDigest,
                   time_point aNow,
                   membership_actions& aOut);
  void HandleOwnDigest(const member_digest& aDigest,
                       time_point aNow,
                       membership_actions& aOut);
  void ApplyDigest(member& aMember,
                   const member_digest& aDigest,
                   time_point aNow,
                   membership_actions& aOut);
  void MergeLeavingEndpoints(const gossip_message& aMessage,
                             time_point aNow,
                             membership_actions& aOut);
  void CheckConfigurationVersion(const gossip_message& aMessage,
                                 time_point aNow,
                                 membership_actions& aOut);
  void HandleAck(const gossip_message& aMessage,
                 time_point aNow,
                 membership_actions& aOut);
  void ForwardPing(const gossip_message& aMessage,
                   time_point aNow,
                   membership_actions& aOut);
  void SendAck(const gossip_message& aPing,
               time_point aNow,
               membership_actions& aOut);

  void AdvanceProbe(time_point aNow, membership_actions& aOut);
  void StartProbe(time_point aNow, membership_actions& aOut);
  void FailProbe(time_point aNow, membership_actions& aOut);
  // Pings the next one that is only listed, suspected or removed, so that it
  // can return.
  void PingNotAlive(time_point aNow, membership_actions& aOut);
  void SendToOtherDomains(gossip_kind aKind,
                          time_point aNow,
                          membership_actions& aOut);
  void ExpireSuspicions(time_point aNow, membership_actions& aOut);
  void PushUpdates(time_point aNow, membership_actions& aOut);
  void RaiseIncarnation(time_point aNow, membership_actions& aOut);

  std::optional<instance_name> NextToProbe();
  std::vector<const member*> SampleAlive(std::size_t aCount,
                                         const instance_name& aExcept);
  bool IsBridgeTo(const domain_name& aDomain) const;
  std::uint32_t MaxTransmissions() const;
  gossip_message Compose(gossip_kind aKind,
                         std::uint64_t aExchange,
                         const instance_name& aTarget) const;
  void Piggyback(gossip_message& aMessage,
                 const instance_name& aTo,
                 bool aSameDomain,
                 time_point aNow);
  void PiggybackMembers(gossip_message& aMessage,
                        const instance_name& aTo,
                        std::size_t aRoom);
  // Sends to a member of the own domain; does nothing for an unknown one.
  void SendTo(const instance_name& aTo,
              gossip_message aMessage,
              time_point aNow,
              membership_actions& aOut);
  void PurgeMembers(time_point aNow);

  membership_settings mSettings;
  domain_name mDomain;
  member_digest mSelf;
  std::mt19937_64 mRandom;
  shared_state mShared;
  std::uint64_t mConfigurationVersion = 0;
  std::uint64_t mListVersion = 0;
  std::map<instance_name, member> mMembers;
  // Instances of other domains as listed, by domain.
  std::map<domain_name, std::vector<listed_instance>> mOtherDomains;
  std::vector<instance_name> mProbeOrder;
  std::optional<probe> mProbe;
  std::vector<indirect_ping> mIndirectPings;
  instance_name mLastAntiEntropyMember;
  instance_name mLastNotAlive;
  std::uint64_t mNextExchange;
  std::uint64_t mFirstExchangeAfterPause = 0;
  std::optional<time_point> mRefreshUntil;
  std::optional<time_point> mLastCall;
  time_point mNextProbe{};
  std::uint64_t mHintedVersion = 0;
  time_point mNextHint{};
  bool mLeft = false;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_MEMBERSHIP_H_
