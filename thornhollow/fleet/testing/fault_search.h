// For tests: minimizes a list of events that makes a run fail.
//
//   const auto minimized = Minimize(events, [](const auto& aSubset) {
//     return !Holds(aSubset);
//   });
#ifndef THORNHOLLOW_FLEET_TESTING_FAULT_SEARCH_H_
#define THORNHOLLOW_FLEET_TESTING_FAULT_SEARCH_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace thornhollow {

// Removes progressively smaller chunks of `aEvents` as long as `aFails` still
// returns true. Returns a failing list from which no single event can be
// removed.
template<class event, class predicate>
std::vector<event>
Minimize(std::vector<event> aEvents, predicate aFails)
{
  std::size_t chunk = std::max<std::size_t>(1, aEvents.size() / 2);
  while (true) {
    bool reduced = false;
    for (std::size_t position = 0; position < aEvents.size();) {
      std::vector<event> candidate(
        aEvents.begin(), aEvents.begin() + static_cast<long>(position));
      const std::size_t next = std::min(position + chunk, aEvents.size());
      candidate.insert(candidate.end(),
                       aEvents.begin() + static_cast<long>(next),
                       aEvents.end());
      if (aFails(candidate)) {
        aEvents = std::move(candidate);
        reduced = true;
      } else {
        position = next;
      }
    }
    if (chunk == 1 && !reduced) {
      return aEvents;
    }
    chunk = std::max<std::size_t>(1, chunk / 2);
  }
}

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_FAULT_SEARCH_H_
