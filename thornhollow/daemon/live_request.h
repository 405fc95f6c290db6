// What the router holds for one request in progress.
#ifndef THORNHOLLOW_DAEMON_LIVE_REQUEST_H_
#define THORNHOLLOW_DAEMON_LIVE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/daemon/intake.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/net/endpoint_attempt.h"
#include "thornhollow/request/request_machine.h"

namespace thornhollow {

// How far a request with an idempotency key has come.
enum class key_stage : std::uint8_t
{
  // It has no key.
  kNone,
  // Its key is being claimed; the scheduler doesn't know it yet.
  kClaiming,
  kHeld,
  // The claim is looked at once more before an attempt.
  kConfirming,
};

struct live_request
  : public boost::intrusive_ref_counter<live_request,
                                        boost::thread_unsafe_counter>
{
  live_request(boost::asio::io_context& aIo,
               ticket aTicket,
               request_facts aFacts,
               intake aIntake,
               caller_exchange_ptr aExchange)
    : mTicket(aTicket)
    , mId(aFacts.mId)
    , mMachine(std::move(aFacts))
    , mIntake(std::move(aIntake))
    , mExchange(std::move(aExchange))
    , mTimer(aIo)
  {
  }

  ticket mTicket;
  request_id mId;
  request_machine mMachine;
  intake mIntake;
  caller_exchange_ptr mExchange;
  boost::intrusive_ptr<endpoint_attempt> mAttempt;
  // The present attempt takes its class's minimum share.
  bool mOwed = false;
  // Where the present or last attempt went.
  endpoint_name mEndpoint;
  boost::asio::steady_timer mTimer;
  // What the timer is set to; nothing while it is not running.
  std::optional<time_point> mTimerDue;
  // The answer's text so far, where the caller wants it whole.
  std::string mText;
  bool mHeadSent = false;
  key_stage mKeyStage = key_stage::kNone;
  // Where the attempt goes whose claim is being confirmed.
  endpoint_name mConfirmedFor;
  time_point mLastToken{};
};

using live_request_ptr = boost::intrusive_ptr<live_request>;

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_LIVE_REQUEST_H_
