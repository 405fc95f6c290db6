// What the headers of an opaquely relayed request and its answer say, and what
// the router sends on. The names are a table, so that one code serves every
// platform; the defaults are the project's own.
//
//   const relay_request request = ReadRelayRequest(names, fields);
//   const auto sent = AttemptHeaders(names, fields, facts);
//   const answer_marks marks = ReadAnswerMarks(names, 200, answerFields);
//
#ifndef THORNHOLLOW_REQUEST_RELAY_HEADERS_H_
#define THORNHOLLOW_REQUEST_RELAY_HEADERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "thornhollow/base/header_field.h"
#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

struct relay_names
{
  // Names one submission; endpoints echo it.
  std::string mRequestId = "X-Request-Id";
  // What stands before the token in `Authorization`.
  std::string mTokenScheme = "Bearer";
  // Milliseconds for which the caller still waits.
  std::string mTimeLeft = "X-Deadline-Ms";
  // "prompt,output": tokens of the prompt, and the most that are generated.
  std::string mTokenCounts = "X-Tokens";
  // The caller's guess of the number of generated tokens.
  std::string mLengthHint = "X-Expected-Tokens";
  // "id:tokens,...": the prompt's parts in order, shared ones first.
  std::string mPromptParts = "X-Prompt-Parts";
  // The last event that the caller has of a stream to be continued.
  std::string mResumeAfter = "Last-Event-Id";
  // The submission that brought the first event of a stream to be continued.
  std::string mBegunAs = "X-Resumes";

  // Set by the router towards endpoints.
  std::string mTeam = "X-Team";
  std::string mExpectedEndpoint = "X-Endpoint";
  std::string mPriority = "X-Priority";
  // Address of another endpoint, whose memory of the prompt's leading parts is
  // to be copied where the endpoint itself holds less.
  std::string mCopyPrefixFrom = "X-Copy-Prefix-From";
  // Other headers that only the router may set: never passed on from a caller.
  std::vector<std::string> mRouterOnly;

  // In answers: there where the request was not run.
  std::string mNotRun = "X-Not-Run";
  // In answers: there where the endpoint is about to leave.
  std::string mLeaving = "X-Leaving";
  // In answers: how many requests a second the endpoint takes from all
  // instances together.
  std::string mRequestBound = "X-Request-Bound";
  // In answers: how many requests the endpoint may turn away in a second for
  // want of room; it ends when there are more.
  std::string mRefusalBound = "X-Refusal-Bound";
  // In answers: proves that an endpoint made them.
  std::string mSignature = "X-Signature";

  friend bool operator==(const relay_names&, const relay_names&) = default;
};

// A part of a prompt; requests that begin with the same parts share their work.
struct prompt_part
{
  std::string mId;
  std::uint32_t mTokens = 0;

  friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

struct relay_request
{
  request_id mId;
  // Empty where the caller sent none.
  std::string mToken;
  // Nothing where the caller stated none.
  std::optional<duration> mTimeLeft;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMaxOutputTokens = 0;
  std::optional<std::uint32_t> mLengthHint;
  std::vector<prompt_part> mParts;
  // Empty for a stream from its beginning.
  std::string mResumeAfter;
  // Of a stream that the caller continues after its connection broke: the
  // submission that brought the first event. Empty if the caller names none.
  request_id mBegunAs;

  friend bool operator==(const relay_request&, const relay_request&) = default;
};

// Never fails: a header that can't be read counts as absent, since the router
// only takes advice from it and hands it on as it is. An identifier or a time
// limit that breaks its form makes the identifier empty, which refuses the
// request.
relay_request
ReadRelayRequest(const relay_names& aNames,
                 const std::vector<header_field>& aFields);

// What the router tells an endpoint about one attempt.
struct attempt_facts
{
  endpoint_name mEndpoint = {};
  // Empty for a caller without a team.
  team_name mTeam = {};
  duration mTimeLeft{};
  // 0 is the most urgent, 9 the least; nothing where the pool takes none.
  std::optional<std::uint32_t> mPriority = std::nullopt;
  // Empty for a stream from its beginning.
  std::string mResumeAfter = {};
  // Empty where the endpoint is to read what it doesn't hold.
  std::string mCopyPrefixFrom = {};

  friend bool operator==(const attempt_facts&, const attempt_facts&) = default;
};

// The headers but for those that concern one connection only.
std::vector<header_field>
EndToEndHeaders(const std::vector<header_field>& aFields);

// Tells an endpoint or another instance how long the caller still waits, at
// least 1 ms. Never beyond what is left: an endpoint would work on for nobody.
header_field
TimeLeftHeader(const relay_names& aNames, duration aTimeLeft);

// The caller's headers but for those that concern one connection, its token and
// what only the router sets; then what the router sets.
std::vector<header_field>
AttemptHeaders(const relay_names& aNames,
               const std::vector<header_field>& aFields,
               const attempt_facts& aFacts);

// An endpoint's headers but for those that concern one connection.
std::vector<header_field>
AnswerHeaders(const std::vector<header_field>& aFields);

// What an endpoint's answer says about itself.
struct answer_marks
{
  // As echoed; empty where it isn't there.
  std::string mRequestId;
  // The endpoint says that it did not run the request. Nothing else says so.
  bool mNotRun = false;
  bool mSigned = false;
  // The endpoint says that it is about to leave.
  bool mLeaving = false;
  // How many requests the endpoint may turn away in a second; nothing where it
  // names no such bound.
  std::optional<double> mRefusalBound;
  // How many requests a second the endpoint takes from all instances together;
  // nothing where it names no such bound.
  std::optional<double> mRequestBound;
  // The endpoint names a bound that can't be read, which counts as none.
  bool mUnreadableBound = false;
  // Another process at the endpoint's address answered.
  bool mMisdirected = false;
  // For how long the endpoint wants no requests from this instance; nothing
  // where it has not refused for that.
  std::optional<duration> mRest;
  // How long an idle connection stays open; nothing where it isn't stated.
  std::optional<duration> mIdleLimit;

  friend bool operator==(const answer_marks&, const answer_marks&) = default;
};

// For how long a refusal's `Retry-After` asks for rest: seconds, possibly with
// fractions, an hour at most. Dates and anything else count as absent.
std::optional<duration>
ReadRest(std::string_view aValue);

// A bound that an endpoint names: a number from 0 on, in decimal notation.
// Nothing where it can't be read.
std::optional<double>
ReadBound(std::string_view aValue);

answer_marks
ReadAnswerMarks(const relay_names& aNames,
                unsigned aStatus,
                const std::vector<header_field>& aFields);

} // namespace thornhollow

#endif // THORNHOLLOW_REQUEST_RELAY_HEADERS_H_
