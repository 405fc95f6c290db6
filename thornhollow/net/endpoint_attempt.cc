#include "thornhollow/net/endpoint_attempt.h"

#include <array>
#include <exception>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "thornhollow/net/address.h"
#include "thornhollow/net/engine_event.h"
#include "thornhollow/net/internal/answer_head.h"
#include "thornhollow/net/internal/awaitable.h"
#include "thornhollow/net/internal/http_fields.h"
#include "thornhollow/net/internal/read_buffer.h"
#include "thornhollow/net/sse_parser.h"
#include "thornhollow/request/relay_headers.h"

namespace thornhollow {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using net_internal::Into;

constexpr std::size_t kMaxEventBytes = std::size_t{ 64 } << 10U;
constexpr std::size_t kReadBytes = std::size_t{ 8 } << 10U;
constexpr std::uint32_t kMaxHeaderBytes = std::uint32_t{ 16 } << 10U;
constexpr std::string_view kEndMarker = "[DONE]";

class attempt_run final : public endpoint_attempt
{
public:
  attempt_run(asio::io_context& aIo,
              endpoint_call aCall,
              std::function<void(request_event)> aOnEvent)
    : mSocket(aIo)
    , mCall(std::move(aCall))
    , mOnEvent(std::move(aOnEvent))
  {
  }

  void Close() override
  {
    mOnEvent = nullptr;
    error_code ignored;
    mSocket.close(ignored);
  }

  // Ends the attempt after an exception; without it the request would wait for
  // its time limit.
  void OnException()
  {
    error_code ignored;
    mSocket.close(ignored);
    Emit(connection_lost{ mCall.mAttempt });
  }

  asio::awaitable<void> Run()
  {
    // No event comes from within the call that starts the attempt.
    co_await asio::post(mSocket.get_executor(), asio::use_awaitable);
    const attempt_number attempt = mCall.mAttempt;
    if (!co_await Connect()) {
      Emit(connect_failed{ attempt });
      co_return;
    }
    Emit(sending_begun{ attempt });
    if (mOnEvent == nullptr) {
      co_return;
    }
    if (!co_await SendRequest()) {
      Emit(connection_lost{ attempt });
      co_return;
    }
    if (!co_await ReadHead()) {
      Emit(connection_lost{ attempt });
      co_return;
    }
    if (!net_internal::IsFinalStatus(mParser.get().result_int())) {
      Emit(answer_unreadable{ attempt });
      co_return;
    }
    EmitNotice();
    if (DeclinedByProtocol()) {
      Emit(endpoint_declined{ attempt, Header("X-Leaving") == "yes" });
    } else if (AnswersAnotherRequest()) {
      Emit(answer_crossed{ attempt });
    } else if (mCall.mEngine && Status() == http::status::ok) {
      co_await ReadStream();
    } else if (mCall.mEngine && IsServerError()) {
      Emit(answer_unreadable{ attempt });
    } else {
      co_await ReadWhole();
    }
  }

private:
  using parser = http::response_parser<http::buffer_body>;

  // A closed attempt has no listener any more.
  void Emit(request_event aEvent)
  {
    if (mOnEvent != nullptr) {
      const auto listener = mOnEvent;
      listener(std::move(aEvent));
    }
  }

  std::string_view Header(std::string_view aName) const
  {
    const auto found = mParser.get().find(aName);
    return found == mParser.get().end()
             ? std::string_view()
             : std::string_view(found->value().data(), found->value().size());
  }

  http::status Status() const { return mParser.get().result(); }

  bool IsServerError() const { return mParser.get().result_int() >= 500; }

  void EmitNotice()
  {
    const bool leaving = Header("X-Leaving") == "yes";
    const auto rest = Status() == http::status::service_unavailable
                        ? ReadRest(Header("Retry-After"))
                        : std::nullopt;
    if (leaving || rest) {
      Emit(endpoint_notice{ mCall.mAttempt, leaving, rest });
    }
  }

  // Only the protocol's own word counts as "not run"; a bare 503 may come from
  // something between the two ends after the request was handed on.
  bool DeclinedByProtocol() const
  {
    return Status() == http::status::service_unavailable &&
           Header("X-Request-Ran") == "no";
  }

  bool AnswersAnotherRequest() const
  {
    return Header("X-Request-Id") != mCall.mId.Text();
  }

  asio::awaitable<bool> Connect()
  {
    const auto address = ParseAddress(mCall.mAddress);
    if (!address) {
      co_return false;
    }
    error_code wrong;
    const tcp::endpoint where(asio::ip::make_address(address->mHost),
                              address->mPort);
    co_await mSocket.async_connect(where, Into(wrong));
    if (!wrong) {
      mSocket.set_option(tcp::no_delay(true), wrong);
    }
    co_return !wrong;
  }

