#include "thornhollow/net/internal/caller_session.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "thornhollow/net/clock.h"
#include "thornhollow/net/internal/awaitable.h"
#include "thornhollow/net/internal/caller_crowd.h"
#include "thornhollow/net/internal/exception_text.h"
#include "thornhollow/net/internal/header_text.h"
#include "thornhollow/net/internal/http_fields.h"
#include "thornhollow/net/internal/queued_exchange.h"
#include "thornhollow/net/internal/read_buffer.h"
#include "thornhollow/net/internal/silence.h"
#include "thornhollow/policy/admission/connection_limits.h"

namespace thornhollow::net_internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

using request_parser = http::request_parser<http::string_body>;

constexpr unsigned kHttp11 = 11;
// A caller's end that acknowledges no data, or answers no probe, for this long
// is gone. Something between the ends can lose track of a connection; then
// nothing is ever answered on it, and without this limit a stream's tokens
// would be computed for nobody.
constexpr silence_limits kCallerSilence = {
  .mGiveUpSeconds = 11,
  .mProbeAfterSeconds = 5,
  .mProbeIntervalSeconds = 2,
};

std::string
PathOf(std::string_view aTarget)
{
  return std::string(aTarget.substr(0, aTarget.find('?')));
}

caller_request
ToRequest(request_parser& aParser)
{
  auto& message = aParser.get();
  caller_request request;
  request.mMethod = std::string(message.method_string());
  request.mTarget = std::string(message.target());
  request.mPath = PathOf(request.mTarget);
  request.mHeaders = ToHeaderFields(message);
  request.mReadsChunks = message.version() == kHttp11;
  request.mBody = std::move(message.body());
  return request;
}

// Counts one more for as long as it lives, also where an exception ends it.
class tally
{
public:
  explicit tally(std::size_t& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  tally(const tally&) = delete;
  tally& operator=(const tally&) = delete;
  ~tally() { --mCount; }

private:
  std::size_t& mCount;
};

// Waits for room for as long as it lives.
class room_wait
{
public:
  room_wait(memory_account_ptr aAccount,
            std::uint64_t aBytes,
            memory_account::room_handler aOnRoom)
    : mAccount(std::move(aAccount))
    , mId(mAccount->WaitForRoom(aBytes, std::move(aOnRoom)))
  {
  }
  room_wait(const room_wait&) = delete;
  room_wait& operator=(const room_wait&) = delete;
  ~room_wait() { mAccount->StopWaiting(mId); }

private:
  memory_account_ptr mAccount;
  memory_account::waiter_id mId;
};

// One caller's connection.
class session final : public caller_session
{
public:
  session(tcp::socket aSocket, std::shared_ptr<caller_server_state> aShared)
    : mStream(std::move(aSocket))
    , mShared(std::move(aShared))
    , mReadLimit(mStream.get_executor())
    , mOpened(Now())
    , mRoomTimer(mStream.get_executor())
    , mReceiveBytes(mShared->mLimits.mSocketReceiveBytes)
  {
    mShared->mSessions.insert(this);
    DetectSilence(mStream.socket(), kCallerSilence);
  }
  session(const session&) = delete;
  session& operator=(const session&) = delete;
  ~session() override { mShared->mSessions.erase(this); }

  asio::awaitable<void> Run()
  {
    if (mShared->mServing < mShared->mLimits.mMaxConnections ||
        MakeRoom(*mShared)) {
      co_await ServeAll();
    } else if (Crowded() && !EndOldestLinger(*mShared)) {
      mShared->Tell(server_event::kDropped);
      mShared->mOnUnreadable(error_kind::kTooManyConnections);
      co_return;
    } else {
      co_await Refuse(error_kind::kTooManyConnections);
    }
    mPhase = phase::kClosing;
    co_await Linger();
  }

  // Ends the wait for a next request. Bytes that have arrived are not thrown
  // away: closing the socket would let a request that was read already run
  // with nowhere to put its answer, which the caller sees as a connection that
  // closed on it. Cancelling leaves a finished read as it is, so that request
  // is served.
  void EndIfIdle() override
  {
    error_code wrong;
    if (!Busy() && mPhase == phase::kWaiting &&
        mStream.socket().available(wrong) == 0) {
      mStream.socket().cancel(wrong);
    }
  }

