// Tracks the other relaying instances: which are alive, which source revisions
// they hold, and the load that they have placed on engines.
//
//   relay_peers peers(relay_peer_settings{}, "10.0.0.1:7", domain, seeds, 1);
//   const auto [full, brief, probed] = peers.Tick(now);  // every 100 ms
//   const auto replyTo = peers.OnHello(hello, now);      // for each datagram
//   const auto from = peers.FindNewerCopy(own, 0, now);  // peer to fetch from
//
// There is no consensus. Each instance sends its own state in hellos and uses
// the state that it receives from a peer until that state exceeds its maximum
// age. An instance starts from a few seed addresses, any of which may be stale,
// and learns further addresses from the peers that answer.
//
// Scales to a fleet of any size: in each interval an instance sends hellos to a
// bounded number of randomly chosen peers. A newly learned address is probed
// next.
//
// In a large failure domain a few instances, the readers, read the source for
// all: those with the widest links, ties broken by a hash of the address.
// Instances that are not readers take the readers' copies. On a site of 90
// engines the list of endpoints changes every second or two, and without
// readers each change would cost one source call per instance. Readers send
// frequent hellos to their whole domain. An instance that receives hellos from
// too few readers of a higher rank becomes a reader too. The lower its rank,
// the longer it waits, so that the hello of the first new reader arrives before
// other instances become readers. A reader that the source does not answer
// keeps calling it, and one more instance reads alongside it.
//
// The few instances that rank next, the standbys, detect the silence of the
// readers early enough to have a change in force in time. The readers and the
// standbys send frequent hellos to the standbys below them. Only this group
// sends and expects them, so that neither the traffic nor the number of
// instances that may read too early grows with the domain.
//
// Guards against a source that does not serve this instance while it serves
// others, which leaves the configuration stale on this instance only. Peers
// report newer revisions, and the copies are fetched from them.
#ifndef THORNHOLLOW_FLEET_RELAY_PEERS_H_
#define THORNHOLLOW_FLEET_RELAY_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/recent_peak.h"
#include "thornhollow/base/time.h"
#include "thornhollow/discovery/source_follower.h"
#include "thornhollow/fleet/demand_aggregation.h"
#include "thornhollow/policy/endpoints/endpoint_bounds.h"
#include "thornhollow/policy/endpoints/out_of_service.h"
#include "thornhollow/policy/placement/workload_kind.h"
#include "thornhollow/policy/suspects/crash_report.h"
#include "thornhollow/streams/origin_holders.h"
#include "thornhollow/streams/origin_messages.h"

namespace thornhollow {

// What an instance reports about one endpoint: the prompt tokens that the
// instance sent to the endpoint and that are not prefilled yet, the prefill
// time per token, and the requests in flight.
struct reported_load
{
  // Endpoints with the same hash share one estimate of their load.
  endpoint_hash mEndpoint = 0;
  std::uint64_t mPrefillTokens = 0;
  // Lowest observed prefill time per prompt token, in nanoseconds; 0 if not
  // observed.
  double mPrefillNanoseconds = 0;
  // Requests that the instance sent to the endpoint and that have not ended.
  std::uint32_t mInFlight = 0;

  friend bool operator==(const reported_load&, const reported_load&) = default;
};

// Between an instance and the holder of endpoints' loads, see
// fleet/load_directory.h.
enum class load_message_kind : std::uint8_t
{
  // What the sender has at the endpoints, the whole of it.
  kReport,
  // Asks what others than the sender have at the endpoints.
  kQuestion,
  kAnswer,
};
struct load_message
{
  load_message_kind mKind = load_message_kind::kReport;
  // Of a question, and repeated in its answer.
  std::uint32_t mNumber = 0;
  // Of a question, only the endpoints count.
  std::vector<reported_load> mLoads;

  friend bool operator==(const load_message&, const load_message&) = default;
};

struct pool_demand
{
  pool_name mPool;
  pool_view mView;

  friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

// Hash of a pool's name, in messages.
using pool_hash = std::uint32_t;
pool_hash
PoolHash(const pool_name& aPool);

// Whether an instance can open connections to the endpoints of a pool. Reported
// only on recent evidence.
struct pool_contact
{
  pool_hash mPool = 0;
  bool mReached = false;

