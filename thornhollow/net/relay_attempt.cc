#include "thornhollow/net/relay_attempt.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <exception>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include "thornhollow/net/address.h"
#include "thornhollow/net/clock.h"
#include "thornhollow/net/internal/answer_head.h"
#include "thornhollow/net/internal/awaitable.h"
#include "thornhollow/net/internal/exception_text.h"
#include "thornhollow/net/internal/http_fields.h"
#include "thornhollow/net/internal/silence.h"

namespace thornhollow {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using net_internal::Into;

using body_type = http::span_body<const char>;
using answer_parser = http::response_parser<http::buffer_body>;

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kReadBytes = 8192;
// Heads of endpoints are a few hundred bytes.
constexpr std::uint32_t kMaxHeadBytes = 32 * 1024;
// Bodies are bounded by who reads them, not here.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{ 1 } << 40U;
// Interim answers (1xx) in front of the real one; more are a fault.
constexpr int kMaxInterim = 16;

// The rest of an answer that nobody wants is read for at most this long; a new
// connection costs less than waiting longer.
constexpr duration kAbandonedLimit = Seconds(1);

// Probed every second after one without a byte.
net_internal::silence_limits
SilenceLimits(duration aSilence)
{
  const auto seconds =
    static_cast<int>(std::max(2.0, std::round(ToSeconds(aSilence))));
  return { .mGiveUpSeconds = seconds,
           .mProbeAfterSeconds = 1,
           .mProbeIntervalSeconds = 1 };
}

answer_framing
FramingOf(const answer_parser& aParser)
{
  if (aParser.chunked()) {
    return answer_framing::kChunks;
  }
  return aParser.need_eof() ? answer_framing::kConnection
                            : answer_framing::kLength;
}

class attempt final : public relay_attempt
{
public:
  attempt(endpoint_connections& aConnections,
          const relay_names& aNames,
          relay_call aCall,
          std::function<void(relay_event)> aOnEvent)
    : mConnections(aConnections)
    , mNames(aNames)
    , mCall(std::move(aCall))
    , mOnEvent(std::move(aOnEvent))
    , mDecided(aConnections.Io(), time_point::max())
  {
  }

  void Close() override
  {
    mOnEvent = nullptr;
    mCall.mMaySend = nullptr;
    mClosed = true;
    mDecided.cancel();
    if (mConnection) {
      mConnection->mStream.close();
    }
  }

  void Abandon() override
  {
    mOnEvent = nullptr;
    if (mConnection) {
      mConnection->mStream.expires_after(kAbandonedLimit);
    }
  }

  bool Sent() const override { return mSent; }
  bool Reused() const override { return mReused; }
  time_point ConnectionMadeAt() const override { return mMadeAt; }

  // Ends the attempt after an exception; without it the request would wait for
  // its time limit.
  void OnException(const std::exception_ptr& aThrown)
  {
    if (mConnection) {
      mConnection->mStream.close();
    }
    Fail(mSent ? attempt_failure::kBroken : attempt_failure::kNotSent,
         net_internal::ExceptionText(aThrown));
  }

  asio::awaitable<void> Run()
  {
    co_await asio::post(mConnections.Io(), asio::use_awaitable);
    if (mClosed || !co_await Connect() || !co_await MaySend()) {
      co_return;
    }
    StartWriting();
    std::optional<answer_parser> parser;
    if (!co_await ReadHead(parser) || !co_await ReadBody(*parser)) {
      mConnection->mStream.close();
      co_return;
    }
    Finish(*parser);
  }

private:
  void Tell(relay_event aEvent)
  {
    if (mOnEvent) {
      // The listener may close this attempt while it is being told.
      const auto listener = mOnEvent;
      listener(std::move(aEvent));
    }
  }

  void Fail(attempt_failure aFailure, std::string aDetail)
  {
    Tell(relay_failure{ aFailure, std::move(aDetail) });
    mOnEvent = nullptr;
    mCall.mMaySend = nullptr;
  }

