#include "thornhollow/request/relay_headers.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

#include "thornhollow/base/parse_number.h"
#include "thornhollow/request/forwarding_headers.h"

namespace thornhollow {
namespace {

// An endpoint of another process has this address: it did not run the request.
constexpr unsigned kStatusMisdirected = 421;
constexpr unsigned kStatusUnavailable = 503;
// A longer rest, which may be a mistake in the endpoint, counts as this.
constexpr double kMaxRestSeconds = 3'600;
// A larger bound, which is none in practice, counts as this.
constexpr double kMaxBound = 1e6;
// Longer identifiers are refused: they stand in logs and in tables.
constexpr std::size_t kMaxIdBytes = 200;
// More parts than this are not looked at; the first ones are the shared ones.
constexpr std::size_t kMaxParts = 64;

// Headers that the router adds to a request, at most.
constexpr std::size_t kMaxAddedHeaders = 6;

// Headers that concern one connection only, and those that the sender of the
// next hop writes itself.
constexpr std::array<std::string_view, 11> kHopHeaders = {
  "Connection", "Keep-Alive",          "Proxy-Connection",  "TE",
  "Trailer",    "Transfer-Encoding",   "Upgrade",           "Content-Length",
  "Expect",     "Proxy-Authorization", "Proxy-Authenticate"
};

std::string_view
Trimmed(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

// Takes the text up to the next `aSeparator` off the front.
std::string_view
TakeItem(std::string_view& aRest, char aSeparator)
{
  const std::size_t end = std::min(aRest.find(aSeparator), aRest.size());
  const std::string_view item = aRest.substr(0, end);
  aRest.remove_prefix(std::min(end + 1, aRest.size()));
  return Trimmed(item);
}

// Whether the header concerns this connection only; `Connection` itself may
// name further ones.
bool
ConcernsHop(std::string_view aName, std::string_view aConnection)
{
  if (std::ranges::any_of(kHopHeaders, [aName](std::string_view aOther) {
        return EqualsIgnoreCase(aName, aOther);
      })) {
    return true;
  }
  while (!aConnection.empty()) {
    if (EqualsIgnoreCase(TakeItem(aConnection, ','), aName)) {
      return true;
    }
  }
  return false;
}

std::vector<prompt_part>
ReadParts(std::string_view aText)
{
  std::vector<prompt_part> parts;
  while (!aText.empty() && parts.size() < kMaxParts) {
    std::string_view item = TakeItem(aText, ',');
    const std::string_view id = TakeItem(item, ':');
    const auto tokens = ParseNumber<std::uint32_t>(item);
    if (id.empty() || !tokens) {
      break;
    }
    parts.push_back({ std::string(id), *tokens });
  }
  return parts;
}

std::string
ReadToken(std::string_view aScheme, std::string_view aValue)
{
  if (aValue.size() <= aScheme.size() + 1 ||
      !EqualsIgnoreCase(aValue.substr(0, aScheme.size()), aScheme) ||
      aValue[aScheme.size()] != ' ') {
    return {};
  }
  return std::string(Trimmed(aValue.substr(aScheme.size())));
}

bool
SetByRouter(const relay_names& aNames, std::string_view aName)
{
  return IsAnyOf(aName,
                 { aNames.mTeam,
                   aNames.mExpectedEndpoint,
                   aNames.mPriority,
                   aNames.mCopyPrefixFrom,
                   aNames.mTimeLeft,
                   aNames.mResumeAfter,
                   kForwardingHeader,
                   kForwardingVersionHeader,
                   kForwardingAttemptsHeader,
                   "Authorization" }) ||
         std::ranges::any_of(aNames.mRouterOnly,
                             [aName](std::string_view aOther) {
                               return EqualsIgnoreCase(aName, aOther);
                             });
}

// The `timeout` of a `Keep-Alive` header, in seconds.
std::optional<duration>
ReadIdleLimit(std::string_view aValue)
{
  while (!aValue.empty()) {
    std::string_view item = TakeItem(aValue, ',');
    if (EqualsIgnoreCase(TakeItem(item, '='), "timeout")) {
      if (const auto seconds = ParseNumber<std::uint32_t>(item)) {
        return Seconds(*seconds);
      }
    }
  }
  return std::nullopt;
}

} // namespace

relay_request
ReadRelayRequest(const relay_names& aNames,
                 const std::vector<header_field>& aFields)
{
  relay_request read;
  const std::string_view id = HeaderValue(aFields, aNames.mRequestId);
  if (id.size() <= kMaxIdBytes) {
    read.mId = request_id(std::string(id));
  }
  read.mToken =
    ReadToken(aNames.mTokenScheme, HeaderValue(aFields, "Authorization"));
  if (const std::string_view left = HeaderValue(aFields, aNames.mTimeLeft);
      !left.empty()) {
    if (const auto milliseconds = ParseNumber<std::uint32_t>(left)) {
      read.mTimeLeft = Milliseconds(*milliseconds);
    } else {
      read.mId = request_id();
    }
  }
  std::string_view counts = HeaderValue(aFields, aNames.mTokenCounts);
  read.mPromptTokens =
    ParseNumber<std::uint32_t>(TakeItem(counts, ',')).value_or(0);
  read.mMaxOutputTokens =
    ParseNumber<std::uint32_t>(TakeItem(counts, ',')).value_or(0);
  read.mLengthHint =
    ParseNumber<std::uint32_t>(HeaderValue(aFields, aNames.mLengthHint));
  read.mParts = ReadParts(HeaderValue(aFields, aNames.mPromptParts));
  read.mResumeAfter = HeaderValue(aFields, aNames.mResumeAfter);
  const std::string_view begunAs = HeaderValue(aFields, aNames.mBegunAs);
  if (begunAs.size() <= kMaxIdBytes) {
    read.mBegunAs = request_id(std::string(begunAs));
  }
  return read;
}

std::vector<header_field>
EndToEndHeaders(const std::vector<header_field>& aFields)
{
  const std::string_view connection = HeaderValue(aFields, "Connection");
  std::vector<header_field> kept;
  kept.reserve(aFields.size() + kMaxAddedHeaders);
  std::ranges::copy_if(aFields,
                       std::back_inserter(kept),
                       [connection](const header_field& aField) {
                         return !ConcernsHop(aField.mName, connection);
                       });
  return kept;
}

header_field
TimeLeftHeader(const relay_names& aNames, duration aTimeLeft)
{
  return { aNames.mTimeLeft,
           std::to_string(
             std::max<std::int64_t>(ToMilliseconds(aTimeLeft), 1)) };
}

std::vector<header_field>
AttemptHeaders(const relay_names& aNames,
               const std::vector<header_field>& aFields,
               const attempt_facts& aFacts)
{
  std::vector<header_field> sent = EndToEndHeaders(aFields);
  std::erase_if(sent, [&](const header_field& aField) {
    return SetByRouter(aNames, aField.mName);
  });
  sent.push_back({ aNames.mExpectedEndpoint, aFacts.mEndpoint.Text() });
  sent.push_back(TimeLeftHeader(aNames, aFacts.mTimeLeft));
  if (!aFacts.mTeam.empty()) {
    sent.push_back({ aNames.mTeam, aFacts.mTeam.Text() });
  }
  if (aFacts.mPriority) {
    sent.push_back({ aNames.mPriority, std::to_string(*aFacts.mPriority) });
  }
  if (!aFacts.mCopyPrefixFrom.empty()) {
    sent.push_back({ aNames.mCopyPrefixFrom, aFacts.mCopyPrefixFrom });
  }
  if (!aFacts.mResumeAfter.empty()) {
    sent.push_back({ aNames.mResumeAfter, aFacts.mResumeAfter });
  }
  return sent;
}

std::vector<header_field>
AnswerHeaders(const std::vector<header_field>& aFields)
{
  std::vector<header_field> sent = EndToEndHeaders(aFields);
  std::erase_if(sent, [](const header_field& aField) {
    return IsAnyOf(aField.mName,
                   { kForwardingErrorHeader,
                     kForwardingOpenEndedHeader,
                     kForwardingLeavingHeader,
                     kForwardingVersionHeader,
                     kForwardingAttemptsHeader });
  });
  return sent;
}

std::optional<duration>
ReadRest(std::string_view aValue)
{
  const auto seconds = ParseNumber<double>(aValue);
  if (!seconds || !(*seconds >= 0)) {
    return std::nullopt;
  }
  return FromSeconds(std::min(*seconds, kMaxRestSeconds));
}

std::optional<double>
ReadBound(std::string_view aValue)
{
  const auto bound = ParseNumber<double>(aValue);
  if (!bound || !std::isfinite(*bound) || *bound < 0) {
    return std::nullopt;
  }
  return std::min(*bound, kMaxBound);
}

answer_marks
ReadAnswerMarks(const relay_names& aNames,
                unsigned aStatus,
                const std::vector<header_field>& aFields)
{
  answer_marks marks;
  marks.mRequestId = HeaderValue(aFields, aNames.mRequestId);
  marks.mNotRun = aStatus == kStatusMisdirected ||
                  !HeaderValue(aFields, aNames.mNotRun).empty();
  marks.mLeaving = !HeaderValue(aFields, aNames.mLeaving).empty();
  marks.mMisdirected = aStatus == kStatusMisdirected;
  for (const auto& [name, bound] :
       { std::pair(&aNames.mRefusalBound, &marks.mRefusalBound),
         std::pair(&aNames.mRequestBound, &marks.mRequestBound) }) {
    const std::string_view text = HeaderValue(aFields, *name);
    *bound = ReadBound(text);
    marks.mUnreadableBound =
      marks.mUnreadableBound || (!text.empty() && !*bound);
  }
  if (aStatus == kStatusUnavailable) {
    marks.mRest = ReadRest(HeaderValue(aFields, "Retry-After"));
  }
  marks.mSigned = !HeaderValue(aFields, aNames.mSignature).empty();
  marks.mIdleLimit = ReadIdleLimit(HeaderValue(aFields, "Keep-Alive"));
  return marks;
}

} // namespace thornhollow
