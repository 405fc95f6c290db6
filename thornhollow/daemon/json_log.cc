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
  const auto now = std::chrono::system_clock::now();
  const auto sinceEpoch = now.time_since_epoch();
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count();
  if (mRepeated.size() > kMaxRemembered) {
    mRepeated.clear();
  }
  repeated& seen = mRepeated[RepeatKey(aEvent, aFields)];
  if (seen.mSecond != second) {
    seen.mSecond = second;
    seen.mWritten = 0;
  }
  if (++seen.mWritten > kLinesPerSecond) {
    ++seen.mSuppressed;
    return;
  }
  boost::json::object line;
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
  line["time"] = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                             fmt::gmtime(std::time_t{ second }),
                             milliseconds % 1000);
  line["level"] = Name(aLevel);
  line["event"] = aEvent;
  for (const log_field& each : aFields) {
    line[each.mName] = ToJson(each);
  }
  if (const auto left = std::exchange(seen.mSuppressed, 0); left > 0) {
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
