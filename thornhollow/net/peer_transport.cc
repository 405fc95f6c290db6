#include "thornhollow/net/peer_transport.h"

#include <algorithm>
#include <array>
#include <deque>
#include <exception>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/intrusive/list.hpp>

#include "thornhollow/net/address.h"
#include "thornhollow/net/internal/awaitable.h"

namespace thornhollow {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;
using net_internal::Into;
using std::chrono::steady_clock;

constexpr std::size_t kHeadBytes = 4;
// After a failed accept (no descriptors left), instead of spinning.
constexpr duration kAcceptAgainAfter = Milliseconds(100);

using frame_head = std::array<unsigned char, kHeadBytes>;

frame_head
HeadOf(std::size_t aSize)
{
  frame_head head{};
  for (std::size_t at = 0; at < kHeadBytes; ++at) {
    head[at] =
      static_cast<unsigned char>(aSize >> (8U * (kHeadBytes - 1 - at)));
  }
  return head;
}

std::size_t
SizeOf(const frame_head& aHead)
{
  std::size_t size = 0;
  for (const unsigned char each : aHead) {
    size = (size << 8U) | each;
  }
  return size;
}

// How the reading of a frame ended.
enum class frame_end
{
  kWhole,
  // Closed, broken or out of time.
  kBroken,
  kTooLong,
};

// Calls `aOnBytes` with the bytes so far for each part that comes.
template<class progress>
asio::awaitable<frame_end>
ReadFrame(beast::tcp_stream& aStream,
          std::string& aInto,
          std::size_t aMaxBytes,
          const progress& aOnBytes)
{
  frame_head head{};
  error_code wrong;
  co_await asio::async_read(aStream, asio::buffer(head), Into(wrong));
  if (wrong) {
    co_return frame_end::kBroken;
  }
  const std::size_t size = SizeOf(head);
  // Checked before anything is allocated for it.
  if (size > aMaxBytes) {
    co_return frame_end::kTooLong;
  }
  aInto.resize(size);
  std::size_t came = 0;
  while (came < size) {
    came +=
      co_await aStream.async_read_some(asio::buffer(aInto) + came, Into(wrong));
    if (wrong) {
      co_return frame_end::kBroken;
    }
    aOnBytes(came);
  }
  co_return frame_end::kWhole;
}

asio::awaitable<bool>
WriteFrame(beast::tcp_stream& aStream, const std::string& aBytes)
{
  const frame_head head = HeadOf(aBytes.size());
  const std::array<asio::const_buffer, 2> both{ asio::buffer(head),
                                                asio::buffer(aBytes) };
  error_code wrong;
  co_await asio::async_write(aStream, both, Into(wrong));
  co_return !wrong;
}

} // namespace

class peer_transport::shared : public std::enable_shared_from_this<shared>
{
public:
  shared(asio::io_context& aIo,
         peer_transport_settings aSettings,
         peer_handlers aHandlers)
    : mSettings(std::move(aSettings))
    , mHandlers(std::move(aHandlers))
    , mIo(aIo)
    , mAcceptor(aIo)
    , mDatagrams(aIo)
  {
  }

  result<void> Open();
  void Close();
  std::string LocalAddress() const;
  void SendDatagram(const std::string& aAddress, std::string_view aBytes);
  void Exchange(std::string aAddress,
                std::string aRequest,
                exchange_limits aLimits,
                answer_handler aDone);

  peer_transport_settings mSettings;
  peer_counters mCounters;

private:
  using stream_pointer = std::unique_ptr<beast::tcp_stream>;

  struct idle_connection
  {
    stream_pointer mStream;
    steady_clock::time_point mLastAnswer;
  };

  // A peer's connection; leaves its list when it ends, however it does.
  struct served_connection
    : boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
  {
    explicit served_connection(tcp::socket aSocket)
      : mStream(std::move(aSocket))
    {
    }

    void Enter(auto& aList)
    {
      unlink();
      aList.push_back(*this);
    }

    beast::tcp_stream mStream;
  };
  using served_list =
    boost::intrusive::list<served_connection,
                           boost::intrusive::constant_time_size<false>>;

