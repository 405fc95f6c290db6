#include "thornhollow/testing/fault_proxy.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "thornhollow/net/internal/awaitable.h"
#include "thornhollow/testing/event_loop_state.h"
#include "thornhollow/testing/json_fields.h"
#include "thornhollow/testing/socket_address.h"

namespace thornhollow::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using net_internal::Into;

namespace {

constexpr std::size_t kBufferBytes = 16384;

std::size_t
Index(proxy_direction aDirection)
{
  return static_cast<std::size_t>(aDirection);
}

struct proxy_counts
{
  std::uint64_t mAccepted = 0;
  std::uint64_t mOpen = 0;
  std::array<std::uint64_t, kProxyDirections> mBytes{};
};

// One accepted connection and its counterpart to the target.
class relay : public std::enable_shared_from_this<relay>
{
public:
  relay(tcp::socket aNear, const proxy_mode& aMode, proxy_counts& aCounts)
    : mNear(std::move(aNear))
    , mFar(mNear.get_executor())
    , mWake(mNear.get_executor())
    , mMode(aMode)
    , mCounts(aCounts)
  {
    // Set once: both pumps wait on it, and a new expiry would wake the other.
    mWake.expires_at(asio::steady_timer::time_point::max());
    ++mCounts.mAccepted;
    ++mCounts.mOpen;
  }
  ~relay() { --mCounts.mOpen; }
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  asio::awaitable<void> Run(tcp::endpoint aTarget)
  {
    const auto self = shared_from_this();
    error_code error;
    co_await mFar.async_connect(aTarget, Into(error));
    if (error) {
      Close(proxy_fault::kReset);
      co_return;
    }
    error_code ignored;
    mNear.set_option(tcp::no_delay(true), ignored);
    mFar.set_option(tcp::no_delay(true), ignored);
    for (const auto direction :
         { proxy_direction::kUp, proxy_direction::kDown }) {
      asio::co_spawn(
        mNear.get_executor(),
        [self, direction] { return self->Pump(direction); },
        asio::detached);
    }
  }

  // Takes over a new mode; a fault that waits for no bytes strikes at once.
  void SetMode(const proxy_mode& aMode)
  {
    mMode = aMode;
    mFrozen = {};
    if (!aMode.mAfterBytes) {
      Strike();
    }
    mWake.cancel();
  }

private:
  void Strike()
  {
    switch (mMode.mFault) {
      case proxy_fault::kCut:
      case proxy_fault::kReset:
        Close(mMode.mFault);
        break;
      case proxy_fault::kFreeze:
        mFrozen = mMode.mApplies;
        break;
      case proxy_fault::kSilence:
        for (std::size_t at = 0; at < kProxyDirections; ++at) {
          mSilent[at] = mSilent[at] || mMode.mApplies[at];
        }
        break;
      case proxy_fault::kPass:
      case proxy_fault::kRefuse:
        break;
    }
  }

  void Close(proxy_fault aHow)
  {
    for (tcp::socket* socket : { &mNear, &mFar }) {
      error_code ignored;
      if (aHow == proxy_fault::kReset) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
      }
      socket->close(ignored);
    }
    mWake.cancel();
  }

  // How many of `aSize` bytes pass before the fault strikes.
  std::size_t Allowed(std::size_t aAt, std::size_t aSize) const
  {
    if (!mMode.mAfterBytes || !mMode.mApplies[aAt] ||
        mMode.mFault == proxy_fault::kPass || mStruck) {
      return aSize;
    }
    const std::uint64_t left =
      *mMode.mAfterBytes - std::min(*mMode.mAfterBytes, mPassed[aAt]);
    return static_cast<std::size_t>(std::min<std::uint64_t>(left, aSize));
  }

  asio::awaitable<void> Pump(proxy_direction aDirection)
  {
    const auto self = shared_from_this();
    const std::size_t at = Index(aDirection);
    tcp::socket& from = aDirection == proxy_direction::kUp ? mNear : mFar;
    tcp::socket& to = aDirection == proxy_direction::kUp ? mFar : mNear;
    std::vector<char> buffer(kBufferBytes);
    error_code error;
    while (!error) {
      const std::size_t size =
        co_await from.async_read_some(asio::buffer(buffer), Into(error));
      co_await Hold(at);
      if (mSilent[at]) {
        continue;
      }
      if (error) {
        Finish(error, to);
        break;
      }
      co_await Forward(at, to, { buffer.data(), size }, error);
    }
    if (mSilent[at]) {
      co_await KeepOpen();
    }
  }

