// Asks endpoints for their load reports, one after another, at a bounded rate.
//
//   load_poller poll(io, [&](auto aName, auto aReport) { ... });
//   poll.SetEndpoints(endpoints);
//   poll.Start();
//
// Load pattern: 850 endpoints and 420 daemons. Were each endpoint polled by
// each daemon at a fixed interval, the polls would grow with their product;
// with a fixed number of polls a second a daemon's cost stays the same whatever
// the size, and only the reports' age grows. The decisions tolerate that: an
// old report counts for less and an older one for nothing
// (policy/endpoint_load.h).
#ifndef THORNHOLLOW_DAEMON_LOAD_POLLER_H_
#define THORNHOLLOW_DAEMON_LOAD_POLLER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "thornhollow/config/declarations.h"
#include "thornhollow/policy/work.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

// Polls a second. Ten visit each of today's 13 to 18 endpoints every 1.3 to
// 1.8 s.
inline constexpr int kLoadPollsPerSecond = 10;

class load_poller
{
public:
  using listener =
    std::function<void(const endpoint_name&, const load_report&)>;

  // `aOnBytes` gets the bytes of each exchange.
  load_poller(boost::asio::io_context& aIo,
              listener aOnReport,
              std::function<void(std::size_t)> aOnBytes);
  load_poller(const load_poller&) = delete;
  load_poller& operator=(const load_poller&) = delete;
  ~load_poller();

  // Polls these from now on; those that don't publish reports just give none.
  void SetEndpoints(std::vector<endpoint> aEndpoints);

  void Start();

private:
  class loop;
  std::shared_ptr<loop> mLoop;
};

// The report in the body of `GET /v1/load`, taken at `aArrival` less its stated
// age; nothing where it isn't one.
std::optional<load_report>
ReadLoadReport(std::string_view aJson, time_point aArrival);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_LOAD_POLLER_H_
