// Takes callers' HTTP connections, reads requests within bounds, and writes the
// answers that a handler gives.
//
//   caller_server server(io, limits, [&](caller_exchange_ptr aExchange) {
//     aExchange->Send(whole_reply{ 200, {}, "text/plain", "hello" });
//   });
//   server.Listen("127.0.0.1:8080");
//
// The same class serves the operators' page: its handler differs.
#ifndef THORNHOLLOW_NET_CALLER_SERVER_H_
#define THORNHOLLOW_NET_CALLER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/base/error.h"
#include "thornhollow/base/header_field.h"
#include "thornhollow/base/result.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/admission/memory_account.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

namespace net_internal {
struct caller_server_state;
}

struct server_limits
{
  std::uint32_t mMaxHeaderBytes = std::uint32_t{ 16 } << 10U;
  std::size_t mMaxBodyBytes = std::size_t{ 8 } << 20U;
  // Fields of a header and of a trailer. Each costs memory of its own, more
  // than its bytes.
  std::size_t mMaxHeaderFields = 128;
  std::size_t mMaxConnections = 4096;
  // Connections beyond these, which are being refused or closed; further ones
  // are closed without an answer.
  std::size_t mMaxClosing = 256;
  // What the system keeps for one connection, received and not read, and sent
  // and not taken; it takes up to twice as much. Larger bodies get more room
  // once they are charged.
  int mSocketReceiveBytes = 16 * 1024;
  int mSocketSendBytes = 32 * 1024;
  // What may lie in the sockets of all connections; beyond it those with the
  // most are closed. 0: no bound.
  std::uint64_t mMaxSocketBytes = 0;
  // How often a request's body is in memory while it is served.
  std::uint64_t mBodyCopies = 1;
  // From a request's first byte to the end of its header.
  duration mHeaderTimeout = Seconds(10);
  // From a request's first byte to its last. A sender slower than this would
  // hold memory and a connection for as long as it likes.
  duration mSendTimeout = Seconds(10);
  // A connection without a request for this long is closed.
  duration mIdleTimeout = Seconds(60);
  // From a connection's opening to its first request: a round trip of 100 ms
  // and as much for a busy caller. One that has waited longer was opened in
  // advance and counts as idle.
  duration mFirstRequestComes = Milliseconds(200);
  // A write that makes no progress for this long: the caller is gone, or its
  // connection silent.
  duration mWriteTimeout = Seconds(10);
  // How long a body stays unread while there is no room for it: a caller with a
  // time limit of some seconds can still go elsewhere when it is refused then.
  duration mMaxRoomWait = Seconds(3);
  // Bytes of an answer that wait because the caller reads slowly; beyond it
  // the caller counts as gone.
  std::size_t mMaxUnsentBytes = std::size_t{ 16 } << 20U;

  friend bool operator==(const server_limits&, const server_limits&) = default;
};

// A request as it arrived, whole.
struct caller_request
{
  std::string mMethod;
  // Without the query part.
  std::string mPath;
  std::vector<header_field> mHeaders;
  std::string mBody;
  // Path and query as they came.
  std::string mTarget = {};
  // Whether the caller reads chunks, which HTTP/1.0 doesn't have.
  bool mReadsChunks = true;

  // The first value of this header, case ignored; empty where absent.
  std::string_view Header(std::string_view aName) const;
};

// An answer in one piece.
struct whole_reply
{
  unsigned mHttpStatus = 200;
  std::vector<header_field> mHeaders;
  std::string mContentType;
  std::string mBody;
  // Only the end of the connection tells the answer's end: it gets neither a
  // length nor chunks, and its connection is closed after it. For answers whose
  // server framed them so, as nobody knows whether they are whole.
  bool mOpenEnded = false;
  // Held until the answer is written.
  std::shared_ptr<const memory_charge> mCharge = nullptr;
};
// Precedes the answer's head, any number of times (HTTP status 102).
struct interim_reply
{
  std::vector<header_field> mHeaders;
};
// Begins a stream of server-sent events.
struct stream_head
{
  std::vector<header_field> mHeaders;
  unsigned mHttpStatus = 200;
  // The headers are another server's and are handed on as they are; else those
  // of an event stream are added.
  bool mVerbatim = false;
  // As of `whole_reply`.
  bool mOpenEnded = false;
};
// Text of one or more events, each with its blank line.
struct stream_text
{
  std::string mText;
  // Held until the text is written.
  std::shared_ptr<const memory_charge> mCharge = nullptr;
};
struct stream_end
{};
// The stream can't go on and must not look complete: the connection is closed
// without the stream's end, by a reset where its end is that of the connection.
struct stream_abort
{};
using reply_part = std::variant<whole_reply,
                                interim_reply,
                                stream_head,
                                stream_text,
                                stream_end,
                                stream_abort>;

