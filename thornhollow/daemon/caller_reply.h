// The JSON shapes of answers to callers.
//
//   exchange->Send(ErrorReply(error_kind::kQueueFull, Milliseconds(1200), id));
//
#ifndef THORNHOLLOW_DAEMON_CALLER_REPLY_H_
#define THORNHOLLOW_DAEMON_CALLER_REPLY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "thornhollow/base/error.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/net/caller_server.h"

namespace thornhollow {

// How an answer is written for its caller.
struct reply_form
{
  // The header that repeats the request's identifier.
  std::string mRequestIdHeader = "X-Request-Id";
  // `Retry-After` may have fractions of a second.
  bool mFractions = false;

  friend bool operator==(const reply_form&, const reply_form&) = default;
};

// An error as a whole answer. `Retry-After` is there where the kind lets the
// caller come back; it is `aRetryAfter` in seconds, rounded up to whole ones
// where the form asks for that, and the body has it in milliseconds.
whole_reply
ErrorReply(error_kind aKind,
           duration aRetryAfter,
           const request_id& aId,
           const reply_form& aForm = {});

// The same as the last event of a stream that can't go on.
std::string
ErrorEvent(error_kind aKind, duration aRetryAfter, const request_id& aId);

// One token of a stream.
std::string
TokenEvent(const request_id& aId,
           std::string_view aModel,
           std::uint64_t aIndex,
           std::string_view aText);

// The stream's last events: the reason and the end marker.
std::string
EndEvents(const request_id& aId,
          std::string_view aModel,
          std::string_view aFinishReason);

// A whole completion.
whole_reply
CompletionReply(const request_id& aId,
                std::string_view aModel,
                std::string_view aText,
                std::string_view aFinishReason,
                std::uint32_t aPromptTokens,
                std::uint64_t aCompletionTokens);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_CALLER_REPLY_H_
