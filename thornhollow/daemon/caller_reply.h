// Builds the JSON and server-sent-event responses that callers receive.
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

// Formatting options of an error response.
struct reply_form
{
  // Response header that echoes the request ID.
  std::string mRequestIdHeader = "X-Request-Id";
  // Whether `Retry-After` is written in seconds with three decimals instead of
  // rounded up to whole seconds.
  bool mFractions = false;

  friend bool operator==(const reply_form&, const reply_form&) = default;
};

// Returns a complete error response. If the error kind allows a retry after a
// delay, `Retry-After` holds `aRetryAfter` in seconds, rounded up to whole
// seconds unless `aForm` allows fractions, and the body holds it in
// milliseconds.
whole_reply
ErrorReply(error_kind aKind,
           duration aRetryAfter,
           const request_id& aId,
           const reply_form& aForm = {});

// Returns the error as the final event of a stream that cannot continue.
std::string
ErrorEvent(error_kind aKind, duration aRetryAfter, const request_id& aId);

// Returns the event for one streamed token.
std::string
TokenEvent(const request_id& aId,
           std::string_view aModel,
           std::uint64_t aIndex,
           std::string_view aText);

// Returns the last events of a stream: the finish reason and the end marker.
std::string
EndEvents(const request_id& aId,
          std::string_view aModel,
          std::string_view aFinishReason);

// Returns a complete, non-streamed completion.
whole_reply
CompletionReply(const request_id& aId,
                std::string_view aModel,
                std::string_view aText,
                std::string_view aFinishReason,
                std::uint32_t aPromptTokens,
                std::uint64_t aCompletionTokens);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_CALLER_REPLY_H_
