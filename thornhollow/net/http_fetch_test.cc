#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "thornhollow/net/http_fetch.h"
#include "thornhollow/net/internal/testing/broken_fields.h"

namespace thornhollow {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using net_internal::BrokenFieldLines;

// Makes the call to the listener; the outcome is set once it has ended.
std::shared_ptr<std::optional<fetch_outcome>>
StartCall(asio::io_context& aIo,
          const tcp::acceptor& aListener,
          fetch_call aCall)
{
  aCall.mAddress =
    "127.0.0.1:" + std::to_string(aListener.local_endpoint().port());
  aCall.mTarget = "/";
  auto outcome = std::make_shared<std::optional<fetch_outcome>>();
  Fetch(aIo, std::move(aCall), [outcome](fetch_outcome aOutcome) {
    *outcome = std::move(aOutcome);
  });
  return outcome;
}

fetch_outcome
MakeCall(asio::io_context& aIo,
         const tcp::acceptor& aListener,
         fetch_call aCall)
{
  const auto outcome = StartCall(aIo, aListener, std::move(aCall));
  while (!*outcome) {
    aIo.run_one();
  }
  return outcome->value();
}

// Answers one call with a body of ten bytes, one every 150 ms.
struct slow_server
{
  asio::io_context mIo;
  tcp::acceptor mListener{ mIo, { asio::ip::make_address("127.0.0.1"), 0 } };
  tcp::socket mCaller{ mIo };
  asio::steady_timer mTimer{ mIo };
  int mBodyBytes = 10;
  duration mBeginsAfter{};

  slow_server()
  {
    mListener.async_accept(mCaller, [this](const auto&) {
      mTimer.expires_after(mBeginsAfter);
      mTimer.async_wait([this](const auto&) {
        Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
        SendBody();
      });
    });
  }

  void Send(const std::string& aBytes)
  {
    asio::write(mCaller, asio::buffer(aBytes));
  }

  void SendBody()
  {
    if (mBodyBytes-- == 0) {
      return;
    }
    mTimer.expires_after(Milliseconds(150));
    mTimer.async_wait([this](const auto&) {
      Send("x");
      SendBody();
    });
  }

  fetch_outcome Ask(fetch_call aCall)
  {
    return MakeCall(mIo, mListener, std::move(aCall));
  }
};

// Guards against a large document that never comes whole, as its transfer takes
// longer than an answer is waited for.
TEST_CASE_FIXTURE(slow_server, "http_fetch/slow_answer/is_waited_for")
{
  fetch_call call;
  call.mTimeout = Seconds(1);
  call.mMostPause = Seconds(1);
  std::size_t parts = 0;
  call.mOnBytes = [&parts](std::size_t) { ++parts; };
  const auto result = Ask(call);
  REQUIRE(result.has_value());
  CHECK(result->mBody == "xxxxxxxxxx");
  CHECK(parts > 1);
}

// Guards against a large answer to a long poll that is given up for the time in
// which there was nothing to tell.
TEST_CASE_FIXTURE(slow_server, "http_fetch/long_poll/its_wait_does_not_count")
{
  mBeginsAfter = Seconds(3);
  fetch_call call;
  call.mTimeout = Seconds(30);
  call.mMostPause = Seconds(1);
  call.mLongest = Seconds(3);
  CHECK(Ask(call).has_value());
}

TEST_CASE_FIXTURE(slow_server, "http_fetch/no_pause_given/time_limit_is_whole")
{
  fetch_call call;
  call.mTimeout = Seconds(1);
  CHECK_FALSE(Ask(call).has_value());
}

// Guards against waiting for good for an answer that stopped in its middle, or
// that comes byte by byte for ever.
TEST_CASE_FIXTURE(slow_server, "http_fetch/answer_that_stops/ends_in_time")
{
  mBodyBytes = 5;
  fetch_call call;
  call.mMostPause = Milliseconds(100);
  CHECK_FALSE(Ask(call).has_value());
}

TEST_CASE_FIXTURE(slow_server, "http_fetch/too_long_in_all/ends_in_time")
{
  fetch_call call;
  call.mMostPause = Seconds(1);
  call.mLongest = Milliseconds(600);
  CHECK_FALSE(Ask(call).has_value());
}

// Answers each call with a text and closes the connection.
struct calls_answered_by_a_text
{
  asio::io_context mIo;
  tcp::acceptor mListener{ mIo, { asio::ip::make_address("127.0.0.1"), 0 } };