  bool Busy() const override
  {
    const bool isNew =
      !mAnsweredOne && Now() - mOpened < mShared->mLimits.mFirstRequestComes;
    return mPhase == phase::kWorking || (mPhase == phase::kWaiting && isNew);
  }

  void EndLinger() override
  {
    unlink();
    error_code ignored;
    mStream.socket().close(ignored);
  }

  bool GiveWay() override
  {
    error_code wrong;
    if (mStream.socket().available(wrong) > 0) {
      return false;
    }
    unlink();
    mGaveWay = true;
    if (mPhase == phase::kWaiting) {
      mStream.socket().cancel(wrong);
    } else {
      EndReading();
    }
    return true;
  }

  bool GiveRoomBack() override
  {
    const std::uint64_t came = mParser->get().body().size();
    if (!ComesTooSlowly(came, Now() - mListedAt)) {
      return false;
    }
    unlink();
    mLostRoom = true;
    EndReading();
    return true;
  }

  std::uint64_t SocketBytes() override
  {
    error_code wrong;
    const std::size_t unread = mStream.socket().available(wrong);
    int untaken = 0;
    ::ioctl(mStream.socket().native_handle(), SIOCOUTQ, &untaken);
    return unread + static_cast<std::uint64_t>(std::max(untaken, 0));
  }

  void CloseForSocketBytes() override
  {
    if (mWaitsForRoom) {
      mLostRoom = true;
      mRoomTimer.cancel();
      return;
    }
    error_code ignored;
    SetResetsOnClose(true);
    mStream.socket().close(ignored);
    if (mExchange) {
      mExchange->Leave();
    }
  }

private:
  // Refused and closing connections beyond this many are dropped at once.
  bool Crowded() const
  {
    return mShared->mSessions.size() >
           mShared->mLimits.mMaxConnections + mShared->mLimits.mMaxClosing;
  }

  asio::awaitable<void> ServeAll()
  {
    const tally serving(mShared->mServing);
    bool again = true;
    while (again) {
      again = co_await ServeOne();
    }
  }

  // Closing a socket that holds unread bytes resets the connection, and the
  // reset discards the answer on its way: a caller whose body is refused would
  // see a broken connection instead of why. So what still comes is read and
  // dropped until the caller closes, for a bounded time.
  asio::awaitable<void> Linger()
  {
    error_code wrong;
    if (mResetsOnClose || mEndsAtOnce) {
      mStream.socket().close(wrong);
      co_return;
    }
    mStream.socket().shutdown(tcp::socket::shutdown_send, wrong);
    mBuffer.clear();
    mStream.expires_after(kLingerTimeout);
    Enter(mShared->mLingering, Now());
    while (!wrong) {
      co_await mStream.async_read_some(mBuffer.prepare(kFirstRead),
                                       Into(wrong));
    }
    unlink();
  }

  // Reads one request and writes its answer; false ends the connection.
  asio::awaitable<bool> ServeOne()
  {
    if (!co_await WaitForFirstByte()) {
      co_return false;
    }
    mBuffer.max_size(mShared->mLimits.mMaxHeaderBytes + kMaxUnparsedBytes);
    request_parser& parser = mParser.emplace();
    parser.header_limit(mShared->mLimits.mMaxHeaderBytes);
    parser.body_limit(mShared->mLimits.mMaxBodyBytes);
    if (const auto wrong = co_await ReadRequest(parser)) {
      mCharges = request_charges();
      mParser.reset();
      co_await Refuse(*wrong);
      co_return false;
    }
    const bool keepAlive = parser.get().keep_alive();
    mVersion = parser.get().version();
    mHead = parser.get().method() == http::verb::head;
    const auto one = boost::intrusive_ptr<queued_exchange>(new queued_exchange(
      mStream.get_executor(),
      ToRequest(parser),
      { mShared->mLimits.mMaxUnsentBytes, mShared->mMemory },
      std::move(mCharges),
      Now() - mWaitedForRoom));
    // Its fields take several times their bytes.
    mParser.reset();
    FreeBuffer();
    mExchange = one;
    Watch(one);
    mShared->mOnRequest(one);
    const bool written = co_await WriteAnswer(*one, keepAlive);
    mExchange.reset();
    one->Leave();
    // Wakes the watcher, which holds the exchange. The socket may be closed.
    error_code ignored;
    mStream.socket().cancel(ignored);
    mAnsweredOne = true;
    co_return written&& mToldToStay;
  }

