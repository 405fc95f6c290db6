#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "thornhollow/net/peer_transport.h"

namespace thornhollow {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Long enough that only a fault reaches it.
constexpr duration kAmple = Seconds(60);

struct two_daemons
{
  asio::io_context mIo;
  peer_transport_settings mSettings{ .mAddress = "127.0.0.1:0" };
  std::string mLastDatagram;
  int mFaults = 0;
  std::unique_ptr<peer_transport> mLeft = Make();
  std::unique_ptr<peer_transport> mRight = Make();

  std::unique_ptr<peer_transport> Make()
  {
    peer_handlers handlers;
    handlers.mOnEvent = [this](std::string_view aEvent) {
      mFaults += aEvent == "peer_fault" ? 1 : 0;
    };
    handlers.mOnDatagram = [this](std::string_view aBytes) {
      if (aBytes == "throws") {
        throw std::length_error("thrown");
      }
      mLastDatagram = aBytes;
      return aBytes != "garbage";
    };
    handlers.mOnRequest =
      [](std::string_view aBytes) -> std::optional<std::string> {
      if (aBytes == "garbage") {
        return std::nullopt;
      }
      if (aBytes == "throws") {
        throw std::length_error("thrown");
      }
      return "answer to " + std::string(aBytes);
    };
    auto made = std::make_unique<peer_transport>(mIo, mSettings, handlers);
    REQUIRE(made->Open());
    return made;
  }

  template<class predicate>
  void RunTill(predicate aDone)
  {
    while (!aDone()) {
      mIo.run_one();
    }
  }

  std::optional<std::string> Ask(const std::string& aTo,
                                 const std::string& aRequest,
                                 duration aTimeout = kAmple)
  {
    return Ask(aTo, aRequest, exchange_limits{ .mTimeout = aTimeout });
  }

  std::optional<std::string> Ask(const std::string& aTo,
                                 const std::string& aRequest,
                                 const exchange_limits& aLimits)
  {
    std::optional<std::optional<std::string>> outcome;
    mLeft->Exchange(aTo, aRequest, aLimits, [&](auto aAnswer) {
      outcome = std::move(aAnswer);
    });
    RunTill([&] { return outcome.has_value(); });
    return *outcome;
  }

