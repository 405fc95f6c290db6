// Bytes between daemons: one UDP socket for datagrams and one TCP port of the
// same number for exchanges of a request and its answer, each a frame with its
// length in front. Knows nothing of what the bytes mean.
//
//   peer_transport transport(io, { .mAddress = "127.0.0.1:7001" }, handlers);
//   BOOST_LEAF_CHECK(transport.Open());
//   transport.SendDatagram("127.0.0.1:7002", bytes);
//   transport.Exchange("127.0.0.1:7002", bytes, Milliseconds(300),
//                      [](std::optional<std::string> aAnswer) { ... });
//
// Guards against silent connections: something between two daemons can lose
// track of a connection, which then swallows bytes for good while new ones
// work. It shows as an exchange without an answer. Every exchange has a time
// limit; a connection is used again only if it answered a moment ago, and gets
// half of the time, the rest is for a new one; and when one goes silent, the
// idle ones to the same peer are closed with it.
//
// Guards against garbage on the ports: memory is bounded by the number of
// connections and the size of a request; a frame that is too long, and what a
// handler can't read, is counted and ends the connection.
//
// All calls and callbacks on the thread of the io_context.
#ifndef THORNHOLLOW_NET_PEER_TRANSPORT_H_
#define THORNHOLLOW_NET_PEER_TRANSPORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "thornhollow/base/result.h"
#include "thornhollow/base/time.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct peer_transport_settings
{
  // IP number and port, for UDP and TCP; port 0 takes a free one.
  std::string mAddress;
  std::size_t mMaxDatagramBytes = 1200;
  // Requests are claims and questions; answers hold a configuration part.
  std::size_t mMaxRequestBytes = 4096;
  std::size_t mMaxAnswerBytes = (std::size_t{ 1 } << 20U) + 4096;
  // Connections of peers served at a time. Letter 1's domains have 38 members;
  // each opens a few.
  std::size_t mMaxConnections = 256;
  // What the system keeps unread for one of these; it takes up to twice as
  // much.
  int mSocketReceiveBytes = 8 * 1024;
  // Connections kept open to one peer, and to all.
  std::size_t mMaxIdlePerPeer = 2;
  std::size_t mMaxIdle = 64;
  // A connection that answered no longer ago than this is used again.
  duration mReuseWithin = Seconds(2);
  // A peer's connection on which no request comes for this long is closed, as
  // is one whose request takes this long to arrive or whose answer to leave.
  duration mServeLimit = Seconds(5);
};

struct peer_handlers
{
  // A datagram came. Returns whether it could be read.
  std::function<bool(std::string_view aBytes)> mOnDatagram;
  // A request came. Returns its answer, or nothing where it can't be read.
  std::function<std::optional<std::string>(std::string_view aBytes)> mOnRequest;
  // Takes the constant name of what happened to a connection for want of room:
  // "peer_connection_gave_way", "peer_connection_refused", or "peer_fault" for
  // an exception of one of the handlers above. May be null.
  std::function<void(std::string_view aEvent)> mOnEvent = nullptr;
};

struct exchange_limits
{
  // For the whole answer, connecting included.
  duration mTimeout{};
  // Where above zero, `mTimeout` holds up to the answer's first bytes, and no
  // pause between two parts of it is longer than this: a large answer on a
  // narrow link is slow, not lost.
  duration mMostPause{};
  // Called with the bytes of the answer that have come so far.
  std::function<void(std::size_t aBytes)> mOnBytes = nullptr;
};

// Totals since the start.
struct peer_counters
{
  std::uint64_t mDatagramsIn = 0;
  std::uint64_t mDatagramsOut = 0;
  std::uint64_t mDatagramsUnsent = 0;
  std::uint64_t mExchanges = 0;
  std::uint64_t mExchangesFailed = 0;
  std::uint64_t mConnectionsAccepted = 0;
  std::uint64_t mConnectionsRefused = 0;
  // Connections without a request in progress that were closed for new ones.
  std::uint64_t mConnectionsGaveWay = 0;
  // Datagrams and frames that were too long or could not be read.
  std::uint64_t mGarbage = 0;
  // Payload and frame heads, both ways.
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
};

class peer_transport
{
public:
  using answer_handler = std::function<void(std::optional<std::string>)>;

  peer_transport(boost::asio::io_context& aIo,
                 peer_transport_settings aSettings,
                 peer_handlers aHandlers);
  // Closes; no callback comes after it.
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  // Binds both sockets. Fails with kInternal where the address is taken or
  // isn't one.
  result<void> Open();

  // "ip:port" as bound; empty before `Open`.
  std::string LocalAddress() const;

  // Sends or drops it at once; never waits.
  void SendDatagram(const std::string& aAddress, std::string_view aBytes);

  // Sends a request and hands its answer to `aDone`, or nothing where no whole
  // answer came within the limits. The peer may have handled the request all
  // the same, and, where a used connection broke, twice: requests must be
  // idempotent. `aDone` is called once, never from here.
  void Exchange(const std::string& aAddress,
                std::string aRequest,
                exchange_limits aLimits,
                answer_handler aDone);

  const peer_counters& Counters() const;

private:
  class shared;

  std::shared_ptr<shared> mShared;
};

} // namespace thornhollow

#endif // THORNHOLLOW_NET_PEER_TRANSPORT_H_
