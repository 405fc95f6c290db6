// State that the router keeps for one request in progress.
#ifndef THORNHOLLOW_DAEMON_LIVE_REQUEST_H_
#define THORNHOLLOW_DAEMON_LIVE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "thornhollow/base/request_feature.h"
#include "thornhollow/daemon/intake.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/net/endpoint_attempt.h"
#include "thornhollow/policy/suspects/run_progress.h"
#include "thornhollow/request/request_machine.h"

namespace thornhollow {

// How far an instance has come in claiming the idempotency key of a request
// from the key's witnesses (key_gate.h).
enum class key_stage : std::uint8_t
{
  // The request has no key.
  kNone,
  // The key is being claimed; the request has not been submitted to the
  // scheduler yet.
  kClaiming,
  kHeld,
  // The key's claim is being confirmed again before an attempt is sent to an
  // endpoint.
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
  request_features mFeatures;
  // Whether the current attempt's request is being sent.
  bool mSending = false;
  // Of the attempt, as evidence of whether its request ends endpoints.
  time_point mOutputAt{};
  run_progress mRunProgress = run_progress::kNoOutput;
  // Since when the request waits for another submission of the same content,
  // see `crash_guard::BeforeSend`.
  std::optional<time_point> mHeldSince;
  // Whether the current attempt uses its class's minimum share.
  bool mUsesMinimumShare = false;
  // Endpoint of the current or last attempt, and its address then: it may be
  // removed from the configuration meanwhile.
  endpoint_name mEndpoint;
  std::string mAddress;
  boost::asio::steady_timer mTimer;
  // When `mTimer` fires; nullopt while the timer is not running.
  std::optional<time_point> mTimerDue;
  // Response text received so far, for callers that did not ask for a stream.
  std::string mText;
  bool mHeadSent = false;
  key_stage mKeyStage = key_stage::kNone;
  // Endpoint of the attempt whose claim is being confirmed.
  endpoint_name mConfirmingEndpoint;
  time_point mLastToken{};
};

using live_request_ptr = boost::intrusive_ptr<live_request>;

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_LIVE_REQUEST_H_
