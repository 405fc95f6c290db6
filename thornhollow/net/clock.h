// How the edge reads the monotonic clock; the core takes the present as an
// argument.
//
//   Apply(scheduler.Tick(Now()));
//
#ifndef THORNHOLLOW_NET_CLOCK_H_
#define THORNHOLLOW_NET_CLOCK_H_

#include <chrono>

#include "thornhollow/base/time.h"

namespace thornhollow {

// The present on this process's monotonic clock.
inline time_point
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace thornhollow

#endif // THORNHOLLOW_NET_CLOCK_H_
