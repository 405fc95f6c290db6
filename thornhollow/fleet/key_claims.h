// Idempotency keys across instances: definitions shared by the holder of a key
// (the instance that received the submission) and the key's witnesses.
//
// A caller that retries a request with the same key may reach another instance,
// and there is no common store that both instances can query. The instance that
// receives a submission (the holder) therefore requests grants from the key's
// witnesses, a few instances that are derived from the key and the list of
// instances. The holder runs the submission only after all witnesses granted
// the key and at least one of them vouched that its memory of the key is
// complete. If that does not happen, the submission is refused with an error
// that says "not run". docs/design/idempotency_keys.md states the exact
// guarantees.
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
  // Time after which a key may be reused. Must exceed the longest deadline of
  // any class, because a caller may take that long to notice a failed instance.
  duration mLifetime = Seconds(600);
  // Upper bound on the time by which an instance's view lags behind the
  // platform's list.
  duration mViewLag = Seconds(30);
  // Timeout of each of the two steps of a claim: the request to the
  // highest-ranked witness, and the requests to the other witnesses after its
  // grant. A witness answers within a few milliseconds, or within 100 to 200 ms
  // from another region, or not at all.
  duration mRequestTimeout = Milliseconds(300);
  // Maximum gap between two calls; a longer one is treated as a pause of this
  // process.
  duration mClockGap = Seconds(2);
  // Number of witnesses per key. With three witnesses, two may lose their
  // memory of a key within its lifetime, and the third can still vouch.
  std::size_t mWitnesses = 3;
  // Minimum number of listed witnesses; with fewer, submissions with a key are
  // refused. If two witnesses are listed, one of them may lose its memory of
  // the key; a single witness must not lose it.
  std::size_t mMinWitnesses = 2;
  // Maximum number of keys that a witness remembers. At the peak of the largest
  // deployment each instance receives 7.4 requests per second; if all carry a
  // key, three witnesses and a lifetime of ten minutes give 13,300 keys.
  std::size_t mMaxKeys = 50'000;
  // Maximum number of past views that a witness remembers, one for each change
  // to the instances of the witness's own domain.
  std::size_t mMaxViews = 64;

  friend bool operator==(const key_claim_settings&,
                         const key_claim_settings&) = default;
};

// Inputs that determine a key's witnesses. The domains are the declared ones,
// not the listed ones: if a partitioned domain were dropped from the list, its
// keys would move to other domains while the partitioned domain still grants
// them.
struct claim_view
{
  std::vector<domain_name> mDomains;
  instance_list mList;

  friend bool operator==(const claim_view&, const claim_view&) = default;
};

// Hashes a team's idempotency key.
claim_key
ClaimKeyOf(const team_name& aTeam, std::string_view aIdempotencyKey);

// Returns the domain whose instances witness `aKey`; empty if none is declared.
domain_name
HomeDomainOf(claim_key aKey, const std::vector<domain_name>& aDomains);

// Returns the first `aCount` instances by rendezvous hash among the listed
// instances of the key's home domain that are not leaving; all such instances
// if they are fewer than `aCount`.
std::vector<instance_name>
WitnessesOf(claim_key aKey, const claim_view& aView, std::size_t aCount);

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_KEY_CLAIMS_H_