  friend bool operator==(const pool_contact&, const pool_contact&) = default;
};

// What an instance reports for peers that look for one to forward requests to.
struct forwarding_report
{
  // Port at which the instance takes forwarded requests, on the host of its
  // peer address; 0: it takes none.
  std::uint16_t mPort = 0;
  // Requests in progress.
  std::uint32_t mInProgress = 0;
  std::vector<pool_contact> mContacts;
  // Pools to whose endpoints it sends no more now, by bounds that they named.
  std::vector<pool_hash> mPoolsAtBound = {};

  friend bool operator==(const forwarding_report&,
                         const forwarding_report&) = default;
};

// A peer that may take a forwarded request.
struct forward_peer
{
  // Where it takes forwarded requests, "ip:port".
  std::string mAddress;
  bool mInOwnDomain = false;
  std::uint32_t mInProgress = 0;
  // Whether it reports that it reaches endpoints of the pool, rather than
  // nothing about it: without requests there is no evidence either way.
  bool mInContact = true;
  // Whether it reported that it sends no more to them now, by their bounds.
  bool mIsAtBound = false;

  friend bool operator==(const forward_peer&, const forward_peer&) = default;
};

// What an instance reports of the bounds that a process of an endpoint named.
struct reported_bounds
{
  endpoint_process_hash mProcess = 0;
  endpoint_bounds mBounds;
  // Since the process said so, to whichever instance.
  duration mAge{};

  friend bool operator==(const reported_bounds&,
                         const reported_bounds&) = default;
};

// Revisions of the source up to which an instance's copies of the configuration
// and of the endpoints are complete. In hellos of domains with readers: the
// revisions of the last changes that the instance applied.
struct known_revisions
{
  std::uint64_t mConfiguration = 0;
  std::uint64_t mEndpoints = 0;

  friend bool operator==(const known_revisions&,
                         const known_revisions&) = default;
};

// State that an instance sends to its peers.
struct relay_hello
{
  // Whether this is a brief hello, which has no loads, demand or peers; the
  // receiver keeps the loads, demand and peers of the last full hello. Brief
  // hellos announce the instance and its revisions to many peers at once.
  bool mBrief = false;
  // Listening address, "ip:port".
  std::string mAddress;
  domain_name mDomain;
  known_revisions mRevisions;
  // Addresses of some of the known instances.
  std::vector<std::string> mPeers;
  std::vector<reported_load> mLoads;
  std::vector<pool_demand> mDemand;
  // Demand aggregated over several instances. A hello with this member has no
  // loads, demand or peers.
  std::optional<aggregation_message> mAggregation = std::nullopt;
  bool mWantsAnswer = false;
  // Whether the source does not answer the sender.
  bool mSourceFails = false;
  // Time since the source last answered the sender; unset if the sender does
  // not report it because the last answer was long ago.
  std::optional<duration> mSourceAnswerAge = std::nullopt;
  // Link capacity in Mbit/s; 0 if not reported.
  std::uint32_t mLinkMegabits = 0;
  // A report of suspected requests. A hello with this member has no loads,
  // demand or peers.
  std::optional<crash_report> mCrashes = std::nullopt;
  // Digest of the sender's sightings, see `crash_suspects::Digest`; unset if
  // the sender does not report it.
  std::optional<std::uint64_t> mCrashDigest = std::nullopt;
  // Only full hellos have it.
  forwarding_report mForwarding = {};
  // Processes of endpoints that said in an answer that they leave.
  std::vector<endpoint_process_hash> mLeaving = {};
  std::vector<reported_bounds> mBounds = {};
  // Where streams began. A hello with this member has no loads, demand or
  // peers.
  std::optional<origin_message> mOrigins = std::nullopt;
  // A hello with this member has no loads, demand or peers.
  std::optional<load_message> mLoad = std::nullopt;
  // Failure domains that came back into service lately.
  std::vector<returned_domain> mReturned = {};