  asio::awaitable<bool> WaitForFirstByte()
  {
    if (mBuffer.size() > 0) {
      co_return true;
    }
    mPhase = phase::kWaiting;
    FreeBuffer();
    Enter(mAnsweredOne ? mShared->mIdle : mShared->mSilent, Now());
    mStream.expires_after(mShared->mLimits.mIdleTimeout);
    error_code wrong;
    const std::size_t bytes = co_await mStream.async_read_some(
      mBuffer.prepare(kFirstRead), Into(wrong));
    mBuffer.commit(bytes);
    unlink();
    mPhase = phase::kWorking;
    mEndsAtOnce = mGaveWay && wrong;
    mGaveWay = false;
    co_return !wrong;
  }

  void Enter(session_list& aList, time_point aNow)
  {
    unlink();
    mListedAt = aNow;
    aList.push_back(*this);
  }

  // A large header or request read ahead leaves a large buffer, which would
  // stay for as long as the connection is open.
  void FreeBuffer()
  {
    if (mBuffer.size() == 0 && mBuffer.capacity() > kFirstRead) {
      mBuffer.shrink_to_fit();
    }
  }

  // Nothing when the request is whole; else why it is not.
  asio::awaitable<std::optional<error_kind>> ReadRequest(
    request_parser& aParser)
  {
    BeginReadLimit();
    Enter(mShared->mInHeader, mReadBegun);
    error_code wrong;
    const bool usable = co_await ReadAll(aParser, wrong);
    unlink();
    ++mReads;
    mReadLimit.cancel();
    if (std::exchange(mGaveWay, false) && wrong) {
      co_return error_kind::kTooManyConnections;
    }
    if (std::exchange(mLostRoom, false) && wrong) {
      mShared->mMemory->OnBodyRefused();
      co_return error_kind::kMemoryFull;
    }
    if (!usable) {
      co_return error_kind::kMalformedRequest;
    }
    if (!wrong) {
      co_return std::nullopt;
    }
    if (mLate) {
      co_return error_kind::kSlowSender;
    }
    if (wrong == asio::error::no_memory) {
      mShared->mMemory->OnBodyRefused();
      co_return error_kind::kMemoryFull;
    }
    if (wrong == http::error::header_limit ||
        wrong == http::error::buffer_overflow) {
      co_return error_kind::kHeaderTooLarge;
    }
    if (wrong == http::error::body_limit) {
      co_return error_kind::kBodyTooLarge;
    }
    co_return error_kind::kMalformedRequest;
  }

  // False where a header was read that leaves open how the request goes on.
  asio::awaitable<bool> ReadAll(request_parser& aParser, error_code& aWrong)
  {
    if (!co_await ReadHeaderText(aWrong)) {
      co_return false;
    }
    if (!aWrong) {
      co_await http::async_read_header(mStream, mBuffer, aParser, Into(aWrong));
    }
    if (aWrong) {
      co_return true;
    }
    unlink();
    ExtendReadLimit();
    const auto& header = aParser.get();
    if (!EndsClearly(aParser)) {
      co_return false;
    }
    if (!co_await TakeRoom(aParser)) {
      aWrong = asio::error::no_memory;
      co_return true;
    }
    Enter(mShared->mInBody, Now());
    if (header.version() == kHttp11 &&
        beast::iequals(header[http::field::expect], "100-continue")) {
      http::response<http::empty_body> proceed(http::status::continue_,
                                               kHttp11);
      co_await http::async_write(mStream, proceed, Into(aWrong));
    }
    if (!aWrong) {
      co_await ReadBody(aParser, aWrong);
    }
    SetReceiveBytes(mShared->mLimits.mSocketReceiveBytes);
    if (!aWrong && TooManyFields(header)) {
      aWrong = http::error::header_limit;
    }
    co_return true;
  }

