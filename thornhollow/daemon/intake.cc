#include "thornhollow/daemon/intake.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include "thornhollow/base/hash.h"
#include "thornhollow/base/parse_number.h"
#include "thornhollow/config/token.h"

namespace thornhollow {
namespace {

constexpr std::string_view kBearer = "Bearer ";
// Number of leading prompt bytes hashed to identify a shared prefix. Prompts of
// one workload share a system prompt far longer than this.
constexpr std::size_t kPrefixBytes = 256;
// Maximum length of an idempotency key, in bytes. Without a limit, a caller
// could exhaust the witnesses' memory with long keys.
constexpr std::size_t kMaxKeyBytes = 128;
// Typical length of a token in bytes, used to estimate the number of prompt
// tokens. Only the relative costs of requests depend on this value.
constexpr std::size_t kBytesPerToken = 4;

const team*
FindCaller(const caller_request& aRequest, const catalog& aCatalog)
{
  std::string_view credential = aRequest.Header("Authorization");
  if (!credential.starts_with(kBearer)) {
    return nullptr;
  }
  credential.remove_prefix(kBearer.size());
  return aCatalog.TeamByTokenDigest(TokenDigest(credential));
}

// Returns the class's deadline, shortened if the caller requests a shorter one,
// or nullopt if the deadline header is not a positive integer.
std::optional<duration>
ReadDeadline(const caller_request& aRequest, duration aDeclared)
{
  const std::string_view text = aRequest.Header("X-Deadline-Ms");
  if (text.empty()) {
    return aDeclared;
  }
  const auto milliseconds = ParseNumber<std::int64_t>(text);
  if (!milliseconds || *milliseconds <= 0) {
    return std::nullopt;
  }
  return *milliseconds > ToMilliseconds(aDeclared)
           ? aDeclared
           : Milliseconds(*milliseconds);
}

// Returns the concatenated text of all messages.
std::string
PromptText(const boost::json::object& aBody)
{
  std::string text;
  const boost::json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return text;
  }
  for (const boost::json::value& message : messages->get_array()) {
    const auto* object = message.if_object();
    const auto* content =
      object == nullptr ? nullptr : object->if_contains("content");
    if (content == nullptr) {
      continue;
    }
    if (content->is_string()) {
      text += std::string_view(content->get_string());
    } else {
      text += boost::json::serialize(*content);
    }
  }
  return text;
}

std::uint32_t
PositiveField(const boost::json::object& aBody, std::string_view aName)
{
  const boost::json::value* found = aBody.if_contains(aName);
  if (found == nullptr) {
    return 0;
  }
  boost::system::error_code error;
  const auto number = found->to_number<std::uint32_t>(error);
  return error ? 0 : number;
}

std::vector<request_feature>
MessageFeatures(const pool_name& aPool, const boost::json::array& aMessages)
{
  std::vector<std::string> texts;
  for (std::size_t each = 0; each + 1 < aMessages.size(); ++each) {
    texts.push_back(boost::json::serialize(aMessages[each]));
  }
  return PartFeatures(aPool.Text(), { texts.begin(), texts.end() });
}

// Fills in the fields specific to a completion. Returns the error, or nullopt
// on success.
std::optional<error_kind>
ReadCompletion(const caller_request& aRequest,
               const request_class& aClass,
               intake& aInto)
{
  boost::system::error_code error;
  boost::json::value parsed = boost::json::parse(aRequest.mBody, error);
  boost::json::object* body = parsed.if_object();
  if (error || body == nullptr) {
    return error_kind::kMalformedRequest;
  }
  const boost::json::value* messages = body->if_contains("messages");
  const boost::json::value* model = body->if_contains("model");
  if (model == nullptr || !model->is_string() || messages == nullptr ||
      !messages->is_array()) {
    return error_kind::kMalformedRequest;
  }
  const std::string modelText(model->get_string());
  if (!catalog::Offers(aClass, modelText)) {
    return error_kind::kUnknownModel;
  }
  const boost::json::value* stream = body->if_contains("stream");
  aInto.mStream = stream != nullptr && stream->is_bool() && stream->get_bool();
  const std::string prompt = PromptText(*body);
  aInto.mEngine = true;
  aInto.mPool = PoolOf(model_name(modelText));
  aInto.mPartFeatures = MessageFeatures(aInto.mPool, messages->get_array());
  aInto.mPrefix = Hash64(std::string_view(prompt).substr(0, kPrefixBytes));
  aInto.mPromptTokens =
    static_cast<std::uint32_t>(prompt.size() / kBytesPerToken) + 1;
  aInto.mMaxOutputTokens = PositiveField(*body, "max_tokens");
  // Callers must not set priority or resume offset; the router sets both.
  for (const char* name : { "stream", "priority", "resume_from" }) {
    body->erase(name);
  }
  aInto.mContentType = "application/json";
  aInto.mBody = boost::json::serialize(*body);
  aInto.mBody.pop_back();
  return std::nullopt;
}

std::optional<error_kind>
ApplyTerms(const caller_request& aRequest,
           const class_terms& aTerms,
           intake& aInto)
{
  const auto deadline = ReadDeadline(aRequest, aTerms.mLevel->mDeadline);
  if (!deadline) {
    return error_kind::kMalformedRequest;
  }
  aInto.mClass = aTerms.mClass->mName;
  aInto.mTier = aTerms.mLevel->mTier;
  aInto.mFirstTokenTarget = aTerms.mLevel->mFirstTokenTarget;
  aInto.mDeadline = *deadline;
  aInto.mIdempotent = aTerms.mClass->mIdempotent;
  return std::nullopt;
}

intake_verdict
ReadServiceCall(const caller_request& aRequest,
                const catalog& aCatalog,
                const plain_service& aService,
                intake aInto)
{
  if (std::ranges::find(aService.mMethods, aRequest.mMethod) ==
      aService.mMethods.end()) {
    return error_kind::kMethodNotAllowed;
  }
  const team* caller = aCatalog.TeamByName(aInto.mTeam.Text());
  const class_terms terms =
    aCatalog.ClassForTeam(*caller, aService.mClass.Text());
  if (terms.mClass == nullptr) {
    return error_kind::kClassNotAllowed;
  }
  if (const auto error = ApplyTerms(aRequest, terms, aInto)) {
    return *error;
  }
  aInto.mIdempotent = aInto.mIdempotent && aService.mIdempotent;
  aInto.mPool = PoolOf(aService.mName);
  aInto.mContentType = std::string(aRequest.Header("Content-Type"));
  aInto.mBody = aRequest.mBody;
  return aInto;
}

} // namespace

