// Idempotency keys over many daemons: what holders and witnesses share.
//
// A caller that sends an order again with the same key may reach another
// daemon, and there is no store that both can ask. So a daemon that gets a
// submission (the holder) asks the key's witnesses, a few daemons that follow
// from the key and the list of instances, and runs it only after every one of
// them granted it and at least one of them vouched that nothing was forgotten.
// Whatever is in doubt is refused with an error that says "not run".
// docs/design/idempotency_keys.md states exactly when this holds.
//
//   const claim_view view{ declaredDomains, list };
//   const auto witnesses = WitnessesOf(key, view, settings.mWitnesses);
//
// See key_holder.h and key_witness.h for the two sides.
#ifndef THORNHOLLOW_FLEET_KEY_CLAIMS_H_
#define THORNHOLLOW_FLEET_KEY_CLAIMS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/fleet/instance_list.h"
#include "thornhollow/fleet/peer_messages.h"

namespace thornhollow {

struct key_claim_settings
{
  // Time after which a key may be used again: longer than the longest deadline
  // of a class, as a caller notices a dead daemon no later than that.
  duration mLifetime = Seconds(600);
  // Bound on how far a daemon's view of the instances lags behind the list.
  duration mViewLag = Seconds(30);
  // For each of the two rounds. A witness answers within a few milliseconds, in
  // another region within a hundred or two, or not at all.
  duration mRequestTimeout = Milliseconds(300);
  // A longer time between two calls is a pause of this process.
  duration mClockGap = Seconds(2);
  // Witnesses of a key. Three: two may be lost within a key's lifetime.
  std::size_t mWitnesses = 3;
  // With fewer listed, submissions with a key are refused. One loss of two is
  // survived, of one none.
  std::size_t mMinWitnesses = 2;
  // Keys that a witness remembers. Letter 1's peak gives each daemon 7.4
  // requests a second; with a key each, three witnesses and ten minutes that is
  // 13,300 keys.
  std::size_t mMaxKeys = 50'000;
  // Changes of the own domain's instances that a witness remembers.
  std::size_t mMaxViews = 64;

  friend bool operator==(const key_claim_settings&,
                         const key_claim_settings&) = default;
};

// What witnesses follow from. The domains are the declared ones, not the listed
// ones: were a domain that is cut off dropped from the list, its keys would
// otherwise move to other domains while it goes on granting them.
struct claim_view
{
  std::vector<domain_name> mDomains;
  instance_list mList;

  friend bool operator==(const claim_view&, const claim_view&) = default;
};

// The key of a team's idempotency key.
claim_key
ClaimKeyOf(const team_name& aTeam, std::string_view aIdempotencyKey);

// The domain whose instances witness `aKey`; empty where none is declared.
domain_name
HomeDomainOf(claim_key aKey, const std::vector<domain_name>& aDomains);

// The first `aCount` by rendezvous hash among the listed instances of the key's
// home domain that aren't leaving; fewer where there are fewer.
std::vector<instance_name>
WitnessesOf(claim_key aKey, const claim_view& aView, std::size_t aCount);

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_KEY_CLAIMS_H_
