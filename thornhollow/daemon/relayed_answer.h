// The answer to a relayed request on its way to the caller: the parts that
// attempts bring, framed for the caller as the endpoints framed theirs.
//
//   relayed_answer answer(exchange, false);
//   answer.BeginAttempt();
//   answer.OnHead(head, { .mIsStream = true });
//   answer.OnBytes(bytes, now);
//   if (IsBrokenOff(answer.JudgeEnd())) { ... } else { answer.SendEnd(now); }
//
// A stream is sent as its events become whole, and may be continued by a later
// attempt; any other answer is held back until its end.
#ifndef THORNHOLLOW_DAEMON_RELAYED_ANSWER_H_
#define THORNHOLLOW_DAEMON_RELAYED_ANSWER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/header_field.h"
#include "thornhollow/base/time.h"
#include "thornhollow/net/caller_server.h"
#include "thornhollow/net/relay_attempt.h"
#include "thornhollow/policy/admission/memory_account.h"
#include "thornhollow/request/answer_end.h"
#include "thornhollow/request/event_splitter.h"

namespace thornhollow {

// What the session knows of an answer beside its head.
struct answer_traits
{
  bool mIsStream = false;
  // Whether another instance says that the endpoint told the end of its answer
  // by closing its connection.
  bool mMarkedOpenEnded = false;
  // The endpoint, or the instance that asked it, whose memory share is charged.
  std::string mFrom = {};
  bool mIsFromInstance = false;
};

class relayed_answer
{
public:
  // `aIsForwarded`: the exchange is with another instance. What is held back or
  // not taken yet is charged to `aMemory`; null: it isn't.
  relayed_answer(caller_exchange_ptr aExchange,
                 bool aIsForwarded,
                 memory_account_ptr aMemory);

  // Forgets what is known of the attempt before, but not what was sent.
  void BeginAttempt();
  // Drops a part of an event, before the stream is continued elsewhere.
  void DropUnfinished();

  void OnHead(const relay_answer_head& aHead, const answer_traits& aTraits);
  // Tells the forwarding instance to how many endpoints the request was sent.
  void TellAttempts(std::uint32_t aAttempts);
  // Another instance told that of the present attempt, which went to it.
  void OnAttemptsTold(std::uint32_t aAttempts);
  // The largest number that it told; 0 if it told none.
  std::uint32_t ToldAttempts() const { return mToldAttempts; }
  // Adds a header of our own; to be called after `OnHead`.
  void AddHeader(header_field aField);
  // Sends what of a stream has become whole. Returns the fault of an answer
  // that exceeds a size limit or its endpoint's memory share, for logs.
  std::optional<std::string_view> OnBytes(const std::string& aBytes,
                                          time_point aNow);

  // What the end of the present attempt's answer says, if it ended in order.
  answer_end JudgeEnd() const;
  // Sends the end. False if it can't be told to the caller, to whom an earlier
  // attempt's framing promised a last chunk, which this end can't vouch for.
  bool SendEnd(time_point aNow);
  // Ends a stream of which a part was sent so that it doesn't look complete.
  void SendAbort();

  // How the answer's last part ended it for the caller.
  caller_end EndAtCaller() const { return mEndAtCaller; }
  // Whether part of the answer has been sent.
  bool Begun() const { return mBegun; }
  // Of the last event of a stream that was sent; empty if there is none.
  const std::string& LastEventId() const { return mEvents.LastId(); }
  std::uint64_t Events() const { return mEvents.Events(); }
  // The endpoint's status; 0 until the attempt's head arrives.
  unsigned Status() const { return mStatus; }
  // As the attempt's answer came; unset until its head arrives.
  std::optional<answer_framing> ReceivedFraming() const { return mFraming; }
  bool IsOpenEnded() const { return Framing() == answer_framing::kConnection; }
  // Between two parts of a stream that were sent. The last one is unset unless
  // the last call of `OnBytes` or `SendEnd` sent a part after another.
  std::optional<duration> LastPause() const { return mLastPause; }
  duration LongestPause() const { return mLongestPause; }

private:
  answer_framing Framing() const;
  // False where there is no room for it.
  bool HoldBack(const std::string& aBytes);
  void SendEvents(std::string aText, time_point aNow);
  void SendStreamHead();
  void MarkIfForwarded();
  bool IsChunkedForCaller() const;

  caller_exchange_ptr mExchange;
  bool mIsForwarded;
  memory_account_ptr mMemory;

  // Of the present attempt.
  unsigned mStatus = 0;
  answer_traits mTraits;
  std::optional<answer_framing> mFraming;
  std::uint32_t mToldAttempts = 0;
  bool mHasBytes = false;
  std::string mHeldBack;
  std::shared_ptr<memory_charge> mHeldCharge;

  // Over all attempts.
  event_splitter mEvents;
  // Of the bytes since the last part that was sent.
  memory_charge mEventsCharge;
  std::vector<header_field> mHeaders;
  bool mBegun = false;
  // Whether the part that was sent told the caller that the answer ends with
  // the connection.
  bool mBegunOpenEnded = false;
  caller_end mEndAtCaller = caller_end::kNone;
  std::optional<time_point> mLastSent;
  std::optional<duration> mLastPause;
  duration mLongestPause{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_RELAYED_ANSWER_H_
