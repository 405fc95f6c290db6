// Judges the end of an endpoint's answer: whether it is whole, known to lack a
// part, or neither.
//
//   switch (JudgeStreamEnd(answer_framing::kConnection, events, true)) { ... }
//
// Guards against answers that were broken off and reach their caller as
// complete. A length or a last chunk is the endpoint's own word that nothing is
// missing. The end of the connection is none: an endpoint that is done and one
// whose process ended close it alike. What ended so must reach the caller the
// same way, with nothing added that says "whole", so that the caller can judge
// as if it had asked the endpoint itself.
#ifndef THORNHOLLOW_REQUEST_ANSWER_END_H_
#define THORNHOLLOW_REQUEST_ANSWER_END_H_

#include <cstdint>
#include <string_view>

#include "thornhollow/request/event_splitter.h"

namespace thornhollow {

// What tells where an answer's body ends.
enum class answer_framing : std::uint8_t
{
  kLength,
  kChunks,
  // The end of the connection.
  kConnection,
};

// "length" and so on; for log lines.
std::string_view
Name(answer_framing aFraming);

enum class answer_end : std::uint8_t
{
  // The endpoint says that nothing is missing.
  kWhole,
  // Nothing is known to be missing, and nothing says that all is there.
  kOpenEnded,
  // Something is missing, whatever the framing says.
  kInsideEvent,
  kBeforeFirstEvent,
};

// Of an answer that is no stream, whose connection ended in order.
constexpr answer_end
JudgeEnd(answer_framing aFraming)
{
  return aFraming == answer_framing::kConnection ? answer_end::kOpenEnded
                                                 : answer_end::kWhole;
}

// Of a stream whose connection ended in order. `aEvents` was fed all of its
// bytes; `aHasBytes`: there were any.
answer_end
JudgeStreamEnd(answer_framing aFraming,
               const event_splitter& aEvents,
               bool aHasBytes);

constexpr bool
IsBrokenOff(answer_end aEnd)
{
  return aEnd == answer_end::kInsideEvent ||
         aEnd == answer_end::kBeforeFirstEvent;
}

// How an answer's last part told its caller where the answer ends.
enum class caller_end : std::uint8_t
{
  // None was sent: the caller left before.
  kNone,
  kLength,
  kLastChunk,
  // The connection is closed in order, as it is the end of the answer.
  kInOrder,
  // The answer is broken off: chunks without the last one, or a reset of a
  // connection whose end would be that of the answer.
  kWithoutLastChunk,
  kReset,
};

// "length", "reset" and so on; for log lines and metrics.
std::string_view
Name(caller_end aEnd);

// Of a stream that ends, or that is broken off.
constexpr caller_end
StreamEnd(bool aChunked, bool aBrokenOff)
{
  if (aChunked) {
    return aBrokenOff ? caller_end::kWithoutLastChunk : caller_end::kLastChunk;
  }
  return aBrokenOff ? caller_end::kReset : caller_end::kInOrder;
}

// For log lines.
std::string_view
Describe(answer_end aEnd);

} // namespace thornhollow

#endif // THORNHOLLOW_REQUEST_ANSWER_END_H_
