// Logs as JSON lines, one object a line, with a bound on repeated lines.
//
//   json_log log(log_level::kInfo, WriteToStandardError);
//   log.Write(log_level::kWarning, "refused",
//             { { "kind", "queue_full" }, { "class", "route-notes" } });
//
// A line holds the time, the level, the event and its fields. Callers of
// `Write` never hand in a prompt, an answer or a bearer token.
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
  // `aSink` takes one line with its end.
  json_log(log_level aMinLevel, std::function<void(std::string_view)> aSink);

  // Writes one line, unless the level is below the least one or the same event
  // with the same first field was written too often in the present second; the
  // count of lines left out stands in the next one, as `suppressed`.
  void Write(log_level aLevel,
             std::string_view aEvent,
             const std::vector<log_field>& aFields = {});

  // Writes one line about one request, unless `kRequestLinesPerSecond` were
  // written in the present second; the number left out stands in the next line,
  // as `suppressed`.
  void WriteRequest(log_level aLevel,
                    std::string_view aEvent,
                    const std::vector<log_field>& aFields);

  // More than an instance of a quarter of a core can serve in a second of
  // ordinary load, so that only a flood of refusals is cut.
  static constexpr std::uint32_t kRequestLinesPerSecond = 200;

private:
  struct line_counter
  {
    std::int64_t mSecond = 0;
    std::uint32_t mWritten = 0;
    std::int64_t mSuppressed = 0;
  };

  using wall_clock = std::chrono::system_clock;
  // Counts one line more against its bound; false where it is to be left out.
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

// Standard error, unbuffered.
void
WriteToStandardError(std::string_view aLine);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_JSON_LOG_H_
