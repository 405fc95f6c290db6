// Reads a caller's request against the catalog in force: who asks, for what,
// under which terms, and what is to be sent to an endpoint. No sockets.
//
//   const intake_verdict read = ReadIntake(request, *catalog);
//   if (const auto* wrong = std::get_if<error_kind>(&read)) { ... }
//
#ifndef THORNHOLLOW_DAEMON_INTAKE_H_
#define THORNHOLLOW_DAEMON_INTAKE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "thornhollow/base/error.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/catalog.h"
#include "thornhollow/net/caller_server.h"

namespace thornhollow {

// Where chat completions are asked for.
inline constexpr std::string_view kCompletionsPath = "/v1/chat/completions";

// A request that may be scheduled.
struct intake
{
  team_name mTeam;
  class_name mClass;
  int mTier = kLowestTier;
  pool_name mPool;
  duration mFirstTokenTarget{};
  // From arrival.
  duration mDeadline{};
  bool mIdempotent = false;
  // For a model engine; else for a plain service.
  bool mEngine = false;
  // The caller reads the answer as a stream.
  bool mStream = false;
  std::uint64_t mPrefix = 0;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMaxOutputTokens = 0;
  // The caller's Idempotency-Key; empty where it gave none.
  std::string mIdempotencyKey;

  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  // For an engine, a JSON object without its closing brace; see `EngineBody`.
  std::string mBody;
};

using intake_verdict = std::variant<intake, error_kind>;

intake_verdict
ReadIntake(const caller_request& aRequest, const catalog& aCatalog);

// The body for one attempt at an engine, which serves it with `aPriority` (as a
// tier) and goes on after `aResumeFrom` tokens.
std::string
EngineBody(const intake& aIntake, int aPriority, std::uint64_t aResumeFrom);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_INTAKE_H_
