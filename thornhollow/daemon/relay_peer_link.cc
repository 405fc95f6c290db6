#include "thornhollow/daemon/relay_peer_link.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "thornhollow/daemon/process_limits.h"
#include "thornhollow/fleet/copy_requests.h"
#include "thornhollow/fleet/large_copy_limiter.h"
#include "thornhollow/fleet/process_gossip.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/net/peer_transport.h"

namespace thornhollow {
namespace {

// Timeout for the first byte of a peer's answer to a copy request.
constexpr duration kRequestTimeout = Milliseconds(600);
// An answer of the source that is older than this does not show whether the
// source is available now.
constexpr duration kMaxAnswerAge = Seconds(10);
// Copies of at least this size are sent compressed.
constexpr std::size_t kMinCompressedBytes = 4'096;
// Maximum load entries in a hello, which limits it to 1,100 bytes: 18 bytes for
// each entry, the rest for addresses, demand and contacts.
constexpr std::size_t kMaxWorkEntries = 39;
// Maximum leaving endpoints in a hello, and the load entries that give way to
// them: they take 11 bytes each.
constexpr std::size_t kMaxLeavingInHello = 6;
constexpr std::size_t kWorkEntriesForLeaving = 4;
// Maximum words of endpoints about their bounds in a hello, which takes 1,100
// bytes then.
constexpr std::size_t kMaxBoundsInHello = 32;
// Bounds that hold are told again to a few random peers, which may have started
// since or missed the news.
constexpr duration kBoundsInterval = Seconds(1);
constexpr std::size_t kBoundsFanout = 2;

peer_transport_settings
TransportSettings(const relay_settings& aSettings)
{
  peer_transport_settings settings;
  settings.mAddress = aSettings.mPeerAddress;
  Bound(settings, ConnectionLimitsOf(aSettings));
  return settings;
}

std::uint32_t
WholeMegabits(const relay_settings& aSettings)
{
  return static_cast<std::uint32_t>(std::max(aSettings.mLinkMegabits, 1.0));
}

relay_peer_settings
PeerSettings(const relay_settings& aSettings)
{
  relay_peer_settings settings;
  settings.mReaders = aSettings.mSourceReaders;
  settings.mLinkMegabits = WholeMegabits(aSettings);
  return settings;
}

large_copy_limiter_settings
CopySettings(const relay_settings& aSettings)
{
  constexpr double kBytesPerMegabit = 125'000;
  large_copy_limiter_settings settings;
  settings.mLinkBytesPerSecond = aSettings.mLinkMegabits * kBytesPerMegabit;
  return settings;
}

} // namespace

class relay_peer_link::core : public std::enable_shared_from_this<core>
{
public:
  core(boost::asio::io_context& aIo,
       const relay_settings& aSettings,
       relay_peer_callbacks aCallbacks,
       json_log& aLog,
       metrics& aMetrics)
    : mSettings(aSettings)
    , mCallbacks(std::move(aCallbacks))
    , mLog(aLog)
    , mMetrics(aMetrics)
    , mPeers(PeerSettings(aSettings),
             aSettings.mPeerAddress,
             aSettings.mDomain,
             aSettings.mPeerSeeds,
             std::random_device()())
    , mLeaving(process_gossip_settings{}, std::random_device()())
    , mBounds(process_gossip_settings{ .mMaxProcesses = kMaxBoundsInHello },
              std::random_device()())
    , mTransport(
        aIo,
        TransportSettings(aSettings),
        { [this](std::string_view aBytes) { return OnDatagram(aBytes); },
          [this](std::string_view aBytes) { return OnRequest(aBytes); },
          [this](std::string_view aEvent) { mMetrics.OnEvent(aEvent); } })
  {
  }

  result<void> Open() { return mTransport.Open(); }

  void Tick(time_point aNow)
  {
    const std::size_t before = mAlive;
    const hello_round round = mPeers.Tick(aNow);
    SendFullHello(round.mFull, mPeers.Alive() == 0);
    Send(BriefHello(false), round.mBrief);
    Send(BriefHello(true), round.mProbed);
    SendSums(aNow);
    SendLeaving(aNow);
    SendNewBounds(aNow);
    SendKnownBounds(aNow);
    mAlive = mPeers.Alive();
    if (mAlive != before) {
      mLog.Write(log_level::kInfo,
                 "peers_changed",
                 { { "alive", static_cast<std::int64_t>(mAlive) },
                   { "before", static_cast<std::int64_t>(before) } });
    }
    RequestCopiesIfBehind(aNow);
  }

