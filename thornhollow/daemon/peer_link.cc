#include "thornhollow/daemon/peer_link.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "thornhollow/daemon/process_limits.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/net/peer_transport.h"
#include "thornhollow/wire/codec.h"
#include "thornhollow/wire/seal.h"

namespace thornhollow {
namespace {

// Interval of periodic work that the membership state machines require.
constexpr duration kTickInterval = Milliseconds(100);
// Interval between messages to the seeds while no member is known.
constexpr duration kSeedInterval = Milliseconds(500);
// Duration for which a leaving endpoint is reported to peers. By then the
// platform's list includes the change.
constexpr duration kLeavingGossipDuration = Seconds(60);

// Returns the value of a result, or nullopt on any error.
template<class value>
std::optional<value>
ValueOrNullopt(result<value> aResult)
{
  return boost::leaf::try_handle_all(
    [&]() -> result<std::optional<value>> {
      BOOST_LEAF_AUTO(found, std::move(aResult));
      return std::optional<value>(std::move(found));
    },
    [] { return std::optional<value>(); });
}

} // namespace

class peer_link::core : public std::enable_shared_from_this<core>
{
public:
  core(boost::asio::io_context& aIo,
       const peer_link_settings& aSettings,
       peer_listener aListener,
       json_log& aLog,
       metrics& aMetrics)
    : mSettings(aSettings)
    , mListener(std::move(aListener))
    , mLog(aLog)
    , mMetrics(aMetrics)
    , mMembers(
        membership_settings{},
        { aSettings.mName, aSettings.mDomain, aSettings.mAddress, false },
        aSettings.mEpoch,
        std::random_device()())
    , mSealer(aSettings.mKey, aSettings.mName, aSettings.mEpoch)
    , mOpener(aSettings.mKey, aSettings.mName)
    , mSeedOpener(aSettings.mKey, instance_name())
    , mTransport(
        aIo,
        TransportSettings(aSettings),
        { [this](std::string_view aBytes) { return OnDatagram(aBytes); },
          [this](std::string_view aBytes) { return OnRequest(aBytes); },
          [this](std::string_view aEvent) { mMetrics.OnEvent(aEvent); } })
    , mTimer(aIo)
  {
  }

  result<void> Open()
  {
    BOOST_LEAF_CHECK(mTransport.Open());
    Tick();
    return {};
  }

  void Stop()
  {
    mStopped = true;
    mTimer.cancel();
  }

  void OnInstances(const instance_list& aList)
  {
    if (aList.mVersion >= mList.mVersion) {
      mList = aList;
    }
    Apply(mMembers.OnInstances(aList, Now()));
    mListener.mOnMembers();
  }

  void Exchange(const instance_name& aPeer,
                const stream_message& aRequest,
                duration aTimeout,
                answer_handler aDone)
  {
    const auto address = AddressOf(aPeer);
    mTransport.Exchange(
      address.value_or(std::string()),
      mSealer.Seal(aPeer, EncodeStream(aRequest)),
      { .mTimeout = aTimeout },
      [weak = weak_from_this(), aPeer, done = std::move(aDone)](
        const std::optional<std::string>& aBytes) {
        const auto self = weak.lock();
        if (self && !self->mStopped) {
          done(aBytes ? self->ReadAnswer(aPeer, *aBytes) : std::nullopt);
        }
      });
  }

  void Announce(std::uint64_t aVersion)
  {
    Apply(mMembers.OnConfiguration(aVersion, Now()));
  }

  void ReportEndpointLeaving(const endpoint_name& aEndpoint)
  {
    Apply(mMembers.OnEndpointLeaving(aEndpoint, kLeavingGossipDuration, Now()));
  }

  void SendCrashReport(const std::vector<instance_name>& aTo,
                       const crash_report& aReport)
  {
    gossip_message message;
    message.mKind = gossip_kind::kPush;
    message.mDomain = mSettings.mDomain;
    message.mSender = mMembers.Self();
    message.mCrashes = aReport;
    for (const instance_name& each : aTo) {
      if (const auto address = AddressOf(each)) {
        SendGossip(each, *address, message);
      }
    }
  }