  // A trailer's fields are added to the header's.
  bool TooManyFields(const http::fields& aFields) const
  {
    return static_cast<std::size_t>(
             std::distance(aFields.begin(), aFields.end())) >
           mShared->mLimits.mMaxHeaderFields;
  }

  // Bytes that the system keeps unread. Only a body that is charged gets more
  // than the first ones, a part of its size.
  void SetReceiveBytes(int aBytes)
  {
    if (std::exchange(mReceiveBytes, aBytes) != aBytes) {
      error_code ignored;
      mStream.socket().set_option(
        asio::socket_base::receive_buffer_size(aBytes), ignored);
    }
  }

  // A body of unknown length is charged as it grows. It doesn't wait for room:
  // several that were begun could wait for each other.
  asio::awaitable<void> ReadBody(request_parser& aParser, error_code& aWrong)
  {
    if (!mShared->mMemory || aParser.content_length()) {
      co_await http::async_read(mStream, mBuffer, aParser, Into(aWrong));
      co_return;
    }
    while (!aWrong && !aParser.is_done()) {
      co_await http::async_read_some(mStream, mBuffer, aParser, Into(aWrong));
      const std::uint64_t held =
        aParser.get().body().capacity() * mShared->mLimits.mBodyCopies;
      if (!aWrong && !mShared->mMemory->GrowBody(mCharges.mBody, held)) {
        aWrong = asio::error::no_memory;
      }
    }
  }

  // Charges a body of known length before it is read. Where there is no room,
  // the body stays in the caller's socket, and the time that passes isn't the
  // caller's. False if there is none in time.
  asio::awaitable<bool> TakeRoom(const request_parser& aParser)
  {
    const std::uint64_t length = aParser.content_length().value_or(0);
    if (!mShared->mMemory || length == 0) {
      co_return true;
    }
    const std::uint64_t held = length * mShared->mLimits.mBodyCopies;
    if (auto charge = mShared->mMemory->ChargeBody(held)) {
      mCharges.mBody = std::move(*charge);
    } else if (!mShared->mMemory->EverFits(held) || !co_await WaitAside(held)) {
      co_return false;
    }
    SetReceiveBytes(ReceiveBytesFor(length));
    co_return true;
  }

  // Waits for room, which takes nothing of the caller's time.
  asio::awaitable<bool> WaitAside(std::uint64_t aBytes)
  {
    SuspendReadLimit();
    const time_point begun = Now();
    const bool found = co_await WaitForRoom(aBytes);
    mWaitedForRoom = Now() - begun;
    mReadBegun += mWaitedForRoom;
    ExtendReadLimit();
    co_return found;
  }

  int ReceiveBytesFor(std::uint64_t aLength) const
  {
    const std::uint64_t wanted =
      std::min(aLength / kReceivePart, kMaxReceiveBytes);
    return std::max(static_cast<int>(wanted),
                    mShared->mLimits.mSocketReceiveBytes);
  }

  asio::awaitable<bool> WaitForRoom(std::uint64_t aBytes)
  {
    bool found = false;
    const room_wait wait(mShared->mMemory, aBytes, [&](memory_charge aCharge) {
      mCharges.mBody = std::move(aCharge);
      found = true;
      mRoomTimer.cancel();
    });
    const time_point until = Now() + mShared->mLimits.mMaxRoomWait;
    mWaitsForRoom = true;
    while (!found && !mLostRoom && Now() < until) {
      ReclaimRoom(*mShared);
      mRoomTimer.expires_at(std::min(until, Now() + kReclaimInterval));
      error_code ignored;
      co_await mRoomTimer.async_wait(Into(ignored));
    }
    mWaitsForRoom = false;
    co_return found;
  }