// One request and its answer. The handler keeps a pointer for as long as it has
// something to send.
class caller_exchange
  : public boost::intrusive_ref_counter<caller_exchange,
                                        boost::thread_unsafe_counter>
{
public:
  caller_exchange() = default;
  caller_exchange(const caller_exchange&) = delete;
  caller_exchange& operator=(const caller_exchange&) = delete;
  virtual ~caller_exchange() = default;

  virtual const caller_request& Request() const = 0;
  virtual time_point Arrival() const = 0;

  // Queues a part of the answer. A `whole_reply`, `stream_end` or
  // `stream_abort` is the last.
  // Does nothing once the caller is gone.
  virtual void Send(reply_part aPart) = 0;

  // `aListener` is called once if the caller leaves before the answer's last
  // part was sent; never after that part.
  virtual void OnLeft(std::function<void()> aListener) = 0;
};
using caller_exchange_ptr = boost::intrusive_ptr<caller_exchange>;

// The request's body, which stays in the exchange and keeps the exchange alive:
// it may be 4 MB, so that several attempts share it instead of copying it.
std::shared_ptr<const std::string>
SharedBody(const caller_exchange_ptr& aExchange);

using exchange_handler = std::function<void(caller_exchange_ptr)>;
// Answers a request that could not be read; also counts it.
using refusal_handler = std::function<whole_reply(error_kind)>;
// Takes what an exception said that ended a connection.
using fault_handler = std::function<void(std::string_view aDetail)>;

// What a server does to connections for the sake of others.
enum class server_event : std::uint8_t
{
  // A connection without a request in progress was closed for a new one.
  kGaveWay,
  // A new connection was closed without an answer.
  kDropped,
  // A body that came too slowly lost its room to others.
  kBodyGaveWay,
  // A connection was reset for what lay in its socket.
  kSocketFull,
};

// A constant name for metrics, such as "connection_gave_way".
std::string_view
Name(server_event aEvent);
using server_event_handler = std::function<void(server_event)>;

class caller_server
{
public:
  caller_server(boost::asio::io_context& aIo,
                const server_limits& aLimits,
                exchange_handler aOnRequest,
                refusal_handler aOnUnreadable);
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;
  ~caller_server();

  // Listens; fails when the address can't be had. Returns the address with the
  // port in use, which differs where port 0 was asked for.
  result<std::string> Listen(std::string_view aAddress);

  // Bounds of the requests that are read from now on.
  void SetLimits(const server_limits& aLimits);

  // Where bodies are charged that are read from now on; none by default.
  void SetMemory(memory_account_ptr aAccount);

  // Called for each exception in the handling of a connection. It ends that
  // connection alone: what was begun for its request ends as for a caller that
  // leaves.
  void OnFault(fault_handler aListener);

  void OnEvent(server_event_handler aListener);

  // From now on each answer asks its caller to close the connection.
  void CloseAfterAnswers();

  // The same, and connections that wait for a next request are closed. A
  // request that has arrived, or is on its way on a connection that was just
  // opened, is still served. Calling it again closes what is idle since.
  void BeginDrain();

  // Takes no further connection; those that the kernel has accepted already
  // are served, since closing would reset them.
  void StopListening();

  // Some request is being read or answered, or may be on its way on a
  // connection that was just opened.
  bool Busy() const;

private:
  // Sessions outlive the server object until their connections end, so what
  // they share is kept apart.
  std::shared_ptr<net_internal::caller_server_state> mState;
};

} // namespace thornhollow

#endif // THORNHOLLOW_NET_CALLER_SERVER_H_
