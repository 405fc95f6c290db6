// Keeps one prefix of a source mirrored: makes the calls that the follower
// decides on, and hands on what changed.
//
//   source_link link(io, source, "servers/", "endpoints", onChanges, log);
//   link.Start();
//
#ifndef THORNHOLLOW_DAEMON_SOURCE_LINK_H_
#define THORNHOLLOW_DAEMON_SOURCE_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "thornhollow/base/time.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/discovery/item_mirror.h"
#include "thornhollow/discovery/item_source.h"
#include "thornhollow/discovery/source_follower.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

// Changes of the mirror, in order.
using item_change_handler =
  std::function<void(const std::vector<item_change>&)>;

class source_link
{
public:
  // `aSource` and `aLog` outlive the link. `aWhat` names the items in logs.
  source_link(boost::asio::io_context& aIo,
              item_source& aSource,
              std::string aPrefix,
              std::string aWhat,
              item_change_handler aOnChanges,
              json_log& aLog);
  source_link(const source_link&) = delete;
  source_link& operator=(const source_link&) = delete;
  ~source_link();

  void Start();
  // An answer on its way is worth nothing any more: asks anew at once.
  void Restart();
  // Whether the source is asked at all; what is on its way is still taken.
  // Peers tell of news meanwhile.
  void SetReading(bool aReads);
  // Asks beside the watch on its way, which may never be answered.
  void OnWatchSuspected(suspicion_reason aWhy, time_point aNow);
  // This instance's turn among those that ask the source.
  void SetStagger(const watch_stagger& aStagger);
  // Notices overdue answers and an outage. To be called every 100 ms.
  void Tick(time_point aNow);

  // What a peer holds, or what it has seen change since a revision that this
  // copy had. Taken only where it is newer.
  void OnPeerListing(const std::vector<source_item>& aItems,
                     std::uint64_t aRevision);
  // `aAsked`: the revision for which the peer was asked.
  void OnPeerChanges(const std::vector<item_change>& aChanges,
                     std::uint64_t aAfter,
                     std::uint64_t aRevision);

  const item_mirror& Mirror() const;
  // The source's last answer was a failure.
  bool Failing() const;
  // When the source itself last answered, and how long ago; nothing before it
  // did.
  std::optional<time_point> LastAnswerTime() const;
  std::optional<duration> AnswerAge(time_point aNow) const;

private:
  class core;
  std::shared_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_SOURCE_LINK_H_