  asio::awaitable<void> Forward(std::size_t aAt,
                                tcp::socket& aTo,
                                std::string_view aBytes,
                                error_code& aError)
  {
    std::string_view rest = aBytes;
    while (!rest.empty() && !aError && !mSilent[aAt]) {
      const std::size_t allowed = Allowed(aAt, rest.size());
      if (allowed > 0) {
        co_await asio::async_write(
          aTo, asio::buffer(rest.data(), allowed), Into(aError));
        mPassed[aAt] += allowed;
        mCounts.mBytes[aAt] += allowed;
        rest.remove_prefix(allowed);
      }
      if (Allowed(aAt, 1) == 0) {
        mStruck = true;
        Strike();
        co_await Hold(aAt);
      }
    }
  }

  // Waits out the delay and the freeze.
  asio::awaitable<void> Hold(std::size_t aAt)
  {
    error_code ignored;
    if (mMode.mDelayMs > 0) {
      asio::steady_timer delay(mNear.get_executor(),
                               std::chrono::milliseconds(mMode.mDelayMs));
      co_await delay.async_wait(Into(ignored));
    }
    while (mFrozen[aAt] && mNear.is_open()) {
      co_await mWake.async_wait(Into(ignored));
    }
  }

  // A silent connection outlives the peer's close: what lost track of it tells
  // neither end.
  asio::awaitable<void> KeepOpen()
  {
    while (mNear.is_open() && mFar.is_open()) {
      error_code ignored;
      co_await mWake.async_wait(Into(ignored));
    }
  }

  // Hands on an orderly close or a reset.
  void Finish(const error_code& aError, tcp::socket& aTo)
  {
    if (aError == asio::error::eof) {
      error_code ignored;
      aTo.shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    Close(proxy_fault::kReset);
  }

  tcp::socket mNear;
  tcp::socket mFar;
  asio::steady_timer mWake;
  proxy_mode mMode;
  proxy_counts& mCounts;
  bool mStruck = false;
  std::array<bool, kProxyDirections> mFrozen{};
  std::array<bool, kProxyDirections> mSilent{};
  std::array<std::uint64_t, kProxyDirections> mPassed{};
};

const std::map<std::string_view, proxy_fault>&
Faults()
{
  static const std::map<std::string_view, proxy_fault> kFaults{
    { "pass", proxy_fault::kPass },       { "cut", proxy_fault::kCut },
    { "reset", proxy_fault::kReset },     { "freeze", proxy_fault::kFreeze },
    { "silence", proxy_fault::kSilence }, { "refuse", proxy_fault::kRefuse },
  };
  return kFaults;
}

bool
SetFault(proxy_mode& aMode, const boost::json::value& aValue)
{
  const auto* text = aValue.if_string();
  const auto found = text == nullptr
                       ? Faults().end()
                       : Faults().find({ text->data(), text->size() });
  if (found == Faults().end()) {
    return false;
  }
  aMode.mFault = found->second;
  return true;
}

bool
SetDirection(proxy_mode& aMode, const boost::json::value& aValue)
{
  const auto* text = aValue.if_string();
  if (text == nullptr ||
      (*text != "up" && *text != "down" && *text != "both")) {
    return false;
  }
  aMode.mApplies = { *text != "down", *text != "up" };
  return true;
}

} // namespace

result<proxy_mode>
ReadProxyMode(std::string_view aJson)
{
  static const json_fields<proxy_mode> kFields{
    { "fault", SetFault },
    { "direction", SetDirection },
    { "delay_ms", Field(&proxy_mode::mDelayMs) },
    { "after_bytes", Field(&proxy_mode::mAfterBytes) },
  };
  return ReadFields(kFields, aJson);
}

