// Judges whether another failure domain is reachable from this instance, by
// what was recently received from it.
//
//   domain_reachability reach(domain_reachability_settings{}, own);
//   reach.OnUnreachable(domain, now);   // an endpoint is silent
//   reach.OnPeerMessage(domain, now);   // an instance sent a message
//   if (reach.IsSuspected(domain, now)) { ... }
//
// Failure scenario: the network between failure domains is partitioned, with
// dropped packets or with connection resets. An instance that judges each
// endpoint separately would try one endpoint after the other in the unreachable
// domains and then report to the caller that no endpoint is available, while
// the endpoints of the instance's own domain are idle.
//
// A domain is suspected as soon as one of its endpoints is unreachable. That
// endpoint may merely have crashed, so the suspicion ends with the next message
// from an instance of the domain, which arrives within a fraction of a second
// if any instance runs there. If two other domains are suspected at once, this
// instance's own domain is probably cut off. Then every other domain from which
// nothing has been received since is suspected too.
//
// Messages may get through although connections do not. After several
// consecutive suspicions without a response in between, messages no longer end
// a suspicion, and it ends only when its maximum duration has passed.
// Otherwise, after each message the next request would be sent to the
// unreachable domain.
#ifndef THORNHOLLOW_POLICY_ENDPOINTS_DOMAIN_REACHABILITY_H_
#define THORNHOLLOW_POLICY_ENDPOINTS_DOMAIN_REACHABILITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

struct domain_reachability_settings
{
  // Maximum duration of a suspicion if no message was ever received from an
  // instance of the domain.
  duration mSuspicionWithoutPeers = Seconds(1);
  // Maximum duration of a suspicion if messages were received from an instance
  // of the domain before. That no more messages arrive confirms the suspicion.
  duration mSuspicionWithPeers = Seconds(5);
  // Number of consecutive suspicions, without a response from an endpoint of
  // the domain in between, that messages from instances can end.
  std::uint32_t mMaxClearedByPeers = 3;
  // Maximum number of domains tracked; further domains are ignored. Domain
  // names arrive in messages, and forged ones must not exhaust memory.
  std::size_t mMaxDomains = 64;

  friend bool operator==(const domain_reachability_settings&,
                         const domain_reachability_settings&) = default;
};

class domain_reachability
{
public:
  domain_reachability(const domain_reachability_settings& aSettings,
                      domain_name aOwn);

  // An endpoint of the domain did not respond: no connection could be made, or
  // nothing was received on the connection in time. Returns true if this starts
  // a new suspicion.
  bool OnUnreachable(const domain_name& aDomain, time_point aNow);
  // An endpoint of the domain responded.
  void OnResponse(const domain_name& aDomain, time_point aNow);
  // A message from an instance of the domain was received.
  void OnPeerMessage(const domain_name& aDomain, time_point aNow);
  // Ends all suspicions. To be called after this process was paused: that
  // nothing was received in the meantime proves nothing.
  void ClearSuspicions();

  bool AnySuspected(time_point aNow) const;
  // Whether `aDomain` is suspected to be unreachable, so that requests should
  // be sent to other domains.
  bool IsSuspected(const domain_name& aDomain, time_point aNow) const;

private:
  struct domain_state
  {
    std::optional<time_point> mSuspectedAt;
    std::uint32_t mConsecutiveSuspicions = 0;
    time_point mLastContactAt{};
    bool mHasPeer = false;
  };

  // Returns the state of the domain `aName`; null if it is not tracked and
  // `mMaxDomains` domains already are.
  domain_state* FindOrAdd(const domain_name& aName);
  bool IsSuspicionActive(const domain_state& aDomain, time_point aNow) const;
  std::optional<time_point> CutOffAt(time_point aNow) const;

  domain_reachability_settings mSettings;
  domain_name mOwnDomain;
  std::map<domain_name, domain_state> mDomains;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ENDPOINTS_DOMAIN_REACHABILITY_H_
