#include <array>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include "thornhollow/net/address.h"
#include "thornhollow/net/caller_server.h"

namespace thornhollow {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kServed = 4;
const std::string kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

server_limits
SmallLimits()
{
  server_limits limits;
  limits.mMaxHeaderBytes = 1024;
  limits.mMaxHeaderFields = 16;
  limits.mMaxBodyBytes = 4096;
  limits.mMaxConnections = kServed;
  limits.mMaxClosing = 4;
  limits.mMaxRoomWait = Milliseconds(50);
  return limits;
}

// A server that takes few connections, whose handler keeps each request.
class crowded_server
{
public:
  using connection = std::unique_ptr<tcp::socket>;

  crowded_server()
    : mServer(
        mIo,
        SmallLimits(),
        [this](const caller_exchange_ptr& aOne) { mHeld.push_back(aOne); },
        [](error_kind aKind) {
          return whole_reply{ AnswerFor(aKind).mHttpStatus, {}, "", "" };
        })
    , mAddress(mServer.Listen("127.0.0.1:0").value())
  {
    mServer.SetMemory(mMemory);
    mServer.OnFault([this](std::string_view) { ++mFaults; });
    mServer.OnEvent([this](server_event aEvent) {
      mGaveWay += aEvent == server_event::kGaveWay ? 1 : 0;
    });
  }

  connection Connect()
  {
    const auto address = ParseAddress(mAddress).value();
    auto made = std::make_unique<tcp::socket>(mIo);
    made->connect({ asio::ip::make_address(address.mHost), address.mPort });
    made->non_blocking(true);
    Settle();
    return made;
  }

  void Settle()
  {
    for (int round = 0; round < 10; ++round) {
      mIo.restart();
      mIo.poll();
    }
  }

  // What has come; "(closed)" at its end once the connection is.
  std::string Read(tcp::socket& aFrom)
  {
    Settle();
    std::string read;
    std::array<char, 4096> bytes{};
    error_code wrong;
    while (!wrong) {
      const std::size_t got = aFrom.read_some(asio::buffer(bytes), wrong);
      read.append(bytes.data(), got);
    }
    return wrong == asio::error::would_block ? read : read + "(closed)";
  }

  void Write(tcp::socket& aTo, const std::string& aText)
  {
    error_code ignored;
    aTo.write_some(asio::buffer(aText), ignored);
    Settle();
  }

  void Answer(const caller_exchange_ptr& aOne)
  {
    aOne->Send(whole_reply{ 200, {}, "", "x" });
    Settle();
  }

  asio::io_context mIo;
  memory_account_ptr mMemory{ new memory_account({ 32'768, 32'768 }) };
  std::vector<caller_exchange_ptr> mHeld;
  int mFaults = 0;
  int mGaveWay = 0;
  caller_server mServer;
  std::string mAddress;
};

// Guards against silent connections that keep callers out.
TEST_CASE_FIXTURE(crowded_server,
                  "crowded_server: all are silent, the oldest gives way")
{
  std::vector<connection> silent;
  for (std::size_t each = 0; each < kServed; ++each) {
    silent.push_back(Connect());
  }
  const connection caller = Connect();
  Write(*caller, kRequest);
  REQUIRE(mHeld.size() == 1);
  Answer(mHeld.front());
  CHECK(Read(*caller).starts_with("HTTP/1.1 200"));
  CHECK(Read(*silent.front()) == "(closed)");
  CHECK(Read(*silent.back()).empty());
  CHECK(mGaveWay == 1);
}

// Guards against requests in progress that give way to a crowd.
TEST_CASE_FIXTURE(crowded_server,
                  "crowded_server: all have requests, the new one is refused")
{
  std::vector<connection> callers;
  for (std::size_t each = 0; each < kServed; ++each) {
    callers.push_back(Connect());
    Write(*callers.back(), kRequest);
  }
  REQUIRE(mHeld.size() == kServed);
  const connection late = Connect();
  CHECK(Read(*late).starts_with("HTTP/1.1 503"));
  for (const caller_exchange_ptr& each : mHeld) {
    Answer(each);
  }
  for (const connection& each : callers) {
    CHECK(Read(*each).starts_with("HTTP/1.1 200"));
  }
  CHECK(mGaveWay == 0);
}

// Guards against an idle connection that is closed although its caller may use
// it again.
TEST_CASE_FIXTURE(crowded_server,
                  "crowded_server: all are kept open, the new one is refused")
{
  std::vector<connection> callers;
  for (std::size_t each = 0; each < kServed; ++each) {
    callers.push_back(Connect());
    Write(*callers.back(), kRequest);
    Answer(mHeld.back());
  }
  const connection late = Connect();
  CHECK(Read(*late).starts_with("HTTP/1.1 503"));
  Write(*callers.front(), kRequest);
  CHECK(mHeld.size() == kServed + 1);
}

// Guards against fields that cost more than their bytes.
TEST_CASE_FIXTURE(crowded_server,
                  "crowded_server: a header of many fields, it is refused")
{
  const connection caller = Connect();
  std::string header = "GET /a HTTP/1.1\r\n";
  for (int each = 0; each < 17; ++each) {
    header += "A:1\r\n";
  }
  Write(*caller, header + "\r\n");
  CHECK(Read(*caller).starts_with("HTTP/1.1 431"));
  CHECK(mHeld.empty());
}

TEST_CASE_FIXTURE(crowded_server,
                  "crowded_server: a trailer of many fields, it is refused")
{
  const connection caller = Connect();
  std::string request =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
  for (int each = 0; each < 16; ++each) {
    request += "A:1\r\n";
  }
  Write(*caller, request + "\r\n");
  CHECK(Read(*caller).starts_with("HTTP/1.1 431"));
  CHECK(mHeld.empty());
}

// One crowd: connections that send pieces of requests and of anything else, and
// leave at any byte, while answers come in any order.
class crowd_search : public crowded_server
{
public:
  explicit crowd_search(std::uint32_t aSeed)
    : mRandom(aSeed)
  {
  }

