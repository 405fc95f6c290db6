// The life of one request as a state machine: which attempts are made, what may
// have been run, and what the caller is told. Takes events, returns actions;
// holds no socket and no clock, so a test of a race is a list of events.
//
//   request_machine machine(facts);
//   for (const request_action& next :
//        machine.Handle(attempt_granted{ endpoint_name("e1") }, now)) { ... }
//
// Three rules are enforced here and nowhere else:
//  - a non-idempotent request is sent again only after a proven "not run";
//  - an answer that says "not run" is given only when no attempt may have run;
//  - a token reaches the caller once and in order, or the answer ends with an
//    explicit error.
#ifndef THORNHOLLOW_REQUEST_REQUEST_MACHINE_H_
#define THORNHOLLOW_REQUEST_REQUEST_MACHINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "thornhollow/base/error.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/policy/work.h"

namespace thornhollow {

// How long an attempt may stay in each stage before it counts as silent.
struct stage_limits
{
  duration mConnect = Seconds(1);
  // From the request's first byte to the first token or the service's answer.
  duration mFirstByte = Seconds(15);
  duration mBetweenTokens = Seconds(5);

  friend bool operator==(const stage_limits&, const stage_limits&) = default;
};

// What of a request matters to its course.
struct request_facts
{
  request_id mId;
  bool mIdempotent = false;
  // The caller reads tokens as they come; else it gets one whole answer.
  bool mStream = false;
  // When the whole answer is due.
  time_point mDeadline{};
  stage_limits mLimits;
  // Attempts at most, the first one included.
  std::uint32_t mMaxAttempts = 3;

  friend bool operator==(const request_facts&, const request_facts&) = default;
};

// Counts the attempts of one request from 1. Events of an attempt that is no
// longer the present one are ignored: a late answer reaches nobody.
using attempt_number = std::uint32_t;

// ---- events

// The scheduler gave the request a place.
struct attempt_granted
{
  endpoint_name mEndpoint;
};
// The scheduler refused the request.
struct schedule_refused
{
  error_kind mKind = error_kind::kInternal;
  duration mRetryAfter{};
};
struct connect_failed
{
  attempt_number mAttempt = 0;
};
// The first byte of the request is about to be handed to the transport. From
// here on an endpoint may run it.
struct sending_begun
{
  attempt_number mAttempt = 0;
};
// What the endpoint says of itself with the head of an answer. The request goes
// on as if it had not been said.
struct endpoint_notice
{
  attempt_number mAttempt = 0;
  // It is about to leave.
  bool mLeaving = false;
  // For how long it wants no requests; nothing where it has not refused for
  // that.
  std::optional<duration> mRest;
};
// The endpoint said by protocol that it did not run the request.
struct endpoint_declined
{
  attempt_number mAttempt = 0;
  bool mLeaving = false;
};
struct token_received
{
  attempt_number mAttempt = 0;
  // Identifier in the endpoint's event.
  request_id mId;
  std::uint64_t mIndex = 0;
  std::string mText;
  // Software version of the endpoint; empty if it states none.
  software_version mVersion = {};
};
// The stream's end marker.
struct stream_finished
{
  attempt_number mAttempt = 0;
  std::string mFinishReason;
};
// A whole answer: a plain service's, or an engine's refusal of bad input.
struct answer_received
{
  attempt_number mAttempt = 0;
  // Identifier in the answer's header.
  request_id mId;
  unsigned mHttpStatus = 0;
  std::string mContentType;
  std::string mBody;
  // Only the end of the connection told the answer's end.
  bool mOpenEnded = false;
};
struct connection_lost
{
  attempt_number mAttempt = 0;
};
// The answer broke the protocol.
struct answer_unreadable
{
  attempt_number mAttempt = 0;
};
// The answer carries another request's identifier.
struct answer_crossed
{
  attempt_number mAttempt = 0;
};
// The time that `NextDue` named has come.
struct time_passed
{};
struct caller_left
{};

using request_event = std::variant<attempt_granted,
                                   schedule_refused,
                                   connect_failed,
                                   sending_begun,
                                   endpoint_notice,
                                   endpoint_declined,
                                   token_received,
                                   stream_finished,
                                   answer_received,
                                   connection_lost,
                                   answer_unreadable,
                                   answer_crossed,
                                   time_passed,
                                   caller_left>;

// ---- actions

// Connect to the endpoint and send the request.
struct open_attempt
{
  attempt_number mAttempt = 0;
  endpoint_name mEndpoint;
  // Tokens that the caller has already; the endpoint goes on from there.
  std::uint64_t mResumeFrom = 0;