  // Whether all who read this header agree on where its body ends. Another
  // coding than "chunked", two lengths, or a length beside a coding leave that
  // open, and bytes of the body would be taken for the next request.
  static bool EndsClearly(const request_parser& aParser)
  {
    const auto& header = aParser.get();
    const auto codings = header.count(http::field::transfer_encoding);
    const auto lengths = header.count(http::field::content_length);
    const bool known = header.version() == kHttp11 || header.version() == 10;
    return known && codings + lengths <= 1 &&
           (codings == 0 || aParser.chunked());
  }

  // Reads until the buffer holds a whole header; false where its lines leave
  // open how others would read them.
  asio::awaitable<bool> ReadHeaderText(error_code& aWrong)
  {
    header_scanner scanner;
    while (!aWrong) {
      const auto data = mBuffer.cdata();
      const auto found =
        scanner.Scan({ static_cast<const char*>(data.data()), data.size() });
      if (found == header_text::kAmbiguous) {
        co_return false;
      }
      // The request line and the blank one are no fields.
      if (scanner.Lines() > mShared->mLimits.mMaxHeaderFields + 2 ||
          (found == header_text::kIncomplete &&
           mBuffer.size() > mShared->mLimits.mMaxHeaderBytes)) {
        aWrong = http::error::header_limit;
        co_return true;
      }
      if (!ChargeHeader()) {
        aWrong = asio::error::no_memory;
        co_return true;
      }
      if (found == header_text::kWhole) {
        co_return true;
      }
      const std::size_t bytes = co_await mStream.async_read_some(
        mBuffer.prepare(kFirstRead), Into(aWrong));
      mBuffer.commit(bytes);
    }
    co_return true;
  }

  // What a large header costs is charged like a body: its bytes are held in the
  // buffer, as fields, and as copies for attempts.
  bool ChargeHeader()
  {
    if (!mShared->mMemory || mBuffer.size() <= kFreeHeaderBytes) {
      return true;
    }
    return mShared->mMemory->GrowBody(mCharges.mHeader,
                                      mBuffer.size() * kHeaderCopies);
  }

  // Ends the reading of a request as its time limit does.
  void EndReading()
  {
    ++mReads;
    mReadLimit.expires_at(Now());
    AwaitReadLimit(mReads);
  }

  // The stream's own time limit closes the socket, and nothing could be
  // answered any more; this one only ends the reading.
  void BeginReadLimit()
  {
    mLate = false;
    mWaitedForRoom = {};
    mStream.expires_never();
    mReadBegun = Now();
    mReadLimit.expires_at(mReadBegun + mShared->mLimits.mHeaderTimeout);
    AwaitReadLimit(mReads);
  }

  // The header is in; its body has the rest of the whole request's time.
  void ExtendReadLimit()
  {
    ++mReads;
    mReadLimit.expires_at(mReadBegun + mShared->mLimits.mSendTimeout);
    AwaitReadLimit(mReads);
  }

  void SuspendReadLimit()
  {
    ++mReads;
    mReadLimit.cancel();
  }

  void AwaitReadLimit(std::uint64_t aRead)
  {
    mReadLimit.async_wait([self = boost::intrusive_ptr<session>(this),
                           aRead](const error_code& aWrong) {
      if (aWrong || aRead != self->mReads) {
        return;
      }
      self->mLate = true;
      self->mStream.cancel();
      // A partial read that was done but not yet seen isn't cancelled, and
      // another one follows it; that one is.
      self->mReadLimit.expires_after(kCancelAgainAfter);
      self->AwaitReadLimit(aRead);
    });
  }

  // Notices that the caller closes while its request is in progress. A caller
  // that only closed its sending side counts as gone as well; it can still
  // read that its request was given up.
  //
  // Nothing more is read ahead once so much is: a caller that sends requests
  // without waiting for answers would fill the buffer beyond its bound. Then
  // only a reset shows.
  void Watch(const boost::intrusive_ptr<queued_exchange>& aExchange)
  {
    const auto what =
      ReadsAhead() ? tcp::socket::wait_read : tcp::socket::wait_error;
    mStream.socket().async_wait(what,
                                [self = boost::intrusive_ptr<session>(this),
                                 aExchange](const error_code& aWrong) {
                                  if (!aWrong && !aExchange->Gone()) {
                                    self->LookForCloseOrEnd(aExchange);
                                  }
                                });
  }