  friend bool operator==(const relay_hello&, const relay_hello&) = default;
};

// A peer that holds a later revision of at least one copy.
struct newer_copy
{
  std::string mAddress;
  // Revisions that the peer reported; `mConfiguration` and `mEndpoints` say
  // which of the two copies is later than the own one.
  known_revisions mRevisions;
  bool mConfiguration = false;
  bool mEndpoints = false;

  friend bool operator==(const newer_copy&, const newer_copy&) = default;
};

// Recipients of the hellos that are due. An address is in `mFull` at most once
// and not also in `mBrief`.
struct hello_round
{
  std::vector<std::string> mFull;
  std::vector<std::string> mBrief;
  // Addresses learned from other peers from which no hello has arrived yet.
  // They receive a brief hello that requests an answer.
  std::vector<std::string> mProbed;

  friend bool operator==(const hello_round&, const hello_round&) = default;
};

struct relay_peer_settings
{
  // Capacity of this instance's link, in Mbit/s.
  std::uint32_t mLinkMegabits = 0;
  // Time between two rounds of hellos. The load of an engine changes with each
  // prompt, whose prefill takes tens to hundreds of milliseconds.
  duration mInterval = Milliseconds(250);
  // Maximum number of randomly chosen peers that receive a full hello in each
  // interval.
  std::size_t mFanout = 8;
  // Minimum number of peers from which the interval is doubled. With so many
  // peers a hello is close to the limit of 1,100 bytes per datagram, and 16
  // hellos a second make up the 18 KB/s of control traffic allowed in a fleet
  // of 420 instances.
  std::size_t mHalfRateFrom = 128;
  // `mPeerTimeout`: a peer is removed after this time without a hello. Hellos
  // from each peer become rarer as the fleet grows, so the time-out grows by
  // `mPeerTimeoutStep` for every `mFanout` peers.
  duration mPeerTimeout = Seconds(4);
  duration mPeerTimeoutStep = Milliseconds(1'600);
  // Maximum age of what a peer reported: loads, demand, revisions and a failing
  // source. Older reports are ignored.
  duration mMaxAge = Milliseconds(1'200);
  // Interval at which seeds that have not answered and newly learned addresses
  // are tried.
  duration mSeedInterval = Milliseconds(500);
  // Maximum number of peer addresses, chosen at random, that a hello (the
  // periodic gossip message) contains.
  std::size_t mAddressesPerHello = 6;
  // Number of readers of a failure domain with more than `mAllReadUpTo`
  // instances. 0 makes every instance a reader; other values should be at least
  // two, so that the domain stays up to date until the failure of one reader is
  // detected.
  std::size_t mReaders = 2;
  std::size_t mAllReadUpTo = 6;
  // Maximum number of readers of a domain while the source does not answer
  // them: in an outage of the source not every instance needs to send it
  // requests.
  std::size_t mMaxReaders = 6;
  // Number of instances that rank after the readers and replace readers that
  // are silent for `mStandbyTimeout`.
  std::size_t mStandbys = 4;
  // Interval of hellos from readers and standbys to the standbys that rank
  // below them. Less than two calls of `Tick`, so that a late call doesn't add
  // a third one. Hellos also go to `mStandbyMargin` further instances, which
  // may count themselves among the standbys because they know fewer instances.
  duration mStandbyInterval = Milliseconds(180);
  std::size_t mStandbyMargin = 2;
  // A standby considers an instance of a higher rank gone after this time
  // without a hello. Three hellos fail to arrive in it.
  duration mStandbyTimeout = Milliseconds(700);
  // Interval at which a reader sends brief hellos to its whole domain.
  duration mReaderInterval = Seconds(1);
  // Instances that are not standbys consider a reader gone after this time
  // without a hello, which allows for two lost hellos.
  duration mReaderTimeout = Milliseconds(2'600);
  // `mStagger`: before an instance becomes a reader, it waits this long for
  // each instance of a higher rank, at most `mMaxStagger` in total. A hello
  // takes less than `mStagger`, so that the hello of the first new reader
  // arrives before the next instance becomes a reader. A standby waits only for
  // the instances that are neither gone nor report a failing source.
  duration mStagger = Milliseconds(150);
  duration mMaxStagger = Seconds(3);
  // Minimum number of peers from which the demand is taken from the aggregation
  // messages, because full hellos from only some of the peers arrive within
  // `mMaxAge`.
  std::size_t mAggregateFrom = 16;
  demand_aggregation_settings mAggregation;
  // Maximum number of tracked peers; above the 420 instances of a large fleet.
  std::size_t mMaxPeers = 512;
  // `Count` returns the largest count of this period, so that a fleet-wide
  // limit that is divided among the instances is not exceeded while some cannot
  // be reached.
  duration mCountRetention = Seconds(60);

  friend bool operator==(const relay_peer_settings&,
                         const relay_peer_settings&) = default;
};

class relay_peers
{
public:
  relay_peers(const relay_peer_settings& aSettings,
              std::string aOwnAddress,
              domain_name aOwnDomain,
              std::vector<std::string> aSeeds,
              std::uint64_t aSeed);

  // Returns the recipients of the hellos that are due. To be called every 100
  // ms.
  hello_round Tick(time_point aNow);
  // Whether this instance should read the source. To be called every 100 ms.
  bool Reads(time_point aNow);
  // Whether all instances of this domain read the source, as of the last call
  // of `Reads`.
  bool AllReadInDomain() const { return mReads && !mReadsForDomain; }
  // Position of this instance among the readers of its domain; the readers'
  // watches of the source end at different times by this position.
  watch_stagger Turn(time_point aNow) const;
  // Returns the aggregation messages that are due, each for one peer. `aOwn` is
  // the demand at this instance.
  std::vector<outgoing_aggregation> AggregationMessages(
    const std::map<pool_name, pool_view>& aOwn,
    time_point aNow);
  // Returns the recipients of an immediate brief hello, to be sent when this
  // instance has received a newer revision.
  std::vector<std::string> OnNewRevision();
  // Processes a hello; returns the address of its sender if the sender
  // requested an answer.
  std::optional<std::string> OnHello(const relay_hello& aHello,
                                     time_point aNow);

  // Addresses of all live peers.
  std::vector<std::string> Addresses() const;
  // Addresses and failure domains of all live peers.
  std::vector<known_instance> Instances() const;

  // Returns a random sample of peer addresses for a hello.
  std::vector<std::string> SamplePeers();

  // Peers that take forwarded requests and have not recently reported that they
  // don't reach endpoints of the pool.
  std::vector<forward_peer> ForwardPeers(const pool_name& aPool,
                                         time_point aNow) const;

  // Number of live peers that reported that they do not reach endpoints of the
  // pool, extrapolated to all peers if only some have reported recently.
  std::size_t CutOffPeers(const pool_name& aPool, time_point aNow) const;

  // Addresses of live peers, but for those that reported lately that they do
  // not reach endpoints of the pool.
  std::vector<std::string> PeersInContact(const pool_name& aPool,
                                          time_point aNow) const;

  // Whether a peer recently reported that the source does not answer that peer.
  bool SourceFailsElsewhere(time_point aNow) const;

  // When the source last answered another instance, as reported by peers.
  std::optional<time_point> SourceAnswered() const { return mSourceAnswered; }

  // Returns a peer that holds a later revision than `aOwn` of the configuration
  // or of the endpoints, if any. `aAttempt` selects among equally good peers.
  std::optional<newer_copy> FindNewerCopy(const known_revisions& aOwn,
                                          std::uint64_t aAttempt,
                                          time_point aNow) const;

  // Largest number of live instances, including this one, within the last
  // `mCountRetention`. 0 before the first hello is received.
  std::size_t Count(time_point aNow) const;
  // The fraction of these that is alive now.
  double Present(time_point aNow) const
  {
    return mPeakCount.FractionLeft(mPeers.size() + 1, aNow);
  }
  std::size_t Alive() const { return mPeers.size(); }

  // Sum of the peers' loads that are not older than `mMaxAge`, by endpoint
  // hash, extrapolated to all peers if only some have reported recently. The
  // prefill time per token is the minimum over the peers.
  std::map<std::uint32_t, reported_load> RemoteLoad(time_point aNow) const;
  // Demand over all instances including `aOwn`, extrapolated to all peers if
  // only some have reported recently. Taken from the aggregation messages, or
  // from the recent full hellos if those cover more instances.
  std::map<pool_name, pool_view> FleetViews(
    const std::map<pool_name, pool_view>& aOwn,
    time_point aNow) const;

private:
  struct peer
  {
    relay_hello mHello;
    time_point mLastMessage{};
    // When the loads and demand of the peer were last received; unset if they
    // have not been received yet.
    std::optional<time_point> mLastFullHello = std::nullopt;
  };

  static void UpdatePeer(peer& aPeer,
                         const relay_hello& aHello,
                         time_point aNow);
  // Whether the loads and demand of the peer are recent enough to be used.
  bool HasFreshLoad(const peer& aPeer, time_point aNow) const;
  std::size_t CountFreshLoads(time_point aNow) const;
  // All instances in ring order; instances of one domain are adjacent.
  instance_ring Ring() const;
  // Extrapolates sums over some instances to all instances of the fleet.
  std::map<pool_name, pool_view> ScaleToFleet(
    const aggregated_views& aSums) const;
  // Ratio of the number of all peers to the number of peers with fresh loads; 0
  // if no peer has fresh loads.
  double FreshLoadScale(time_point aNow) const;
  bool IsBetter(const peer& aLeft,
                const peer& aRight,
                std::uint64_t aAttempt) const;
  std::vector<std::string> DrawRecipients();
  std::vector<std::string> DomainPeers() const;
  // Standbys that rank below this instance, which is a reader or a standby
  // itself; empty otherwise.
  std::vector<std::string> LowerStandbys() const;
  // Number of the readers and standbys of a domain, which have the highest
  // ranks.
  std::size_t StandbyGroup() const
  {
    return mSettings.mReaders + mSettings.mStandbys;
  }
  // Whether all instances of a domain of this size read the source.
  bool AllRead(std::size_t aDomainSize) const;
  // Counts of instances of this domain. `mInDomain` counts all of them
  // including this one; `mCount`, `mActive` and `mServed` count only instances
  // that rank above this one as readers.
  struct higher_ranked
  {
    std::size_t mInDomain = 1;
    std::size_t mCount = 0;
    // Higher-ranked instances of this domain from which a hello arrived within
    // the last `mReaderTimeout`, or `mStandbyTimeout` if this instance is a
    // standby.
    std::size_t mActive = 0;
    // Higher-ranked instances counted in `mActive` that do not report a failing
    // source.
    std::size_t mServed = 0;
  };
  higher_ranked HigherRanked(time_point aNow) const;
  bool IsInStandbyGroup(const higher_ranked& aFound) const
  {
    return !AllRead(aFound.mInDomain) && aFound.mCount < StandbyGroup();
  }
  duration Stagger(const higher_ranked& aFound) const;
  // Link capacity in Mbit/s, then hash of the address. The instances with the
  // highest ranks of a domain become readers.
  using reader_rank = std::pair<std::uint32_t, std::uint64_t>;
  static reader_rank RankOf(std::uint32_t aLinkMegabits,
                            const std::string& aAddress);
  duration PeerTimeout() const;
  duration Interval() const;
  void RemoveExpired(time_point aNow);

  relay_peer_settings mSettings;
  std::string mOwnAddress;
  domain_name mOwnDomain;
  std::vector<std::string> mSeeds;
  std::mt19937_64 mRandom;
  std::map<std::string, peer> mPeers;
  demand_aggregation mAggregation;
  // Peer addresses from which no hello has arrived yet, and when to stop trying
  // each of them.
  std::map<std::string, time_point> mUnconfirmed;
  time_point mNextRound{};
  time_point mNextSeeds{};
  time_point mNextReaderHello{};
  time_point mNextStandbyHello{};
  bool mReads = true;
  // Whether this instance is a reader of its domain and the domain has
  // instances that do not read the source.
  bool mReadsForDomain = false;
  // Since when fewer readers than needed rank above this instance; unset while
  // enough readers do.
  std::optional<time_point> mReadersMissingSince;
  recent_peak mPeakCount;
  std::optional<time_point> mSourceAnswered;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_RELAY_PEERS_H_