  fetch_outcome Ask(const std::string& aAnswer)
  {
    tcp::socket caller{ mIo };
    mListener.async_accept(caller, [&](const auto&) {
      asio::async_write(
        caller, asio::buffer(aAnswer), [&caller](const auto&, std::size_t) {
          caller.shutdown(tcp::socket::shutdown_send);
        });
    });
    return MakeCall(mIo, mListener, {});
  }
};

// A source or an endpoint in trouble counted as one that answers.
TEST_CASE_FIXTURE(calls_answered_by_a_text,
                  "http_fetch/each_status/only_existing_ones_are_answers")
{
  for (unsigned status = 0; status < 1000; ++status) {
    CAPTURE(status);
    const fetch_outcome outcome = Ask(
      fmt::format("HTTP/1.1 {:03} OK\r\nContent-Length: 0\r\n\r\n", status));
    CHECK(outcome.has_value() == (status >= 200 && status < 600));
  }
}

// A body that isn't the source's was read as its answer.
TEST_CASE_FIXTURE(calls_answered_by_a_text,
                  "http_fetch/line_that_is_no_field/is_no_answer")
{
  for (const std::string& line : BrokenFieldLines()) {
    CAPTURE(line);
    CHECK_FALSE(
      Ask("HTTP/1.1 200 OK\r\nX-Version: 1\r\n" + line + "\r\n{}").has_value());
  }
  CHECK(Ask("HTTP/1.1 200 OK\r\nX-Version: 1\r\n\r\n{}").has_value());
}

// Answers each call with a text and then, until the caller closes, with more of
// the same bytes.
struct calls_answered_without_end
{
  asio::io_context mIo;
  tcp::acceptor mListener{ mIo, { asio::ip::make_address("127.0.0.1"), 0 } };
  std::string mAgain;
  std::size_t mSent = 0;

  void SendAgain(tcp::socket& aCaller)
  {
    asio::async_write(aCaller,
                      asio::buffer(mAgain),
                      [&](const auto& aError, std::size_t aBytes) {
                        mSent += aBytes;
                        if (!aError) {
                          SendAgain(aCaller);
                        }
                      });
  }

  fetch_outcome Ask(const std::string& aBeginning)
  {
    tcp::socket caller{ mIo };
    mListener.async_accept(caller, [&](const auto&) {
      asio::write(caller, asio::buffer(aBeginning));
      SendAgain(caller);
    });
    fetch_call call;
    call.mTimeout = Seconds(20);
    call.mMostPause = Seconds(20);
    const auto outcome = StartCall(mIo, mListener, std::move(call));
    // The writing ends when the caller closes.
    mSent = 0;
    mIo.restart();
    mIo.run();
    return outcome->value();
  }
};

struct endless_answer
{
  std::string mBeginning;
  std::string mAgain;
};

std::vector<endless_answer>
EndlessAnswers()
{
  constexpr std::size_t kBlock = std::size_t{ 64 } << 10U;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string letters(kBlock, 'a');
  return { { "HTTP/1.1 200 ", letters },
           { ok + "X-A: ", letters },
           { ok, "X-A: b\r\n" },
           { "", "HTTP/1.1 102 Processing\r\n\r\n" },
           { "", std::string(kBlock, '\0') },
           { chunked, std::string(kBlock, '0') },
           { chunked + "5;", letters },
           { chunked + "1\r\na\r\n0\r\nX-A: ", letters },
           { chunked, "5\r\naaaaa\r\n" },
           { ok + "\r\n", letters } };
}

// A source or an endpoint in trouble took all memory: its bytes had no end.
TEST_CASE_FIXTURE(calls_answered_without_end,
                  "http_fetch/bytes_without_end/are_not_kept")
{
  // The body that is read at most, and what systems hold for two sockets.
  constexpr std::size_t kMostSent = std::size_t{ 16 } << 20U;
  for (const endless_answer& each : EndlessAnswers()) {
    CAPTURE(each.mBeginning);
    mAgain = each.mAgain;
    CHECK_FALSE(Ask(each.mBeginning).has_value());
    CHECK(mSent < kMostSent);
  }
}

} // namespace
} // namespace thornhollow
