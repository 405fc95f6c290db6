// Mirrors the items under one prefix of a source: makes the calls that a
// `source_follower` chooses and reports the changed items.
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

// Receives the changes of the items in the mirror, in the order in which the
// mirror applied them.
using item_change_handler =
  std::function<void(const std::vector<item_change>&)>;

class source_link
{
public:
  // `aSource` and `aLog` must outlive the link. `aWhat` names the items in
  // logs.
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
  // Discards pending answers and calls the source again immediately.
  void Restart();
  // Sets whether this instance calls the source itself. Answers to calls that
  // are pending when reading stops are still applied; after them, the mirror
  // changes only by copies from peers.
  void SetReading(bool aReads);
  // Makes an additional call, since the pending watch is suspected for `aWhy`
  // to never be answered. Does nothing if another call would add no
  // information.
  void OnWatchSuspected(suspicion_reason aWhy, time_point aNow);
  // Sets this instance's position among the readers of the source in its
  // failure domain, which staggers the ends of their watches.
  void SetStagger(const watch_stagger& aStagger);
  // Checks for overdue answers and for an outage. Call every 100 ms.
  void Tick(time_point aNow);

  // Applies a peer's complete listing of the items. The listing is ignored
  // unless its revision is newer than the mirror's.
  void OnPeerListing(const std::vector<source_item>& aItems,
                     std::uint64_t aRevision);
  // Applies a peer's changes, which lead from revision `aAfter` to `aRevision`.
  // The changes are ignored if the mirror has no listing yet or is not at
  // revision `aAfter`, or if `aRevision` is not newer than the mirror's
  // revision.
  void OnPeerChanges(const std::vector<item_change>& aChanges,
                     std::uint64_t aAfter,
                     std::uint64_t aRevision);

  const item_mirror& Mirror() const;
  // Whether the last call to the source failed, or two responses of the source
  // in a row were overdue.
  bool Failing() const;
  // `LastAnswerTime` returns when the source itself, not a peer, last answered,
  // and `AnswerAge` how long ago; both return nullopt before its first answer.
  std::optional<time_point> LastAnswerTime() const;
  std::optional<duration> AnswerAge(time_point aNow) const;

private:
  class core;
  std::shared_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_SOURCE_LINK_H_