intake_verdict
ReadIntake(const caller_request& aRequest, const catalog& aCatalog)
{
  const plain_service* service = aCatalog.ServiceByPath(aRequest.mPath);
  if (service == nullptr && aRequest.mPath != kCompletionsPath) {
    return error_kind::kUnknownPath;
  }
  const team* caller = FindCaller(aRequest, aCatalog);
  if (caller == nullptr) {
    return error_kind::kUnauthenticated;
  }
  intake read;
  read.mTeam = caller->mName;
  read.mIdempotencyKey = std::string(aRequest.Header("Idempotency-Key"));
  if (read.mIdempotencyKey.size() > kMaxKeyBytes) {
    return error_kind::kMalformedRequest;
  }
  read.mMethod = aRequest.mMethod;
  read.mPath = aRequest.mPath;
  if (service != nullptr) {
    return ReadServiceCall(aRequest, aCatalog, *service, std::move(read));
  }
  if (aRequest.mMethod != "POST") {
    return error_kind::kMethodNotAllowed;
  }
  const std::string_view asked = aRequest.Header("X-Request-Class");
  if (!asked.empty() && aCatalog.Class(asked).mClass == nullptr) {
    return error_kind::kUnknownClass;
  }
  const class_terms terms = aCatalog.ClassForTeam(*caller, asked);
  if (terms.mClass == nullptr) {
    return error_kind::kClassNotAllowed;
  }
  if (const auto error = ApplyTerms(aRequest, terms, read)) {
    return *error;
  }
  if (const auto error = ReadCompletion(aRequest, *terms.mClass, read)) {
    return *error;
  }
  return read;
}

std::string
EngineBody(const intake& aIntake, int aPriority, std::uint64_t aResumeFrom)
{
  return fmt::format(R"({},"stream":true,"priority":{},"resume_from":{}}})",
                     aIntake.mBody,
                     aPriority,
                     aResumeFrom);
}

} // namespace thornhollow
