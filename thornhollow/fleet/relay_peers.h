// Which other relaying instances run, what they know and what they have sent to
// engines lately.
//
//   relay_peers peers(relay_peer_settings{}, "10.0.0.1:7", domain, seeds, 1);
//   const auto [whole, brief, asked] = peers.Tick(now);  // every 100 ms
//   Send(peers.OnHello(hello, now));             // for each datagram
//   if (const auto from = peers.WhoKnowsMore(mine, now)) { ... ask it ... }
//
// Nothing is agreed on: each instance tells others what it holds and does, and
// uses what it was told for as long as that is fresh. It starts from up to a
// few seed addresses, any of which may be stale, and learns further ones from
// whoever answers.
//
// The load that this answers: a fleet of any size. Each interval an instance
// tells a bounded number of others, drawn at random; an unknown one that it
// hears of is told next.
//
// In a large failure domain a few instances read the source for all: those with
// the widest links, among equal ones by a hash of their addresses. The others
// hold what readers tell. The list of endpoints changes every second or two on
// a site of 90 engines, which would else be a call for each change and
// instance. Readers tell their whole domain often that they are there; whoever
// misses that of enough readers above its rank reads too, those of a lower rank
// a little later, so that the first ones' word reaches them before. A reader
// that the source doesn't answer goes on asking, and one more instance reads
// beside it.
//
// Guards against a source that turns this instance away while it serves others:
// it shows as a configuration that stays behind for this instance only. Peers
// tell of newer revisions, and what they hold is fetched from them.
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

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/discovery/source_follower.h"
#include "thornhollow/fleet/shared_sums.h"
#include "thornhollow/policy/work_kind.h"

namespace thornhollow {

// What an instance tells of an endpoint: prompt tokens that it was sent and has
// not read yet, and how fast it reads.
struct endpoint_work
{
  // See `WorkKey`.
  std::uint32_t mEndpoint = 0;
  std::uint64_t mToRead = 0;
  // Nanoseconds for which it was seen to read a prompt token, at its best; 0:
  // not seen.
  double mPace = 0;
  // Requests that it was sent and that haven't ended.
  std::uint32_t mOpen = 0;

  friend bool operator==(const endpoint_work&, const endpoint_work&) = default;
};

// The name's short form in messages: two of a thousand endpoints collide with a
// chance of one in ten thousand, and then share an estimate.
std::uint32_t
WorkKey(const endpoint_name& aEndpoint);

struct pool_demand
{
  pool_name mPool;
  pool_view mView;

  friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

// Source revisions: up to which an instance's copies are complete, or, in what
// it tells, of the last changes that they took.
struct known_revisions
{
  std::uint64_t mConfiguration = 0;
  std::uint64_t mEndpoints = 0;

  friend bool operator==(const known_revisions&,
                         const known_revisions&) = default;
};

// What an instance tells of itself.
struct relay_hello
{
  // Without work, demand and peers, of which the last ones told hold on: tells
  // many at once that it is there, and what it knows.
  bool mBrief = false;
  // Where it listens, "ip:port".
  std::string mAddress;
  domain_name mDomain;
  known_revisions mKnown;
  // Some of the instances that it knows.
  std::vector<std::string> mPeers;
  std::vector<endpoint_work> mWork;
  std::vector<pool_demand> mDemand;
  // Sums over many instances, in place of the rest.
  std::optional<told_sums> mSums = std::nullopt;
  bool mWantsAnswer = false;
  // The source doesn't answer this instance.
  bool mSourceFails = false;
  // How long ago it last did; nothing: that is long ago.
  std::optional<duration> mSourceAnswerAge = std::nullopt;
  // What its link carries, in Mbit/s; 0: not told.
  std::uint32_t mLinkMegabits = 0;

  friend bool operator==(const relay_hello&, const relay_hello&) = default;
};

// An instance that holds a later revision of some copy.
struct better_copy
{
  std::string mAddress;
  // What it told, and which of it is later.
  known_revisions mKnown;
  bool mConfiguration = false;
  bool mEndpoints = false;

  friend bool operator==(const better_copy&, const better_copy&) = default;
};

// Whom to tell, each once.
struct hello_round
{
  std::vector<std::string> mWhole;
  std::vector<std::string> mBrief;
  // Briefly too, and they are to answer: they were heard of but never heard.
  std::vector<std::string> mAsked;