  struct call
  {
    std::string mAddress;
    std::string mRequest;
    exchange_limits mLimits;
    steady_clock::time_point mDeadline;
  };

  asio::awaitable<void> ReceiveDatagrams();
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(tcp::socket aSocket);
  asio::awaitable<void> ServeRequests(served_connection& aServed);
  asio::awaitable<void> RunExchange(call aCall, answer_handler aDone);
  asio::awaitable<std::optional<std::string>> Ask(const call& aCall);
  asio::awaitable<std::optional<std::string>> AskOn(
    beast::tcp_stream& aStream,
    const call& aCall,
    steady_clock::time_point aDeadline);
  asio::awaitable<stream_pointer> Connect(const call& aCall);
  stream_pointer TakeIdle(const std::string& aAddress);
  void KeepIdle(const std::string& aAddress, stream_pointer aStream);
  void DropOldest();

  peer_handlers mHandlers;
  asio::io_context& mIo;
  tcp::acceptor mAcceptor;
  udp::socket mDatagrams;
  bool MakeRoom();
  // An exception counts as garbage, and is told: it must not end the loop that
  // receives what other peers send.
  bool TakeDatagram(std::string_view aBytes);
  std::optional<std::string> TakeRequest(std::string_view aBytes);
  void Tell(std::string_view aEvent) const
  {
    if (mHandlers.mOnEvent) {
      mHandlers.mOnEvent(aEvent);
    }
  }

  // Peers' connections: those that wait for a request, the one that has waited
  // longest first, and those with one.
  served_list mWaiting;
  served_list mInUse;
  std::map<std::string, std::deque<idle_connection>> mIdle;
  std::size_t mIdleCount = 0;
  bool mClosed = false;
};

result<void>
peer_transport::shared::Open()
{
  BOOST_LEAF_AUTO(address, ParseAddress(mSettings.mAddress));
  const auto host = asio::ip::make_address(address.mHost);
  error_code wrong;
  const auto stepFailed = [&wrong](const auto& aStep) {
    aStep();
    return static_cast<bool>(wrong);
  };
  const tcp::endpoint listen(host, address.mPort);
  const bool failed =
    stepFailed([&] { mAcceptor.open(listen.protocol(), wrong); }) ||
    stepFailed([&] {
      mAcceptor.set_option(tcp::acceptor::reuse_address(true), wrong);
    }) ||
    stepFailed([&] {
      mAcceptor.set_option(
        asio::socket_base::receive_buffer_size(mSettings.mSocketReceiveBytes),
        wrong);
    }) ||
    stepFailed([&] { mAcceptor.bind(listen, wrong); }) || stepFailed([&] {
      mAcceptor.listen(tcp::acceptor::max_listen_connections, wrong);
    });
  if (failed) {
    return Fail(error_kind::kInternal, "peer port: " + wrong.message());
  }
  const udp::endpoint receive(host, mAcceptor.local_endpoint().port());
  if (stepFailed([&] { mDatagrams.open(receive.protocol(), wrong); }) ||
      stepFailed([&] { mDatagrams.bind(receive, wrong); }) ||
      stepFailed([&] { mDatagrams.non_blocking(true, wrong); })) {
    return Fail(error_kind::kInternal, "peer datagrams: " + wrong.message());
  }
  const auto self = shared_from_this();
  const auto hold = [self](const std::exception_ptr&) {};
  asio::co_spawn(mIo, ReceiveDatagrams(), hold);
  asio::co_spawn(mIo, Accept(), hold);
  return {};
}

void
peer_transport::shared::Close()
{
  mClosed = true;
  error_code ignored;
  mAcceptor.close(ignored);
  mDatagrams.close(ignored);
  for (served_list* list : { &mWaiting, &mInUse }) {
    for (served_connection& each : *list) {
      each.mStream.socket().close(ignored);
    }
  }
  mIdle.clear();
  mIdleCount = 0;
}

