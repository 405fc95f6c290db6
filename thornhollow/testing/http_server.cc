#include "thornhollow/testing/http_server.h"

#include <cstdio>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include "thornhollow/net/internal/awaitable.h"
#include "thornhollow/testing/event_loop_state.h"
#include "thornhollow/testing/socket_address.h"

namespace thornhollow::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using net_internal::Into;

namespace {

constexpr std::uint64_t kBodyLimit = 64ULL << 20;

http_request
Convert(const http::request<http::string_body>& aMessage)
{
  http_request request;
  request.mMethod = std::string(aMessage.method_string());
  const std::string target(aMessage.target());
  const auto mark = target.find('?');
  request.mPath = target.substr(0, mark);
  if (mark != std::string::npos) {
    request.mQuery = target.substr(mark + 1);
  }
  for (const auto& field : aMessage) {
    request.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.mBody = aMessage.body();
  return request;
}

template<class body>
http::response<body>
Head(unsigned aStatus, const std::vector<http_header>& aHeaders)
{
  http::response<body> response(http::int_to_status(aStatus), 11);
  for (const auto& [name, value] : aHeaders) {
    response.set(name, value);
  }
  return response;
}

// One connection: reads a request, sends what its exchange holds, and watches
// for the peer's close in the meantime.
class session : public std::enable_shared_from_this<session>
{
public:
  session(tcp::socket aSocket, http_handler aHandler)
    : mSocket(std::move(aSocket))
    , mWake(mSocket.get_executor())
    , mHandler(std::move(aHandler))
  {
    error_code ignored;
    mSocket.set_option(tcp::no_delay(true), ignored);
  }

  asio::awaitable<void> Serve()
  {
    const auto self = shared_from_this();
    bool goOn = true;
    while (goOn) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kBodyLimit);
      error_code error;
      co_await http::async_read(mSocket, mBuffer, parser, Into(error));
      if (error) {
        break;
      }
      const bool keepAlive = parser.get().keep_alive();
      goOn = co_await Exchange(Convert(parser.get())) && keepAlive;
    }
    error_code ignored;
    mSocket.shutdown(tcp::socket::shutdown_both, ignored);
    mSocket.close(ignored);
  }

  // The peer gets a reset at once; whatever waits to be sent is dropped.
  void Reset()
  {
    error_code ignored;
    mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    mSocket.close(ignored);
    mWake.cancel();
  }

private:
  // False when the connection can't carry another request.
  asio::awaitable<bool> Exchange(http_request aRequest)
  {
    const exchange_ptr exchange(new http_exchange);
    exchange->SetNotify([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->mWake.cancel();
      }
    });
    WatchForClose(exchange);
    mHandler(aRequest, exchange);
    bool usable = false;
    bool ended = false;
    while (!ended && !exchange->Closed() && mSocket.is_open()) {
      if (exchange->Pending().empty()) {
        mWake.expires_at(asio::steady_timer::time_point::max());
        error_code ignored;
        co_await mWake.async_wait(Into(ignored));
        continue;
      }
      const outgoing next = std::move(exchange->Pending().front());
      exchange->Pending().pop_front();
      error_code error;
      co_await Write(next, error);
      if (error) {
        exchange->MarkClosed();
      }
      ended = std::holds_alternative<whole_answer>(next) ||
              std::holds_alternative<stream_end>(next) ||
              std::holds_alternative<connection_cut>(next);
      usable = ended && !error && !std::holds_alternative<connection_cut>(next);
    }
    exchange->SetNotify(nullptr);
    error_code ignored;
    mSocket.cancel(ignored);
    co_return usable;
  }

  asio::awaitable<void> Write(const outgoing& aNext, error_code& aError)
  {
    if (const auto* whole = std::get_if<whole_answer>(&aNext)) {
      auto response = Head<http::string_body>(whole->mStatus, whole->mHeaders);
      response.body() = whole->mBody;
      response.prepare_payload();
      co_await http::async_write(mSocket, response, Into(aError));
    } else if (const auto* head = std::get_if<stream_head>(&aNext)) {
      auto response = Head<http::empty_body>(head->mStatus, head->mHeaders);
      response.chunked(true);
      http::response_serializer<http::empty_body> serializer(response);
      co_await http::async_write_header(mSocket, serializer, Into(aError));
    } else if (const auto* chunk = std::get_if<stream_chunk>(&aNext)) {
      co_await asio::async_write(
        mSocket, http::make_chunk(asio::buffer(chunk->mBytes)), Into(aError));
    } else if (std::holds_alternative<stream_end>(aNext)) {
      co_await asio::async_write(
        mSocket, http::make_chunk_last(), Into(aError));
    } else if (const auto* cut = std::get_if<connection_cut>(&aNext)) {
      co_await asio::async_write(
        mSocket, asio::buffer(cut->mBytes), Into(aError));
      error_code ignored;
      // Closing at once with nothing lingering sends a reset, as the system
      // does for a process that was killed with unread input.
      mSocket.set_option(asio::socket_base::linger(cut->mBytes.empty(), 0),
                         ignored);
    }
  }

  void WatchForClose(const exchange_ptr& aExchange)
  {
    mSocket.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), aExchange](const error_code& aError) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        char byte = 0;
        error_code error = aError;
        if (!error) {
          self->mSocket.receive(
            asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        }
        if (error) {
          aExchange->MarkClosed();
          self->mWake.cancel();
        }
      });
  }

  tcp::socket mSocket;
  asio::steady_timer mWake;
  http_handler mHandler;
  beast::flat_buffer mBuffer;
};

} // namespace