  tcp::endpoint RightEndpoint() const
  {
    const std::string address = mRight->LocalAddress();
    const auto port = std::stoi(address.substr(address.rfind(':') + 1));
    return { asio::ip::make_address("127.0.0.1"),
             static_cast<std::uint16_t>(port) };
  }
};

TEST_CASE_FIXTURE(two_daemons, "peer_transport/datagram/arrives")
{
  mLeft->SendDatagram(mRight->LocalAddress(), "news");
  RunTill([&] { return mRight->Counters().mDatagramsIn == 1; });
  CHECK(mLastDatagram == "news");
  CHECK(mRight->Counters().mGarbage == 0);
}

TEST_CASE_FIXTURE(two_daemons, "peer_transport/garbage_datagrams/are_counted")
{
  mLeft->SendDatagram(mRight->LocalAddress(), "garbage");
  mLeft->SendDatagram(mRight->LocalAddress(), std::string(1201, 'x'));
  mLeft->SendDatagram(mRight->LocalAddress(), std::string(1200, 'x'));
  RunTill([&] { return mRight->Counters().mDatagramsIn == 3; });
  CHECK(mRight->Counters().mGarbage == 2);
  mLeft->SendDatagram("no address", "news");
  CHECK(mLeft->Counters().mDatagramsUnsent == 1);
}

// Guards against an exception of one message that ends the receiving of all.
TEST_CASE_FIXTURE(two_daemons, "peer_transport/handler_throws/others_go_on")
{
  mLeft->SendDatagram(mRight->LocalAddress(), "throws");
  mLeft->SendDatagram(mRight->LocalAddress(), "news");
  RunTill([&] { return mLastDatagram == "news"; });
  CHECK(mFaults == 1);
  CHECK_FALSE(Ask(mRight->LocalAddress(), "throws").has_value());
  CHECK(mFaults == 2);
  CHECK(Ask(mRight->LocalAddress(), "one") == "answer to one");
}

TEST_CASE_FIXTURE(two_daemons, "peer_transport/exchanges/share_a_connection")
{
  const std::string right = mRight->LocalAddress();
  CHECK(Ask(right, "one") == "answer to one");
  CHECK(Ask(right, "two") == "answer to two");
  CHECK(Ask(right, std::string(4096, 'x')).has_value());
  CHECK(mRight->Counters().mConnectionsAccepted == 1);
}

TEST_CASE_FIXTURE(two_daemons, "peer_transport/long_unused/is_not_used_again")
{
  mSettings.mReuseWithin = duration::zero();
  mLeft = Make();
  CHECK(Ask(mRight->LocalAddress(), "one").has_value());
  CHECK(Ask(mRight->LocalAddress(), "two").has_value());
  CHECK(mRight->Counters().mConnectionsAccepted == 2);
}

TEST_CASE_FIXTURE(two_daemons, "peer_transport/peer_restarted/is_asked_anew")
{
  // The peer is replaced at its address; the connection kept to the old process
  // breaks at the next request. That must not look like an unreachable witness.
  const std::string right = mRight->LocalAddress();
  CHECK(Ask(right, "one").has_value());
  mRight.reset();
  mSettings.mAddress = right;
  mRight = Make();
  CHECK(Ask(right, "two") == "answer to two");
}

TEST_CASE_FIXTURE(two_daemons, "peer_transport/silent_peer/ends_in_time")
{
  // Connections to a peer are accepted and swallowed. Without a limit on the
  // exchange, a submission would wait for its witness for good.
  tcp::acceptor silent(mIo, { asio::ip::make_address("127.0.0.1"), 0 });
  const std::string where =
    "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  CHECK_FALSE(Ask(where, "one", Milliseconds(20)).has_value());
  CHECK(mLeft->Counters().mExchangesFailed == 1);
}

TEST_CASE_FIXTURE(two_daemons, "peer_transport/used_one_goes_silent/asks_anew")
{
  // Something between two daemons loses track of a connection: it accepts bytes
  // and brings nothing back, while new connections work. A witness behind it
  // must not look unreachable.
  tcp::acceptor listener(mIo, { asio::ip::make_address("127.0.0.1"), 0 });
  const std::string where =
    "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
  const std::string frame("\0\0\0\1a", 5);
  tcp::socket first(mIo);
  tcp::socket second(mIo);
  const auto answer = [&frame](tcp::socket& aSocket) {
    asio::async_write(
      aSocket, asio::buffer(frame), [](const auto&, std::size_t) {});
  };
  listener.async_accept(first, [&](const auto&) {
    answer(first);
    listener.async_accept(second, [&](const auto&) { answer(second); });
  });
  CHECK(Ask(where, "one") == "a");
  CHECK(Ask(where, "two", Seconds(3)) == "a");
  CHECK(second.is_open());
}

// Sends a frame of `kPieces` bytes, one every 150 ms.
struct slow_sender
{
  static constexpr std::size_t kPieces = 10;

  explicit slow_sender(tcp::socket& aTo)
    : mTo(aTo)
    , mTimer(aTo.get_executor())
  {
  }

  void SendNext(std::size_t aUpTo)
  {
    asio::write(mTo, asio::buffer(mFrame.data() + mSent, 1));
    if (++mSent == aUpTo) {
      return;
    }
    mTimer.expires_after(Milliseconds(150));
    mTimer.async_wait([this, aUpTo](const auto&) { SendNext(aUpTo); });
  }

