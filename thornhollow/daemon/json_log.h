// Writes logs as JSON lines, with a rate limit on repeated lines.
//
//   json_log log(log_level::kInfo, WriteToStandardError);
//   log.Write(log_level::kWarning, "refused",
//             { { "kind", "queue_full" }, { "class", "route-notes" } });
//
// A line contains the time, the level, the event and its fields. Callers must
// not pass prompts, answers or bearer tokens.
#ifndef THORNHOLLOW_DAEMON_JSON_LOG_H_
#define THORNHOLLOW_DAEMON_JSON_LOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "thornhollow/config/settings.h"

namespace thornhollow {

struct log_field
{
  std::string_view mName;
  std::variant<std::string, std::int64_t, double> mValue;
};

class json_log
{
public:
  // `aSink` receives one line, including its newline.
  json_log(log_level aMinLevel, std::function<void(std::string_view)> aSink);

  // Writes one line, unless it is less severe than the minimum level or the
  // same event with the same first field has exceeded its rate limit in the
  // current second. The next line written has the number of omitted lines as
  // `suppressed`.
  void Write(log_level aLevel,
             std::string_view aEvent,
             const std::vector<log_field>& aFields = {});

  // Writes one line about one request, unless `kRequestLinesPerSecond` lines
  // were written in the current second. The next line written has the number of
  // omitted lines as `suppressed`.
  void WriteRequest(log_level aLevel,
                    std::string_view aEvent,
                    const std::vector<log_field>& aFields);

  // Maximum number of request lines per second: more than the requests that an
  // instance with a quarter of a core can serve under ordinary load, so that
  // only a flood of refusals is suppressed.
  static constexpr std::uint32_t kRequestLinesPerSecond = 200;

private:
  struct line_counter
  {
    std::int64_t mSecond = 0;
    std::uint32_t mWritten = 0;
    std::int64_t mSuppressed = 0;
  };

  using wall_clock = std::chrono::system_clock;
  // Counts one line against the rate limit of `aCounter`. Returns false if the
  // line is to be omitted.
  static bool Admit(line_counter& aCounter,
                    wall_clock::time_point aNow,
                    std::uint32_t aMaxLines);
  void Emit(log_level aLevel,
            std::string_view aEvent,
            const std::vector<log_field>& aFields,
            wall_clock::time_point aNow,
            line_counter& aCounter);

  log_level mMinLevel;
  line_counter mRequestCounter;
  std::function<void(std::string_view)> mSink;
  std::unordered_map<std::string, line_counter> mCounters;
};

// Writes to standard error, unbuffered.
void
WriteToStandardError(std::string_view aLine);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_JSON_LOG_H_