  asio::awaitable<bool> Connect()
  {
    if (mCall.mMaxIdle > duration::zero()) {
      mConnection = mConnections.TakeIdle(mCall.mWhere, mCall.mMaxIdle);
      mReused = mConnection != nullptr;
    }
    if (mConnection) {
      mMadeAt = mConnection->mMadeAt;
      LimitSilence();
      co_return true;
    }
    const auto address = ParseAddress(mCall.mWhere.mAddress);
    if (!address) {
      Fail(attempt_failure::kNotSent, "address can't be read");
      co_return false;
    }
    mConnection =
      endpoint_connection_ptr(new endpoint_connection(mConnections.Io()));
    error_code wrong;
    mConnection->mStream.expires_after(mCall.mConnectTimeout);
    co_await mConnection->mStream.async_connect(
      tcp::endpoint(asio::ip::make_address(address->mHost), address->mPort),
      Into(wrong));
    mConnection->mStream.expires_never();
    if (wrong) {
      Fail(wrong == asio::error::connection_refused
             ? attempt_failure::kConnectionRefused
             : attempt_failure::kNotSent,
           wrong.message());
      co_return false;
    }
    mConnection->mMadeAt = Now();
    mMadeAt = mConnection->mMadeAt;
    LimitSilence();
    co_return !mClosed;
  }

  asio::awaitable<bool> MaySend()
  {
    const auto maySend = std::exchange(mCall.mMaySend, nullptr);
    if (!maySend) {
      co_return true;
    }
    maySend(mMadeAt,
            [self = boost::intrusive_ptr<attempt>(this)](bool aAllowed) {
              self->mAllowed = aAllowed;
              self->mDecided.cancel();
            });
    if (!mAllowed) {
      error_code ended;
      co_await mDecided.async_wait(Into(ended));
    }
    if (mClosed) {
      co_return false;
    }
    if (!mAllowed.value_or(false)) {
      mConnection->mStream.close();
      Fail(attempt_failure::kUnconfirmed, "process not confirmed");
      co_return false;
    }
    co_return true;
  }

  // A kept connection has the limits of the request before: as a rule the same,
  // and setting them is six calls to the system.
  void LimitSilence()
  {
    if (std::exchange(mConnection->mSilence, mCall.mSilence) !=
        mCall.mSilence) {
      net_internal::DetectSilence(mConnection->mStream.socket(),
                                  SilenceLimits(mCall.mSilence));
    }
  }

  // Runs beside the reading: an endpoint may answer before it has read the
  // whole body. Such a connection is not used again, since the rest of the body
  // would be taken for the next request.
  void StartWriting()
  {
    mRequest.version(kHttp11);
    mRequest.method_string(mCall.mMethod);
    mRequest.target(mCall.mTarget);
    for (const header_field& each : mCall.mHeaders) {
      mRequest.insert(each.mName, each.mValue);
    }
    mRequest.body() = { mCall.mBody->data(), mCall.mBody->size() };
    mRequest.prepare_payload();
    mSerializer.emplace(mRequest);
    mSent = true;
    http::async_write(
      mConnection->mStream,
      *mSerializer,
      [self = boost::intrusive_ptr<attempt>(this)](
        const error_code& aWrong, std::size_t) { self->mWriteEnd = aWrong; });
  }

  asio::awaitable<bool> ReadHead(std::optional<answer_parser>& aParser)
  {
    for (int interim = 0; interim <= kMaxInterim; ++interim) {
      aParser.emplace();
      aParser->header_limit(kMaxHeadBytes);
      // The answer to such a request has a length and no body.
      aParser->skip(mCall.mMethod == "HEAD");
      aParser->body_limit(kMaxBodyBytes);
      error_code wrong;
      co_await net_internal::ReadAnswerHead(mConnection->mStream,
                                            mConnection->mBuffer,
                                            *aParser,
                                            kMaxHeadBytes,
                                            wrong);
      if (wrong) {
        Fail(IsUnreadable(wrong) ? attempt_failure::kGarbled
                                 : attempt_failure::kLost,
             wrong.message());
        co_return false;
      }
      const unsigned status = aParser->get().result_int();
      if (net_internal::IsFinalStatus(status)) {
        co_return TakeHead(*aParser);
      }
      if (!net_internal::IsInterimStatus(status)) {
        Fail(attempt_failure::kGarbled, "no answer has this status");
        co_return false;
      }
      Tell(
        relay_interim_answer{ net_internal::ToHeaderFields(aParser->get()) });
      if (mClosed) {
        co_return false;
      }
    }
    Fail(attempt_failure::kGarbled, "too many interim answers");
    co_return false;
  }

