#include "thornhollow/tools/load_check.h"

#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <fmt/format.h>

#include "thornhollow/testing/token_text.h"

namespace thornhollow {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxEventBytes = std::size_t{ 1 } << 20U;
constexpr unsigned kFirstErrorStatus = 400;

json::value
Parse(std::string_view aText)
{
  json::error_code error;
  json::value parsed = json::parse({ aText.data(), aText.size() }, error);
  return error ? json::value() : parsed;
}

// The member of an object, or null where there is none.
const json::value*
Member(const json::value& aValue, std::string_view aName)
{
  const json::object* object = aValue.if_object();
  return object == nullptr
           ? nullptr
           : object->if_contains({ aName.data(), aName.size() });
}

std::string
TextAt(const json::value& aValue, std::string_view aName)
{
  const json::value* found = Member(aValue, aName);
  const json::string* text = found == nullptr ? nullptr : found->if_string();
  return text == nullptr ? std::string() : std::string(*text);
}

std::optional<std::uint64_t>
NumberAt(const json::value& aValue, std::string_view aName)
{
  const json::value* found = Member(aValue, aName);
  if (found == nullptr) {
    return std::nullopt;
  }
  const auto number = json::try_value_to<std::uint64_t>(*found);
  return number ? std::optional(*number) : std::nullopt;
}

// `choices[0].<member>.content`, the text of a chunk or of a whole answer.
std::string
ChoiceText(const json::value& aValue, std::string_view aMember)
{
  const json::value* choices = Member(aValue, "choices");
  const json::array* list = choices == nullptr ? nullptr : choices->if_array();
  if (list == nullptr || list->empty()) {
    return {};
  }
  const json::value* holder = Member(list->front(), aMember);
  return holder == nullptr ? std::string() : TextAt(*holder, "content");
}

} // namespace

std::string_view
Name(load_outcome aOutcome)
{
  switch (aOutcome) {
    case load_outcome::kComplete:
      return "complete";
    case load_outcome::kExplicitError:
      return "explicit_error";
    case load_outcome::kSilentCut:
      return "silent_cut";
    case load_outcome::kMismatch:
      return "mismatch";
    case load_outcome::kNoAnswer:
      return "no_answer";
    case load_outcome::kNoDaemon:
      break;
  }
  return "no_daemon";
}

answer_check::answer_check(answer_form aForm, bool aVerifyText)
  : mForm(aForm)
  , mVerifyText(aVerifyText)
  , mEvents(kMaxEventBytes)
{
}

void
answer_check::Head(unsigned aStatus,
                   std::string aId,
                   std::optional<std::int64_t> aRetryAfterSeconds)
{
  mStatus = aStatus;
  mId = std::move(aId);
  mRetryAfterSeconds = aRetryAfterSeconds;
}

void
answer_check::Body(std::string_view aBytes, time_point aNow)
{
  if (mForm != answer_form::kStream || mStatus >= kFirstErrorStatus) {
    // A whole completion has no first token that a caller could see.
    if (mForm != answer_form::kCompletion) {
      mResult.mFirstToken = mResult.mFirstToken.value_or(aNow);
    }
    mBody += aBytes;
    return;
  }
  mEvents.Feed(aBytes);
  while (const auto event = mEvents.Next()) {
    Event(*event, aNow);
  }
}

load_result
answer_check::Finish(bool aOrderly, time_point aNow)
{
  mResult.mEnd = aNow;
  if (mResult.mOutcome == load_outcome::kMismatch ||
      mResult.mOutcome == load_outcome::kExplicitError) {
    return mResult;
  }
  if (mStatus >= kFirstErrorStatus) {
    mResult.mFirstToken.reset();
    ReadError(mBody);
  } else if (mForm == answer_form::kStream) {
    mResult.mOutcome =
      mEndMarker ? load_outcome::kComplete : load_outcome::kSilentCut;
  } else if (mForm == answer_form::kCompletion) {
    FinishCompletion(aOrderly);
  } else {
    FinishPlainService(aOrderly);
  }
  return mResult;
}

