// Writes log lines to a descriptor without ever blocking.
//
//   log_output output(STDOUT_FILENO);
//   json_log log(log_level::kInfo, [&](auto aLine) { output.Add(aLine); });
//   output.Flush();   // every 100 ms, and at the end
//
// Guards against a reader of the log that stops reading: its pipe fills up, and
// a writer that waits for room stands still with every request that it serves.
// Lines wait in memory up to a bound; beyond it they are dropped and counted,
// and the count is written once there is room again.
#ifndef THORNHOLLOW_DAEMON_LOG_OUTPUT_H_
#define THORNHOLLOW_DAEMON_LOG_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace thornhollow {

class log_output
{
public:
  // The descriptor stays the caller's.
  explicit log_output(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  // Takes one line with its end.
  void Add(std::string_view aLine);
  // Writes as much as the descriptor takes at once.
  void Flush();

  std::uint64_t Dropped() const { return mTotalDropped; }

  // Some seconds of lines at the most that json_log writes.
  static constexpr std::size_t kMaxPending = std::size_t{ 256 } << 10U;

private:
  int mDescriptor;
  std::string mPending;
  std::uint64_t mUnreportedDrops = 0;
  std::uint64_t mTotalDropped = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_LOG_OUTPUT_H_
