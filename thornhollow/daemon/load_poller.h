// Polls endpoints for load reports, in turn and at a bounded rate.
//
//   load_poller poll(io, [&](auto aName, auto aReport) { ... });
//   poll.SetEndpoints(endpoints);
//   poll.Start();
//
// Expected scale: 850 endpoints and 420 daemons. If each daemon polled each
// endpoint at a fixed interval, the number of polls would grow with their
// product. With a fixed number of polls per second, a daemon's cost is
// independent of the fleet size and only the age of the reports grows.
// Scheduling tolerates this: a report's weight decreases with age until it is
// ignored (policy/endpoints/endpoint_load.h).
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

// Polls per second. At 10, each of 13 to 18 endpoints (the present number) is
// polled every 1.3 to 1.8 s.
inline constexpr int kLoadPollsPerSecond = 10;

class load_poller
{
public:
  using listener =
    std::function<void(const endpoint_name&, const load_report&)>;

  // Receives whether an endpoint answered a poll, with a report or without.
  using answer_listener = std::function<void(const endpoint&, bool)>;

  // `aOnBytes` receives the byte count of each exchange.
  load_poller(boost::asio::io_context& aIo,
              listener aOnReport,
              answer_listener aOnAnswered,
              std::function<void(std::size_t)> aOnBytes);
  load_poller(const load_poller&) = delete;
  load_poller& operator=(const load_poller&) = delete;
  ~load_poller();

  // Replaces the set of endpoints to poll. Endpoints that publish no reports
  // are polled without effect.
  void SetEndpoints(std::vector<endpoint> aEndpoints);

  void Start();

private:
  class loop;
  std::shared_ptr<loop> mLoop;
};

// Path at which engines publish their load.
inline constexpr std::string_view kLoadPath = "/v1/load";

// Parses the body of a `GET /v1/load` response. The measurement time is
// `aArrival` minus the stated age. Returns nullopt if the body is not a load
// report.
std::optional<load_report>
ReadLoadReport(std::string_view aJson, time_point aArrival);

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_LOAD_POLLER_H_