void
answer_check::Event(const sse_event& aEvent, time_point aNow)
{
  if (mEndMarker) {
    Mismatch("an event after the end marker");
    return;
  }
  if (aEvent.mName == "error") {
    ReadError(aEvent.mData);
    return;
  }
  if (aEvent.mData == "[DONE]") {
    mEndMarker = true;
    return;
  }
  const json::value event = Parse(aEvent.mData);
  const std::string id = TextAt(event, "id");
  if (const auto index = NumberAt(event, "token_index")) {
    Token(id, *index, ChoiceText(event, "delta"), aNow);
  } else if (const auto engineIndex = NumberAt(event, "index")) {
    // An engine's own stream, where the tool talks to one directly.
    Token(id, *engineIndex, TextAt(event, "token"), aNow);
  } else if (id != mId) {
    Mismatch("event of request " + id);
  }
}

void
answer_check::Token(std::string_view aId,
                    std::uint64_t aIndex,
                    std::string_view aText,
                    time_point aNow)
{
  if (aId != mId) {
    Mismatch(fmt::format("token of request {}", aId));
    return;
  }
  if (aIndex != mResult.mTokens) {
    Mismatch(fmt::format("token {} where {} was due", aIndex, mResult.mTokens));
    return;
  }
  if (mVerifyText && aText != testing::TokenText(mId, mResult.mTokens)) {
    Mismatch(fmt::format("token {} has another text", aIndex));
    return;
  }
  ++mResult.mTokens;
  mResult.mFirstToken = mResult.mFirstToken.value_or(aNow);
  if (mLastToken) {
    mResult.mGaps.push_back(aNow - *mLastToken);
  }
  mLastToken = aNow;
}

void
answer_check::Mismatch(std::string aDetail)
{
  if (mResult.mOutcome != load_outcome::kMismatch) {
    mResult.mOutcome = load_outcome::kMismatch;
    mResult.mDetail = std::move(aDetail);
  }
}

void
answer_check::ReadError(std::string_view aJson)
{
  const json::value parsed = Parse(aJson);
  const json::value* error = Member(parsed, "error");
  if (error == nullptr) {
    mResult.mDetail = fmt::format("status {} without an error", mStatus);
    mResult.mOutcome = load_outcome::kSilentCut;
    return;
  }
  mResult.mOutcome = load_outcome::kExplicitError;
  mResult.mErrorKind = TextAt(*error, "kind");
  mResult.mRan = TextAt(*error, "ran");
  if (const auto delay = NumberAt(*error, "retry_after_ms")) {
    mResult.mRetryAfter = Milliseconds(static_cast<std::int64_t>(*delay));
  } else if (mRetryAfterSeconds) {
    mResult.mRetryAfter = Seconds(*mRetryAfterSeconds);
  }
}

void
answer_check::FinishCompletion(bool aOrderly)
{
  const json::value parsed = Parse(mBody);
  if (!aOrderly || !parsed.is_object()) {
    mResult.mOutcome = load_outcome::kSilentCut;
    return;
  }
  const json::value* usage = Member(parsed, "usage");
  const auto tokens =
    usage == nullptr ? std::nullopt : NumberAt(*usage, "completion_tokens");
  mResult.mTokens = static_cast<std::uint32_t>(tokens.value_or(0));
  std::string expected;
  for (std::uint32_t at = 0; at < mResult.mTokens; ++at) {
    expected += testing::TokenText(mId, at);
  }
  const bool own = TextAt(parsed, "id") == mId && mResult.mTokens > 0 &&
                   (!mVerifyText || ChoiceText(parsed, "message") == expected);
  mResult.mOutcome = load_outcome::kComplete;
  if (!own) {
    Mismatch("another request's answer, or not the whole");
  }
}

void
answer_check::FinishPlainService(bool aOrderly)
{
  if (!aOrderly) {
    mResult.mOutcome = load_outcome::kSilentCut;
    return;
  }
  mResult.mOutcome = load_outcome::kComplete;
  if (mVerifyText && TextAt(Parse(mBody), "id") != mId) {
    Mismatch("another request's answer");
  }
}

} // namespace thornhollow
