// One caller's connection: reads its requests, hands them on, writes their
// answers, and closes without throwing away what the caller may still read.
//
//   ServeConnection(state, std::move(socket));
//   for (caller_session* each : state->mSessions) { each->EndIfIdle(); }
//
#ifndef THORNHOLLOW_NET_INTERNAL_CALLER_SESSION_H_
#define THORNHOLLOW_NET_INTERNAL_CALLER_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/net/caller_server.h"

namespace thornhollow::net_internal {

class caller_session
  : public boost::intrusive_ref_counter<caller_session,
                                        boost::thread_unsafe_counter>
  , public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  caller_session() = default;
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;
  virtual ~caller_session() = default;

  // Ends the wait for a next request; a request that has come is served.
  virtual void EndIfIdle() = 0;

  // A request is being read or answered, or the connection is so new that its
  // first one is on its way.
  virtual bool Busy() const = 0;

  // Closes the connection for a new one; for a header that is being read, with
  // an answer. False where a request has come, or is in progress.
  virtual bool GiveWay() = 0;
  // Closes the connection at once, its last answer having been sent.
  virtual void EndLinger() = 0;
  // Gives the room of the body that is being read back if it comes too slowly.
  virtual bool GiveRoomBack() = 0;

  // Received and not read, and sent and not taken.
  virtual std::uint64_t SocketBytes() = 0;
  // Ends the connection by a reset, or, where its body waits for room, with an
  // answer.
  virtual void CloseForSocketBytes() = 0;

  // Since when it is in its list.
  time_point mListedAt{};
};

// Sessions in the order in which they came into one state.
using session_list =
  boost::intrusive::list<caller_session,
                         boost::intrusive::constant_time_size<false>>;

// What a server and its sessions share. Sessions outlive the server object
// until their connections end.
struct caller_server_state
{
  caller_server_state(boost::asio::io_context& aIo,
                      const server_limits& aLimits,
                      exchange_handler aOnRequest,
                      refusal_handler aOnUnreadable)
    : mIo(aIo)
    , mLimits(aLimits)
    , mOnRequest(std::move(aOnRequest))
    , mOnUnreadable(std::move(aOnUnreadable))
    , mAcceptor(aIo)
    , mSocketTimer(aIo)
  {
  }

  void Tell(server_event aEvent) const
  {
    if (mOnEvent) {
      mOnEvent(aEvent);
    }
  }

  boost::asio::io_context& mIo;
  server_limits mLimits;
  exchange_handler mOnRequest;
  refusal_handler mOnUnreadable;
  boost::asio::ip::tcp::acceptor mAcceptor;
  fault_handler mOnFault;
  // Null where bodies are not charged.
  memory_account_ptr mMemory;
  // All connections, also those being refused or closed.
  std::set<caller_session*> mSessions;
  std::size_t mServing = 0;
  // Without a request in progress: nothing has come, a part of a header has,
  // the last request is answered.
  session_list mSilent;
  session_list mInHeader;
  session_list mIdle;
  // Read a body.
  session_list mInBody;
  // Wait for the caller to close, their last answer having been sent.
  session_list mLingering;
  server_event_handler mOnEvent;
  // What lies in the sockets is looked at when it fires.
  boost::asio::steady_timer mSocketTimer;
  bool mWatchesSockets = false;
  bool mDraining = false;
};

// Tells what an exception said that ended a connection.
void
ReportFault(const caller_server_state& aState,
            const std::exception_ptr& aThrown);

// Serves a new connection until it ends. An exception, as where memory is
// short, ends it and is reported.
void
ServeConnection(const std::shared_ptr<caller_server_state>& aState,
                boost::asio::ip::tcp::socket aSocket);

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_CALLER_SESSION_H_