  friend bool operator==(const hello_round&, const hello_round&) = default;
};

struct relay_peer_settings
{
  // What this instance's link carries.
  std::uint32_t mLinkMegabits = 0;
  // Work at engines changes with each prompt, which takes tens of milliseconds
  // to hundreds.
  duration mInterval = Milliseconds(250);
  // Others told in an interval.
  std::size_t mFanout = 8;
  // From so many others on rounds come half as often: by then a hello is near a
  // datagram's 1,100 bytes, and 16 of them a second are the 18 KB/s that
  // control may take in a fleet of 420 instances.
  std::size_t mCrowd = 128;
  // Without a word for this long an instance counts as gone; longer the more
  // there are, as each is then heard less often: by this much for each
  // `mFanout` of them.
  duration mForgetAfter = Seconds(4);
  duration mForgetMore = Milliseconds(1'600);
  // Work and demand that were told longer ago count for nothing.
  duration mFreshFor = Milliseconds(1'200);
  // A seed that doesn't answer is tried this often.
  duration mSeedInterval = Milliseconds(500);
  // Addresses in one hello.
  std::size_t mTold = 6;
  // Instances of a failure domain that read the source, once it has more than
  // `mAllRead`; 0: all read it. Two or more, so that one can fail unseen for as
  // long as it takes to notice.
  std::size_t mReaders = 2;
  std::size_t mAllRead = 6;
  // So many of a domain read at the most while the source doesn't answer them:
  // a source that is away for all need not hear from every instance.
  std::size_t mMostReaders = 6;
  // A reader tells every instance of its domain this often that it is there.
  duration mReaderInterval = Seconds(1);
  // A reader that wasn't heard for this long counts as gone: two of its words
  // may be lost.
  duration mReaderSilent = Milliseconds(2'600);
  // For each instance that ranks higher one waits so much longer before it
  // begins to read, up to `mMostStagger`: a word takes less.
  duration mStagger = Milliseconds(150);
  duration mMostStagger = Seconds(3);
  // From so many others on the demand is known by sums that all pass on, as
  // only a part of the others is heard in a moment.
  std::size_t mSumsFrom = 16;
  shared_sums_settings mSums;
  // Instances held; above the 420 of a large fleet.
  std::size_t mMaxPeers = 512;
  // The count of instances is the largest seen for this long, so that a bound
  // that is shared out isn't exceeded while some can't be heard.
  duration mCountFor = Seconds(60);

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

  // Addresses that are to be told now.
  hello_round Tick(time_point aNow);
  // Whether this instance is to read the source. To be called every 100 ms.
  bool Reads(time_point aNow);
  // Whether all of this instance's domain read the source, by the last look.
  bool AllReadHere() const { return mReads && !mReadsForAll; }
  // This instance's turn among those of its domain that read the source, by
  // which their watches end one after the other.
  watch_stagger Turn(time_point aNow) const;
  // Sums that are to be told now, each to one other. `aOwn`: what is asked for
  // here.
  std::vector<sums_to_tell> SumsToTell(
    const std::map<pool_name, pool_view>& aOwn,
    time_point aNow);
  // Addresses that are to be told briefly and at once: this instance learnt of
  // a newer revision.
  std::vector<std::string> OnNews();
  // Takes what another one told; returns the address to answer, if any.
  std::optional<std::string> OnHello(const relay_hello& aHello,
                                     time_point aNow);

  // Some addresses, to be told on.
  std::vector<std::string> SomePeers();

  // Whether the source doesn't answer some other instance, by what was told a
  // moment ago.
  bool SourceFailsElsewhere(time_point aNow) const;

  // When the source last answered some other instance, by what was told.
  std::optional<time_point> SourceAnswered() const { return mSourceAnswered; }

  // An instance that holds a later revision than `aMine` of either copy; among
  // equal ones another for each `aAttempt`.
  std::optional<better_copy> WhoKnowsMore(const known_revisions& aMine,
                                          std::uint64_t aAttempt,
                                          time_point aNow) const;

  // Instances that run, this one included; 0 while none was heard.
  std::size_t Count(time_point aNow) const;
  std::size_t Alive() const { return mPeers.size(); }

  // Sums over the others, of what is fresh, scaled up to all where not all were
  // heard a moment ago; of paces the least.
  std::map<std::uint32_t, endpoint_work> OthersWork(time_point aNow) const;
  // Demand over all instances, `aOwn` included, scaled up in the same way: by
  // the sums that all pass on, or by those heard a moment ago where these are
  // more.
  std::map<pool_name, pool_view> AllViews(
    const std::map<pool_name, pool_view>& aOwn,
    time_point aNow) const;

private:
  struct peer
  {
    relay_hello mHello;
    time_point mHeard{};
    // Its work and demand were told.
    std::optional<time_point> mToldWork = std::nullopt;
  };

  static void Hear(peer& aPeer, const relay_hello& aHello, time_point aNow);
  // Whether its work and demand count.
  bool Fresh(const peer& aPeer, time_point aNow) const;
  std::size_t CountFresh(time_point aNow) const;
  // All instances, those of one domain beside each other.
  instance_ring Ring() const;
  // As if all had been heard.
  std::map<pool_name, pool_view> Scaled(const summed_views& aSums) const;
  // All others for each of those that were heard a moment ago; 0: none was.
  double ForEachFresh(time_point aNow) const;
  bool IsBetter(const peer& aLeft,
                const peer& aRight,
                std::uint64_t aAttempt) const;
  std::vector<std::string> Draw();
  std::vector<std::string> OwnDomain() const;
  // Whether all of a domain of so many read the source.
  bool AllRead(std::size_t aInDomain) const;
  // Of this instance's domain, those that rank above it.
  struct above
  {
    std::size_t mInDomain = 1;
    std::size_t mKnown = 0;
    // Heard a moment ago, as readers are.
    std::size_t mHeard = 0;
    // Of these, the ones that the source answers.
    std::size_t mAnswered = 0;
  };
  above Above(time_point aNow) const;
  // The higher one reads first.
  using reader_rank = std::pair<std::uint32_t, std::uint64_t>;
  static reader_rank RankOf(std::uint32_t aLinkMegabits,
                            const std::string& aAddress);
  duration ForgetAfter() const;
  duration Interval() const;
  void Forget(time_point aNow);

  relay_peer_settings mSettings;
  std::string mOwnAddress;
  domain_name mOwnDomain;
  std::vector<std::string> mSeeds;
  std::mt19937_64 mRandom;
  std::map<std::string, peer> mPeers;
  shared_sums mSums;
  // Heard of but never heard from, and until when to try.
  std::map<std::string, time_point> mUnheard;
  time_point mNextRound{};
  time_point mNextSeeds{};
  time_point mNextAsReader{};
  bool mReads = true;
  // It does, and others of its domain don't.
  bool mReadsForAll = false;
  // Since when too few readers were heard.
  std::optional<time_point> mMissedSince;
  std::size_t mMost = 0;
  time_point mMostAt{};
  std::optional<time_point> mSourceAnswered;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_RELAY_PEERS_H_
