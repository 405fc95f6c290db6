// Tracks the endpoints that may receive work, as listed by the source.
//
//   endpoint_roster roster(roster_settings{});
//   roster.OnSourceAnswered(now);
//   Apply(roster.OnListed(entry, now));
//   Apply(roster.OnRemoved(endpoint_name("i-7"), now));
//   Apply(roster.Tick(now));
//
// Guards against an outage of the source. Entries are leases, and those of
// healthy endpoints expire while the source is unavailable. When the
// source recovers, it would list no endpoints, and the instance would reject
// every request until they have registered again. An entry that is missing
// right after an outage is therefore kept for a grace period in which a live
// endpoint can register again.
//
// Guards against mistaking endpoints that have shut down for live endpoints
// whose lease expired: they would be sent work for seconds after they have
// gone. Several removals at once are no evidence of an outage: a copy from a
// peer batches the changes of a few hundred milliseconds. Neither are failed
// calls of this instance or of one peer, which may be caused by their own
// network path; leases expire only if the source is unavailable to all. An
// outage is therefore a period of failing calls in which, by all reports, the
// source answered no instance. An instance that observes the recovery reports
// it to its peers together with its copies.
//
// Guards against a restart under the same name: the new process has no requests
// in flight and no cached state. It is detected by its start time, or by
// another software version where none is stated, and reported as the end of the
// old lifetime and the beginning of a new one.
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
  // The endpoint's name, unique among the endpoints that are alive at the same
  // time.
  endpoint_name mName;
  pool_name mPool;
  // IP address and port of the endpoint. Addresses of terminated endpoints are
  // reused, also by endpoints of other pools.
  std::string mAddress;
  domain_name mDomain;
  // Maximum number of requests that the endpoint runs concurrently; 0 if not
  // stated.
  std::uint32_t mSlots = 0;
  // Whether the endpoint accepts no new work and will shut down soon.
  bool mDraining = false;
  // Remaining warm-up time of the endpoint after its start, as of when the
  // entry was written.
  duration mWarmUp{};
  // Start time of the endpoint's process by the endpoint's clock, in
  // milliseconds; 0 if not stated. Only used to
  // distinguish lifetimes under the same name.
  std::int64_t mStartedMs = 0;
  // Version of the software that the endpoint's process runs; empty if not
  // stated.
  software_version mVersion = {};

  friend bool operator==(const listed_endpoint&,
                         const listed_endpoint&) = default;
};

// An endpoint process started under this name. State kept for earlier processes
// of the name is obsolete.
struct endpoint_joined
{
  listed_endpoint mEndpoint;

  friend bool operator==(const endpoint_joined&,
                         const endpoint_joined&) = default;
};
// The source's entry of a running endpoint process changed.
struct endpoint_updated
{
  listed_endpoint mEndpoint;

  friend bool operator==(const endpoint_updated&,
                         const endpoint_updated&) = default;
};
// The endpoint must not receive new work.
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
  // How long entries that expired during an outage are kept after the recovery.
  // Live endpoints register again within two seconds; the period is a tenth
  // shorter so that a real removal also takes effect within two seconds of the
  // recovery.
  duration mRecoveryGracePeriod = Milliseconds(1800);
  // Peers' reports of one recovery give slightly different times because of
  // their transit times. A reported recovery less than this after the known one
  // is treated as the same; otherwise each report would extend the grace
  // period.
  duration mSameRecoveryWindow = Seconds(1);
  // Failing calls are an outage if the source has answered no instance for this
  // long. Shorter failures expire no lease, since each lease is renewed several
  // times within its lifetime. Peers report an answer of the source every
  // second even without changes, and one of their messages may be lost.
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
  // The source no longer lists an endpoint of this name.
  roster_changes OnRemoved(const endpoint_name& aName, time_point aNow);

  // Records that a call to the source failed, on this instance or as reported
  // by a peer.
  void OnSourceFailed(time_point aNow);
  // The source answered this or another instance at `aAt`. To be called before
  // the contents of that answer are applied.
  void OnSourceAnswered(time_point aAt);
  // Records a peer's report that the source recovered from an outage at `aAt`.
  void OnRecoveryReported(time_point aAt);
  // Whether the source is unavailable to all instances, as far as is known.
  bool IsSourceInOutage(time_point aNow) const;
  // Returns the time since the source recovered from an outage, which is
  // reported to peers that don't read the source themselves; nullopt during an
  // outage and after the grace period that follows the recovery.
  std::optional<duration> TimeSinceRecovery(time_point aNow) const;

  // Removes entries whose grace period has ended. To be called every 100 ms.
  roster_changes Tick(time_point aNow);

  // Returns the endpoints that may receive work, sorted by name, including
  // endpoints that the source no longer lists but that are within their grace
  // period.
  std::vector<listed_endpoint> Endpoints() const;
  // Whether `Endpoints` includes this endpoint.
  bool Contains(const endpoint_name& aName) const;

private:
  struct record
  {
    listed_endpoint mEntry;
    // When the endpoint is removed; set while the source no longer lists the
    // endpoint but it is still kept.
    std::optional<time_point> mExpiresAt;
  };

  roster_settings mSettings;
  // Records a recovery of the source at `aAt`.
  void OnRecovered(time_point aAt);
  bool RecentlyRecovered(time_point aNow) const;

  std::map<endpoint_name, record> mRecords;
  // Whether a call to the source failed since the source last answered any
  // instance.
  bool mCallFailed = false;
  std::optional<time_point> mLastAnswer;
  std::optional<time_point> mRecoveredAt;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DISCOVERY_ENDPOINT_ROSTER_H_
