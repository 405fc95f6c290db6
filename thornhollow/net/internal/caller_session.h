// One caller's connection: reads its requests, hands them on, writes their
// answers, and closes without throwing away what the caller may still read.
//
//   ServeConnection(state, std::move(socket));
//   for (caller_session* each : state->mSessions) { each->EndIfIdle(); }
//
#ifndef THORNHOLLOW_NET_INTERNAL_CALLER_SESSION_H_
#define THORNHOLLOW_NET_INTERNAL_CALLER_SESSION_H_

#include <cstddef>
#include <memory>
#include <set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/net/caller_server.h"

namespace thornhollow::net_internal {

class caller_session
  : public boost::intrusive_ref_counter<caller_session,
                                        boost::thread_unsafe_counter>
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
};

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
  {
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
  bool mDraining = false;
};

// Serves a new connection until it ends.
void
ServeConnection(const std::shared_ptr<caller_server_state>& aState,
                boost::asio::ip::tcp::socket aSocket);

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_CALLER_SESSION_H_