  friend bool operator==(const open_attempt&, const open_attempt&) = default;
};
// Close the attempt's connection; a request still running there is cancelled.
struct close_attempt
{
  attempt_number mAttempt = 0;

  friend bool operator==(const close_attempt&, const close_attempt&) = default;
};
// Tell the scheduler.
struct report_first_token
{
  friend bool operator==(const report_first_token&,
                         const report_first_token&) = default;
};
struct report_attempt_ended
{
  attempt_end mHow = attempt_end::kFailed;
  // Tokens that this attempt brought.
  std::uint32_t mTokens = 0;

  friend bool operator==(const report_attempt_ended&,
                         const report_attempt_ended&) = default;
};
// Ask the scheduler for another place. `mReason` is why the last attempt ended.
struct ask_again
{
  error_kind mReason = error_kind::kInternal;

  friend bool operator==(const ask_again&, const ask_again&) = default;
};
// Hand on to the caller.
struct deliver_token
{
  std::uint64_t mIndex = 0;
  std::string mText;

  friend bool operator==(const deliver_token&, const deliver_token&) = default;
};
struct deliver_end
{
  std::string mFinishReason;

  friend bool operator==(const deliver_end&, const deliver_end&) = default;
};
struct deliver_answer
{
  unsigned mHttpStatus = 0;
  std::string mContentType;
  std::string mBody;
  // As of `answer_received`.
  bool mOpenEnded = false;

  friend bool operator==(const deliver_answer&,
                         const deliver_answer&) = default;
};
struct deliver_error
{
  error_kind mKind = error_kind::kInternal;
  // When to come back; zero lets the edge take its default.
  duration mRetryAfter{};

  friend bool operator==(const deliver_error&, const deliver_error&) = default;
};

using request_action = std::variant<open_attempt,
                                    close_attempt,
                                    report_first_token,
                                    report_attempt_ended,
                                    ask_again,
                                    deliver_token,
                                    deliver_end,
                                    deliver_answer,
                                    deliver_error>;
using request_actions = std::vector<request_action>;

class request_machine
{
public:
  explicit request_machine(request_facts aFacts);

  // Events after the end, and those of an earlier attempt, do nothing.
  request_actions Handle(const request_event& aEvent, time_point aNow);

  // When `time_passed` is to be handed in; nothing while the request waits for
  // a place (the scheduler minds its deadline then) or has ended.
  std::optional<time_point> NextDue() const;

  // The caller got its final answer or left.
  bool Ended() const { return mStage == stage::kEnded; }

  // Whether an attempt that ended may have been run.
  bool MayHaveRun() const { return mMayHaveRun.has_value(); }

  // Whether the request was run, as far as can be known now.
  ran Ran() const;

  // Tokens handed to the caller.
  std::uint64_t DeliveredTokens() const { return mDelivered; }

  attempt_number Attempts() const { return mAttempt; }

private:
  enum class stage : std::uint8_t
  {
    kWaiting,
    kConnecting,
    kSent,
    kStreaming,
    kEnded,
  };

  void On(const attempt_granted& aEvent);
  void On(const schedule_refused& aEvent);
  void On(const connect_failed& aEvent);
  void On(const sending_begun& aEvent);
  void On(const endpoint_declined& aEvent);
  void On(const token_received& aEvent);
  void On(const stream_finished& aEvent);
  void On(const endpoint_notice& /*aEvent*/) {}
  void On(const answer_received& aEvent);
  void On(const connection_lost& aEvent);
  void On(const answer_unreadable& aEvent);
  void On(const answer_crossed& aEvent);
  void On(const time_passed& aEvent);
  void On(const caller_left& aEvent);

  bool IsPresent(attempt_number aAttempt) const;
  bool AttemptIsOpen() const;
  void Enter(stage aStage, duration aLimit);
  void CloseAttempt(attempt_end aHow);
  void FailAttempt(attempt_end aHow, error_kind aKind);
  bool MayRepeatAfter(error_kind aKind) const;
  void EndWithError(error_kind aKind, duration aRetryAfter);

  request_facts mFacts;
  stage mStage = stage::kWaiting;
  attempt_number mAttempt = 0;
  std::uint64_t mDelivered = 0;
  // Of the endpoint that brought the first token.
  software_version mVersion;
  std::uint32_t mAttemptTokens = 0;
  // The failure of the last attempt that may have run, if there was one.
  std::optional<error_kind> mMayHaveRun;
  bool mCompleted = false;
  // When the present stage counts as silent.
  time_point mStageDue{};
  // Of the call being handled.
  time_point mNow{};
  request_actions mOut;
};

} // namespace thornhollow

#endif // THORNHOLLOW_REQUEST_REQUEST_MACHINE_H_