  void ReportPressure(const std::vector<pool_pressure>& aPressures)
  {
    for (const pool_pressure& each : aPressures) {
      mMembers.OnPressure(each, Now());
    }
  }

  std::vector<pool_pressure> PeerPressure() const
  {
    return mMembers.Shared().PeerPressures(Now());
  }

  void Drain() { Apply(mMembers.Drain(Now())); }
  void Leave() { Apply(mMembers.Leave(Now())); }

  std::vector<member_digest> Alive() const { return mMembers.Alive(); }

  std::vector<listed_instance> Known() const
  {
    std::vector<listed_instance> known = mList.mInstances;
    for (const member_digest& each : mMembers.Alive()) {
      if (std::ranges::find(known, each.mName, &listed_instance::mName) ==
          known.end()) {
        known.push_back(
          { each.mName, mSettings.mDomain, each.mAddress, each.mDraining });
      }
    }
    return known;
  }

private:
  static peer_transport_settings TransportSettings(
    const peer_link_settings& aSettings)
  {
    peer_transport_settings settings;
    settings.mAddress = aSettings.mAddress;
    settings.mMaxDatagramBytes = kMaxDatagramBytes;
    Bound(settings, aSettings.mConnections);
    return settings;
  }

  void Tick()
  {
    if (mStopped) {
      return;
    }
    Apply(mMembers.Tick(Now()));
    PingSeeds();
    CountBytes();
    mTimer.expires_after(kTickInterval);
    mTimer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& aError) {
        const auto self = weak.lock();
        if (!aError && self) {
          self->Tick();
        }
      });
  }

  void CountBytes()
  {
    const peer_counters& counted = mTransport.Counters();
    const std::uint64_t total = counted.mBytesIn + counted.mBytesOut;
    mMetrics.OnControlBytes("peers",
                            total - std::exchange(mCountedBytes, total));
  }

  // A seed's name is not known, so the message is sealed with an empty
  // recipient name, which any instance can open.
  void PingSeeds()
  {
    const time_point now = Now();
    if (now < mNextSeedPing || !mMembers.Alive().empty()) {
      return;
    }
    mNextSeedPing = now + kSeedInterval;
    gossip_message ping;
    ping.mKind = gossip_kind::kPing;
    ping.mDomain = mSettings.mDomain;
    ping.mSender = mMembers.Self();
    for (const std::string& seed : mSettings.mSeeds) {
      SendGossip(instance_name(), seed, ping);
    }
  }

  void SendGossip(const instance_name& aTo,
                  const std::string& aAddress,
                  gossip_message aMessage)
  {
    aMessage.mPlatformAge = mListener.mOwnHint().mPlatformAge;
    aMessage.mCrashDigest = mListener.mCrashDigest();
    mTransport.SendDatagram(aAddress,
                            mSealer.Seal(aTo, EncodeGossip(aMessage)));
  }

  std::optional<std::string> AddressOf(const instance_name& aPeer) const
  {
    if (const auto member = mMembers.Find(aPeer)) {
      return member->mAddress;
    }
    const auto listed =
      std::ranges::find(mList.mInstances, aPeer, &listed_instance::mName);
    return listed == mList.mInstances.end() ? std::nullopt
                                            : std::optional(listed->mAddress);
  }

  std::optional<opened_message> OpenDatagram(std::string_view aBytes)
  {
    if (auto opened = ValueOrNullopt(mOpener.Open(aBytes))) {
      return opened;
    }
    return ValueOrNullopt(mSeedOpener.Open(aBytes));
  }

  bool OnDatagram(std::string_view aBytes)
  {
    const auto opened = OpenDatagram(aBytes);
    const auto message =
      opened ? ValueOrNullopt(DecodeGossip(opened->mPayload)) : std::nullopt;
    // The sender in the message must match the sealed sender: a member may
    // report on others only in a message of its own.
    if (!message || message->mSender.mName != opened->mSender) {
      mMetrics.OnEvent("peer_datagram_refused");
      return false;
    }
    Apply(mMembers.OnMessage(*message, Now()));
    mListener.mOnHint(
      opened->mSender,
      { message->mConfigurationVersion, message->mPlatformAge });
    if (message->mCrashes) {
      mListener.mOnCrashReport(*message->mCrashes);
    }
    if (message->mCrashDigest) {
      mListener.mOnCrashDigest(opened->mSender, *message->mCrashDigest);
    }
    return true;
  }

  std::optional<std::string> OnRequest(std::string_view aBytes)
  {
    const auto opened = ValueOrNullopt(mOpener.Open(aBytes));
    const auto request =
      opened ? ValueOrNullopt(DecodeStream(opened->mPayload)) : std::nullopt;
    auto answer = request ? std::visit(
                              [&](const auto& aMessage) {
                                return Answer(opened->mSender, aMessage);
                              },
                              *request)
                          : std::nullopt;
    if (!answer) {
      mMetrics.OnEvent("peer_request_refused");
      return std::nullopt;
    }
    return mSealer.Seal(opened->mSender, EncodeStream(*answer));
  }

  std::optional<stream_message> ReadAnswer(const instance_name& aPeer,
                                           const std::string& aBytes)
  {
    const auto opened = ValueOrNullopt(mOpener.Open(aBytes));
    if (!opened || opened->mSender != aPeer) {
      mMetrics.OnEvent("peer_answer_refused");
      return std::nullopt;
    }
    return ValueOrNullopt(DecodeStream(opened->mPayload));
  }

  std::optional<stream_message> Answer(const instance_name& aSender,
                                       const claim_request& aRequest)
  {
    // An instance may claim idempotency keys, mark them as used, or release
    // them only for itself.
    if (aRequest.mHolder.mName != aSender) {
      return std::nullopt;
    }
    return mListener.mOnClaim(aRequest);
  }

  std::optional<stream_message> Answer(const instance_name& /*aSender*/,
                                       const part_request& aRequest)
  {
    auto bytes = mListener.mOnPart(aRequest.mDigest);
    const bool found = bytes.has_value();
    return part_answer{ aRequest.mDigest,
                        found,
                        std::move(bytes).value_or(std::string()) };
  }

  std::optional<stream_message> Answer(
    const instance_name& /*aSender*/,
    const config_status_exchange& /*aRequest*/)
  {
    return config_status_exchange{ mListener.mOwnStatus() };
  }

  std::optional<stream_message> Answer(const instance_name& /*aSender*/,
                                       const forward_query& aQuery)
  {
    return mListener.mOnForwardQuery(aQuery);
  }

  // Answers are not valid as requests.
  static std::optional<stream_message> Answer(const instance_name&,
                                              const forward_offer&)
  {
    return std::nullopt;
  }
  static std::optional<stream_message> Answer(const instance_name&,
                                              const claim_answer&)
  {
    return std::nullopt;
  }
  static std::optional<stream_message> Answer(const instance_name&,
                                              const part_answer&)
  {
    return std::nullopt;
  }

  void Apply(membership_actions aActions)
  {
    for (membership_action& each : aActions) {
      std::visit([this](auto& aAction) { this->Execute(aAction); }, each);
    }
  }

  void Execute(send_datagram& aAction)
  {
    SendGossip(aAction.mTo, aAction.mAddress, std::move(aAction.mMessage));
  }

  void Execute(const member_changed& aAction)
  {
    mLog.Write(log_level::kInfo,
               "member",
               { { "change", std::string(NameOf(aAction.mChange)) },
                 { "name", aAction.mName.Text() } });
    mMetrics.OnEvent(std::string("member_") +
                     std::string(NameOf(aAction.mChange)));
    mListener.mOnMembers();
  }

  // Ignores a newer configuration at a peer: the hint on each datagram carries
  // the same information.
  void Execute(const newer_configuration&) {}

  void Execute(const endpoint_leave_reported& aAction)
  {
    mListener.mOnEndpointLeaving(aAction.mEndpoint, aAction.mUntil);
  }

  void Execute(const process_paused& aAction)
  {
    mLog.Write(log_level::kWarning,
               "paused",
               { { "length_ms", ToMilliseconds(aAction.mLength) } });
    mMetrics.OnEvent("paused");
    mListener.mOnPaused(aAction.mLength);
  }

  void Execute(const refresh_finished& aAction)
  {
    mLog.Write(log_level::kInfo,
               "refreshed",
               { { "heard_a_peer",
                   std::string(aAction.mPeerResponded ? "yes" : "no") } });
  }

  void Execute(const superseded&)
  {
    mLog.Write(log_level::kError, "superseded");
    mMetrics.OnEvent("superseded");
    mListener.mOnSuperseded();
  }

  static std::string_view NameOf(member_change aChange)
  {
    switch (aChange) {
      case member_change::kJoined:
        return "joined";
      case member_change::kSuspected:
        return "suspected";
      case member_change::kRecovered:
        return "recovered";
      case member_change::kRemoved:
        return "removed";
      case member_change::kRejoined:
        return "returned";
      case member_change::kRestarted:
        return "restarted";
      case member_change::kDraining:
        break;
    }
    return "draining";
  }

  peer_link_settings mSettings;
  peer_listener mListener;
  json_log& mLog;
  metrics& mMetrics;
  membership mMembers;
  sealer mSealer;
  opener mOpener;
  // Opens datagrams from instances that do not know this instance's name yet.
  opener mSeedOpener;
  instance_list mList;
  peer_transport mTransport;
  boost::asio::steady_timer mTimer;
  time_point mNextSeedPing{};
  std::uint64_t mCountedBytes = 0;
  bool mStopped = false;
};

