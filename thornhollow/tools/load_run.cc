#include "thornhollow/tools/load_run.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <fmt/format.h>

#include "thornhollow/net/http_fetch.h"
#include "thornhollow/net/internal/awaitable.h"

namespace thornhollow {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using net_internal::Into;

namespace {

constexpr std::size_t kReadBytes = 16384;
constexpr unsigned kHttp11 = 11;
// Beyond a class's deadline, for the daemon's own answer to its passing.
constexpr duration kDeadlineGrace = Seconds(5);

using request_message = http::request<http::string_body>;

tcp::endpoint
Endpoint(const socket_address& aAddress)
{
  return { asio::ip::make_address(aAddress.mHost), aAddress.mPort };
}

answer_form
FormOf(const load_class& aClass)
{
  if (aClass.mModel.empty()) {
    return answer_form::kPlainService;
  }
  return aClass.mStream ? answer_form::kStream : answer_form::kCompletion;
}

std::optional<std::int64_t>
RetryAfterSeconds(const http::fields& aFields)
{
  const auto text = aFields[http::field::retry_after];
  std::int64_t seconds = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), seconds);
  return error == std::errc() ? std::optional(seconds) : std::nullopt;
}

class load_runner
{
public:
  load_runner(const workload& aWorkload, const load_options& aOptions)
    : mWorkload(aWorkload)
    , mOptions(aOptions)
    , mReport(aWorkload)
  {
  }

  load_finding Run()
  {
    const auto before = Computed();
    const time_point start = std::chrono::steady_clock::now();
    asio::co_spawn(mIo, SendAll(start), asio::detached);
    mIo.run();
    const duration elapsed = std::chrono::steady_clock::now() - start;
    const auto after = Computed();
    load_finding finding{ std::move(mReport), elapsed, std::nullopt };
    if (before && after) {
      finding.mComputed = *after - std::min(*before, *after);
    }
    return finding;
  }

private:
  asio::awaitable<void> SendAll(time_point aStart)
  {
    asio::steady_timer timer(mIo);
    for (const arrival& each : DrawArrivals(mWorkload, mOptions.mRateFactor)) {
      timer.expires_at(aStart + each.mAt);
      error_code ignored;
      co_await timer.async_wait(Into(ignored));
      asio::co_spawn(mIo, Send(each, aStart + each.mAt), asio::detached);
    }
  }

  asio::awaitable<void> Send(arrival aArrival, time_point aPlanned)
  {
    const load_class& sent = mWorkload.mClasses[aArrival.mClass];
    const request_message message = Message(sent, aArrival);
    const std::size_t first = mNextTarget++;
    load_result result;
    std::uint32_t submissions = 0;
    for (bool again = true; again;) {
      result = co_await Submit(sent, message, first + submissions);
      ++submissions;
      again = submissions < sent.mTries && result.mRan == "no" &&
              result.mRetryAfter.has_value();
      if (again) {
        asio::steady_timer pause(mIo, *result.mRetryAfter);
        error_code ignored;
        co_await pause.async_wait(Into(ignored));
      }
    }
    mReport.Add(aArrival.mClass, aPlanned, submissions, result);
  }

  request_message Message(const load_class& aClass,
                          const arrival& aArrival) const
  {
    request_message message(
      http::string_to_verb(aClass.mMethod), aClass.mPath, kHttp11);
    const std::string key =
      fmt::format("{}-{}-{}", mWorkload.mSeed, aClass.mName, aArrival.mNumber);
    message.set(http::field::host, "thornhollow");
    message.set(http::field::authorization, "Bearer " + aClass.mToken);
    message.set(http::field::content_type, "application/json");
    message.set(http::field::connection, "close");
    if (!aClass.mRequestClass.empty()) {
      message.set("X-Request-Class", aClass.mRequestClass);
    }
    if (aClass.mIdempotencyKey) {
      message.set("Idempotency-Key", key);
    }
    // A daemon gives the request an identifier of its own; an engine that is
    // asked directly echoes this one.
    message.set("X-Request-Id", key);
    message.body() = BodyFor(aClass, aArrival);
    message.prepare_payload();
    return message;
  }

