// When an instance asks a peer for what that one has heard of the source.
//
//   copy_requests requests(copy_request_settings{});
//   if (const auto from = requests.Tick(peers, mine, reads, now)) {
//     ... ask it for its copies ...
//   }
//
// Guards against news that reaches some instances only: the source turns this
// one away, or its open watch will never answer. It shows as a copy that stays
// behind a peer's for longer than the source's own word takes.
#ifndef THORNHOLLOW_FLEET_COPY_REQUESTS_H_
#define THORNHOLLOW_FLEET_COPY_REQUESTS_H_

#include <optional>
#include <string>

#include "thornhollow/base/time.h"
#include "thornhollow/fleet/relay_peers.h"

namespace thornhollow {

struct copy_request_settings
{
  // Behind for so long: the source's own word takes a few milliseconds, and
  // most are told by it.
  duration mBehindFor = Milliseconds(250);
  // Between two questions while still behind.
  duration mAskEvery = Milliseconds(250);

  friend bool operator==(const copy_request_settings&,
                         const copy_request_settings&) = default;
};

class copy_requests
{
public:
  explicit copy_requests(const copy_request_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  // The address of the peer to ask now, if any. To be called every 100 ms.
  // `aReads`: this instance asks the source itself; else it is told of nothing
  // by it, and asks a peer at once.
  std::optional<std::string> Tick(const relay_peers& aPeers,
                                  const known_revisions& aMine,
                                  bool aReads,
                                  time_point aNow);

private:
  copy_request_settings mSettings;
  std::optional<time_point> mBehindSince;
  time_point mNextAsk{};
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_COPY_REQUESTS_H_