  void OnItemsChanged() { Send(BriefHello(false), mPeers.OnNewRevision()); }

  void SendCrashReport(const std::vector<std::string>& aTo,
                       const crash_report& aReport)
  {
    relay_hello hello = BriefHello(false);
    hello.mCrashes = aReport;
    Send(hello, aTo);
  }

  void SendOrigins(const std::vector<std::string>& aTo,
                   const origin_message& aMessage)
  {
    relay_hello hello = BriefHello(false);
    hello.mOrigins = aMessage;
    Send(hello, aTo);
  }

  void SendLoad(const std::string& aTo, const load_message& aMessage)
  {
    relay_hello hello = BriefHello(false);
    hello.mLoad = aMessage;
    Send(hello, { aTo });
  }

  void SpreadLeaving(endpoint_process_hash aProcess)
  {
    mLeaving.OnNew(aProcess);
    SendLeaving(Now());
  }

  void SpreadBounds(endpoint_process_hash aProcess)
  {
    mBounds.OnNew(aProcess);
    SendNewBounds(Now());
  }

  bool ShouldReadSource(time_point aNow)
  {
    mIsReader = mPeers.Reads(aNow);
    const bool behind = !mIsReader && mRequests.NeedsSource(aNow);
    const bool reads = mIsReader || behind;
    if (reads != std::exchange(mReadsSource, reads)) {
      mLog.Write(log_level::kInfo,
                 "source_reading",
                 { { "reads", std::int64_t{ reads } },
                   { "behind_peers", std::int64_t{ behind } },
                   { "alive", static_cast<std::int64_t>(mPeers.Alive()) } });
    }
    return reads;
  }

  const relay_peers& Peers() const { return mPeers; }

private:
  void SendFullHello(const std::vector<std::string>& aTo, bool aWantAnswer)
  {
    if (aTo.empty()) {
      return;
    }
    relay_hello hello = BriefHello(aWantAnswer);
    hello.mBrief = false;
    hello.mPeers = mPeers.SamplePeers();
    hello.mForwarding = mCallbacks.mForwarding();
    hello.mLoads = mCallbacks.mWork();
    hello.mLeaving = mCallbacks.mLatelyLeaving(kMaxLeavingInHello);
    const std::size_t maxEntries =
      kMaxWorkEntries - (hello.mLeaving.empty() ? 0 : kWorkEntriesForLeaving);
    if (hello.mLoads.size() > maxEntries) {
      // Entries with the most queued prefill come first. The rotation varies
      // which of the entries without queued work are kept, so that the prefill
      // speed of each endpoint is reported eventually.
      const auto rotation =
        static_cast<std::ptrdiff_t>(mWorkRotation++ % hello.mLoads.size());
      std::rotate(hello.mLoads.begin(),
                  hello.mLoads.begin() + rotation,
                  hello.mLoads.end());
      std::ranges::stable_sort(
        hello.mLoads, std::ranges::greater(), &reported_load::mPrefillTokens);
      hello.mLoads.resize(maxEntries);
    }
    for (const auto& [pool, view] : mCallbacks.mDemand()) {
      hello.mDemand.push_back({ pool, view });
    }
    Send(hello, aTo);
  }

  void SendLeaving(time_point aNow)
  {
    for (const outgoing_processes& each :
         mLeaving.Due(mPeers.Addresses(), aNow)) {
      relay_hello hello = BriefHello(false);
      hello.mLeaving = each.mProcesses;
      Send(hello, each.mTo);
    }
  }

  void SendNewBounds(time_point aNow)
  {
    for (const outgoing_processes& each :
         mBounds.Due(mPeers.Addresses(), aNow)) {
      std::vector<bounds_word> words;
      for (const endpoint_process_hash process : each.mProcesses) {
        if (const auto word = mCallbacks.mBoundsOf(process)) {
          words.push_back(*word);
        }
      }
      SendBounds(words, each.mTo, aNow);
    }
  }

