#include "thornhollow/daemon/log_output.h"

#include <algorithm>
#include <climits>
#include <utility>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace thornhollow {
namespace {

// A pipe that `poll` reports as writable accepts this many bytes without
// blocking. The descriptor is not set to non-blocking mode, since it may be
// shared with other processes.
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;

bool
IsWritable(int aDescriptor)
{
  pollfd query{ aDescriptor, POLLOUT, 0 };
  return ::poll(&query, 1, 0) == 1 && (query.revents & POLLOUT) != 0;
}

} // namespace

void
log_output::Add(std::string_view aLine)
{
  if (mPending.size() + aLine.size() > kMaxPending) {
    ++mUnreportedDrops;
    ++mTotalDropped;
    return;
  }
  if (const auto dropped = std::exchange(mUnreportedDrops, 0); dropped > 0) {
    mPending += fmt::format(
      R"({{"level":"warning","event":"log_lines_dropped","lines":{}}})"
      "\n",
      dropped);
  }
  mPending += aLine;
}

void
log_output::Flush()
{
  std::size_t written = 0;
  while (written < mPending.size() && IsWritable(mDescriptor)) {
    const std::size_t next =
      std::min(kMaxWriteBytes, mPending.size() - written);
    const ssize_t count = ::write(mDescriptor, mPending.data() + written, next);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  mPending.erase(0, written);
}

} // namespace thornhollow