std::string
peer_transport::shared::LocalAddress() const
{
  error_code wrong;
  const auto local = mAcceptor.local_endpoint(wrong);
  if (wrong) {
    return {};
  }
  const std::string host = local.address().to_string();
  return (local.address().is_v6() ? "[" + host + "]" : host) + ":" +
         std::to_string(local.port());
}

void
peer_transport::shared::SendDatagram(const std::string& aAddress,
                                     std::string_view aBytes)
{
  error_code wrong = asio::error::invalid_argument;
  if (const auto address = ParseAddress(aAddress)) {
    const udp::endpoint to(asio::ip::make_address(address->mHost),
                           address->mPort);
    mDatagrams.send_to(
      asio::buffer(aBytes.data(), aBytes.size()), to, 0, wrong);
  }
  if (wrong) {
    ++mCounters.mDatagramsUnsent;
    return;
  }
  ++mCounters.mDatagramsOut;
  mCounters.mBytesOut += aBytes.size();
}

bool
peer_transport::shared::TakeDatagram(std::string_view aBytes)
{
  try {
    return mHandlers.mOnDatagram(aBytes);
  } catch (const std::exception&) {
    Tell("peer_fault");
    return false;
  }
}

std::optional<std::string>
peer_transport::shared::TakeRequest(std::string_view aBytes)
{
  try {
    return mHandlers.mOnRequest(aBytes);
  } catch (const std::exception&) {
    Tell("peer_fault");
    return std::nullopt;
  }
}

asio::awaitable<void>
peer_transport::shared::ReceiveDatagrams()
{
  // One byte more than allowed, so that a longer datagram is told from a
  // longest one.
  std::vector<char> buffer(mSettings.mMaxDatagramBytes + 1);
  while (!mClosed) {
    udp::endpoint from;
    error_code wrong;
    const std::size_t size = co_await mDatagrams.async_receive_from(
      asio::buffer(buffer), from, Into(wrong));
    if (mClosed) {
      co_return;
    }
    if (wrong) {
      // A peer's port was closed; that concerns the datagram sent to it only.
      continue;
    }
    ++mCounters.mDatagramsIn;
    mCounters.mBytesIn += size;
    if (size > mSettings.mMaxDatagramBytes ||
        !TakeDatagram({ buffer.data(), size })) {
      ++mCounters.mGarbage;
    }
  }
}

asio::awaitable<void>
peer_transport::shared::Accept()
{
  const auto self = shared_from_this();
  while (!mClosed) {
    error_code wrong;
    tcp::socket socket = co_await mAcceptor.async_accept(Into(wrong));
    if (mClosed) {
      co_return;
    }
    if (wrong) {
      asio::steady_timer pause(mIo, kAcceptAgainAfter);
      co_await pause.async_wait(Into(wrong));
      continue;
    }
    const std::size_t served = mWaiting.size() + mInUse.size();
    if (served >= mSettings.mMaxConnections && !MakeRoom()) {
      ++mCounters.mConnectionsRefused;
      Tell("peer_connection_refused");
      continue;
    }
    ++mCounters.mConnectionsAccepted;
    asio::co_spawn(
      mIo, Serve(std::move(socket)), [self](const std::exception_ptr&) {});
  }
}

asio::awaitable<void>
peer_transport::shared::Serve(tcp::socket aSocket)
{
  served_connection served(std::move(aSocket));
  co_await ServeRequests(served);
}

// Closes the connection that has waited longest for a request. Guards against
// silent connections that keep other instances out; a peer whose connection is
// closed makes a new one.
bool
peer_transport::shared::MakeRoom()
{
  if (mWaiting.empty()) {
    return false;
  }
  ++mCounters.mConnectionsGaveWay;
  Tell("peer_connection_gave_way");
  served_connection& oldest = mWaiting.front();
  oldest.unlink();
  error_code ignored;
  oldest.mStream.socket().close(ignored);
  return true;
}