  bool ReadsAhead() const { return mBuffer.size() < kMaxReadAhead; }

  // An exception that left a handler would end all connections, as it ends the
  // loop that runs them.
  void LookForCloseOrEnd(const boost::intrusive_ptr<queued_exchange>& aExchange)
  {
    try {
      LookForClose(aExchange);
    } catch (...) {
      ReportFault(*mShared, std::current_exception());
      EndAfterFault(*aExchange);
    }
  }

  void EndAfterFault(queued_exchange& aExchange)
  {
    error_code ignored;
    mStream.socket().close(ignored);
    try {
      aExchange.Leave();
    } catch (...) {
      ReportFault(*mShared, std::current_exception());
    }
  }

  // Bytes of a next request are taken over, up to a bound: a close shows only
  // after them.
  void LookForClose(const boost::intrusive_ptr<queued_exchange>& aExchange)
  {
    error_code wrong = asio::error::connection_reset;
    if (ReadsAhead()) {
      mStream.socket().non_blocking(true, wrong);
      const std::size_t bytes =
        mStream.socket().receive(mBuffer.prepare(kFirstRead), 0, wrong);
      mBuffer.commit(bytes);
    }
    if (wrong && wrong != asio::error::would_block) {
      // An answer that is complete is still written; whoever closed only its
      // sending side reads it.
      if (!aExchange->Complete()) {
        aExchange->Leave();
      }
    } else {
      Watch(aExchange);
    }
  }

  asio::awaitable<bool> WriteAnswer(queued_exchange& aExchange, bool aKeepAlive)
  {
    bool begun = false;
    while (auto part = co_await aExchange.Next()) {
      begun = begun || !std::holds_alternative<interim_reply>(*part);
      mStream.expires_after(mShared->mLimits.mWriteTimeout);
      const bool written = co_await WritePart(*part, aKeepAlive);
      mStream.expires_never();
      if (!written) {
        co_return false;
      }
      if (IsLast(*part)) {
        co_return true;
      }
    }
    if (begun) {
      co_await BreakStream();
    } else {
      co_await Refuse(error_kind::kCallerLeft);
    }
    co_return false;
  }

  // A caller that closed only its sending side may still read. Inside a stream
  // a second header would be taken for text of the stream.
  asio::awaitable<void> BreakStream()
  {
    if (mVerbatim) {
      // An end would tell that another server's stream is complete.
      Abort();
      co_return;
    }
    mStream.expires_after(kRefusalTimeout);
    std::string body = mShared->mOnUnreadable(error_kind::kCallerLeft).mBody;
    while (body.ends_with('\n')) {
      body.pop_back();
    }
    if (co_await WriteText("event: error\ndata: " + body + "\n\n")) {
      co_await WriteEnd();
    }
  }

  asio::awaitable<bool> WritePart(reply_part& aPart, bool aKeepAlive)
  {
    if (auto* whole = std::get_if<whole_reply>(&aPart)) {
      co_return co_await WriteWhole(std::move(*whole), aKeepAlive);
    }
    if (const auto* interim = std::get_if<interim_reply>(&aPart)) {
      co_return co_await WriteInterim(*interim);
    }
    if (const auto* head = std::get_if<stream_head>(&aPart)) {
      co_return co_await WriteHead(*head, aKeepAlive);
    }
    if (const auto* text = std::get_if<stream_text>(&aPart)) {
      co_return co_await WriteText(text->mText);
    }
    if (std::holds_alternative<stream_abort>(aPart)) {
      Abort();
      co_return false;
    }
    co_return co_await WriteEnd();
  }

  // A chunked answer lacks its end when the connection closes. Without chunks
  // the end of the connection is the end of the answer, so it is reset.
  void Abort()
  {
    if (mChunked) {
      return;
    }
    error_code ignored;
    SetResetsOnClose(true);
    mStream.socket().close(ignored);
  }

