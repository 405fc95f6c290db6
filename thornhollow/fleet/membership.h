// Membership of the entry instances in the own failure domain, and the small
// shared state that they gossip: configuration version, pool pressures and
// leaving endpoints.
//
//   membership members(membership_settings{}, self, epoch, seed);
//   Apply(members.OnInstances(list, now));
//   Apply(members.Tick(now));               // every 100 ms
//   Apply(members.OnMessage(message, now)); // for each opened datagram
//
// Failure detection follows SWIM. Once per probe interval each instance pings
// one other member, in an order that visits all members. Without an ack it asks
// two other members to ping on its behalf; without an ack from those either, it
// marks the pinged member as suspect and disseminates the suspicion. A
// suspected member that is alive refutes the suspicion by raising its
// incarnation; a member that does not is removed when the suspicion times out.
// Every message piggybacks the latest changes, so that each change reaches all
// members within a few intervals. Every message also carries the states of a
// few other members, different ones each time until all have been sent
// (anti-entropy), which repairs the loss of a message.
//
// The design scales to a fleet of any size. Each instance sends and receives a
// constant number of datagrams per interval, each of bounded size, and tracks
// only the members of its own domain. Domains are connected through two members
// of each domain, the bridges, which ping one instance of the other domain per
// interval.
//
// Guards against a paused process, which resumes with an outdated view and with
// old messages in its socket. A pause is detected as a gap between two calls.
// The instance then restarts its timers, accepts no acks to earlier probes,
// refutes any removal, and reports itself as refreshing until a peer has
// responded (or none has within a second, so that a partitioned instance keeps
// serving).
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
  // Interval between two probes, each of one member. One second keeps the cost
  // at about four datagrams per second and detects a dead member within a few
  // seconds.
  duration mProbeInterval = Seconds(1);
  // Time without an ack after which other members are asked to probe. An ack
  // takes a few milliseconds; an engine step or a busy event loop may add tens.
  duration mAckTimeout = Milliseconds(250);
  // Time without an ack, direct or through other members, after which the
  // probed member is suspected.
  duration mProbeTimeout = Milliseconds(750);
  // Time that a suspected member has to refute the suspicion. An update reaches
  // all members of a domain of 38 within one to two probe intervals, so three
  // intervals leave room for message loss.
  duration mSuspicionTimeout = Seconds(3);
  // Maximum gap between two calls; a longer one is treated as a pause of this
  // process.
  duration mClockGap = Seconds(2);
  // How long an instance waits after a pause for an ack from a peer.
  duration mRefreshTimeout = Seconds(1);
  // Removed members are kept as tombstones for this long, so that late messages
  // about them are recognized as outdated. Removed members are probed as long
  // as they are listed.
  duration mTombstoneLifetime = Seconds(60);
  std::size_t mIndirectProbers = 2;
  // Number of members to which an update is pushed as soon as it is known.
  std::size_t mFanout = 4;
  // Number of members of a domain that exchange messages with each other
  // domain.
  std::size_t mBridgesPerDomain = 2;
  // Maximum number of members whose state a message carries in addition to
  // recent changes; the next message continues with the members that follow by
  // name (anti-entropy).
  std::size_t mAntiEntropyMembers = 8;
  // Maximum number of tracked members; further members are ignored. The largest
  // deployment has 38 members per domain.
  std::size_t mMaxMembers = 256;

  friend bool operator==(const membership_settings&,
                         const membership_settings&) = default;
};

// Tells the owner of the `membership` to send `mMessage` as a datagram to
// `mAddress`.
struct send_datagram
{
  instance_name mTo;
  std::string mAddress;
  gossip_message mMessage;

  friend bool operator==(const send_datagram&, const send_datagram&) = default;
};

enum class member_change : std::uint8_t
{
  // The member was reported as alive or suspected for the first time.
  kJoined,
  kSuspected,
  // The member refuted the suspicion.
  kRecovered,
  kRemoved,
  // The member is alive again after its removal.
  kRejoined,
  // Another process runs under the same name.
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

// A peer has a newer configuration in force and can be asked for it. For the
// same version this action is repeated at most once per probe interval, until
// this instance reports that version with `OnConfiguration`.
struct newer_configuration
{
  std::uint64_t mVersion = 0;
  instance_name mFrom;
  std::string mAddress;

