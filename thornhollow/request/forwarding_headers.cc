#include "thornhollow/request/forwarding_headers.h"

#include <algorithm>

#include "thornhollow/base/parse_number.h"

namespace thornhollow {
namespace {

constexpr char kSeparator = ',';

constexpr std::string_view kAttemptsComment = ": thornhollow-attempts ";
constexpr std::string_view kCommentEnd = "\n\n";

// Longer delays than this are not sent by any instance.
constexpr double kMaxRetryAfterSeconds = 3'600;

} // namespace

std::vector<header_field>
ForwardHeaders(const relay_names& aNames,
               const std::vector<header_field>& aFields,
               duration aTimeLeft,
               const std::string& aResumeAfter,
               const forwarding_facts& aFacts)
{
  std::vector<header_field> sent;
  for (header_field& each : EndToEndHeaders(aFields)) {
    const bool left = IsAnyOf(each.mName,
                              { aNames.mTimeLeft,
                                aNames.mResumeAfter,
                                kForwardingHeader,
                                kForwardingErrorHeader,
                                kForwardingAttemptsHeader,
                                kForwardingVersionHeader });
    if (!left) {
      sent.push_back(std::move(each));
    }
  }
  sent.push_back(TimeLeftHeader(aNames, aTimeLeft));
  if (!aResumeAfter.empty()) {
    sent.push_back({ aNames.mResumeAfter, aResumeAfter });
  }
  sent.push_back({ std::string(kForwardingHeader),
                   std::to_string(aFacts.mAttempts) + kSeparator +
                     std::to_string(aFacts.mConfiguration) });
  if (aFacts.mWantsAttempts) {
    sent.push_back(ForwardingAttemptsHeader(aFacts.mAttempts));
  }
  if (aFacts.mVersion) {
    sent.push_back(ForwardingVersionHeader(*aFacts.mVersion));
  }
  return sent;
}

std::optional<forwarding_facts>
ReadForwardingFacts(const std::vector<header_field>& aFields)
{
  const std::string_view text = HeaderValue(aFields, kForwardingHeader);
  const std::size_t separator = text.find(kSeparator);
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  const auto attempts = ParseNumber<std::uint32_t>(text.substr(0, separator));
  const auto version = ParseNumber<std::uint64_t>(text.substr(separator + 1));
  if (!attempts || !version) {
    return std::nullopt;
  }
  return forwarding_facts{ *attempts,
                           *version,
                           ReadForwardingVersion(aFields),
                           ReadForwardingAttempts(aFields).has_value() };
}

std::optional<error_kind>
ReadForwardingError(const std::vector<header_field>& aFields)
{
  const std::string_view name = HeaderValue(aFields, kForwardingErrorHeader);
  const auto& kinds = AllErrorKinds();
  const auto found = std::ranges::find_if(
    kinds, [name](error_kind aKind) { return Name(aKind) == name; });
  return found == kinds.end() ? std::nullopt : std::optional(*found);
}

bool
ReadForwardingOpenEnded(const std::vector<header_field>& aFields)
{
  return !HeaderValue(aFields, kForwardingOpenEndedHeader).empty();
}

header_field
ForwardingLeavingHeader(endpoint_process_hash aProcess)
{
  return { std::string(kForwardingLeavingHeader), std::to_string(aProcess) };
}

std::optional<endpoint_process_hash>
ReadForwardingLeaving(const std::vector<header_field>& aFields)
{
  return ParseNumber<endpoint_process_hash>(
    HeaderValue(aFields, kForwardingLeavingHeader));
}

header_field
ForwardingVersionHeader(endpoint_version_hash aVersion)
{
  return { std::string(kForwardingVersionHeader), std::to_string(aVersion) };
}

std::optional<endpoint_version_hash>
ReadForwardingVersion(const std::vector<header_field>& aFields)
{
  return ParseNumber<endpoint_version_hash>(
    HeaderValue(aFields, kForwardingVersionHeader));
}

header_field
ForwardingAttemptsHeader(std::uint32_t aAttempts)
{
  return { std::string(kForwardingAttemptsHeader), std::to_string(aAttempts) };
}

std::optional<std::uint32_t>
ReadForwardingAttempts(const std::vector<header_field>& aFields)
{
  return ParseNumber<std::uint32_t>(
    HeaderValue(aFields, kForwardingAttemptsHeader));
}

std::string
AttemptsComment(std::uint32_t aAttempts)
{
  return std::string(kAttemptsComment) + std::to_string(aAttempts) +
         std::string(kCommentEnd);
}

std::optional<std::uint32_t>
TakeAttemptsComments(std::string& aEvents)
{
  std::optional<std::uint32_t> told;
  std::size_t begin = aEvents.find(kAttemptsComment);
  while (begin != std::string::npos) {
    const std::size_t number = begin + kAttemptsComment.size();
    const std::size_t end = aEvents.find(kCommentEnd, number);
    const bool isOwnLine = begin == 0 || aEvents[begin - 1] == '\n';
    const auto attempts =
      isOwnLine && end != std::string::npos
        ? ParseNumber<std::uint32_t>(
            std::string_view(aEvents).substr(number, end - number))
        : std::nullopt;
    if (attempts) {
      told = std::max(told.value_or(0), *attempts);
      aEvents.erase(begin, end + kCommentEnd.size() - begin);
    }
    begin = aEvents.find(kAttemptsComment, attempts ? begin : number);
  }
  return told;
}

std::optional<duration>
ReadRetryAfter(const std::vector<header_field>& aFields)
{
  const auto seconds = ParseNumber<double>(HeaderValue(aFields, "Retry-After"));
  if (!seconds || !(*seconds >= 0 && *seconds <= kMaxRetryAfterSeconds)) {
    return std::nullopt;
  }
  return FromSeconds(*seconds);
}

} // namespace thornhollow