  void SendKnownBounds(time_point aNow)
  {
    if (aNow < mNextBounds) {
      return;
    }
    mNextBounds = aNow + kBoundsInterval;
    std::vector<std::string> to = mPeers.SamplePeers();
    to.resize(std::min(to.size(), kBoundsFanout));
    SendBounds(mCallbacks.mBounds(kMaxBoundsInHello), to, aNow);
  }

  void SendBounds(const std::vector<bounds_word>& aWords,
                  const std::vector<std::string>& aTo,
                  time_point aNow)
  {
    if (aWords.empty()) {
      return;
    }
    relay_hello hello = BriefHello(false);
    for (const bounds_word& each : aWords) {
      hello.mBounds.push_back(
        { each.mProcess, each.mBounds, aNow - each.mHeardAt });
    }
    Send(hello, aTo);
  }

  void SendSums(time_point aNow)
  {
    for (const outgoing_aggregation& each :
         mPeers.AggregationMessages(mCallbacks.mDemand(), aNow)) {
      relay_hello hello = BriefHello(false);
      hello.mAggregation = each.mMessage;
      Send(hello, { each.mAddress });
    }
  }

  relay_hello BriefHello(bool aWantAnswer) const
  {
    relay_hello hello;
    hello.mBrief = true;
    hello.mAddress = mSettings.mPeerAddress;
    hello.mDomain = mSettings.mDomain;
    // If all instances read the source, the revision up to which this
    // instance's copy is complete tells an instance with a late answer that the
    // source has answered others. If only a few instances read the source, that
    // revision would cause requests for copies without changes, so the revision
    // of the last change is sent.
    hello.mRevisions = mPeers.AllReadInDomain() ? mCallbacks.mKnownRevisions()
                                                : mCallbacks.mChangeRevisions();
    hello.mWantsAnswer = aWantAnswer;
    hello.mLinkMegabits = WholeMegabits(mSettings);
    hello.mSourceFails = mCallbacks.mSourceFails();
    hello.mCrashDigest = mCallbacks.mCrashDigest();
    hello.mReturned = mCallbacks.mReturned();
    if (const auto answered = mCallbacks.mSourceAnswered()) {
      if (const duration age = Now() - *answered; age < kMaxAnswerAge) {
        hello.mSourceAnswerAge = age;
      }
    }
    return hello;
  }

  void Send(const relay_hello& aHello, const std::vector<std::string>& aTo)
  {
    if (aTo.empty()) {
      return;
    }
    const std::string bytes = EncodeHello(aHello);
    for (const std::string& each : aTo) {
      mTransport.SendDatagram(each, bytes);
      mMetrics.OnControlBytes("peers", bytes.size());
    }
  }

  bool OnDatagram(std::string_view aBytes)
  {
    const auto hello = DecodeHello(aBytes);
    if (!hello) {
      mMetrics.OnEvent("peer_datagram_refused");
      return false;
    }
    mCallbacks.mOnMessage(hello->mDomain);
    if (hello->mCrashes) {
      mCallbacks.mOnCrashReport(*hello->mCrashes);
    }
    if (hello->mOrigins) {
      mCallbacks.mOnOrigins(hello->mAddress, *hello->mOrigins);
    }
    if (hello->mLoad) {
      mCallbacks.mOnLoad(hello->mAddress, *hello->mLoad);
    }
    if (!hello->mLeaving.empty()) {
      mCallbacks.mOnLeaving(hello->mLeaving);
    }
    if (!hello->mReturned.empty()) {
      mCallbacks.mOnReturned(hello->mReturned);
    }
    if (!hello->mBounds.empty()) {
      mCallbacks.mOnBounds(HeardBounds(*hello, Now()));
    }
    if (hello->mCrashDigest) {
      mCallbacks.mOnCrashDigest(hello->mAddress, *hello->mCrashDigest);
    }
    if (const auto replyTo = mPeers.OnHello(*hello, Now())) {
      if (hello->mBrief) {
        Send(BriefHello(false), { *replyTo });
      } else {
        SendFullHello({ *replyTo }, false);
      }
    }
    return true;
  }

  static std::vector<bounds_word> HeardBounds(const relay_hello& aHello,
                                              time_point aNow)
  {
    std::vector<bounds_word> words;
    for (const reported_bounds& each : aHello.mBounds) {
      words.push_back({ each.mProcess, each.mBounds, aNow - each.mAge });
    }
    return words;
  }

