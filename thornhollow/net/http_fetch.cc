#include "thornhollow/net/http_fetch.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "thornhollow/base/parse_number.h"
#include "thornhollow/net/address.h"
#include "thornhollow/net/internal/answer_head.h"
#include "thornhollow/net/internal/awaitable.h"
#include "thornhollow/net/internal/read_buffer.h"
#include "thornhollow/net/internal/silence.h"

namespace thornhollow {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using net_internal::Into;

constexpr net_internal::silence_limits kLongPollSilence = {
  .mGiveUpSeconds = 2,
  .mProbeAfterSeconds = 1,
  .mProbeIntervalSeconds = 1,
};

constexpr std::uint32_t kMaxHeadBytes = 8 * 1024;

using answer_parser = http::response_parser<http::string_body>;

// Calls `mOnBytes`, and bounds the time up to the next part.
void
OnPart(beast::tcp_stream& aStream,
       const fetch_call& aCall,
       std::size_t aBytes,
       std::optional<std::chrono::steady_clock::time_point>& aLatest)
{
  if (aCall.mOnBytes) {
    aCall.mOnBytes(aBytes);
  }
  if (aCall.mMostPause > duration::zero()) {
    const auto now = std::chrono::steady_clock::now();
    aLatest = aLatest.value_or(now + aCall.mLongest);
    aStream.expires_at(std::min(now + aCall.mMostPause, *aLatest));
  }
}

// Returns the bytes that were read; whether the answer is whole, `aWrong` says.
asio::awaitable<std::size_t>
ReadAnswer(beast::tcp_stream& aStream,
           answer_parser& aParser,
           const fetch_call& aCall,
           error_code& aWrong)
{
  std::optional<std::chrono::steady_clock::time_point> latest;
  beast::flat_buffer buffer{ net_internal::kMaxUnparsedBytes };
  std::size_t bytes = co_await net_internal::ReadAnswerHead(
    aStream, buffer, aParser, kMaxHeadBytes, aWrong);
  aParser.eager(true);
  while (!aWrong) {
    OnPart(aStream, aCall, bytes, latest);
    if (aParser.is_done()) {
      break;
    }
    bytes +=
      co_await http::async_read_some(aStream, buffer, aParser, Into(aWrong));
  }
  co_return bytes;
}

asio::awaitable<fetch_outcome>
Exchange(asio::io_context& aIo, const fetch_call& aCall)
{
  const auto address = ParseAddress(aCall.mAddress);
  if (!address) {
    co_return std::nullopt;
  }
  beast::tcp_stream stream(aIo);
  stream.expires_after(std::min(aCall.mTimeout, aCall.mConnectTimeout));
  error_code wrong;
  const tcp::endpoint where(asio::ip::make_address(address->mHost),
                            address->mPort);
  co_await stream.async_connect(where, Into(wrong));
  if (wrong == asio::error::connection_refused && aCall.mOnRefused) {
    aCall.mOnRefused();
  }
  if (wrong) {
    co_return std::nullopt;
  }
  stream.expires_after(aCall.mTimeout);
  if (aCall.mLongPoll) {
    net_internal::DetectSilence(stream.socket(), kLongPollSilence);
  }
  http::request<http::empty_body> request(http::verb::get, aCall.mTarget, 11);
  request.set(http::field::host, aCall.mAddress);
  for (const header_field& each : aCall.mHeaders) {
    request.insert(each.mName, each.mValue);
  }
  request.keep_alive(false);
  std::size_t bytes = co_await http::async_write(stream, request, Into(wrong));
  if (wrong) {
    co_return std::nullopt;
  }
  answer_parser parser;
  parser.header_limit(kMaxHeadBytes);
  parser.body_limit(aCall.mMaxBytes);
  bytes += co_await ReadAnswer(stream, parser, aCall, wrong);
  if (wrong || !net_internal::IsFinalStatus(parser.get().result_int())) {
    co_return std::nullopt;
  }
  fetch_answer answer;
  answer.mHttpStatus = parser.get().result_int();
  const auto version = parser.get()["X-Version"];
  answer.mVersion =
    ParseNumber<std::uint64_t>({ version.data(), version.size() });
  answer.mIsOpenEnded = parser.need_eof();
  answer.mBody = std::move(parser.get().body());
  answer.mExchangedBytes = bytes;
  co_return answer;
}

asio::awaitable<void>
RunFetch(asio::io_context& aIo,
         fetch_call aCall,
         std::function<void(fetch_outcome)> aDone)
{
  co_await asio::post(aIo, asio::use_awaitable);
  fetch_outcome outcome;
  try {
    outcome = co_await Exchange(aIo, aCall);
  } catch (const std::exception&) {
    // As a call that was lost; without an end of it nobody would call again.
    outcome = std::nullopt;
  }
  aDone(std::move(outcome));
}

} // namespace

void
Fetch(asio::io_context& aIo,
      fetch_call aCall,
      std::function<void(fetch_outcome)> aDone)
{
  asio::co_spawn(
    aIo, RunFetch(aIo, std::move(aCall), std::move(aDone)), asio::detached);
}

} // namespace thornhollow
