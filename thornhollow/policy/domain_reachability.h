// Whether another failure domain can be reached from this instance, by what
// came from there lately.
//
//   domain_reach reach(domain_reach_settings{}, own);
//   reach.OnUnreached(domain, now);  // no connection to an endpoint there
//   reach.OnPeerHeard(domain, now);  // another instance's message from there
//   if (reach.Doubted(domain, now)) { ... }
//
// Load this answers: the network between failure domains is cut, with dropped
// packets or with resets. An instance that judges each endpoint by itself then
// tries one after the other in the domains beyond the cut and tells its caller
// that there is none, while those of its own domain idle.
//
// One endpoint that can't be reached may have crashed. So the doubt ends with
// the next word from its domain, which comes within a fraction of a second
// where instances run there. Doubts about two other domains at once cast doubt
// on all: it is this domain that is cut off.
//
// Words may come through though connections don't. After some doubts in a row
// without an answer between them words don't end the doubt any more, only time
// does, so that not every word sends the next request into the cut.
#ifndef THORNHOLLOW_POLICY_DOMAIN_REACHABILITY_H_
#define THORNHOLLOW_POLICY_DOMAIN_REACHABILITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"

namespace thornhollow {

struct domain_reachability_settings
{
  // A doubt lasts no longer where no instance of the domain was ever heard,
  duration mSuspicionWithoutPeers = Seconds(1);
  // and where one was, whose silence confirms it.
  duration mSuspicionWithPeers = Seconds(5);
  // Doubts in a row that an instance's words end.
  std::uint32_t mMaxClearedByPeers = 3;
  // Domains known; what comes of more isn't noted. Names come in messages, and
  // forged ones must not fill the memory.
  std::size_t mMaxDomains = 64;

  friend bool operator==(const domain_reachability_settings&,
                         const domain_reachability_settings&) = default;
};

class domain_reachability
{
public:
  domain_reachability(const domain_reachability_settings& aSettings,
                      domain_name aOwn);

  // An endpoint of the domain gave no sign: no connection could be made, or
  // nothing came on it in time. Returns whether that is a new doubt.
  bool OnUnreachable(const domain_name& aDomain, time_point aNow);
  // An endpoint of the domain answered.
  void OnResponse(const domain_name& aDomain, time_point aNow);
  // An instance of the domain was heard.
  void OnPeerMessage(const domain_name& aDomain, time_point aNow);
  // This process stood still: what wasn't heard meanwhile says nothing.
  void ClearSuspicions();

  bool AnySuspected(time_point aNow) const;
  // Whether work is better sent elsewhere.
  bool IsSuspected(const domain_name& aDomain, time_point aNow) const;

private:
  struct domain_state
  {
    std::optional<time_point> mSuspectedAt;
    std::uint32_t mConsecutiveSuspicions = 0;
    time_point mLastContactAt{};
    bool mHasPeer = false;
  };

  // Nothing where there is no room for it.
  domain_state* FindOrAdd(const domain_name& aName);
  bool IsSuspicionActive(const domain_state& aDomain, time_point aNow) const;
  std::optional<time_point> CutOffAt(time_point aNow) const;

  domain_reachability_settings mSettings;
  domain_name mOwnDomain;
  std::map<domain_name, domain_state> mDomains;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_DOMAIN_REACHABILITY_H_
