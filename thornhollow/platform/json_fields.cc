#include "thornhollow/platform/json_fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace thornhollow::platform {
namespace {

// Maximum nesting depth of a JSON text. Configurations have four nested levels;
// the limit prevents malicious input with deep nesting from exhausting the
// stack.
constexpr std::size_t kMaxDepth = 16;
constexpr double kMaxMilliseconds = 86'400'000;
constexpr double kMaxNumber = 1e6;

auto
FieldError(std::string_view aName, std::string_view aExpected)
{
  return Fail(error_kind::kMalformedRequest,
              std::string(aName) + ": " + std::string(aExpected));
}

const boost::json::value*
Find(const boost::json::object& aObject, std::string_view aName)
{
  return aObject.if_contains({ aName.data(), aName.size() });
}

// Nothing for what is no number from 0 to `aMost`.
std::optional<double>
NumberUpTo(const boost::json::value& aValue, double aMost)
{
  if (!aValue.is_number()) {
    return std::nullopt;
  }
  const double number = aValue.to_number<double>();
  const bool isWithin = std::isfinite(number) && number >= 0 && number <= aMost;
  return isWithin ? std::optional(number) : std::nullopt;
}

constexpr std::string_view kReplacement = "\xef\xbf\xbd";
constexpr std::string_view kReplacementEscape = "\\ufffd";
// Characters of an escape like \u00e9.
constexpr std::size_t kEscapeLength = 6;

// The number of bytes of the valid UTF-8 character at the start of `aText`, or
// 0 if there is none.
std::size_t
CharacterLength(std::string_view aText)
{
  const auto byte = [&](std::size_t aIndex) {
    return static_cast<unsigned char>(aText[aIndex]);
  };
  const unsigned lead = byte(0);
  if (lead < 0x80) {
    return 1;
  }
  if (lead < 0xc2 || lead > 0xf4) {
    return 0;
  }
  const std::size_t length = lead < 0xe0 ? 2 : lead < 0xf0 ? 3 : 4;
  if (aText.size() < length) {
    return 0;
  }
  for (std::size_t index = 1; index < length; ++index) {
    if ((byte(index) & 0xc0U) != 0x80) {
      return 0;
    }
  }
  // Overlong forms, surrogates and what is beyond U+10FFFF.
  const unsigned second = byte(1);
  const bool isValid =
    !(lead == 0xe0 && second < 0xa0) && !(lead == 0xed && second > 0x9f) &&
    !(lead == 0xf0 && second < 0x90) && !(lead == 0xf4 && second > 0x8f);
  return isValid ? length : 0;
}

// The code unit of an escape like \u00e9 at the start of `aText`.
std::optional<unsigned>
EscapedUnit(std::string_view aText)
{
  if (aText.size() < kEscapeLength || !aText.starts_with("\\u")) {
    return std::nullopt;
  }
  unsigned unit = 0;
  const char* const end = aText.data() + kEscapeLength;
  const auto read = std::from_chars(aText.data() + 2, end, unit, 16);
  return read.ec == std::errc() && read.ptr == end ? std::optional(unit)
                                                   : std::nullopt;
}

// Appends the escape at the start of `aText` to `aOut`. Returns its length.
std::size_t
AppendEscape(std::string_view aText, std::string& aOut)
{
  const auto unit = EscapedUnit(aText);
  if (!unit || *unit < 0xd800 || *unit > 0xdfff) {
    aOut += aText.substr(0, 2);
    return std::min<std::size_t>(aText.size(), 2);
  }
  const auto low = EscapedUnit(aText.substr(kEscapeLength));
  if (*unit < 0xdc00 && low && *low >= 0xdc00 && *low <= 0xdfff) {
    aOut += aText.substr(0, 2 * kEscapeLength);
    return 2 * kEscapeLength;
  }
  aOut += kReplacementEscape;
  return kEscapeLength;
}

std::string
ReplaceInvalidText(std::string_view aText)
{
  std::string replaced;
  replaced.reserve(aText.size());
  while (!aText.empty()) {
    std::size_t length = CharacterLength(aText);
    if (aText.front() == '\\') {
      length = AppendEscape(aText, replaced);
    } else if (length > 0) {
      replaced += aText.substr(0, length);
    } else {
      replaced += kReplacement;
      length = 1;
    }
    aText.remove_prefix(length);
  }
  return replaced;
}

std::optional<boost::json::value>
Parse(std::string_view aText)
{
  boost::json::error_code error;
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::json::value read =
    boost::json::parse({ aText.data(), aText.size() }, error, {}, options);
  return error ? std::nullopt : std::optional(std::move(read));
}

result<boost::json::object>
AsObject(std::optional<boost::json::value> aRead)
{
  if (!aRead || !aRead->is_object()) {
    return Fail(error_kind::kMalformedRequest, "not a JSON object");
  }
  return std::move(aRead->as_object());
}

} // namespace