peer_link::peer_link(boost::asio::io_context& aIo,
                     const peer_link_settings& aSettings,
                     peer_listener aListener,
                     json_log& aLog,
                     metrics& aMetrics)
  : mCore(std::make_shared<core>(aIo,
                                 aSettings,
                                 std::move(aListener),
                                 aLog,
                                 aMetrics))
{
}

peer_link::~peer_link()
{
  mCore->Stop();
}

result<void>
peer_link::Open()
{
  return mCore->Open();
}

void
peer_link::OnInstances(const instance_list& aList)
{
  mCore->OnInstances(aList);
}

void
peer_link::Exchange(const instance_name& aPeer,
                    const stream_message& aRequest,
                    duration aTimeout,
                    answer_handler aDone)
{
  mCore->Exchange(aPeer, aRequest, aTimeout, std::move(aDone));
}

void
peer_link::Announce(std::uint64_t aVersion)
{
  mCore->Announce(aVersion);
}

void
peer_link::ReportEndpointLeaving(const endpoint_name& aEndpoint)
{
  mCore->ReportEndpointLeaving(aEndpoint);
}

void
peer_link::SendCrashReport(const std::vector<instance_name>& aTo,
                           const crash_report& aReport)
{
  mCore->SendCrashReport(aTo, aReport);
}

void
peer_link::ReportPressure(const std::vector<pool_pressure>& aPressures)
{
  mCore->ReportPressure(aPressures);
}

std::vector<pool_pressure>
peer_link::PeerPressure() const
{
  return mCore->PeerPressure();
}

void
peer_link::Drain()
{
  mCore->Drain();
}

void
peer_link::Leave()
{
  mCore->Leave();
}

std::vector<member_digest>
peer_link::Alive() const
{
  return mCore->Alive();
}

std::vector<listed_instance>
peer_link::Known() const
{
  return mCore->Known();
}

} // namespace thornhollow