std::string
http_request::Header(std::string_view aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (beast::iequals(name, aName)) {
      return value;
    }
  }
  return {};
}

std::string
http_request::Parameter(std::string_view aName) const
{
  // The parsed view refers to this text.
  const std::string target = "/?" + mQuery;
  const auto parsed = boost::urls::parse_origin_form(target);
  if (!parsed) {
    return {};
  }
  for (const auto parameter : parsed->params()) {
    if (parameter.key == aName) {
      return parameter.value;
    }
  }
  return {};
}

void
http_exchange::Answer(unsigned aStatus,
                      std::vector<http_header> aHeaders,
                      std::string aBody)
{
  Push(whole_answer{ aStatus, std::move(aHeaders), std::move(aBody) });
}

void
http_exchange::BeginStream(unsigned aStatus, std::vector<http_header> aHeaders)
{
  Push(stream_head{ aStatus, std::move(aHeaders) });
}

void
http_exchange::Send(std::string aBytes)
{
  Push(stream_chunk{ std::move(aBytes) });
}

void
http_exchange::EndStream()
{
  Push(stream_end{});
}

void
http_exchange::Cut(std::string aBytes)
{
  Push(connection_cut{ std::move(aBytes) });
}

void
http_exchange::OnClosed(std::function<void()> aCallback)
{
  mOnClosed = std::move(aCallback);
}

void
http_exchange::SetNotify(std::function<void()> aNotify)
{
  mNotify = std::move(aNotify);
}

void
http_exchange::MarkClosed()
{
  if (std::exchange(mClosed, true)) {
    return;
  }
  if (const auto callback = std::exchange(mOnClosed, nullptr)) {
    callback();
  }
}

void
http_exchange::Push(outgoing aOutgoing)
{
  mPending.push_back(std::move(aOutgoing));
  if (mNotify) {
    mNotify();
  }
}

event_loop::event_loop()
  : mState(std::make_unique<state>())
{
}

event_loop::~event_loop() = default;

void
event_loop::After(duration aDelay, std::function<void()> aCallback)
{
  auto timer = std::make_unique<asio::steady_timer>(mState->mContext, aDelay);
  auto& waiting = *timer;
  waiting.async_wait(
    [timer = std::move(timer),
     callback = std::move(aCallback)](const error_code& aError) {
      if (!aError) {
        callback();
      }
    });
}

time_point
event_loop::Now() const
{
  return std::chrono::steady_clock::now();
}

void
event_loop::Run()
{
  const auto work = asio::make_work_guard(mState->mContext);
  mState->mContext.run();
}

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
  state(asio::io_context& aContext, http_handler aHandler)
    : mAcceptor(aContext)
    , mHandler(std::move(aHandler))
  {
  }

  asio::awaitable<void> Accept()
  {
    const auto self = shared_from_this();
    while (mAcceptor.is_open()) {
      error_code error;
      tcp::socket socket = co_await mAcceptor.async_accept(Into(error));
      if (error == asio::error::operation_aborted ||
          error == asio::error::bad_descriptor) {
        break;
      }
      if (error) {
        continue;
      }
      const auto served =
        std::make_shared<session>(std::move(socket), mHandler);
      std::erase_if(mSessions,
                    [](const auto& aEntry) { return aEntry.expired(); });
      mSessions.push_back(served);
      asio::co_spawn(
        mAcceptor.get_executor(),
        [served] { return served->Serve(); },
        asio::detached);
    }
  }

  tcp::acceptor mAcceptor;
  http_handler mHandler;
  std::string mAddress;
  std::vector<std::weak_ptr<session>> mSessions;
};

http_server::http_server(event_loop& aLoop, http_handler aHandler)
  : mState(std::make_shared<state>(aLoop.State().mContext, std::move(aHandler)))
{
}

http_server::~http_server() = default;

result<std::string>
http_server::Listen(const std::string& aAddress)
{
  BOOST_LEAF_AUTO(endpoint, ParseSocketAddress(aAddress));
  auto& acceptor = mState->mAcceptor;
  if (const error_code error = OpenAcceptor(acceptor, endpoint)) {
    return Fail(error_kind::kInternal, aAddress + ": " + error.message());
  }
  mState->mAddress = FormatSocketAddress(acceptor.local_endpoint());
  asio::co_spawn(
    acceptor.get_executor(),
    [state = mState] { return state->Accept(); },
    asio::detached);
  return mState->mAddress;
}

void
http_server::StopListening()
{
  error_code ignored;
  mState->mAcceptor.close(ignored);
}

void
http_server::ResetConnections()
{
  for (const auto& each : std::exchange(mState->mSessions, {})) {
    if (const auto served = each.lock()) {
      served->Reset();
    }
  }
}

result<std::string>
http_server::ListenAgain()
{
  if (mState->mAcceptor.is_open()) {
    return mState->mAddress;
  }
  return Listen(mState->mAddress);
}

void
PrintListening(std::string_view aAddress, std::string_view aControl)
{
  const boost::json::object line{ { "listening", aAddress },
                                  { "control", aControl } };
  std::printf("%s\n", boost::json::serialize(line).c_str());
  std::fflush(stdout);
}

} // namespace thornhollow::testing
