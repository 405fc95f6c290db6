// Judges the end of an answer that ended with its connection: whether somebody
// vouches for it.
//
//   const open_end_signs signs{ .mHasOpenConnection = true };
//   if (const auto ground = JudgeWithoutAsking(signs)) { ... }
//   const open_end_ground ground = JudgeAnswer(process_verdict::kRefused);
//   if (!IsVouchedFor(ground)) { ... }
//
// Guards against a part of an answer that reaches its caller as complete: the
// endpoint's process ended in the middle of it, and its system closed the
// connection in order, as a process does that is done. The end is taken only if
// the process is known to have lived on after it. That nothing is known of the
// process says nothing, also of one that is leaving or no longer listed: that
// is when processes end. A process that ends right after it has finished all of
// its answers can't be told from one that ended under them.
#ifndef THORNHOLLOW_REQUEST_OPEN_END_H_
#define THORNHOLLOW_REQUEST_OPEN_END_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "thornhollow/streams/process_confirmations.h"

namespace thornhollow {

// What the judgement rests on.
enum class open_end_ground : std::uint8_t
{
  // Another connection to the process is open.
  kOpenConnection,
  // The process answered after the end.
  kProcessAnswered,
  // It neither answered in time nor refused the connection.
  kNoAnswer,
  // It refused a connection.
  kConnectionRefused,
  // Another process answered or is listed.
  kOtherProcess,
};

// "open_connection" and so on; for log lines and metrics.
std::string_view
Name(open_end_ground aGround);

// Whether the process is known to have lived on, so that the answer's end is
// its own.
constexpr bool
IsVouchedFor(open_end_ground aGround)
{
  return aGround == open_end_ground::kOpenConnection ||
         aGround == open_end_ground::kProcessAnswered;
}

// What is known of the endpoint shortly after the end.
struct open_end_signs
{
  bool mHasOpenConnection = false;
  // It is listed as another process than the one that had the request.
  bool mIsOtherProcess = false;

  friend bool operator==(const open_end_signs&,
                         const open_end_signs&) = default;
};

// Nothing if the endpoint has to be asked.
std::optional<open_end_ground>
JudgeWithoutAsking(const open_end_signs& aSigns);

// By the answer to a question that was sent after the end.
open_end_ground
JudgeAnswer(process_verdict aVerdict);

} // namespace thornhollow

#endif // THORNHOLLOW_REQUEST_OPEN_END_H_