asio::awaitable<void>
peer_transport::shared::ServeRequests(served_connection& aServed)
{
  beast::tcp_stream& stream = aServed.mStream;
  error_code ignored;
  stream.socket().set_option(tcp::no_delay(true), ignored);
  std::string request;
  while (!mClosed) {
    aServed.Enter(mWaiting);
    stream.expires_after(mSettings.mServeLimit);
    const frame_end end = co_await ReadFrame(
      stream, request, mSettings.mMaxRequestBytes, [](std::size_t) {});
    if (mClosed || end == frame_end::kBroken) {
      co_return;
    }
    aServed.Enter(mInUse);
    mCounters.mBytesIn += kHeadBytes + request.size();
    const auto answer =
      end == frame_end::kWhole ? TakeRequest(request) : std::nullopt;
    if (!answer) {
      ++mCounters.mGarbage;
      co_return;
    }
    stream.expires_after(mSettings.mServeLimit);
    if (!co_await WriteFrame(stream, *answer)) {
      co_return;
    }
    mCounters.mBytesOut += kHeadBytes + answer->size();
  }
}

void
peer_transport::shared::Exchange(std::string aAddress,
                                 std::string aRequest,
                                 exchange_limits aLimits,
                                 answer_handler aDone)
{
  ++mCounters.mExchanges;
  const auto deadline = steady_clock::now() + aLimits.mTimeout;
  call made{
    std::move(aAddress), std::move(aRequest), std::move(aLimits), deadline
  };
  const auto self = shared_from_this();
  asio::co_spawn(mIo,
                 RunExchange(std::move(made), std::move(aDone)),
                 [self](const std::exception_ptr&) {});
}

asio::awaitable<void>
peer_transport::shared::RunExchange(call aCall, answer_handler aDone)
{
  // The caller must not be called back from inside its own call.
  co_await asio::post(mIo, asio::use_awaitable);
  auto answer = co_await Ask(aCall);
  if (mClosed) {
    co_return;
  }
  if (!answer) {
    ++mCounters.mExchangesFailed;
  }
  aDone(std::move(answer));
}

asio::awaitable<std::optional<std::string>>
peer_transport::shared::Ask(const call& aCall)
{
  if (stream_pointer used = TakeIdle(aCall.mAddress)) {
    const auto now = steady_clock::now();
    auto answer =
      co_await AskOn(*used, aCall, now + (aCall.mDeadline - now) / 2);
    if (answer) {
      KeepIdle(aCall.mAddress, std::move(used));
      co_return answer;
    }
    if (const auto siblings = mIdle.find(aCall.mAddress);
        siblings != mIdle.end()) {
      mIdleCount -= siblings->second.size();
      mIdle.erase(siblings);
    }
    // The peer closed it, as it may, or it went silent: a new one gets what is
    // left of the time.
    if (mClosed || steady_clock::now() >= aCall.mDeadline) {
      co_return std::nullopt;
    }
  }
  stream_pointer fresh = co_await Connect(aCall);
  if (!fresh || mClosed) {
    co_return std::nullopt;
  }
  auto answer = co_await AskOn(*fresh, aCall, aCall.mDeadline);
  if (answer) {
    KeepIdle(aCall.mAddress, std::move(fresh));
  }
  co_return answer;
}

