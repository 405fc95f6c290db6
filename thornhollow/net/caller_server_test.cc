#include <array>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "thornhollow/net/address.h"
#include "thornhollow/net/caller_server.h"

namespace thornhollow {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

// A caller whose calls don't wait; the test runs the server between them.
class caller
{
public:
  caller(asio::io_context& aIo, const std::string& aAddress)
    : mSocket(aIo)
  {
    const auto address = ParseAddress(aAddress).value();
    mSocket.connect({ asio::ip::make_address(address.mHost), address.mPort });
    mSocket.non_blocking(true);
  }

  void Write(const std::string& aText)
  {
    asio::write(mSocket, asio::buffer(aText));
  }

  // All that has come; "(closed)" at its end once the connection is.
  std::string Read()
  {
    std::array<char, 4096> bytes{};
    boost::system::error_code wrong;
    while (!wrong) {
      const std::size_t got = mSocket.read_some(asio::buffer(bytes), wrong);
      mRead.append(bytes.data(), got);
    }
    if (wrong == asio::error::would_block) {
      return mRead;
    }
    return mRead +
           (wrong == asio::error::connection_reset ? "(reset)" : "(closed)");
  }

  // Sends nothing more, and reads on.
  void CloseSendingSide() { mSocket.shutdown(tcp::socket::shutdown_send); }

private:
  tcp::socket mSocket;
  std::string mRead;
};

std::size_t
Answers(const std::string& aText)
{
  const std::string mark = "HTTP/1.1 200";
  std::size_t count = 0;
  for (auto at = aText.find(mark); at != std::string::npos;
       at = aText.find(mark, at + 1)) {
    ++count;
  }
  return count;
}

class condition
{
public:
  condition()
    : mSubject(
        mIo,
        // Real time has no part in what is tested.
        server_limits{ .mFirstRequestComes = Seconds(3'600) },
        [this](const caller_exchange_ptr& aOne) { mHeld.push_back(aOne); },
        [](error_kind) {
          return whole_reply{ 400, {}, {}, {} };
        })
    , mAddress(mSubject.Listen("127.0.0.1:0").value())
  {
  }

  // Begins a stream for the one request that is held; another server's.
  caller_exchange_ptr BeginStream(bool aOpenEnded)
  {
    Settle();
    REQUIRE(mHeld.size() == 1);
    auto stream = std::exchange(mHeld, {}).front();
    stream->Send(stream_head{ {}, 200, true, aOpenEnded });
    stream->Send(stream_text{ "data: x\n\n" });
    Settle();
    return stream;
  }

  // Lets the server do all that it can do now.
  void Settle()
  {
    for (int round = 0; round < 20; ++round) {
      mIo.restart();
      mIo.poll();
    }
  }

  void AnswerAll()
  {
    for (const auto& each : std::exchange(mHeld, {})) {
      each->Send(
        whole_reply{ .mHeaders = {}, .mContentType = "", .mBody = "x" });
    }
    Settle();
  }

  asio::io_context mIo;
  std::vector<caller_exchange_ptr> mHeld;
  caller_server mSubject;
  std::string mAddress;
};

// Has one request answered on a kept connection, and sends the next.
void
AskAgain(condition& aAt, caller& aCaller)
{
  aCaller.Write(kRequest);
  aAt.Settle();
  aAt.AnswerAll();
  REQUIRE(Answers(aCaller.Read()) == 1);
  aCaller.Write(kRequest);
}

// While an instance stops, callers that don't know yet still connect. The
// server closed each connection that had no request so far, also one that was
// accepted a moment ago: its request, on its way, ran into a closed connection.
TEST_CASE("a connection that was just opened has its first request served")
{
  condition at;
  caller one(at.mIo, at.mAddress);
  at.Settle();
  at.mSubject.BeginDrain();
  at.Settle();
  CHECK(at.mSubject.Busy());
  one.Write(kRequest);
  at.Settle();
  REQUIRE(at.mHeld.size() == 1);
  at.AnswerAll();
  const std::string result = one.Read();
  CHECK(Answers(result) == 1);
  CHECK(result.find("Connection: close") != std::string::npos);
  CHECK_FALSE(at.mSubject.Busy());
}

// A request arrived on a kept connection in the moment in which the stopping
// server closed what was idle. Its bytes were read, the request was run, and
// the connection was closed: the caller saw no answer to a request that ran.
// The closing falls on each step between the bytes' arrival and their reading.
TEST_CASE("a request that meets the closing of idle connections is answered")
{
  for (int steps = 0; steps < 8; ++steps) {
    CAPTURE(steps);
    condition at;
    caller one(at.mIo, at.mAddress);
    AskAgain(at, one);
    at.mIo.restart();
    for (int step = 0; step < steps; ++step) {
      at.mIo.poll_one();
    }
    at.mSubject.BeginDrain();
    at.Settle();
    REQUIRE(at.mHeld.size() == 1);
    at.AnswerAll();
    CHECK(Answers(one.Read()) == 2);
  }
}

// The same, with the closing queued between the reading and its handler.
TEST_CASE("a request that was read but not yet seen is answered")
{
  for (int posts = 0; posts < 4; ++posts) {
    CAPTURE(posts);
    condition at;
    caller one(at.mIo, at.mAddress);
    AskAgain(at, one);
    std::function<void(int)> later = [&](int aLeft) {
      if (aLeft == 0) {
        at.mSubject.BeginDrain();
      } else {
        asio::post(at.mIo, [&later, aLeft] { later(aLeft - 1); });
      }
    };
    later(posts);
    at.Settle();
    REQUIRE(at.mHeld.size() == 1);
    at.AnswerAll();
    CHECK(Answers(one.Read()) == 2);
  }
}

TEST_CASE("an idle connection is closed and no longer counts")
{
  condition at;
  caller one(at.mIo, at.mAddress);
  one.Write(kRequest);
  at.Settle();
  at.AnswerAll();
  CHECK_FALSE(at.mSubject.Busy());
  at.mSubject.BeginDrain();
  at.Settle();
  CHECK(one.Read().ends_with("(closed)"));
}

TEST_CASE("an interim reply precedes the answer")
{
  condition at;
  caller one(at.mIo, at.mAddress);
  one.Write(kRequest);
  at.Settle();
  REQUIRE(at.mHeld.size() == 1);
  at.mHeld.front()->Send(interim_reply{ { { "X-Sent", "2" } } });
  at.Settle();
  at.AnswerAll();
  const std::string result = one.Read();
  CHECK(result.starts_with(
    "HTTP/1.1 102 Processing\r\nX-Sent: 2\r\n\r\nHTTP/1.1 200 "));
}

// An answer's head had told its caller that the connection stays open. The
// stop came before the answer's end, and the connection was closed after it: a
// next request, sent meanwhile as it was told it might, got no answer.
TEST_CASE("an answer that promised to stay open is followed by one more")
{
  condition at;
  caller one(at.mIo, at.mAddress);
  one.Write(kRequest);
  at.Settle();
  REQUIRE(at.mHeld.size() == 1);
  const auto stream = at.mHeld.front();
  at.mHeld.clear();
  stream->Send(stream_head{});
  at.Settle();
  at.mSubject.CloseAfterAnswers();
  one.Write(kRequest);
  stream->Send(stream_end{});
  at.Settle();
  REQUIRE(at.mHeld.size() == 1);
  at.AnswerAll();
  const std::string result = one.Read();
  CHECK(Answers(result) == 2);
  CHECK(result.ends_with("(closed)"));
}

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// An answer that ended with its endpoint's connection, broken off or not, had a
// length or a last chunk when its caller got it.
TEST_CASE("an open-ended answer gets no framing, and its connection ends")
{
  condition at;
  caller one(at.mIo, at.mAddress);
  one.Write(kRequest);
  at.Settle();
  REQUIRE(at.mHeld.size() == 1);
  at.mHeld.front()->Send(whole_reply{ 200, {}, "", "all", true });
  at.Settle();
  const std::string result = one.Read();
  CHECK_FALSE(Has(result, "Content-Length"));
  CHECK_FALSE(Has(result, "Transfer-Encoding"));
  CHECK(Has(result, "Connection: close"));
  CHECK(result.ends_with("\r\n\r\nall(closed)"));
}

TEST_CASE("an open-ended stream ends with its connection")
{
  condition at;
  caller one(at.mIo, at.mAddress);
  one.Write(kRequest);
  const auto stream = at.BeginStream(true);
  stream->Send(stream_end{});
  at.Settle();
  const std::string result = one.Read();
  CHECK_FALSE(Has(result, "Transfer-Encoding"));
  CHECK(Has(result, "Connection: close"));
  CHECK(result.ends_with("\r\n\r\ndata: x\n\n(closed)"));
}

// Without chunks an orderly close would tell the caller that all is there.
TEST_CASE("an open-ended stream that is broken off is reset")
{
  condition at;
  caller one(at.mIo, at.mAddress);
  one.Write(kRequest);
  const auto stream = at.BeginStream(true);
  stream->Send(stream_abort{});
  at.Settle();
  CHECK(one.Read().ends_with("(reset)"));
}

// A caller that closed its sending side read a last chunk under half a stream.
TEST_CASE("a stream of another server gets no end when its caller half-closes")
{
  for (const bool isOpenEnded : { false, true }) {
    CAPTURE(isOpenEnded);
    condition at;
    caller one(at.mIo, at.mAddress);
    one.Write(kRequest);
    const auto stream = at.BeginStream(isOpenEnded);
    one.CloseSendingSide();
    at.Settle();
    const std::string result = one.Read();
    CHECK_FALSE(Has(result, "event: error"));
    CHECK_FALSE(Has(result, "\r\n0\r\n"));
    CHECK(result.ends_with(isOpenEnded ? "(reset)" : "(closed)"));
  }
}

// The process ended as soon as no answer was in progress. A request of which
// half had been read was not counted, and its connection closed on it.
TEST_CASE("a request that is being read keeps the server busy")
{
  condition at;
  caller one(at.mIo, at.mAddress);
  one.Write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  at.Settle();
  CHECK(at.mSubject.Busy());
  CHECK(at.mHeld.empty());
  at.mSubject.BeginDrain();
  one.Write("cd");
  at.Settle();
  at.AnswerAll();
  CHECK(Answers(one.Read()) == 1);
}

// Connections that the kernel has accepted are reset when the listening socket
// closes. A caller that had just connected was cut off before it was heard.
TEST_CASE("connections that wait to be accepted are served at the end")
{
  condition at;
  at.Settle();
  caller one(at.mIo, at.mAddress);
  one.Write(kRequest);
  at.mSubject.StopListening();
  CHECK(at.mSubject.Busy());
  at.Settle();
  REQUIRE(at.mHeld.size() == 1);
  at.AnswerAll();
  CHECK(Answers(one.Read()) == 1);
}

} // namespace
} // namespace thornhollow
