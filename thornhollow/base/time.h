// Points and lengths of time. The core takes the present as an argument, so
// that tests run in virtual time; only `net` and `daemon` read a clock.
//
//   const time_point due = aNow + Milliseconds(250);
//
#ifndef THORNHOLLOW_BASE_TIME_H_
#define THORNHOLLOW_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace thornhollow {

// A length of time, in nanoseconds.
using duration = std::chrono::nanoseconds;

// A point on the monotonic clock of one process; meaningless to any other.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

constexpr duration
Milliseconds(std::int64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

constexpr duration
Seconds(std::int64_t aCount)
{
  return std::chrono::seconds(aCount);
}

// `aLength` in seconds, for arithmetic and metrics.
constexpr double
ToSeconds(duration aLength)
{
  return std::chrono::duration<double>(aLength).count();
}

// `aSeconds` as a length of time, rounded towards zero.
constexpr duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(aSeconds));
}

// Whole milliseconds in `aLength`, rounded towards zero.
constexpr std::int64_t
ToMilliseconds(duration aLength)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aLength).count();
}

} // namespace thornhollow

#endif // THORNHOLLOW_BASE_TIME_H_
