#include "thornhollow/daemon/json_log.h"

#include <cstdio>
#include <utility>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace thornhollow {
namespace {

// An overload causes thousands of refusals a second. Ten lines a second for
// each combination of event and first field carry the same information at
// negligible cost.
constexpr std::uint32_t kLinesPerSecond = 10;
// Maximum number of distinct events whose lines are counted; if there are more,
// all counters are cleared.
constexpr std::size_t kMaxCounters = 1024;

std::string
RateLimitKey(std::string_view aEvent, const std::vector<log_field>& aFields)
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

json_log::json_log(log_level aMinLevel,
                   std::function<void(std::string_view)> aSink)
  : mMinLevel(aMinLevel)
  , mSink(std::move(aSink))
{
}

void
json_log::Write(log_level aLevel,
                std::string_view aEvent,
                const std::vector<log_field>& aFields)
{
  if (aLevel > mMinLevel) {
    return;
  }
  if (mCounters.size() > kMaxCounters) {
    mCounters.clear();
  }
  const auto now = wall_clock::now();
  line_counter& counter = mCounters[RateLimitKey(aEvent, aFields)];
  if (Admit(counter, now, kLinesPerSecond)) {
    Emit(aLevel, aEvent, aFields, now, counter);
  }
}

void
json_log::WriteRequest(log_level aLevel,
                       std::string_view aEvent,
                       const std::vector<log_field>& aFields)
{
  if (aLevel > mMinLevel) {
    return;
  }
  const auto now = wall_clock::now();
  if (Admit(mRequestCounter, now, kRequestLinesPerSecond)) {
    Emit(aLevel, aEvent, aFields, now, mRequestCounter);
  }
}

bool
json_log::Admit(line_counter& aCounter,
                wall_clock::time_point aNow,
                std::uint32_t aMaxLines)
{
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch())
      .count();
  if (aCounter.mSecond != second) {
    aCounter.mSecond = second;
    aCounter.mWritten = 0;
  }
  if (++aCounter.mWritten > aMaxLines) {
    ++aCounter.mSuppressed;
    return false;
  }
  return true;
}

void
json_log::Emit(log_level aLevel,
               std::string_view aEvent,
               const std::vector<log_field>& aFields,
               wall_clock::time_point aNow,
               line_counter& aCounter)
{
  boost::json::object line;
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow.time_since_epoch())
      .count();
  line["time"] = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                             fmt::gmtime(std::time_t{ aCounter.mSecond }),
                             milliseconds % 1000);
  line["level"] = Name(aLevel);
  line["event"] = aEvent;
  for (const log_field& each : aFields) {
    line[each.mName] = ToJson(each);
  }
  if (const auto suppressed = std::exchange(aCounter.mSuppressed, 0);
      suppressed > 0) {
    line["suppressed"] = suppressed;
  }
  mSink(boost::json::serialize(line) + "\n");
}

void
WriteToStandardError(std::string_view aLine)
{
  fmt::print(stderr, "{}", aLine);
}

} // namespace thornhollow
