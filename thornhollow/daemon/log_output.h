// Writes log lines to a descriptor without blocking.
//
//   log_output output(STDOUT_FILENO);
//   json_log log(log_level::kInfo, [&](auto aLine) { output.Add(aLine); });
//   output.Flush();   // every 100 ms, and at the end
//
// Guards against a log collector that stops reading: its pipe fills up, and a
// blocking write would stall the process with every request that it serves.
// Lines are buffered up to a limit; beyond it they are dropped, and the number
// of dropped lines is written once there is room again.
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
  // Writes log lines to `aDescriptor`; does not take ownership of the
  // descriptor.
  explicit log_output(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  // Appends one line, including its newline.
  void Add(std::string_view aLine);
  // Writes as many of the buffered lines as the descriptor accepts without
  // blocking.
  void Flush();

  std::uint64_t Dropped() const { return mTotalDropped; }

  // Maximum bytes buffered: at most a few seconds of the lines that json_log
  // writes.
  static constexpr std::size_t kMaxPending = std::size_t{ 256 } << 10U;

private:
  int mDescriptor;
  std::string mPending;
  std::uint64_t mUnreportedDrops = 0;
  std::uint64_t mTotalDropped = 0;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_LOG_OUTPUT_H_