  // Bytes came, but they are no answer; else the connection ended.
  static bool IsUnreadable(const error_code& aWrong)
  {
    const error_code ended = http::error::end_of_stream;
    return aWrong.category() == ended.category() && aWrong != ended &&
           aWrong != http::error::partial_message;
  }

  bool TakeHead(answer_parser& aParser)
  {
    const auto& head = aParser.get();
    if (net_internal::HasUnknownCoding(head)) {
      Fail(attempt_failure::kGarbled, "transfer coding is not chunked");
      return false;
    }
    relay_answer_head told;
    told.mStatus = head.result_int();
    told.mHeaders = net_internal::ToHeaderFields(head);
    told.mMarks = ReadAnswerMarks(mNames, told.mStatus, told.mHeaders);
    told.mFraming = FramingOf(aParser);
    mIdleLimit = told.mMarks.mIdleLimit;
    const std::string& echoed = told.mMarks.mRequestId;
    if (!echoed.empty() && echoed != mCall.mId.Text()) {
      Fail(attempt_failure::kGarbled, "answer to another request");
      return false;
    }
    // Without its identifier a first answer on a new connection can still be
    // told by its place; on a kept one it can't.
    if (echoed.empty() && mReused) {
      Fail(attempt_failure::kGarbled, "answer without identifier");
      return false;
    }
    Tell(std::move(told));
    return !mClosed;
  }

  // Guards against a part of an answer that counts as whole: a connection that
  // is reset while the request is written tells so to the writing alone, and
  // reading then finds an end in order. Only an answer that ends with its
  // connection can be mistaken so, and the writing hears of it first.
  asio::awaitable<bool> ReadBody(answer_parser& aParser)
  {
    std::array<char, kReadBytes> bytes;
    while (!aParser.is_done()) {
      aParser.get().body().data = bytes.data();
      aParser.get().body().size = bytes.size();
      aParser.get().body().more = true;
      error_code wrong;
      co_await http::async_read_some(
        mConnection->mStream, mConnection->mBuffer, aParser, Into(wrong));
      const std::size_t got = bytes.size() - aParser.get().body().size;
      if (wrong && wrong != http::error::need_buffer) {
        Fail(attempt_failure::kBroken, wrong.message());
        co_return false;
      }
      if (got > 0) {
        Tell(relay_answer_bytes{ std::string(bytes.data(), got) });
      }
      if (mClosed) {
        co_return false;
      }
    }
    if (aParser.need_eof() && mWriteEnd && mWriteEnd->failed()) {
      Fail(attempt_failure::kBroken, "connection was reset during the request");
      co_return false;
    }
    co_return true;
  }

  void Finish(answer_parser& aParser)
  {
    const bool isWritten = mWriteEnd && !mWriteEnd->failed();
    const bool reusable = isWritten && aParser.get().keep_alive() &&
                          !aParser.need_eof() &&
                          mConnection->mBuffer.size() == 0;
    if (reusable) {
      mConnection->mStream.expires_never();
      mConnections.GiveBack(mCall.mWhere, std::move(mConnection), mIdleLimit);
    } else {
      mConnection->mStream.close();
    }
    Tell(relay_answer_end{});
    mOnEvent = nullptr;
  }

  endpoint_connections& mConnections;
  const relay_names& mNames;
  relay_call mCall;
  std::function<void(relay_event)> mOnEvent;
  endpoint_connection_ptr mConnection;
  time_point mMadeAt = time_point::max();
  // What the call decided on sending, and a timer that is cancelled then.
  std::optional<bool> mAllowed;
  asio::steady_timer mDecided;
  http::request<body_type> mRequest;
  std::optional<http::request_serializer<body_type>> mSerializer;
  // How the writing of the request ended; nothing while it goes on.
  std::optional<error_code> mWriteEnd;
  std::optional<duration> mIdleLimit;
  bool mClosed = false;
  bool mSent = false;
  bool mReused = false;
};

} // namespace

relay_attempt_ptr
StartRelayAttempt(endpoint_connections& aConnections,
                  const relay_names& aNames,
                  relay_call aCall,
                  std::function<void(relay_event)> aOnEvent)
{
  boost::intrusive_ptr<attempt> one(
    new attempt(aConnections, aNames, std::move(aCall), std::move(aOnEvent)));
  net_internal::RunToEnd(
    aConnections.Io(), one, [&run = *one](const std::exception_ptr& aThrown) {
      run.OnException(aThrown);
    });
  return one;
}

} // namespace thornhollow
