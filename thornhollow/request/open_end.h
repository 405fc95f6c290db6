// Judges the end of a stream that ended with its connection: whether the
// endpoint's process is known to have ended under it.
//
//   const open_end_signs signs{ .mHasOpenConnection = true };
//   if (const auto ground = JudgeWithoutAsking(signs)) { ... }
//   const open_end_ground ground = JudgeAnswer(process_verdict::kRefused);
//   if (IsBrokenOff(ground)) { ... }
//
// Guards against a part of a stream that reaches its caller as complete: the
// process ended between two events, and its system closed the connection in
// order, as a process does that is done. A process that ends right after it has
// finished all of its answers can't be told from that.
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
  // The listed process answered after the end.
  kProcessAnswered,
  // The endpoint is leaving: its process may end once its answers are whole.
  kLeaving,
  // The endpoint is no longer listed.
  kNotListed,
  // The endpoint can't be asked which process it is.
  kCannotAsk,
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

// Whether the process has ended under the stream.
constexpr bool
IsBrokenOff(open_end_ground aGround)
{
  return aGround == open_end_ground::kConnectionRefused ||
         aGround == open_end_ground::kOtherProcess;
}

// What is known of the endpoint shortly after the end.
struct open_end_signs
{
  bool mHasOpenConnection = false;
  bool mIsListed = true;
  // It is listed as another process than the one that had the request.
  bool mIsOtherProcess = false;
  bool mIsLeaving = false;
  bool mCanAsk = true;

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