struct fault_proxy::state : std::enable_shared_from_this<fault_proxy::state>
{
  explicit state(asio::io_context& aContext)
    : mAcceptor(aContext)
  {
  }

  asio::awaitable<void> Accept()
  {
    const auto self = shared_from_this();
    while (mAcceptor.is_open()) {
      error_code error;
      tcp::socket socket = co_await mAcceptor.async_accept(Into(error));
      if (error == asio::error::operation_aborted ||
          error == asio::error::bad_descriptor) {
        break;
      }
      if (!error) {
        Relay(std::move(socket));
      }
    }
  }

  void Relay(tcp::socket aSocket)
  {
    const auto accepted =
      std::make_shared<relay>(std::move(aSocket), mMode, mCounts);
    // A silence strikes only what was open when it began.
    if (mMode.mFault != proxy_fault::kSilence || mMode.mAfterBytes) {
      accepted->SetMode(mMode);
    }
    std::erase_if(mRelays, [](const auto& aRelay) { return aRelay.expired(); });
    mRelays.push_back(accepted);
    asio::co_spawn(
      mAcceptor.get_executor(),
      [accepted, target = mTarget] { return accepted->Run(target); },
      asio::detached);
  }

  void SetMode(const proxy_mode& aMode)
  {
    mMode = aMode;
    if (aMode.mFault == proxy_fault::kRefuse) {
      error_code ignored;
      mAcceptor.close(ignored);
    } else if (!mAcceptor.is_open()) {
      const auto reopened = Open();
      static_cast<void>(reopened);
    }
    for (const auto& weak : mRelays) {
      if (const auto open = weak.lock()) {
        open->SetMode(aMode);
      }
    }
  }

  // Listens on mListen and keeps the port that the system chose.
  error_code Open()
  {
    if (const error_code error = OpenAcceptor(mAcceptor, mListen)) {
      return error;
    }
    mListen = mAcceptor.local_endpoint();
    asio::co_spawn(
      mAcceptor.get_executor(),
      [self = shared_from_this()] { return self->Accept(); },
      asio::detached);
    return {};
  }

  tcp::acceptor mAcceptor;
  tcp::endpoint mListen;
  tcp::endpoint mTarget;
  std::string mTargetText;
  proxy_mode mMode;
  proxy_counts mCounts;
  std::vector<std::weak_ptr<relay>> mRelays;
};

fault_proxy::fault_proxy(event_loop& aLoop, const std::string& aTarget)
  : mState(std::make_shared<state>(aLoop.State().mContext))
{
  mState->mTargetText = aTarget;
}

fault_proxy::~fault_proxy() = default;

result<std::string>
fault_proxy::Listen(const std::string& aAddress)
{
  BOOST_LEAF_ASSIGN(mState->mTarget, ParseSocketAddress(mState->mTargetText));
  BOOST_LEAF_ASSIGN(mState->mListen, ParseSocketAddress(aAddress));
  if (const error_code error = mState->Open()) {
    return Fail(error_kind::kInternal, aAddress + ": " + error.message());
  }
  return FormatSocketAddress(mState->mListen);
}

void
fault_proxy::SetMode(const proxy_mode& aMode)
{
  mState->SetMode(aMode);
}

http_handler
fault_proxy::ControlHandler()
{
  return [this](const http_request& aRequest, const exchange_ptr& aExchange) {
    if (aRequest.mPath == "/test/mode") {
      const result<proxy_mode> mode = ReadProxyMode(aRequest.mBody);
      if (!mode) {
        aExchange->Answer(400, {}, "unknown or wrong field\n");
        return;
      }
      SetMode(*mode);
      aExchange->Answer(200, {}, "{}");
    } else if (aRequest.mPath == "/test/connections") {
      const proxy_counts& counts = mState->mCounts;
      aExchange->Answer(200,
                        {},
                        boost::json::serialize(boost::json::object{
                          { "accepted", counts.mAccepted },
                          { "open", counts.mOpen },
                          { "up_bytes", counts.mBytes[0] },
                          { "down_bytes", counts.mBytes[1] } }));
    } else {
      aExchange->Answer(404, {}, {});
    }
  };
}

} // namespace thornhollow::testing