  asio::awaitable<bool> SendRequest()
  {
    http::request<http::string_body> request;
    request.method_string(mCall.mMethod);
    request.target(mCall.mPath);
    request.set(http::field::host, mCall.mAddress);
    request.set("X-Request-Id", mCall.mId.Text());
    request.set("X-Attempt", std::to_string(mCall.mAttempt));
    if (!mCall.mContentType.empty()) {
      request.set(http::field::content_type, mCall.mContentType);
    }
    request.keep_alive(false);
    request.body() = std::move(mCall.mBody);
    request.prepare_payload();
    error_code wrong;
    co_await http::async_write(mSocket, request, Into(wrong));
    // An endpoint may answer ("not run") before it has read everything, and
    // close: the answer is still there to be read.
    mCutWhileSending = wrong == asio::error::broken_pipe ||
                       wrong == asio::error::connection_reset;
    co_return !wrong || mCutWhileSending;
  }

  asio::awaitable<bool> ReadHead()
  {
    mParser.header_limit(kMaxHeaderBytes);
    mParser.body_limit(boost::none);
    error_code wrong;
    co_await net_internal::ReadAnswerHead(
      mSocket, mBuffer, mParser, kMaxHeaderBytes, wrong);
    co_return !wrong;
  }

  // Reads some of the body into `mChunk`; false when the transport ended.
  asio::awaitable<bool> ReadSome(std::string_view& aBytes)
  {
    auto& body = mParser.get().body();
    body.data = mChunk.data();
    body.size = mChunk.size();
    error_code wrong;
    co_await http::async_read_some(mSocket, mBuffer, mParser, Into(wrong));
    if (wrong && wrong != http::error::need_buffer) {
      co_return false;
    }
    aBytes = std::string_view(mChunk.data(), mChunk.size() - body.size);
    co_return true;
  }

  asio::awaitable<void> ReadStream()
  {
    sse_parser events(kMaxEventBytes);
    std::string finishReason;
    while (mOnEvent != nullptr && !mParser.is_done()) {
      std::string_view bytes;
      if (!co_await ReadSome(bytes)) {
        break;
      }
      events.Feed(bytes);
      while (const auto next = events.Next()) {
        if (next->mData == kEndMarker) {
          Emit(stream_finished{ mCall.mAttempt, finishReason });
          co_return;
        }
        HandOn(next->mData, finishReason);
      }
      if (events.Overflowed()) {
        Emit(answer_unreadable{ mCall.mAttempt });
        co_return;
      }
    }
    // Without its end marker a stream is cut, however cleanly the transport
    // closed.
    Emit(connection_lost{ mCall.mAttempt });
  }

  void HandOn(const std::string& aData, std::string& aFinishReason)
  {
    auto event = ReadEngineEvent(aData);
    if (!event) {
      Emit(answer_unreadable{ mCall.mAttempt });
      return;
    }
    // An engine may put the reason into its last token's event.
    if (!event->mFinishReason.empty()) {
      aFinishReason = event->mFinishReason;
    }
    if (event->mToken) {
      Emit(token_received{
        mCall.mAttempt,
        std::move(event->mId),
        event->mIndex,
        *std::move(event->mToken),
        software_version(std::string(Header("X-Engine-Version"))) });
    } else if (event->mId != mCall.mId) {
      Emit(answer_crossed{ mCall.mAttempt });
    }
  }

  asio::awaitable<void> ReadWhole()
  {
    if (net_internal::HasUnknownCoding(mParser.get())) {
      Emit(answer_unreadable{ mCall.mAttempt });
      co_return;
    }
    std::string whole;
    while (!mParser.is_done()) {
      std::string_view bytes;
      if (!co_await ReadSome(bytes)) {
        Emit(connection_lost{ mCall.mAttempt });
        co_return;
      }
      whole.append(bytes);
      if (whole.size() > mCall.mMaxAnswerBytes) {
        Emit(answer_unreadable{ mCall.mAttempt });
        co_return;
      }
    }
    // Guards against a part of an answer that counts as whole: the sending was
    // told of the reset, and reading then finds an end in order.
    if (mParser.need_eof() && mCutWhileSending) {
      Emit(connection_lost{ mCall.mAttempt });
      co_return;
    }
    Emit(answer_received{ mCall.mAttempt,
                          mCall.mId,
                          mParser.get().result_int(),
                          std::string(Header("Content-Type")),
                          std::move(whole),
                          mParser.need_eof() });
  }

  tcp::socket mSocket;
  endpoint_call mCall;
  std::function<void(request_event)> mOnEvent;
  beast::flat_buffer mBuffer{ net_internal::kMaxUnparsedBytes };
  parser mParser;
  std::array<char, kReadBytes> mChunk{};
  // The connection broke before the whole request was sent.
  bool mCutWhileSending = false;
};

} // namespace

boost::intrusive_ptr<endpoint_attempt>
StartAttempt(asio::io_context& aIo,
             endpoint_call aCall,
             std::function<void(request_event)> aOnEvent)
{
  auto attempt = boost::intrusive_ptr<attempt_run>(
    new attempt_run(aIo, std::move(aCall), std::move(aOnEvent)));
  net_internal::RunToEnd(
    aIo, attempt, [&run = *attempt](const std::exception_ptr&) {
      run.OnException();
    });
  return attempt;
}

} // namespace thornhollow
