#include "thornhollow/daemon/caller_reply.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

namespace thornhollow {
namespace {

constexpr std::string_view kJson = "application/json";

boost::json::object
ErrorObject(error_kind aKind, duration aRetryAfter, const request_id& aId)
{
  const answer& kindInfo = AnswerFor(aKind);
  boost::json::object error;
  error["kind"] = kindInfo.mName;
  error["ran"] = Name(kindInfo.mRan);
  error["message"] = kindInfo.mMessage;
  if (kindInfo.mComeBack == come_back::kAfterDelay) {
    error["retry_after_ms"] = ToMilliseconds(aRetryAfter);
  }
  if (!aId.empty()) {
    error["request_id"] = aId.Text();
  }
  return { { "error", error } };
}

std::int64_t
CeilToSeconds(duration aLength)
{
  return (ToMilliseconds(aLength) + 999) / 1000;
}

std::string
Chunk(const request_id& aId,
      std::string_view aModel,
      const boost::json::object& aDelta,
      const boost::json::value& aFinishReason,
      const std::uint64_t* aIndex)
{
  boost::json::object chunk;
  chunk["id"] = aId.Text();
  chunk["object"] = "chat.completion.chunk";
  chunk["model"] = aModel;
  if (aIndex != nullptr) {
    chunk["token_index"] = *aIndex;
  }
  chunk["choices"] = boost::json::array{ boost::json::object{
    { "index", 0 }, { "delta", aDelta }, { "finish_reason", aFinishReason } } };
  return "data: " + boost::json::serialize(chunk) + "\n\n";
}

} // namespace

whole_reply
ErrorReply(error_kind aKind,
           duration aRetryAfter,
           const request_id& aId,
           const reply_form& aForm)
{
  const answer& kindInfo = AnswerFor(aKind);
  whole_reply reply;
  reply.mHttpStatus = kindInfo.mHttpStatus;
  reply.mContentType = kJson;
  reply.mBody =
    boost::json::serialize(ErrorObject(aKind, aRetryAfter, aId)) + "\n";
  if (kindInfo.mComeBack == come_back::kAfterDelay) {
    reply.mHeaders.push_back(
      { "Retry-After",
        aForm.mFractions ? fmt::format("{:.3f}", ToSeconds(aRetryAfter))
                         : std::to_string(CeilToSeconds(aRetryAfter)) });
  }
  if (!aId.empty()) {
    reply.mHeaders.push_back({ aForm.mRequestIdHeader, aId.Text() });
  }
  return reply;
}

std::string
ErrorEvent(error_kind aKind, duration aRetryAfter, const request_id& aId)
{
  return "event: error\ndata: " +
         boost::json::serialize(ErrorObject(aKind, aRetryAfter, aId)) + "\n\n";
}

std::string
TokenEvent(const request_id& aId,
           std::string_view aModel,
           std::uint64_t aIndex,
           std::string_view aText)
{
  return Chunk(aId, aModel, { { "content", aText } }, nullptr, &aIndex);
}

std::string
EndEvents(const request_id& aId,
          std::string_view aModel,
          std::string_view aFinishReason)
{
  return Chunk(aId, aModel, {}, boost::json::value(aFinishReason), nullptr) +
         "data: [DONE]\n\n";
}

whole_reply
CompletionReply(const request_id& aId,
                std::string_view aModel,
                std::string_view aText,
                std::string_view aFinishReason,
                std::uint32_t aPromptTokens,
                std::uint64_t aCompletionTokens)
{
  boost::json::object body;
  body["id"] = aId.Text();
  body["object"] = "chat.completion";
  body["model"] = aModel;
  body["choices"] = boost::json::array{ boost::json::object{
    { "index", 0 },
    { "message",
      boost::json::object{ { "role", "assistant" }, { "content", aText } } },
    { "finish_reason", aFinishReason } } };
  body["usage"] = boost::json::object{
    { "prompt_tokens", aPromptTokens },
    { "completion_tokens", aCompletionTokens },
    { "total_tokens", aPromptTokens + aCompletionTokens },
  };
  whole_reply reply;
  reply.mContentType = kJson;
  reply.mHeaders = { { "X-Request-Id", aId.Text() } };
  reply.mBody = boost::json::serialize(body) + "\n";
  return reply;
}

} // namespace thornhollow
