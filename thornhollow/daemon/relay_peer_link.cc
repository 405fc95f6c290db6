#include "thornhollow/daemon/relay_peer_link.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "thornhollow/fleet/copy_requests.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/net/peer_transport.h"

namespace thornhollow {
namespace {

// For a peer's answer with its copy.
constexpr duration kAskLimit = Milliseconds(600);
// Entries that leave a hello at 1,100 bytes at most: 18 for each, the rest for
// addresses and demand.
constexpr std::size_t kMostWork = 44;

peer_transport_settings
TransportSettings(const relay_settings& aSettings)
{
  peer_transport_settings settings;
  settings.mAddress = aSettings.mPeerAddress;
  return settings;
}

relay_peer_settings
PeerSettings(const relay_settings& aSettings)
{
  relay_peer_settings settings;
  settings.mReaders = aSettings.mSourceReaders;
  return settings;
}

} // namespace

class relay_peer_link::core : public std::enable_shared_from_this<core>
{
public:
  core(boost::asio::io_context& aIo,
       const relay_settings& aSettings,
       relay_peer_listener aListener,
       json_log& aLog,
       metrics& aMetrics)
    : mSettings(aSettings)
    , mListener(std::move(aListener))
    , mLog(aLog)
    , mMetrics(aMetrics)
    , mPeers(PeerSettings(aSettings),
             aSettings.mPeerAddress,
             aSettings.mDomain,
             aSettings.mPeerSeeds,
             std::random_device()())
    , mTransport(
        aIo,
        TransportSettings(aSettings),
        { [this](std::string_view aBytes) { return OnDatagram(aBytes); },
          [this](std::string_view aBytes) { return OnRequest(aBytes); } })
  {
  }

  result<void> Open() { return mTransport.Open(); }

  void Tick(time_point aNow)
  {
    const std::size_t before = mAlive;
    Tell(mPeers.Tick(aNow), mPeers.Alive() == 0);
    mAlive = mPeers.Alive();
    if (mAlive != before) {
      mLog.Write(log_level::kInfo,
                 "peers_changed",
                 { { "alive", static_cast<std::int64_t>(mAlive) },
                   { "before", static_cast<std::int64_t>(before) } });
    }
    AskIfBehind(aNow);
  }

  void OnNews() { Tell(mPeers.OnNews(), false); }

  bool Reads(time_point aNow)
  {
    const bool reads = mPeers.Reads(mListener.mSourceFails(), aNow);
    if (reads != std::exchange(mReads, reads)) {
      mLog.Write(log_level::kInfo,
                 "source_reading",
                 { { "reads", std::int64_t{ reads } },
                   { "alive", static_cast<std::int64_t>(mPeers.Alive()) } });
    }
    return reads;
  }

  const relay_peers& Peers() const { return mPeers; }

private:
  void Tell(const std::vector<std::string>& aTo, bool aWantAnswer)
  {
    if (aTo.empty()) {
      return;
    }
    relay_hello hello;
    hello.mAddress = mSettings.mPeerAddress;
    hello.mDomain = mSettings.mDomain;
    hello.mKnown = mListener.mKnown();
    hello.mPeers = mPeers.SomePeers();
    hello.mWork = mListener.mWork();
    if (hello.mWork.size() > kMostWork) {
      // Those without work take turns, or nobody would hear of their paces.
      const auto turn =
        static_cast<std::ptrdiff_t>(mWorkTurn++ % hello.mWork.size());
      std::rotate(
        hello.mWork.begin(), hello.mWork.begin() + turn, hello.mWork.end());
      std::ranges::stable_sort(
        hello.mWork, std::ranges::greater(), &endpoint_work::mToRead);
      hello.mWork.resize(kMostWork);
    }
    hello.mDemand = mListener.mDemand();
    hello.mWantsAnswer = aWantAnswer;
    hello.mSourceFails = mListener.mSourceFails();
    const std::string bytes = EncodeHello(hello);
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
    if (const auto back = mPeers.OnHello(*hello, Now())) {
      Tell({ *back }, false);
    }
    return true;
  }

  std::optional<std::string> OnRequest(std::string_view aBytes)
  {
    const auto request = DecodeItemsRequest(aBytes);
    if (!request) {
      mMetrics.OnEvent("peer_request_refused");
      return std::nullopt;
    }
    return EncodeItemsAnswer(mListener.mOnAsked(*request));
  }

  void AskIfBehind(time_point aNow)
  {
    const known_revisions mine = mListener.mKnown();
    if (const auto from = mRequests.Tick(mPeers, mine, mReads, aNow)) {
      Ask(*from, { copied_items::kConfiguration, mine.mConfiguration });
      Ask(*from, { copied_items::kEndpoints, mine.mEndpoints });
    }
  }

  void Ask(const std::string& aFrom, const items_request& aRequest)
  {
    mTransport.Exchange(aFrom,
                        EncodeItemsRequest(aRequest),
                        kAskLimit,
                        [weak = weak_from_this(),
                         aRequest](const std::optional<std::string>& aBytes) {
                          const auto self = weak.lock();
                          if (!self || !aBytes) {
                            return;
                          }
                          if (const auto answer = DecodeItemsAnswer(*aBytes)) {
                            self->mMetrics.OnControlBytes("peers",
                                                          aBytes->size());
                            self->mListener.mOnCopy(aRequest, *answer);
                          } else {
                            self->mMetrics.OnEvent("peer_answer_refused");
                          }
                        });
  }

  relay_settings mSettings;
  relay_peer_listener mListener;
  json_log& mLog;
  metrics& mMetrics;
  relay_peers mPeers;
  peer_transport mTransport;
  std::size_t mAlive = 0;
  bool mReads = true;
  copy_requests mRequests{ copy_request_settings{} };
  std::size_t mWorkTurn = 0;
};

relay_peer_link::relay_peer_link(boost::asio::io_context& aIo,
                                 const relay_settings& aSettings,
                                 relay_peer_listener aListener,
                                 json_log& aLog,
                                 metrics& aMetrics)
  : mCore(std::make_shared<core>(aIo,
                                 aSettings,
                                 std::move(aListener),
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
relay_peer_link::OnNews()
{
  mCore->OnNews();
}

bool
relay_peer_link::Reads(time_point aNow)
{
  return mCore->Reads(aNow);
}

std::size_t
relay_peer_link::Count(time_point aNow) const
{
  return mCore->Peers().Count(aNow);
}

std::size_t
relay_peer_link::Alive() const
{
  return mCore->Peers().Alive();
}

watch_turn
relay_peer_link::Turn() const
{
  return mCore->Peers().Turn();
}

bool
relay_peer_link::SourceFailsElsewhere(time_point aNow) const
{
  return mCore->Peers().SourceFailsElsewhere(aNow);
}

std::map<std::uint32_t, endpoint_work>
relay_peer_link::OthersWork(time_point aNow) const
{
  return mCore->Peers().OthersWork(aNow);
}

std::map<pool_name, pool_view>
relay_peer_link::OthersViews(time_point aNow) const
{
  return mCore->Peers().OthersViews(aNow);
}

} // namespace thornhollow