  asio::awaitable<load_result> Submit(const load_class& aClass,
                                      const request_message& aMessage,
                                      std::size_t aFirstTarget)
  {
    beast::tcp_stream stream(mIo);
    if (!co_await Connect(stream, aFirstTarget)) {
      load_result result;
      result.mOutcome = load_outcome::kNoDaemon;
      co_return result;
    }
    answer_check check(FormOf(aClass), mOptions.mVerifyText);
    error_code error;
    stream.expires_after(mOptions.mSilenceLimit);
    co_await http::async_write(stream, aMessage, Into(error));
    // An answer may have come although the request couldn't be sent whole.
    const duration headLimit =
      std::max(mOptions.mSilenceLimit, aClass.mDeadline + kDeadlineGrace);
    const bool orderly = co_await Read(stream, check, headLimit, error);
    load_result result =
      check.Finish(orderly, std::chrono::steady_clock::now());
    if (error == beast::error::timeout) {
      result.mOutcome = load_outcome::kNoAnswer;
    }
    co_return result;
  }

  // Tries each daemon once, beginning with `aFirst` in their circle.
  asio::awaitable<bool> Connect(beast::tcp_stream& aStream, std::size_t aFirst)
  {
    for (std::size_t at = 0; at < mOptions.mTargets.size(); ++at) {
      const auto& target =
        mOptions.mTargets[(aFirst + at) % mOptions.mTargets.size()];
      error_code error;
      aStream.expires_after(mOptions.mConnectLimit);
      co_await aStream.async_connect(Endpoint(target), Into(error));
      if (!error) {
        error_code ignored;
        aStream.socket().set_option(tcp::no_delay(true), ignored);
        co_return true;
      }
      aStream.close();
    }
    co_return false;
  }

  // True when the whole answer was read.
  asio::awaitable<bool> Read(beast::tcp_stream& aStream,
                             answer_check& aCheck,
                             duration aHeadLimit,
                             error_code& aError)
  {
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    aStream.expires_after(aHeadLimit);
    co_await http::async_read_header(aStream, buffer, parser, Into(aError));
    if (aError) {
      co_return false;
    }
    const auto& head = parser.get();
    aCheck.Head(head.result_int(),
                std::string(head["X-Request-Id"]),
                RetryAfterSeconds(head));
    std::array<char, kReadBytes> piece{};
    while (!parser.is_done() && !aError) {
      auto& body = parser.get().body();
      body.data = piece.data();
      body.size = piece.size();
      aStream.expires_after(mOptions.mSilenceLimit);
      co_await http::async_read_some(aStream, buffer, parser, Into(aError));
      if (aError == http::error::need_buffer) {
        aError = {};
      }
      const std::size_t size = piece.size() - body.size;
      aCheck.Body({ piece.data(), size }, std::chrono::steady_clock::now());
    }
    co_return parser.is_done() && !aError;
  }

  std::optional<std::uint64_t> Computed()
  {
    std::uint64_t sum = 0;
    bool all = !mOptions.mEngines.empty();
    for (const std::string& engine : mOptions.mEngines) {
      Fetch(mIo,
            { .mAddress = engine, .mTarget = "/test/runs" },
            [&](const fetch_outcome& aOutcome) {
              const auto tokens = TokensIn(aOutcome);
              all = all && tokens.has_value();
              sum += tokens.value_or(0);
            });
    }
    mIo.restart();
    mIo.run();
    mIo.restart();
    return all ? std::optional(sum) : std::nullopt;
  }

  static std::optional<std::uint64_t> TokensIn(const fetch_outcome& aOutcome)
  {
    if (!aOutcome) {
      return std::nullopt;
    }
    error_code error;
    const auto parsed = boost::json::parse(aOutcome->mBody, error);
    const auto* tokens =
      error ? nullptr : parsed.find_pointer("/totals/tokens", error);
    if (tokens == nullptr) {
      return std::nullopt;
    }
    return boost::json::value_to<std::uint64_t>(*tokens);
  }

  const workload& mWorkload;
  const load_options& mOptions;
  asio::io_context mIo{ 1 };
  load_report mReport;
  std::size_t mNextTarget = 0;
};

} // namespace

load_finding
RunLoad(const workload& aWorkload, const load_options& aOptions)
{
  return load_runner(aWorkload, aOptions).Run();
}

} // namespace thornhollow
