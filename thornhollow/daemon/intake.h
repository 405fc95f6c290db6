// Parses and authorizes a caller's request against the catalog in force: the
// team, the class and its terms, the pool, and the data to send to an endpoint.
// Performs no I/O.
//
//   const intake_verdict read = ReadIntake(request, *catalog);
//   if (const auto* error = std::get_if<error_kind>(&read)) { ... }
//
#ifndef THORNHOLLOW_DAEMON_INTAKE_H_
#define THORNHOLLOW_DAEMON_INTAKE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "thornhollow/base/error.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/request_feature.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/catalog.h"
#include "thornhollow/net/caller_server.h"

namespace thornhollow {

// Path of the chat completion API.
inline constexpr std::string_view kCompletionsPath = "/v1/chat/completions";

// A validated request, ready to be scheduled.
struct intake
{
  team_name mTeam;
  class_name mClass;
  int mTier = kLowestTier;
  pool_name mPool;
  duration mFirstTokenTarget{};
  // The request's deadline, as the time since the request's arrival.
  duration mDeadline{};
  bool mIdempotent = false;
  // Whether the request is for a model engine; false for a plain service.
  bool mEngine = false;
  // Whether the caller asked for a streamed response.
  bool mStream = false;
  std::uint64_t mPrefix = 0;
  // Of all messages of a completion but the last, which is the request's own.
  std::vector<request_feature> mPartFeatures;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMaxOutputTokens = 0;
  // The caller's Idempotency-Key header; empty if absent.
  std::string mIdempotencyKey;

  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  // Body to send to an endpoint. For an engine, the body is a JSON object
  // without its closing brace, which `EngineBody` completes.
  std::string mBody;
};

using intake_verdict = std::variant<intake, error_kind>;

intake_verdict
ReadIntake(const caller_request& aRequest, const catalog& aCatalog);

// Returns the request body for one attempt at an engine. The engine serves it
// with `aPriority` (a tier) and resumes after the first `aResumeFrom` tokens.
std::string
EngineBody(const intake& aIntake, int aPriority, std::uint64_t aResumeFrom);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_INTAKE_H_
