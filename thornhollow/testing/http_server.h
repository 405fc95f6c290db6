// A small HTTP/1.1 server for the stand-ins: one thread, one event loop, and
// an exchange for each request, through which a handler answers at once, in
// pieces, never, or by breaking the connection.
//
//   event_loop loop;
//   http_server server(loop, [](const http_request& aRequest,
//                               const exchange_ptr& aExchange) {
//     aExchange->Answer(200, {}, "hello " + aRequest.mPath);
//   });
//   server.Listen("127.0.0.1:0");
//   loop.Run();
#ifndef THORNHOLLOW_TESTING_HTTP_SERVER_H_
#define THORNHOLLOW_TESTING_HTTP_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/base/result.h"
#include "thornhollow/base/time.h"

namespace thornhollow::testing {

struct http_header
{
  std::string mName;
  std::string mValue;

  friend bool operator==(const http_header&, const http_header&) = default;
};

// A request that was read whole.
struct http_request
{
  std::string mMethod;
  // Path without the query, and the query without its question mark.
  std::string mPath;
  std::string mQuery;
  std::vector<http_header> mHeaders;
  std::string mBody;

  // The header's value, its name compared without case; empty where absent.
  std::string Header(std::string_view aName) const;
  // The query parameter's value; empty where absent.
  std::string Parameter(std::string_view aName) const;
};

// What an exchange sends, in order.
struct whole_answer
{
  unsigned mStatus = 200;
  std::vector<http_header> mHeaders;
  std::string mBody;
};
struct stream_head
{
  unsigned mStatus = 200;
  std::vector<http_header> mHeaders;
};
struct stream_chunk
{
  std::string mBytes;
};
struct stream_end
{};
// Sends these bytes as they are, then resets the connection.
struct connection_cut
{
  std::string mBytes;
};
using outgoing = std::
  variant<whole_answer, stream_head, stream_chunk, stream_end, connection_cut>;

// One request's answer on its way. A handler may keep it and go on later;
// until the answer ends, no further request of the connection is read.
class http_exchange
  : public boost::intrusive_ref_counter<http_exchange,
                                        boost::thread_unsafe_counter>
{
public:
  // Ends the exchange with a whole answer.
  void Answer(unsigned aStatus,
              std::vector<http_header> aHeaders,
              std::string aBody);
  // Begins a chunked answer, goes on with it, ends it.
  void BeginStream(unsigned aStatus, std::vector<http_header> aHeaders);
  void Send(std::string aBytes);
  void EndStream();
  // Sends `aBytes` unframed and resets the connection.
  void Cut(std::string aBytes = {});

  // Called once when the peer closes or breaks the connection before the
  // answer ended.
  void OnClosed(std::function<void()> aCallback);
  bool Closed() const { return mClosed; }

  // For the server's session.
  std::deque<outgoing>& Pending() { return mPending; }
  void SetNotify(std::function<void()> aNotify);
  void MarkClosed();

private:
  void Push(outgoing aOutgoing);

  std::deque<outgoing> mPending;
  std::function<void()> mNotify;
  std::function<void()> mOnClosed;
  bool mClosed = false;
};

using exchange_ptr = boost::intrusive_ptr<http_exchange>;
using http_handler =
  std::function<void(const http_request&, const exchange_ptr&)>;

// Timers and sockets of one thread.
class event_loop
{
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  // Calls `aCallback` once after `aDelay`.
  void After(duration aDelay, std::function<void()> aCallback);
  time_point Now() const;
  // Works until the process ends.
  void Run();

  struct state;
  state& State() { return *mState; }

private:
  std::unique_ptr<state> mState;
};

// Listens on one address and hands each request to its handler.
class http_server
{
public:
  http_server(event_loop& aLoop, http_handler aHandler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Listens on "ip:port" (port 0 lets the system choose) and returns the
  // address in use. Fails with kInternal where the address can't be had.
  result<std::string> Listen(const std::string& aAddress);
  // Stops to listen: new connections are refused, established ones go on.
  void StopListening();
  // Resets all established connections, as the end of the process does.
  void ResetConnections();
  // Listens again on the address in use; does nothing while listening.
  result<std::string> ListenAgain();

  struct state;

private:
  std::shared_ptr<state> mState;
};

// The line that tells a script that a stand-in is ready, on standard output.
void
PrintListening(std::string_view aAddress, std::string_view aControl);

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_HTTP_SERVER_H_
