// The largest number of moments within any span of a given length.
//
//   const std::size_t most = MostWithin(arrivals, Seconds(1));
//
#ifndef THORNHOLLOW_BASE_MOST_WITHIN_H_
#define THORNHOLLOW_BASE_MOST_WITHIN_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "thornhollow/base/time.h"

namespace thornhollow {

// `aTimes` must be sorted.
inline std::size_t
MostWithin(const std::vector<time_point>& aTimes, duration aSpan)
{
  std::ptrdiff_t most = 0;
  for (auto from = aTimes.begin(); from != aTimes.end(); ++from) {
    const auto end = std::lower_bound(from, aTimes.end(), *from + aSpan);
    most = std::max(most, end - from);
  }
  return static_cast<std::size_t>(most);
}

} // namespace thornhollow

#endif // THORNHOLLOW_BASE_MOST_WITHIN_H_