  tcp::socket& mTo;
  asio::steady_timer mTimer;
  std::string mFrame = std::string("\0\0\0\x0a", 4) + std::string(kPieces, 'x');
  std::size_t mSent = 0;
};

// Guards against a large copy that never comes whole, as its transfer takes
// longer than an answer is waited for.
TEST_CASE_FIXTURE(two_daemons, "peer_transport/slow_answer/is_waited_for")
{
  tcp::acceptor listener(mIo, { asio::ip::make_address("127.0.0.1"), 0 });
  tcp::socket peer(mIo);
  slow_sender condition(peer);
  listener.async_accept(
    peer, [&](const auto&) { condition.SendNext(condition.mFrame.size()); });
  std::size_t parts = 0;
  exchange_limits limits;
  limits.mTimeout = Seconds(1);
  limits.mMostPause = Seconds(1);
  limits.mOnBytes = [&parts](std::size_t) { ++parts; };
  const auto result =
    Ask("127.0.0.1:" + std::to_string(listener.local_endpoint().port()),
        "one",
        limits);
  CHECK(result == std::string(slow_sender::kPieces, 'x'));
  CHECK(parts > 1);
}

// Guards against waiting for good for an answer that stopped in its middle.
TEST_CASE_FIXTURE(two_daemons, "peer_transport/answer_that_stops/ends_in_time")
{
  tcp::acceptor listener(mIo, { asio::ip::make_address("127.0.0.1"), 0 });
  tcp::socket peer(mIo);
  slow_sender condition(peer);
  listener.async_accept(peer, [&](const auto&) { condition.SendNext(6); });
  exchange_limits limits;
  limits.mTimeout = Seconds(1);
  limits.mMostPause = Milliseconds(100);
  CHECK_FALSE(
    Ask("127.0.0.1:" + std::to_string(listener.local_endpoint().port()),
        "one",
        limits)
      .has_value());
}

TEST_CASE_FIXTURE(two_daemons, "peer_transport/nobody_listens/fails")
{
  const std::string right = mRight->LocalAddress();
  mRight.reset();
  CHECK_FALSE(Ask(right, "one").has_value());
  CHECK_FALSE(Ask("no address", "one").has_value());
}

TEST_CASE_FIXTURE(two_daemons, "peer_transport/forged_length/ends_connection")
{
  // Someone sends a length of four gigabytes; memory for it must not be taken.
  tcp::socket raw(mIo);
  raw.connect(RightEndpoint());
  asio::write(raw, asio::buffer(std::string("\xff\xff\xff\xff", 4)));
  RunTill([&] { return mRight->Counters().mGarbage == 1; });
  CHECK_FALSE(Ask(mRight->LocalAddress(), "garbage").has_value());
  // Asked on a new connection a second time: none was kept, so only once here.
  CHECK(mRight->Counters().mGarbage == 2);
  CHECK(Ask(mRight->LocalAddress(), "one").has_value());
}

// Guards against silent connections that keep peers out.
TEST_CASE_FIXTURE(two_daemons, "peer_transport/too_many_silent/give_way")
{
  mSettings.mMaxConnections = 1;
  mRight = Make();
  tcp::socket first(mIo);
  first.connect(RightEndpoint());
  RunTill([&] { return mRight->Counters().mConnectionsAccepted == 1; });
  CHECK(Ask(mRight->LocalAddress(), "one").has_value());
  CHECK(mRight->Counters().mConnectionsGaveWay == 1);
  CHECK(mRight->Counters().mConnectionsRefused == 0);
  error_code closed;
  char byte = 0;
  first.read_some(asio::buffer(&byte, 1), closed);
  CHECK(closed);
}

TEST_CASE_FIXTURE(two_daemons, "peer_transport/too_many_in_use/are_refused")
{
  mSettings.mMaxConnections = 1;
  mRight = Make();
  // Its answers aren't read, so that one of them is always being written.
  tcp::socket first(mIo);
  first.open(tcp::v4());
  first.set_option(asio::socket_base::receive_buffer_size(4096));
  first.connect(RightEndpoint());
  constexpr std::size_t kRequests = 4'000;
  std::string requests;
  for (std::size_t each = 0; each < kRequests; ++each) {
    requests += std::string("\0\0\x0f\xa0", 4) + std::string(4'000, 'x');
  }
  asio::async_write(
    first, asio::buffer(requests), [](const error_code&, std::size_t) {});
  std::uint64_t before = 0;
  do {
    before = mRight->Counters().mBytesIn;
    mIo.run_for(Milliseconds(100));
  } while (before == 0 || mRight->Counters().mBytesIn != before);
  CHECK_FALSE(Ask(mRight->LocalAddress(), "one").has_value());
  CHECK(mRight->Counters().mConnectionsRefused == 1);
  CHECK(mRight->Counters().mConnectionsGaveWay == 0);
}

} // namespace
} // namespace thornhollow