asio::awaitable<std::optional<std::string>>
peer_transport::shared::AskOn(beast::tcp_stream& aStream,
                              const call& aCall,
                              steady_clock::time_point aDeadline)
{
  aStream.expires_at(aDeadline);
  if (!co_await WriteFrame(aStream, aCall.mRequest)) {
    co_return std::nullopt;
  }
  mCounters.mBytesOut += kHeadBytes + aCall.mRequest.size();
  const auto onBytes = [&](std::size_t aBytes) {
    if (aCall.mLimits.mMostPause > duration::zero()) {
      aStream.expires_after(aCall.mLimits.mMostPause);
    }
    if (aCall.mLimits.mOnBytes) {
      aCall.mLimits.mOnBytes(aBytes);
    }
  };
  std::string answer;
  const frame_end end =
    co_await ReadFrame(aStream, answer, mSettings.mMaxAnswerBytes, onBytes);
  if (end == frame_end::kTooLong) {
    ++mCounters.mGarbage;
  }
  if (end != frame_end::kWhole) {
    co_return std::nullopt;
  }
  mCounters.mBytesIn += kHeadBytes + answer.size();
  co_return answer;
}

asio::awaitable<peer_transport::shared::stream_pointer>
peer_transport::shared::Connect(const call& aCall)
{
  const auto address = ParseAddress(aCall.mAddress);
  if (!address) {
    co_return nullptr;
  }
  auto stream = std::make_unique<beast::tcp_stream>(mIo);
  stream->expires_at(aCall.mDeadline);
  const tcp::endpoint where(asio::ip::make_address(address->mHost),
                            address->mPort);
  error_code wrong;
  co_await stream->async_connect(where, Into(wrong));
  if (wrong) {
    co_return nullptr;
  }
  stream->socket().set_option(tcp::no_delay(true), wrong);
  co_return stream;
}

peer_transport::shared::stream_pointer
peer_transport::shared::TakeIdle(const std::string& aAddress)
{
  const auto found = mIdle.find(aAddress);
  if (found == mIdle.end()) {
    return nullptr;
  }
  idle_connection latest = std::move(found->second.back());
  found->second.pop_back();
  --mIdleCount;
  const bool recent =
    steady_clock::now() - latest.mLastAnswer < mSettings.mReuseWithin;
  if (!recent) {
    // The others are older still.
    mIdleCount -= found->second.size();
    found->second.clear();
  }
  if (found->second.empty()) {
    mIdle.erase(found);
  }
  return recent ? std::move(latest.mStream) : nullptr;
}

void
peer_transport::shared::KeepIdle(const std::string& aAddress,
                                 stream_pointer aStream)
{
  if (mClosed) {
    return;
  }
  aStream->expires_never();
  auto& kept = mIdle[aAddress];
  kept.push_back({ std::move(aStream), steady_clock::now() });
  ++mIdleCount;
  if (kept.size() > mSettings.mMaxIdlePerPeer) {
    kept.pop_front();
    --mIdleCount;
  }
  if (mIdleCount > mSettings.mMaxIdle) {
    DropOldest();
  }
}

void
peer_transport::shared::DropOldest()
{
  const auto oldest =
    std::ranges::min_element(mIdle, {}, [](const auto& aEntry) {
      return aEntry.second.front().mLastAnswer;
    });
  oldest->second.pop_front();
  --mIdleCount;
  if (oldest->second.empty()) {
    mIdle.erase(oldest);
  }
}

peer_transport::peer_transport(asio::io_context& aIo,
                               peer_transport_settings aSettings,
                               peer_handlers aHandlers)
  : mShared(
      std::make_shared<shared>(aIo, std::move(aSettings), std::move(aHandlers)))
{
}

peer_transport::~peer_transport()
{
  mShared->Close();
}

result<void>
peer_transport::Open()
{
  return mShared->Open();
}

std::string
peer_transport::LocalAddress() const
{
  return mShared->LocalAddress();
}

void
peer_transport::SendDatagram(const std::string& aAddress,
                             std::string_view aBytes)
{
  mShared->SendDatagram(aAddress, aBytes);
}

void
peer_transport::Exchange(const std::string& aAddress,
                         std::string aRequest,
                         exchange_limits aLimits,
                         answer_handler aDone)
{
  mShared->Exchange(
    aAddress, std::move(aRequest), std::move(aLimits), std::move(aDone));
}

const peer_counters&
peer_transport::Counters() const
{
  return mShared->mCounters;
}

} // namespace thornhollow
