// Keeps streams at the version of endpoints that began them: connects
// streams/stream_origins.h to the other instances, to the list of endpoints and
// to the sessions.
//
//   stream_guard guard(io, settings, log, metrics);
//   guard.SetPeers(peers);
//   guard.OnBegun(stream);
//   guard.Find(key, pool, [](const origin_verdict& aVerdict) { ... });
//
#ifndef THORNHOLLOW_DAEMON_STREAM_GUARD_H_
#define THORNHOLLOW_DAEMON_STREAM_GUARD_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/discovery/endpoint_roster.h"
#include "thornhollow/routing/routing_table.h"
#include "thornhollow/streams/stream_origins.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

// How the guard reaches the other instances.
struct stream_guard_peers
{
  // The other instances that are alive.
  std::function<std::vector<known_instance>()> mInstances;
  std::function<void(const std::vector<std::string>& aTo,
                     const origin_message&)>
    mSend;
  // Whether the source has lately answered any instance.
  std::function<bool()> mListIsCurrent;
};

class stream_guard
{
public:
  using verdict_handler = std::function<void(const origin_verdict&)>;

  // `aMetrics` must outlive the guard.
  stream_guard(boost::asio::io_context& aIo,
               const domain_name& aOwnDomain,
               metrics& aMetrics);

  void SetPeers(stream_guard_peers aPeers) { mPeers = std::move(aPeers); }

  void OnListed(const listed_endpoint& aEndpoint);
  void OnRemoved(const endpoint_name& aEndpoint);
  // The routing table replaces the one before; there is none at first.
  void OnRouting(const routing_table* aBefore, const routing_table& aTable);
  void OnClockGap();

  void OnBegun(const begun_stream& aStream);
  void OnEnded(stream_key aStream);

  // Finds out at which version a stream began, and calls `aDone` with it, at
  // once if it is known here.
  void Find(stream_key aStream, const pool_name& aPool, verdict_handler aDone);

  // A message of the instance at this peer address.
  void OnMessage(const std::string& aFrom, const origin_message& aMessage);

  // To be called every 100 ms.
  void Tick();

private:
  void Finish(const verdict_handler& aDone, const origin_verdict& aVerdict);
  // Sends and hands on what is due, and arms the timer for what is due next.
  void Proceed();

  metrics& mMetrics;
  stream_origins mOrigins;
  stream_guard_peers mPeers;
  std::map<question_number, verdict_handler> mWaiting;
  boost::asio::steady_timer mTimer;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_STREAM_GUARD_H_
