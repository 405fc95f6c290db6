// One attempt at an endpoint: connects, sends the request, and hands what comes
// back to the request's state machine as events.
//
// Each attempt has a connection of its own, closed at its end. Closing it is
// the cancel; and a connection that went silent while idle, or a late answer of
// an earlier request, can't exist.
//
//   auto attempt = StartAttempt(io, call, [&](request_event aEvent) { ... });
//   attempt->Close();   // no event comes after this
//
#ifndef THORNHOLLOW_NET_ENDPOINT_ATTEMPT_H_
#define THORNHOLLOW_NET_ENDPOINT_ATTEMPT_H_

#include <cstddef>
#include <functional>
#include <string>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/request/request_machine.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

// What is sent to the endpoint.
struct endpoint_call
{
  attempt_number mAttempt = 0;
  request_id mId;
  // IP number and port.
  std::string mAddress;
  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  std::string mBody;
  // An engine's answer is a stream of tokens; a plain service's is one body.
  bool mEngine = false;
  // Bytes of a whole answer at most; a longer one is unreadable.
  std::size_t mMaxAnswerBytes = std::size_t{ 8 } << 20U;
};

class endpoint_attempt
  : public boost::intrusive_ref_counter<endpoint_attempt,
                                        boost::thread_unsafe_counter>
{
public:
  endpoint_attempt() = default;
  endpoint_attempt(const endpoint_attempt&) = delete;
  endpoint_attempt& operator=(const endpoint_attempt&) = delete;
  virtual ~endpoint_attempt() = default;

  // Closes the connection. No further event is handed on.
  virtual void Close() = 0;
};

// Begins the attempt; `aOnEvent` is called from the io_context's thread, never
// from within this function.
boost::intrusive_ptr<endpoint_attempt>
StartAttempt(boost::asio::io_context& aIo,
             endpoint_call aCall,
             std::function<void(request_event)> aOnEvent);

} // namespace thornhollow

#endif // THORNHOLLOW_NET_ENDPOINT_ATTEMPT_H_