  void Play()
  {
    constexpr int kSteps = 300;
    for (int step = 0; step < kSteps; ++step) {
      Step();
    }
    mCallers.clear();
    AnswerHeld();
  }

  // Waits for what ends by time: bodies that wait for room.
  bool EndsAtRest()
  {
    for (int round = 0; round < 200; ++round) {
      if (!mServer.Busy() && mMemory->Use().mBodies == 0 &&
          mMemory->Use().mAnswers == 0 && mMemory->Use().mWaiting == 0) {
        return true;
      }
      mIo.restart();
      mIo.run_for(Milliseconds(10));
      AnswerHeld();
    }
    return false;
  }

private:
  void AnswerHeld()
  {
    for (const caller_exchange_ptr& each : std::exchange(mHeld, {})) {
      Answer(each);
    }
  }

  std::size_t Below(std::size_t aEnd)
  {
    return std::uniform_int_distribution<std::size_t>(0, aEnd - 1)(mRandom);
  }

  void Step()
  {
    constexpr std::size_t kMostCallers = 16;
    const std::size_t action = Below(10);
    if (mCallers.empty() || (action == 0 && mCallers.size() < kMostCallers)) {
      mCallers.push_back(Connect());
      return;
    }
    const std::size_t which = Below(mCallers.size());
    tcp::socket& caller = *mCallers[which];
    if (action <= 5) {
      Write(caller, Piece());
    } else if (action == 6) {
      Read(caller);
    } else if (action == 7) {
      Leave(which);
    } else {
      AnswerOne();
    }
  }

  // A request as it may come: whole, many in one write, a part of it, or none.
  std::string Piece()
  {
    const std::string post = "POST /a HTTP/1.1\r\nContent-Length: 3000\r\n\r\n";
    const std::string chunked =
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::array<std::string, 8> pieces = {
      kRequest,
      post + std::string(3'000, 'b'),
      post + std::string(Below(3'000), 'b'),
      chunked + "5\r\nhello\r\n",
      "0\r\n\r\n",
      "GET /" + std::string(Below(2'000), 'a'),
      std::string(Below(5'000), static_cast<char>(Below(256))),
      Repeated(kRequest, Below(900)),
    };
    const std::string& piece = pieces[Below(pieces.size())];
    return Below(3) == 0 ? piece.substr(0, Below(piece.size() + 1)) : piece;
  }

  static std::string Repeated(const std::string& aText, std::size_t aCount)
  {
    std::string text;
    for (std::size_t each = 0; each < aCount; ++each) {
      text += aText;
    }
    return text;
  }

  void Leave(std::size_t aWhich)
  {
    error_code ignored;
    if (Below(2) == 0) {
      mCallers[aWhich]->set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (Below(4) == 0) {
      mCallers[aWhich]->shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    mCallers.erase(mCallers.begin() + static_cast<std::ptrdiff_t>(aWhich));
    Settle();
  }

  void AnswerOne()
  {
    if (mHeld.empty()) {
      return;
    }
    const std::size_t which = Below(mHeld.size());
    const caller_exchange_ptr one = mHeld[which];
    mHeld.erase(mHeld.begin() + static_cast<std::ptrdiff_t>(which));
    if (Below(2) == 0) {
      Answer(one);
      return;
    }
    one->Send(stream_head{ {}, 200, Below(2) == 0, Below(2) == 0 });
    one->Send(stream_text{ std::string(Below(100'000), 's') });
    one->Send(Below(2) == 0 ? reply_part(stream_end{})
                            : reply_part(stream_abort{}));
    Settle();
  }

  std::mt19937 mRandom;
  std::vector<connection> mCallers;
};

// Guards against bytes or moments of a connection that throw, or that keep room
// or a place after it has ended.
TEST_CASE("crowd_search: any bytes and moments, the server comes to rest and "
          "serves")
{
  constexpr std::uint32_t kSeeds = 60;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    crowd_search search(seed);
    REQUIRE_NOTHROW(search.Play());
    CHECK(search.mFaults == 0);
    REQUIRE(search.EndsAtRest());
    search.mHeld.clear();
    const auto caller = search.Connect();
    search.Write(*caller, kRequest);
    REQUIRE(search.mHeld.size() == 1);
    search.Answer(search.mHeld.front());
    CHECK(search.Read(*caller).starts_with("HTTP/1.1 200"));
  }
}

} // namespace
} // namespace thornhollow