  // Guards against a part of an answer that reaches its caller as complete
  // because its end is that of the connection, and the connection ends in
  // another way than by the answer's end: a write that times out, or the end of
  // this process, after which the system closes its connections in order. From
  // its first byte until its end is known, any close is a reset.
  void SetResetsOnClose(bool aResets)
  {
    if (std::exchange(mResetsOnClose, aResets) != aResets) {
      error_code ignored;
      mStream.socket().set_option(asio::socket_base::linger(aResets, 0),
                                  ignored);
    }
  }

  // Whether this answer tells its caller that the connection stays open. It
  // then does, also where a drain begins before the answer's end: a caller
  // that was told so may have sent its next request already.
  bool StaysOpen(bool aKeepAlive, bool aOpenEnded)
  {
    mToldToStay =
      aKeepAlive && !aOpenEnded && mVersion == kHttp11 && !mShared->mDraining;
    return mToldToStay;
  }

  asio::awaitable<bool> WriteWhole(whole_reply aReply, bool aKeepAlive)
  {
    http::response<http::string_body> response;
    response.version(mVersion);
    response.result(aReply.mHttpStatus);
    for (const auto& [name, value] : aReply.mHeaders) {
      response.insert(name, value);
    }
    if (!aReply.mContentType.empty()) {
      response.set(http::field::content_type, aReply.mContentType);
    }
    response.keep_alive(StaysOpen(aKeepAlive, aReply.mOpenEnded));
    response.body() = std::move(aReply.mBody);
    if (!aReply.mOpenEnded) {
      response.prepare_payload();
    }
    error_code wrong;
    if (mHead) {
      // A body would be taken for the next answer.
      http::response_serializer<http::string_body> serializer(response);
      co_await http::async_write_header(mStream, serializer, Into(wrong));
    } else {
      SetResetsOnClose(aReply.mOpenEnded);
      co_await http::async_write(mStream, response, Into(wrong));
    }
    if (!wrong) {
      SetResetsOnClose(false);
    }
    co_return !wrong;
  }

  asio::awaitable<bool> WriteInterim(const interim_reply& aReply)
  {
    http::response<http::empty_body> response;
    response.version(mVersion);
    response.result(http::status::processing);
    for (const auto& [name, value] : aReply.mHeaders) {
      response.insert(name, value);
    }
    http::response_serializer<http::empty_body> serializer(response);
    error_code wrong;
    co_await http::async_write_header(mStream, serializer, Into(wrong));
    co_return !wrong;
  }

  asio::awaitable<bool> WriteHead(const stream_head& aHead, bool aKeepAlive)
  {
    http::response<http::empty_body> response;
    response.version(mVersion);
    response.result(aHead.mHttpStatus);
    for (const auto& [name, value] : aHead.mHeaders) {
      response.insert(name, value);
    }
    if (!aHead.mVerbatim) {
      response.set(http::field::content_type, "text/event-stream");
      response.set(http::field::cache_control, "no-store");
    }
    mVerbatim = aHead.mVerbatim;
    mChunked = mVersion == kHttp11 && !aHead.mOpenEnded;
    response.keep_alive(StaysOpen(aKeepAlive, aHead.mOpenEnded));
    response.chunked(mChunked);
    http::response_serializer<http::empty_body> serializer(response);
    SetResetsOnClose(!mChunked);
    error_code wrong;
    co_await http::async_write_header(mStream, serializer, Into(wrong));
    co_return !wrong;
  }

  asio::awaitable<bool> WriteText(const std::string& aText)
  {
    error_code wrong;
    if (mChunked) {
      co_await asio::async_write(
        mStream, http::make_chunk(asio::buffer(aText)), Into(wrong));
    } else {
      co_await asio::async_write(mStream, asio::buffer(aText), Into(wrong));
    }
    co_return !wrong;
  }

