// Checks one answer as it arrives: every token once, in order, of the caller's
// own request, and an end marker; and says what became of the request.
//
//   answer_check check(answer_form::kStream);
//   check.Head(200, id, std::nullopt);
//   check.Body(bytes, now);
//   const load_result result = check.Finish(true, now);
#ifndef THORNHOLLOW_TOOLS_LOAD_CHECK_H_
#define THORNHOLLOW_TOOLS_LOAD_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/net/sse_parser.h"

namespace thornhollow {

// The shape in which an answer is expected.
enum class answer_form : std::uint8_t
{
  kStream,
  kCompletion,
  kPlainService,
};

enum class load_outcome : std::uint8_t
{
  // The whole answer, the caller's own.
  kComplete,
  // The daemon said that the request failed, and whether it ran.
  kExplicitError,
  // The answer ended without an end marker or an error.
  kSilentCut,
  // A token twice, out of order, missing, or of another request.
  kMismatch,
  // Nothing happened for longer than the tool waits.
  kNoAnswer,
  // No daemon accepted a connection.
  kNoDaemon,
};

inline constexpr std::size_t kLoadOutcomes =
  static_cast<std::size_t>(load_outcome::kNoDaemon) + 1;

std::string_view
Name(load_outcome aOutcome);

struct load_result
{
  load_outcome mOutcome = load_outcome::kSilentCut;
  // Of an explicit error: its kind, "no", "maybe" or "yes", and the delay.
  std::string mErrorKind;
  std::string mRan;
  std::optional<duration> mRetryAfter;
  // What was wrong, of a mismatch.
  std::string mDetail;
  std::uint32_t mTokens = 0;
  // Arrivals of the first bytes that count as an answer, and of the end.
  std::optional<time_point> mFirstToken;
  time_point mEnd{};
  // Times between tokens.
  std::vector<duration> mGaps;
};

class answer_check
{
public:
  // `aVerifyText` compares each token with the one that the engine stand-in
  // gives; for other engines only identifiers and order are checked.
  answer_check(answer_form aForm, bool aVerifyText);

  // The answer's status, X-Request-Id and Retry-After in seconds.
  void Head(unsigned aStatus,
            std::string aId,
            std::optional<std::int64_t> aRetryAfterSeconds);
  void Body(std::string_view aBytes, time_point aNow);
  // The transport ended, orderly or not.
  load_result Finish(bool aOrderly, time_point aNow);

private:
  void Event(const sse_event& aEvent, time_point aNow);
  void Token(std::string_view aId,
             std::uint64_t aIndex,
             std::string_view aText,
             time_point aNow);
  void Mismatch(std::string aDetail);
  void ReadError(std::string_view aJson);
  void FinishCompletion(bool aOrderly);
  void FinishPlainService(bool aOrderly);

  answer_form mForm;
  bool mVerifyText;
  unsigned mStatus = 0;
  std::string mId;
  std::optional<std::int64_t> mRetryAfterSeconds;
  sse_parser mEvents;
  std::string mBody;
  bool mEndMarker = false;
  std::optional<time_point> mLastToken;
  load_result mResult;
};

} // namespace thornhollow

#endif // THORNHOLLOW_TOOLS_LOAD_CHECK_H_