result<boost::json::object>
ParseObject(std::string_view aText)
{
  return AsObject(Parse(aText));
}

result<boost::json::object>
ParseObjectReplacingInvalidText(std::string_view aText)
{
  auto read = Parse(aText);
  // Nearly all texts are valid, so they aren't looked through first.
  return AsObject(read ? std::move(read) : Parse(ReplaceInvalidText(aText)));
}

result<std::string>
TextField(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = Find(aObject, aName);
  if (value == nullptr || !value->is_string()) {
    return FieldError(aName, "expected a string");
  }
  return std::string(value->get_string());
}

result<std::uint64_t>
CountField(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = Find(aObject, aName);
  if (value != nullptr && value->is_uint64()) {
    return value->get_uint64();
  }
  if (value != nullptr && value->is_int64() && value->get_int64() >= 0) {
    return static_cast<std::uint64_t>(value->get_int64());
  }
  return FieldError(aName, "expected a non-negative integer");
}

result<duration>
MillisecondsField(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = Find(aObject, aName);
  if (value == nullptr || !value->is_number()) {
    return FieldError(aName, "expected a number of milliseconds");
  }
  const auto count = NumberUpTo(*value, kMaxMilliseconds);
  if (!count) {
    return FieldError(aName, "expected milliseconds between 0 and one day");
  }
  return FromSeconds(*count / 1000);
}

result<const boost::json::array*>
ListField(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = Find(aObject, aName);
  if (value == nullptr || !value->is_array()) {
    return FieldError(aName, "expected a list");
  }
  return &value->get_array();
}

result<std::uint64_t>
OptionalCount(const boost::json::object& aObject,
              std::string_view aName,
              std::uint64_t aDefault)
{
  if (!HasField(aObject, aName)) {
    return aDefault;
  }
  return CountField(aObject, aName);
}

result<double>
OptionalNumber(const boost::json::object& aObject,
               std::string_view aName,
               double aDefault)
{
  if (!HasField(aObject, aName)) {
    return aDefault;
  }
  const auto number = NumberUpTo(*Find(aObject, aName), kMaxNumber);
  if (!number) {
    return FieldError(aName, "expected a number from 0 to a million");
  }
  return *number;
}

result<bool>
OptionalFlag(const boost::json::object& aObject,
             std::string_view aName,
             bool aDefault)
{
  if (!HasField(aObject, aName)) {
    return aDefault;
  }
  const auto* value = Find(aObject, aName);
  if (!value->is_bool()) {
    return FieldError(aName, "expected true or false");
  }
  return value->get_bool();
}

result<duration>
OptionalMilliseconds(const boost::json::object& aObject,
                     std::string_view aName,
                     duration aDefault)
{
  if (!HasField(aObject, aName)) {
    return aDefault;
  }
  return MillisecondsField(aObject, aName);
}

std::uint32_t
ClampToUint32(std::uint64_t aCount)
{
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(aCount, kMax));
}

bool
HasField(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = Find(aObject, aName);
  return value != nullptr && !value->is_null();
}

} // namespace thornhollow::platform
