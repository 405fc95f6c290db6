// For tests: shortens a list of events that makes a run fail.
//
//   const auto fewest = Shorten(events, [](const auto& aSome) {
//     return !Holds(aSome);
//   });
#ifndef THORNHOLLOW_FLEET_TESTING_FAULT_SEARCH_H_
#define THORNHOLLOW_FLEET_TESTING_FAULT_SEARCH_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace thornhollow {

// Leaves out ever smaller parts of `aEvents` as long as `aFails` still holds.
// Returns a list that fails and of which no single event can be left out.
template<class event, class predicate>
std::vector<event>
Shorten(std::vector<event> aEvents, predicate aFails)
{
  std::size_t part = std::max<std::size_t>(1, aEvents.size() / 2);
  while (true) {
    bool shorter = false;
    for (std::size_t at = 0; at < aEvents.size();) {
      std::vector<event> fewer(aEvents.begin(),
                               aEvents.begin() + static_cast<long>(at));
      const std::size_t next = std::min(at + part, aEvents.size());
      fewer.insert(
        fewer.end(), aEvents.begin() + static_cast<long>(next), aEvents.end());
      if (aFails(fewer)) {
        aEvents = std::move(fewer);
        shorter = true;
      } else {
        at = next;
      }
    }
    if (part == 1 && !shorter) {
      return aEvents;
    }
    part = std::max<std::size_t>(1, part / 2);
  }
}

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_FAULT_SEARCH_H_
