// The endpoints that may get work, as the source lists them.
//
//   endpoint_roster roster(roster_settings{});
//   roster.OnSourceAnswered(now);
//   Apply(roster.OnListed(entry, now));
//   Apply(roster.OnRemoved(endpoint_name("i-7"), now));
//   Apply(roster.Tick(now));
//
// Guards against an outage of the source: entries are leases, and those of
// healthy endpoints lapse while the source is away. It shows as every endpoint
// vanishing in the moment in which the source returns, and the instance would
// refuse everything until the endpoints have registered again. So an entry that
// is missing right after an outage keeps its endpoint for as long as a live one
// needs to come back, and only then counts as gone.
//
// Guards against taking endpoints that leave for lapsed ones. It shows as work
// sent to endpoints seconds after they left. That several leave at once says
// nothing: a copy from a peer holds the changes of some hundred milliseconds.
// Nor does it that the source doesn't answer this instance, or some other: that
// may be their own path, and leases lapse only where the source is away for
// all. So an outage is a time of failing calls in which it answered nobody, by
// what all tell; who has seen its end tells peers with their copies.
//
// Guards against a restart under the same name: the new process holds and knows
// nothing of before. It shows as a later start time, and is reported as the old
// lifetime's end and a new one's beginning.
#ifndef THORNHOLLOW_DISCOVERY_ENDPOINT_ROSTER_H_
#define THORNHOLLOW_DISCOVERY_ENDPOINT_ROSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

// One entry of the source's list.
struct listed_endpoint
{
  // Unique among the endpoints that live at a time.
  endpoint_name mName;
  pool_name mPool;
  // IP number and port. Addresses of endpoints that ended are used again, also
  // by other pools.
  std::string mAddress;
  domain_name mDomain;
  // Requests that it runs at a time; 0: not stated.
  std::uint32_t mSlots = 0;
  // Takes no new work and ends soon.
  bool mDraining = false;
  // How much longer it is slow after its start, as of the entry's writing.
  duration mWarmUp{};
  // When its process started, by its own clock; 0: not stated. Tells lifetimes
  // of one name apart, nothing else.
  std::int64_t mStartedMs = 0;

  friend bool operator==(const listed_endpoint&,
                         const listed_endpoint&) = default;
};

// A process began to serve under this name: nothing known of the name holds.
struct endpoint_joined
{
  listed_endpoint mEndpoint;

  friend bool operator==(const endpoint_joined&,
                         const endpoint_joined&) = default;
};
// The entry says something else now, of the same process.
struct endpoint_updated
{
  listed_endpoint mEndpoint;

  friend bool operator==(const endpoint_updated&,
                         const endpoint_updated&) = default;
};
// Gets no new work.
struct endpoint_gone
{
  endpoint_name mName;

  friend bool operator==(const endpoint_gone&, const endpoint_gone&) = default;
};
using roster_change =
  std::variant<endpoint_joined, endpoint_updated, endpoint_gone>;
using roster_changes = std::vector<roster_change>;

struct roster_settings
{
  // Entries that lapsed during an outage are back within two seconds of its
  // end; a tenth less, so that a removal that was real is acted on within two
  // seconds of the source's return as well.
  duration mRecoveryGracePeriod = Milliseconds(1800);
  // Two peers' words of one return differ by the time that they took to come;
  // a return that is told of as later by less than this is the same one, or
  // the window would grow with each word.
  duration mSameRecoveryWindow = Seconds(1);
  // Without an answer to anybody for so long leases may lapse: each is renewed
  // several times in the time for which it holds. Where nothing changes peers
  // tell of an answer every second, and a word of theirs may be lost.
  duration mMinOutage = Seconds(2);

  friend bool operator==(const roster_settings&,
                         const roster_settings&) = default;
};

class endpoint_roster
{
public:
  explicit endpoint_roster(const roster_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  roster_changes OnListed(const listed_endpoint& aEntry, time_point aNow);
  // The source lists no endpoint of this name any more.
  roster_changes OnRemoved(const endpoint_name& aName, time_point aNow);

  // A call to the source fails, here or, by its word, at some peer.
  void OnSourceFailed(time_point aNow);
  // The source answered this instance or some other at that moment; to be told
  // before what it answered with.
  void OnSourceAnswered(time_point aAt);
  // A peer told that the source came back from an outage at `aThen`.
  void OnRecoveryReported(time_point aAt);
  // Whether the source is away for all, as far as is known.
  bool IsSourceInOutage(time_point aNow) const;
  // How long ago the source came back from an outage, for peers that don't ask
  // it themselves; nothing once no lapsed entry can be missing for that reason.
  std::optional<duration> TimeSinceRecovery(time_point aNow) const;

  // Removes what is missing for too long. To be called every 100 ms.
  roster_changes Tick(time_point aNow);

  // By name, those that still count though they are missing included.
  std::vector<listed_endpoint> Endpoints() const;
  // Whether it is one of them.
  bool Contains(const endpoint_name& aName) const;

private:
  struct record
  {
    listed_endpoint mEntry;
    // Set while the source lists it no more but it still counts.
    std::optional<time_point> mExpiresAt;
  };

  roster_settings mSettings;
  // The source came back from an outage at that moment.
  void OnRecovered(time_point aAt);
  bool RecentlyRecovered(time_point aNow) const;

  std::map<endpoint_name, record> mRecords;
  // A call has failed since the last answer to anybody.
  bool mCallFailed = false;
  std::optional<time_point> mLastAnswer;
  std::optional<time_point> mRecoveredAt;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_ENDPOINT_ROSTER_H_