  asio::awaitable<bool> WriteEnd()
  {
    error_code wrong;
    if (mChunked) {
      co_await asio::async_write(mStream, http::make_chunk_last(), Into(wrong));
    }
    SetResetsOnClose(false);
    co_return !wrong;
  }

  // The connection's state is unknown after this: it is closed.
  asio::awaitable<void> Refuse(error_kind aKind)
  {
    if (!mStream.socket().is_open()) {
      co_return;
    }
    mStream.expires_after(kRefusalTimeout);
    mVersion = kHttp11;
    co_await WriteWhole(mShared->mOnUnreadable(aKind), false);
  }

  static constexpr std::size_t kFirstRead = 4096;
  static constexpr std::size_t kMaxReadAhead = std::size_t{ 8 } << 10U;
  // Headers up to this size are a part of what each connection may cost.
  static constexpr std::size_t kFreeHeaderBytes = std::size_t{ 4 } << 10U;
  static constexpr std::uint64_t kHeaderCopies = 6;
  // Of a body's size, as its inverse: what the system may keep of it unread.
  static constexpr std::uint64_t kReceivePart = 16;
  static constexpr std::uint64_t kMaxReceiveBytes = std::uint64_t{ 256 } << 10U;
  // How often room is taken back while a body waits for it.
  static constexpr duration kReclaimInterval = Milliseconds(250);
  static constexpr duration kRefusalTimeout = Seconds(1);
  static constexpr duration kLingerTimeout = Seconds(2);
  static constexpr duration kCancelAgainAfter = Milliseconds(20);

  enum class phase : std::uint8_t
  {
    // For a request's first byte.
    kWaiting,
    // Reads a request or writes its answer.
    kWorking,
    // Nothing that comes is read as a request any more.
    kClosing,
  };

  beast::tcp_stream mStream;
  std::shared_ptr<caller_server_state> mShared;
  beast::flat_buffer mBuffer;
  asio::steady_timer mReadLimit;
  time_point mOpened;
  phase mPhase = phase::kWorking;
  bool mAnsweredOne = false;
  // What the last answer's head said.
  bool mToldToStay = false;
  // When the present request's first byte was there.
  time_point mReadBegun{};
  // Of the request that is being read, and how long it waited for its body's.
  request_charges mCharges;
  duration mWaitedForRoom{};
  // While a request is being read.
  std::optional<request_parser> mParser;
  // While a body waits for room.
  bool mWaitsForRoom = false;
  asio::steady_timer mRoomTimer;
  // While a request is served.
  boost::intrusive_ptr<queued_exchange> mExchange;
  // It was asked to give way, or its body's room was taken back.
  bool mGaveWay = false;
  bool mLostRoom = false;
  bool mEndsAtOnce = false;
  // As the socket was set last, by its listener at first.
  int mReceiveBytes;
  // Finished readings; tells a late timer that its own is over.
  std::uint64_t mReads = 0;
  unsigned mVersion = kHttp11;
  // Of the present stream: framed in chunks, and another server's.
  bool mChunked = true;
  bool mVerbatim = false;
  bool mResetsOnClose = false;
  bool mHead = false;
  bool mLate = false;
};

// As of `ServeConnection`, but that it may throw.
void
StartSession(const std::shared_ptr<caller_server_state>& aState,
             tcp::socket aSocket)
{
  auto one =
    boost::intrusive_ptr<session>(new session(std::move(aSocket), aState));
  WatchSockets(aState);
  RunToEnd(
    aState->mIo, std::move(one), [aState](const std::exception_ptr& aThrown) {
      ReportFault(*aState, aThrown);
    });
}

} // namespace

void
ReportFault(const caller_server_state& aState,
            const std::exception_ptr& aThrown)
{
  if (aState.mOnFault) {
    aState.mOnFault(ExceptionText(aThrown));
  }
}

void
ServeConnection(const std::shared_ptr<caller_server_state>& aState,
                tcp::socket aSocket)
{
  try {
    StartSession(aState, std::move(aSocket));
  } catch (...) {
    // The listener goes on: without it no caller could connect any more.
    ReportFault(*aState, std::current_exception());
  }
}

} // namespace thornhollow::net_internal
