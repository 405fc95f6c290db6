// Kept connections to endpoints.
//
//   endpoint_connections kept(io, endpoint_connection_settings{});
//   if (auto one = kept.TakeIdle(where, Seconds(4))) { ... }
//   kept.GiveBack(where, std::move(one), idleLimit);
//   kept.Forget(where);   // the process there is gone
//
// A new connection costs an endpoint a handshake, at times a slot, so used ones
// are kept. What makes that safe:
//   - A connection belongs to one process at one address. An address is used
//     again by other endpoints, so nothing kept survives its process.
//   - It is given back only after a whole answer, with the whole request
//     written and nothing left unread.
//   - Before it is taken it is looked at: one that the endpoint closed, or that
//     holds bytes nobody asked for (a second or a late answer), is dropped.
//   - It is taken only well before the endpoint's own idle limit, or a request
//     would meet its close.
#ifndef THORNHOLLOW_NET_ENDPOINT_CONNECTIONS_H_
#define THORNHOLLOW_NET_ENDPOINT_CONNECTIONS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/base/time.h"
#include "thornhollow/net/internal/read_buffer.h"

namespace thornhollow {

// One process at one address.
struct endpoint_process
{
  // IP number and port.
  std::string mAddress;
  // Tells processes at this address apart; never used again for another.
  std::uint64_t mLifetime = 0;

  friend bool operator==(const endpoint_process&,
                         const endpoint_process&) = default;
  friend bool operator<(const endpoint_process& aLeft,
                        const endpoint_process& aRight)
  {
    return aLeft.mLifetime != aRight.mLifetime
             ? aLeft.mLifetime < aRight.mLifetime
             : aLeft.mAddress < aRight.mAddress;
  }
};

class endpoint_connection
  : public boost::intrusive_ref_counter<endpoint_connection,
                                        boost::thread_unsafe_counter>
{
public:
  explicit endpoint_connection(boost::asio::io_context& aIo)
    : mStream(aIo)
  {
  }

  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer{ net_internal::kMaxUnparsedBytes };
  // When it was made; `max` until then.
  time_point mMadeAt = time_point::max();
  // For how long the other end may be silent, as the socket was told last; zero
  // where it was told nothing.
  duration mSilence{};
};
using endpoint_connection_ptr = boost::intrusive_ptr<endpoint_connection>;

struct endpoint_connection_settings
{
  // Kept for one endpoint. Endpoints accept a few hundred connections of all
  // instances together; with 8 instances this is half of the least limit seen.
  std::size_t mMaxIdlePerEndpoint = 12;
  // Kept for all; each costs a descriptor and a few KB.
  std::size_t mMaxIdle = 1024;
  // Where an endpoint states no idle limit.
  duration mDefaultIdleLimit = Seconds(4);
  // Part of an endpoint's idle limit for which a connection is used again: the
  // rest covers the way there and a busy instance's late timers.
  double mPartOfIdleLimit = 0.7;

  friend bool operator==(const endpoint_connection_settings&,
                         const endpoint_connection_settings&) = default;
};

struct endpoint_connection_counters
{
  std::uint64_t mTaken = 0;
  std::uint64_t mExpired = 0;
  // Dropped since the endpoint had closed them.
  std::uint64_t mClosed = 0;
  // Dropped since they held bytes that nobody had asked for.
  std::uint64_t mUnasked = 0;

  friend bool operator==(const endpoint_connection_counters&,
                         const endpoint_connection_counters&) = default;
};

// What the connections that are kept for one process tell of it.
enum class kept_state : std::uint8_t
{
  // None is kept.
  kNone,
  // One is open: the process has not ended since it was made.
  kOpen,
  // The endpoint has closed all.
  kAllClosed,
};

class endpoint_connections
{
public:
  endpoint_connections(boost::asio::io_context& aIo,
                       const endpoint_connection_settings& aSettings);

  // The one that was used last, if it was used within `aMaxIdle`; null where
  // none is fit.
  endpoint_connection_ptr TakeIdle(const endpoint_process& aWhere,
                                   duration aMaxIdle);

  // `aIdleLimit` is what the endpoint stated. Closes it where there are enough.
  void GiveBack(const endpoint_process& aWhere,
                endpoint_connection_ptr aConnection,
                std::optional<duration> aIdleLimit);

  // Looks at those that are kept for this process and within their idle limits.
  kept_state LookAtKept(const endpoint_process& aWhere);
  // Takes a process that closed a kept connection before its idle limit.
  void OnClosedEarly(std::function<void(const endpoint_process&)> aListener)
  {
    mOnClosedEarly = std::move(aListener);
  }

  // Closes all that are kept for this process, and takes none back for it.
  void Forget(const endpoint_process& aWhere);
  // Closes all that are kept: this process stood still, and nothing is known of
  // what happened to them meanwhile.
  void ForgetAll();

  // Bounds those that are kept, together; beyond it those of the endpoint
  // looked at first are closed, the oldest of them first. At most as many as
  // the settings allow.
  void SetMaxIdle(std::size_t aCount);

  // Closes those that were idle for too long. To be called every second or so.
  void Tick(time_point aNow);

  std::size_t Idle() const { return mIdle; }
  const endpoint_connection_counters& Counters() const { return mCounters; }
  boost::asio::io_context& Io() { return mIo; }

private:
  struct kept
  {
    endpoint_connection_ptr mConnection;
    time_point mSince{};
    time_point mUntil{};
  };

  boost::asio::io_context& mIo;
  endpoint_connection_settings mSettings;
  std::map<endpoint_process, std::deque<kept>> mKept;
  std::size_t mIdle = 0;
  std::size_t mMaxIdle;
  std::function<void(const endpoint_process&)> mOnClosedEarly;
  endpoint_connection_counters mCounters;
};

} // namespace thornhollow

#endif // THORNHOLLOW_NET_ENDPOINT_CONNECTIONS_H_
