// Headers of a request that one instance forwards to another, and of the
// receiving instance's own refusals.
//
//   const auto sent = ForwardHeaders(names, fields, facts);
//   const auto facts = ReadForwardingFacts(fields);
//   const auto error = ReadForwardingError(answerFields);
//
// The request keeps the caller's token, and the receiving instance finds route,
// team and pool itself, as it does for its own callers. The header that marks a
// forwarded request grants nothing: whoever reaches the port can do no more
// than a caller can.
#ifndef THORNHOLLOW_REQUEST_FORWARDING_HEADERS_H_
#define THORNHOLLOW_REQUEST_FORWARDING_HEADERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/endpoint_hash.h"
#include "thornhollow/base/error.h"
#include "thornhollow/base/header_field.h"
#include "thornhollow/base/time.h"
#include "thornhollow/request/relay_headers.h"

namespace thornhollow {

// Marks a forwarded request, see `forwarding_facts`. Never sent to endpoints.
inline constexpr std::string_view kForwardingHeader = "Thornhollow-Forwarded";
// Name of the error kind with which the receiving instance itself, rather than
// an endpoint, ended a forwarded request. Never sent to callers.
inline constexpr std::string_view kForwardingErrorHeader = "Thornhollow-Error";
// Marks an answer whose end the endpoint told by closing its connection. The
// receiving instance frames it for the way back, so that the end of its own
// process can be told from the endpoint's. Never sent to callers.
inline constexpr std::string_view kForwardingOpenEndedHeader =
  "Thornhollow-Open-Ended";

// Names the process of the endpoint that made the answer, if it said that it
// leaves. Never sent to callers.
inline constexpr std::string_view kForwardingLeavingHeader =
  "Thornhollow-Leaving";

// Of a forwarded request, the hash of the software version that began the
// stream that the request continues; of its answer, that of the version that
// brought the first event. Never sent to callers or endpoints.
inline constexpr std::string_view kForwardingVersionHeader =
  "Thornhollow-Stream-Version";

// Of a forwarded request: the forwarding instance wants to be told of further
// attempts. Of an interim answer: the number of endpoints to which the request
// was sent so far, by all instances. Never sent to callers or endpoints.
inline constexpr std::string_view kForwardingAttemptsHeader =
  "Thornhollow-Attempts";

// What the forwarding instance tells the receiving one.
struct forwarding_facts
{
  // Endpoints to which the request was sent so far.
  std::uint32_t mAttempts = 0;
  // Version of the configuration by which the request was accepted. An instance
  // with an older one must not decide on it.
  std::uint64_t mConfiguration = 0;
  // The version of endpoints that began the stream that the request continues;
  // nothing if it continues none.
  std::optional<endpoint_version_hash> mVersion = std::nullopt;
  // Whether the forwarding instance wants to be told of further attempts.
  bool mWantsAttempts = false;

  friend bool operator==(const forwarding_facts&,
                         const forwarding_facts&) = default;
};

// The caller's headers except those that concern one connection, with the time
// that is left and, for a stream that is resumed, its last event.
std::vector<header_field>
ForwardHeaders(const relay_names& aNames,
               const std::vector<header_field>& aFields,
               duration aTimeLeft,
               const std::string& aResumeAfter,
               const forwarding_facts& aFacts);

// Empty unless the header is there and well-formed.
std::optional<forwarding_facts>
ReadForwardingFacts(const std::vector<header_field>& aFields);

// Empty unless the header is there and names an error kind.
std::optional<error_kind>
ReadForwardingError(const std::vector<header_field>& aFields);

// Whether the header is there.
bool
ReadForwardingOpenEnded(const std::vector<header_field>& aFields);

header_field
ForwardingLeavingHeader(endpoint_process_hash aProcess);

// Empty unless the header is there and well-formed.
std::optional<endpoint_process_hash>
ReadForwardingLeaving(const std::vector<header_field>& aFields);

header_field
ForwardingVersionHeader(endpoint_version_hash aVersion);

// Empty unless the header is there and well-formed.
std::optional<endpoint_version_hash>
ReadForwardingVersion(const std::vector<header_field>& aFields);

header_field
ForwardingAttemptsHeader(std::uint32_t aAttempts);

// Empty unless the header is there and well-formed.
std::optional<std::uint32_t>
ReadForwardingAttempts(const std::vector<header_field>& aFields);

// The same within a stream that has begun, as a comment of its own.
std::string
AttemptsComment(std::uint32_t aAttempts);

// Removes such comments from whole events of a stream. Returns the largest
// number that they tell; empty if there are none.
std::optional<std::uint32_t>
TakeAttemptsComments(std::string& aEvents);

// The `Retry-After` header in seconds, possibly with fractions; empty if there
// is none.
std::optional<duration>
ReadRetryAfter(const std::vector<header_field>& aFields);

} // namespace thornhollow

#endif // THORNHOLLOW_REQUEST_FORWARDING_HEADERS_H_
