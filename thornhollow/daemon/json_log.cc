#include "thornhollow/daemon/json_log.h"

#include <cstdio>
#include <utility>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace thornhollow {
namespace {

// An overload refuses thousands of requests a second; ten lines of each kind
// tell as much and cost nothing.
constexpr std::uint32_t kLinesPerSecond = 10;
// Distinct events remembered; beyond it the memory starts anew.
constexpr std::size_t kMaxRemembered = 1024;

std::string
RepeatKey(std::string_view aEvent, const std::vector<log_field>& aFields)
{
  std::string key(aEvent);
  if (!aFields.empty()) {
    if (const auto* text = std::get_if<std::string>(&aFields[0].mValue)) {
      key += '/';
      key += *text;
    }
  }
  return key;
}

boost::json::value
ToJson(const log_field& aField)
{
  return std::visit(
    [](const auto& aValue) { return boost::json::value(aValue); },
    aField.mValue);
}

} // namespace

json_log::json_log(log_level aLeast,
                   std::function<void(std::string_view)> aSink)
  : mLeast(aLeast)
  , mSink(std::move(aSink))
{
}

void
json_log::Write(log_level aLevel,
                std::string_view aEvent,
                const std::vector<log_field>& aFields)
{
  if (aLevel > mLeast) {
    return;
  }
  if (mRepeated.size() > kMaxRemembered) {
    mRepeated.clear();
  }
  const auto now = wall_clock::now();
  repeated& seen = mRepeated[RepeatKey(aEvent, aFields)];
  if (Admit(seen, now, kLinesPerSecond)) {
    Emit(aLevel, aEvent, aFields, now, seen);
  }
}

void
json_log::WriteRequest(log_level aLevel,
                       std::string_view aEvent,
                       const std::vector<log_field>& aFields)
{
  if (aLevel > mLeast) {
    return;
  }
  const auto now = wall_clock::now();
  if (Admit(mRequests, now, kRequestLinesPerSecond)) {
    Emit(aLevel, aEvent, aFields, now, mRequests);
  }
}

bool
json_log::Admit(repeated& aSeen,
                wall_clock::time_point aNow,
                std::uint32_t aMost)
{
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch())
      .count();
  if (aSeen.mSecond != second) {
    aSeen.mSecond = second;
    aSeen.mWritten = 0;
  }
  if (++aSeen.mWritten > aMost) {
    ++aSeen.mSuppressed;
    return false;
  }
  return true;
}

void
json_log::Emit(log_level aLevel,
               std::string_view aEvent,
               const std::vector<log_field>& aFields,
               wall_clock::time_point aNow,
               repeated& aSeen)
{
  boost::json::object line;
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow.time_since_epoch())
      .count();
  line["time"] = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                             fmt::gmtime(std::time_t{ aSeen.mSecond }),
                             milliseconds % 1000);
  line["level"] = Name(aLevel);
  line["event"] = aEvent;
  for (const log_field& each : aFields) {
    line[each.mName] = ToJson(each);
  }
  if (const auto left = std::exchange(aSeen.mSuppressed, 0); left > 0) {
    line["suppressed"] = left;
  }
  mSink(boost::json::serialize(line) + "\n");
}

void
WriteToStandardError(std::string_view aLine)
{
  fmt::print(stderr, "{}", aLine);
}

} // namespace thornhollow
