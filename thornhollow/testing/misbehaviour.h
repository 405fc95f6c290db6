// Faults that a test switches on in a stand-in through POST /test/mode.
//
//   {"crash_after_tokens": 3, "times": 1}
//
// replaces what was on before; `{}` switches everything off.
#ifndef THORNHOLLOW_TESTING_MISBEHAVIOUR_H_
#define THORNHOLLOW_TESTING_MISBEHAVIOUR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "thornhollow/base/result.h"

namespace thornhollow::testing {

struct misbehaviour
{
  // Answers 503 with X-Request-Ran: no, and runs nothing.
  bool mDecline = false;
  // The same with X-Leaving: yes; load reports say that it leaves.
  bool mLeaving = false;
  // Refusals name this time, in milliseconds, in which it wants nothing.
  std::optional<std::uint32_t> mRestMs;
  // A plain service's answers have X-Leaving: yes.
  bool mSaysLeaving = false;
  // Runs nothing and answers this status, silent about whether it ran.
  std::optional<unsigned> mErrorStatus;
  // Takes the request, runs nothing, never answers.
  bool mFreeze = false;
  // Resets the connection: before running, or after running but before the
  // answer's first byte.
  bool mCrashBeforeRun = false;
  bool mCrashAfterRun = false;
  // Stream faults, each after this many tokens of the stream (0: after the
  // answer's head): resets, ends the stream without its end marker, or sends
  // nothing more while the run goes on.
  std::optional<std::uint32_t> mCrashAfterTokens;
  std::optional<std::uint32_t> mCutAfterTokens;
  std::optional<std::uint32_t> mFreezeAfterTokens;
  // Another request's answer, which only the identifier in the header, or only
  // the one in the events, gives away.
  bool mWrongIdHeader = false;
  bool mWrongIdEvents = false;
  // Added to the index of a resumed stream's tokens.
  std::uint32_t mResumeOffset = 0;
  // Length of a step, as a multiple of the usual.
  double mSlowFactor = 1;
  // A plain service's answer has neither a length nor chunks and ends with its
  // connection.
  bool mOpenEnded = false;
  // Delay before a plain service answers.
  std::uint32_t mDelayMs = 0;
  // Closes the listening socket.
  bool mRefuse = false;
  // A request whose body contains this text ends the endpoint that runs it, as
  // a crash does: all connections are reset and new ones are refused, until the
  // endpoint is back after `mBackAfterMs`. Not counted against `mTimes`.
  std::string mEndOn;
  std::uint32_t mBackAfterMs = 1'000;
  // Requests that these faults still apply to; without limit where absent.
  std::optional<std::uint32_t> mTimes;

  friend bool operator==(const misbehaviour&, const misbehaviour&) = default;
};

// Reads the JSON of POST /test/mode. Fails with kMalformedRequest on anything
// but an object with known fields of the right type.
result<misbehaviour>
ReadMisbehaviour(std::string_view aJson);

// The faults for one request; counts it against `mTimes`.
misbehaviour
TakeFor(misbehaviour& aMode);

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_MISBEHAVIOUR_H_