  friend bool operator==(const newer_configuration&,
                         const newer_configuration&) = default;
};

// A peer reported that this endpoint is leaving: send it no new work until
// `mUntil`.
struct endpoint_leave_reported
{
  endpoint_name mEndpoint;
  time_point mUntil{};

  friend bool operator==(const endpoint_leave_reported&,
                         const endpoint_leave_reported&) = default;
};

// This process was paused for `mLength`: treat views, leases and deadlines from
// before the pause as expired.
struct process_paused
{
  duration mLength{};

  friend bool operator==(const process_paused&,
                         const process_paused&) = default;
};

// The refresh after a pause has ended; `mPeerResponded` is false if no peer
// responded before the refresh timed out.
struct refresh_finished
{
  bool mPeerResponded = false;

  friend bool operator==(const refresh_finished&,
                         const refresh_finished&) = default;
};

// Peers know a later process of this instance's name. This process must stop,
// or restart with an epoch above `mEpoch`.
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
  // than at the last start under the same name. `aSeed` seeds every random
  // choice.
  membership(const membership_settings& aSettings,
             const listed_instance& aSelf,
             std::uint64_t aEpoch,
             std::uint64_t aSeed);

  // Updates the platform's list of instances. A list with a lower version than
  // the last one is ignored.
  membership_actions OnInstances(const instance_list& aList, time_point aNow);

  membership_actions OnMessage(const gossip_message& aMessage, time_point aNow);

  // Runs probes and timeouts that are due. Call it every 100 ms.
  membership_actions Tick(time_point aNow);

  // Reports that this instance has another configuration in force; peers are
  // notified at once.
  membership_actions OnConfiguration(std::uint64_t aVersion, time_point aNow);

  // Reports that an endpoint announced its leaving to this instance; peers are
  // notified at once.
  membership_actions OnEndpointLeaving(const endpoint_name& aEndpoint,
                                       duration aFor,
                                       time_point aNow);

  // Sets this instance's own pressure on a pool. Call it repeatedly while the
  // pressure lasts (see shared_state.h).
  void OnPressure(const pool_pressure& aPressure, time_point aNow);

  // Announces that this instance accepts no new requests.
  membership_actions Drain(time_point aNow);

  // Announces that this instance stops now: peers remove it without suspecting
  // it first.
  membership_actions Leave(time_point aNow);

  // Members that are alive or suspected, excluding this instance; ordered by
  // name.
  std::vector<member_digest> Alive() const;
  // The current state of one member of the own domain, if known.
  std::optional<member_digest> Find(const instance_name& aName) const;

  const shared_state& Shared() const { return mShared; }
  std::uint64_t ConfigurationVersion() const { return mConfigurationVersion; }
  bool IsRefreshing() const { return mRefreshUntil.has_value(); }
  const member_digest& Self() const { return mSelf; }

private:
  struct member
  {
    member_digest mDigest;
    // Whether the member is known only from the platform's list; no message has
    // shown yet that it runs.
    bool mListedOnly = true;
    bool mListed = false;
    // When the member's status last changed.
    time_point mStatusSince{};
    // Number of further messages that will carry the last change of the
    // member's state.
    std::uint32_t mTransmissionsLeft = 0;
  };

  struct probe
  {
    instance_name mTarget;
    std::uint64_t mExchange = 0;
    time_point mStarted{};
    bool mIndirectProbesSent = false;
  };

  // A ping that this instance sent to `mTarget` on behalf of `mRequester`.
  struct indirect_ping
  {
    std::uint64_t mExchange = 0;
    instance_name mRequester;
    std::uint64_t mRequesterExchange = 0;
    instance_name mTarget;
    time_point mUntil{};
  };

  // Detects whether this process was paused since the last call.
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
  // Pings the next member, by name, that is known only from the platform's
  // list, suspected or removed, so that it can rejoin.
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
  // Sends the message to a member of the own domain; does nothing if the member
  // is unknown.
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
  // Instances of other domains in the platform's list, by domain.
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
