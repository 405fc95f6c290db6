// One attempt to have an endpoint answer a request that is relayed as it is.
//
//   auto attempt = StartRelayAttempt(connections, call,
//                                    [&](relay_event aEvent) { ... });
//   attempt->Close();   // cancels at the endpoint; no event comes after this
//
// Guards against answers that belong to another request: on a kept connection a
// second or late answer may stand where the next one is expected. It shows as a
// caller reading another caller's answer. The endpoint echoes the request's
// identifier; an answer with another one ends the attempt and the connection.
#ifndef THORNHOLLOW_NET_RELAY_ATTEMPT_H_
#define THORNHOLLOW_NET_RELAY_ATTEMPT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/base/header_field.h"
#include "thornhollow/base/time.h"
#include "thornhollow/net/endpoint_connections.h"
#include "thornhollow/request/answer_end.h"
#include "thornhollow/request/relay_headers.h"
#include "thornhollow/request/relay_retry.h"

namespace thornhollow {

struct relay_call
{
  endpoint_process mWhere;
  std::string mMethod;
  std::string mTarget;
  // As they go to the endpoint.
  std::vector<header_field> mHeaders;
  // Shared with other attempts of the same request.
  std::shared_ptr<const std::string> mBody;
  request_id mId;
  // How long ago a kept connection may have been used last; zero takes a new
  // one in any case.
  duration mMaxIdle{};
  duration mConnectTimeout{};
  // How long the endpoint's machine may leave sent bytes unacknowledged, or
  // stay silent to probes, before the connection counts as gone; whole seconds,
  // at least 2.
  duration mSilence = Seconds(2);
  // Decides whether the request may be sent on the connection, which was made
  // at `aMadeAt`. The request waits until the function that it is given is
  // called; with false the attempt ends as `kUnconfirmed`. Null: the request is
  // sent at once.
  std::function<void(time_point aMadeAt, std::function<void(bool)> aDone)>
    mMaySend;
};

// An interim answer, which precedes the head.
struct relay_interim_answer
{
  std::vector<header_field> mHeaders;
};
// The answer's head, as the endpoint sent it.
struct relay_answer_head
{
  unsigned mStatus = 0;
  std::vector<header_field> mHeaders;
  answer_marks mMarks;
  answer_framing mFraming = answer_framing::kLength;
};
struct relay_answer_bytes
{
  std::string mBytes;
};
// The answer ended as its head's `mFraming` tells; see `answer_end` for what
// that says of it.
struct relay_answer_end
{};
struct relay_failure
{
  attempt_failure mFailure = attempt_failure::kLost;
  // For logs.
  std::string mDetail;
};
using relay_event = std::variant<relay_interim_answer,
                                 relay_answer_head,
                                 relay_answer_bytes,
                                 relay_answer_end,
                                 relay_failure>;

class relay_attempt
  : public boost::intrusive_ref_counter<relay_attempt,
                                        boost::thread_unsafe_counter>
{
public:
  relay_attempt() = default;
  relay_attempt(const relay_attempt&) = delete;
  relay_attempt& operator=(const relay_attempt&) = delete;
  virtual ~relay_attempt() = default;

  // Closes the connection, which cancels the request at the endpoint. No event
  // comes after this, nor after the next.
  virtual void Close() = 0;
  // Nothing more is wanted, but the rest of a short answer is read, so that the
  // connection can be kept.
  virtual void Abandon() = 0;
  // Bytes of the request may have left.
  virtual bool Sent() const = 0;
  // A kept connection was used.
  virtual bool Reused() const = 0;
  // When the connection was made; `max` while there is none.
  virtual time_point ConnectionMadeAt() const = 0;
};
using relay_attempt_ptr = boost::intrusive_ptr<relay_attempt>;

// Begins the attempt; `aOnEvent` is called from the io_context's thread, never
// from within this function. After `relay_answer_end` or `relay_failure` no
// event comes. `aConnections` and `aNames` outlive the attempt.
relay_attempt_ptr
StartRelayAttempt(endpoint_connections& aConnections,
                  const relay_names& aNames,
                  relay_call aCall,
                  std::function<void(relay_event)> aOnEvent);

} // namespace thornhollow

#endif // THORNHOLLOW_NET_RELAY_ATTEMPT_H_