  std::optional<std::string> OnRequest(std::string_view aBytes)
  {
    const auto request = DecodeItemsRequest(aBytes);
    if (!request) {
      mMetrics.OnEvent("peer_request_refused");
      return std::nullopt;
    }
    const items_answer answer = mCallbacks.mOnItemsRequest(*request);
    std::string bytes = EncodeAnswer(*request, answer);
    if (!mLargeCopies.TryAdmit(bytes.size(), Now())) {
      mMetrics.OnEvent("peer_copy_put_off");
      return EncodeItemsAnswer({ answer.mWhich, 0, false, {} });
    }
    return bytes;
  }

  // Keeps the last compressed items, since all peers that request a large copy
  // request the same items.
  std::string EncodeAnswer(const items_request& aRequest,
                           const items_answer& aAnswer)
  {
    if (!aRequest.mTakesPacked || CopyBytes(aAnswer) < kMinCompressedBytes) {
      return EncodeItemsAnswer(aAnswer);
    }
    std::vector<item_version> versions;
    for (const item_change& each : aAnswer.mItems) {
      versions.emplace_back(each.mKey, each.mRevision);
    }
    if (mPackedVersions != versions) {
      mPacked = PackItems(aAnswer.mItems);
      mPackedVersions = std::move(versions);
    }
    return EncodeItemsAnswer(aAnswer, mPacked);
  }

  static std::size_t CopyBytes(const items_answer& aAnswer)
  {
    std::size_t bytes = 0;
    for (const item_change& each : aAnswer.mItems) {
      bytes += each.mKey.size() + each.mValue.value_or("").size();
    }
    return bytes;
  }

  void RequestCopiesIfBehind(time_point aNow)
  {
    const known_revisions local = mCallbacks.mKnownRevisions();
    if (const auto from = mRequests.Tick(mPeers, local, mIsReader, aNow)) {
      if (from->mConfiguration) {
        RequestCopy(from->mAddress,
                    { copied_items::kConfiguration, local.mConfiguration });
      }
      if (from->mEndpoints) {
        RequestCopy(from->mAddress,
                    { copied_items::kEndpoints, local.mEndpoints });
      }
    }
  }

  void RequestCopy(const std::string& aFrom, const items_request& aRequest)
  {
    exchange_limits limits;
    limits.mTimeout = kRequestTimeout;
    limits.mMostPause = copy_request_settings{}.mTransferTimeout;
    limits.mOnBytes = [weak = weak_from_this(), aRequest](std::size_t) {
      if (const auto self = weak.lock()) {
        self->mRequests.OnBytes(aRequest.mWhich, Now());
      }
    };
    mTransport.Exchange(aFrom,
                        EncodeItemsRequest(aRequest),
                        std::move(limits),
                        [weak = weak_from_this(), aFrom, aRequest](
                          const std::optional<std::string>& aBytes) {
                          if (const auto self = weak.lock()) {
                            self->OnAnswer(aFrom, aRequest, aBytes);
                          }
                        });
  }

  void OnAnswer(const std::string& aFrom,
                const items_request& aRequest,
                const std::optional<std::string>& aBytes)
  {
    mRequests.OnEnded(aRequest.mWhich);
    if (!aBytes) {
      LogCopyFailure(aFrom, aRequest, "no_answer");
      return;
    }
    mMetrics.OnControlBytes("peers", aBytes->size());
    const auto answer = DecodeItemsAnswer(*aBytes);
    if (!answer) {
      mMetrics.OnEvent("peer_answer_refused");
      LogCopyFailure(aFrom, aRequest, "unreadable");
      return;
    }
    if (answer->mAt <= aRequest.mAfter) {
      mRequests.OnDeclined();
    }
    mCallbacks.mOnCopy(aRequest, *answer);
  }

  void LogCopyFailure(const std::string& aFrom,
                      const items_request& aRequest,
                      const char* aWhy)
  {
    mLog.Write(
      log_level::kInfo,
      "no_copy_from_peer",
      { { "peer", aFrom },
        { "configuration",
          std::int64_t{ aRequest.mWhich == copied_items::kConfiguration } },
        { "after", static_cast<std::int64_t>(aRequest.mAfter) },
        { "why", aWhy } });
  }

  // The key of an item and the revision of its last change.
  using item_version = std::pair<std::string, std::uint64_t>;

  relay_settings mSettings;
  relay_peer_callbacks mCallbacks;
  json_log& mLog;
  metrics& mMetrics;
  relay_peers mPeers;
  process_gossip mLeaving;
  process_gossip mBounds;
  time_point mNextBounds{};
  peer_transport mTransport;
  std::size_t mAlive = 0;
  // Whether this instance reads the source for its domain, and whether it reads
  // the source for any reason.
  bool mIsReader = true;
  bool mReadsSource = true;
  copy_requests mRequests{ copy_request_settings{} };
  large_copy_limiter mLargeCopies{ CopySettings(mSettings) };
  // The last compressed items, and the versions that identify them.
  packed_items mPacked;
  std::vector<item_version> mPackedVersions;
  std::size_t mWorkRotation = 0;
};

relay_peer_link::relay_peer_link(boost::asio::io_context& aIo,
                                 const relay_settings& aSettings,
                                 relay_peer_callbacks aCallbacks,
                                 json_log& aLog,
                                 metrics& aMetrics)
  : mCore(std::make_shared<core>(aIo,
                                 aSettings,
                                 std::move(aCallbacks),
                                 aLog,
                                 aMetrics))
{
}

relay_peer_link::~relay_peer_link() = default;

result<void>
relay_peer_link::Open()
{
  return mCore->Open();
}

void
relay_peer_link::Tick(time_point aNow)
{
  mCore->Tick(aNow);
}

void
relay_peer_link::OnItemsChanged()
{
  mCore->OnItemsChanged();
}

void
relay_peer_link::SendCrashReport(const std::vector<std::string>& aTo,
                                 const crash_report& aReport)
{
  mCore->SendCrashReport(aTo, aReport);
}

void
relay_peer_link::SendLoad(const std::string& aTo, const load_message& aMessage)
{
  mCore->SendLoad(aTo, aMessage);
}

void
relay_peer_link::SpreadLeaving(endpoint_process_hash aProcess)
{
  mCore->SpreadLeaving(aProcess);
}

void
relay_peer_link::SpreadBounds(endpoint_process_hash aProcess)
{
  mCore->SpreadBounds(aProcess);
}

void
relay_peer_link::SendOrigins(const std::vector<std::string>& aTo,
                             const origin_message& aMessage)
{
  mCore->SendOrigins(aTo, aMessage);
}

std::vector<known_instance>
relay_peer_link::Instances() const
{
  return mCore->Peers().Instances();
}

std::vector<std::string>
relay_peer_link::Addresses() const
{
  return mCore->Peers().Addresses();
}

bool
relay_peer_link::ShouldReadSource(time_point aNow)
{
  return mCore->ShouldReadSource(aNow);
}

std::size_t
relay_peer_link::Count(time_point aNow) const
{
  return mCore->Peers().Count(aNow);
}

double
relay_peer_link::Present(time_point aNow) const
{
  return mCore->Peers().Present(aNow);
}

std::size_t
relay_peer_link::Alive() const
{
  return mCore->Peers().Alive();
}

watch_stagger
relay_peer_link::Turn(time_point aNow) const
{
  return mCore->Peers().Turn(aNow);
}

bool
relay_peer_link::SourceFailsElsewhere(time_point aNow) const
{
  return mCore->Peers().SourceFailsElsewhere(aNow);
}

std::optional<time_point>
relay_peer_link::SourceAnswered() const
{
  return mCore->Peers().SourceAnswered();
}

std::vector<forward_peer>
relay_peer_link::ForwardPeers(const pool_name& aPool, time_point aNow) const
{
  return mCore->Peers().ForwardPeers(aPool, aNow);
}

std::size_t
relay_peer_link::CutOffPeers(const pool_name& aPool, time_point aNow) const
{
  return mCore->Peers().CutOffPeers(aPool, aNow);
}

std::vector<std::string>
relay_peer_link::PeersInContact(const pool_name& aPool, time_point aNow) const
{
  return mCore->Peers().PeersInContact(aPool, aNow);
}

std::map<std::uint32_t, reported_load>
relay_peer_link::OthersWork(time_point aNow) const
{
  return mCore->Peers().RemoteLoad(aNow);
}

std::map<pool_name, pool_view>
relay_peer_link::AllViews(const std::map<pool_name, pool_view>& aOwn,
                          time_point aNow) const
{
  return mCore->Peers().FleetViews(aOwn, aNow);
}

} // namespace thornhollow
